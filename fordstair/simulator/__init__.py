"""Hosts the decision module on the operators' simulator: its wire format and its event loop."""
