"""Routing around failed zones, without I/O or a clock; the decision module selects the engine."""
