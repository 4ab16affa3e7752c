"""Networking: fronts for clients, transports to engines, the engine list watch, identity and consoles."""
