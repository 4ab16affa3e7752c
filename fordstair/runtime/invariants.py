"""Helpers for functions that check the invariants of a state machine between two calls."""

from __future__ import annotations


class InvariantViolationError(Exception):
    """Raised for a state that violates an invariant; the text names the rule and the state's owner."""


def require(holds: bool, rule: str) -> None:
    """Raise InvariantViolationError with ``rule`` as its message unless ``holds``."""
    if not holds:
        raise InvariantViolationError(rule)
