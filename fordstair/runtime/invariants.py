"""For the functions that check what always holds for a state machine between two calls."""

from __future__ import annotations


class InvariantViolationError(Exception):
    """A state contradicts itself; the text names the rule, and whose state it is."""


def require(holds: bool, rule: str) -> None:
    """Raise InvariantViolationError where a rule does not hold."""
    if not holds:
        raise InvariantViolationError(rule)
