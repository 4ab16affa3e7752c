"""The wires: fronts for clients, transports to engines, membership, identity and administration."""
