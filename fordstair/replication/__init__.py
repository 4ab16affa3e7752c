"""Replicated state: claims on loads that run at most once, learned costs and known engines."""
