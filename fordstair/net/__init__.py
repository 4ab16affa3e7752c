"""The wires: fronts for clients, transports to engines, the engines' command channel, identity, the door."""
