"""Queues in front of the decision module: team quotas, ageing, wait estimates. Pure: no I/O, no clock."""
