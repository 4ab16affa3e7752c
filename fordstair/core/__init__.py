"""Requests, attempts and outcomes; nothing in here knows a wire."""
