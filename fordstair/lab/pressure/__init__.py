"""Crowds of clients that make a coordinator hold memory, and trials that measure its peak."""
