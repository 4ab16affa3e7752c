"""Where requests may go when a zone fails: pure, no I/O, no clock; the decision module draws the engine."""
