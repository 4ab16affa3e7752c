"""A randomized fault soak: real coordinators, overlapping faults, the protocol's rules as the oracle."""
