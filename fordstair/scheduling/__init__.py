"""Queues in front of the decision module: quotas by team, ageing, wait estimates. Pure: no I/O, no clock."""
