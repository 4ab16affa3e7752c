"""Operator overrides of a running program: which are accepted and which are active. Does no I/O."""
