"""Connections and calls to engines, in each protocol that engines speak."""
