"""The laboratory: stand-in engines with faults on command, and traffic to send past them."""
