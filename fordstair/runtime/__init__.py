"""Clocks, deadlines, log events, counters and message framing, independent of requests."""
