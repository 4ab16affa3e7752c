"""Tests of the replication of claims, registers and engines, and of the store."""
