"""The messages on every wire, as the program before the readers' sitting wrote them."""
