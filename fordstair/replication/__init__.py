"""State copied among coordinators: the ledger of loads that run at most once, and its exchange."""
