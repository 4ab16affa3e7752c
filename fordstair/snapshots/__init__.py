"""Immutable snapshots of the running program, sent to consoles as one full frame and then as deltas."""
