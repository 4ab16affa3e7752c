"""Connections and requests of clients, in each protocol that clients speak."""
