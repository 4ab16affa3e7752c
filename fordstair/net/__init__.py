"""The wires: fronts for clients, transports to engines, the watch of the engine list, identity, consoles."""
