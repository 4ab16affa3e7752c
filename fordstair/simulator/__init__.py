"""Runs the decision module under the operators' simulator: its wire format and its event loop."""
