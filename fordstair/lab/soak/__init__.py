"""Randomized fault-injection soak: real coordinators, overlapping faults, the protocol's rules as oracle."""
