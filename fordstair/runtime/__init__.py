"""Clocks, deadlines, log events and counters: they know nothing of requests, and everything may use them."""
