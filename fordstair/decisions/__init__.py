"""The decisions of a coordinator: typed events in, typed actions out, no I/O and no clock."""
