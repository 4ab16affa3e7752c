"""Replication of claims, registers and engines, and the store that holds them."""
