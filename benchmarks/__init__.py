"""Benchmarks: python -m benchmarks.NAME; each prints one JSON object as its last line."""
