"""Timers without a clock: what is due is told the time, in one sorted structure."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from sortedcontainers import SortedDict

Ticket: TypeAlias = tuple[float, int]


class Timers:
    """Actions by the time (ms) at which they are due; each is called with the time at which it was due."""

    def __init__(self) -> None:
        self._due: SortedDict[Ticket, Callable[[float], None]] = SortedDict()
        self._number = 0

    def __len__(self) -> int:
        return len(self._due)

    @property
    def next_due(self) -> float | None:
        """The time of the first timer; None where there is none."""
        return self._due.peekitem(0)[0][0] if self._due else None

    def add(self, at: float, action: Callable[[float], None]) -> Ticket:
        """Set a timer; the ticket takes it back."""
        self._number += 1
        self._due[(at, self._number)] = action
        return at, self._number

    def drop(self, ticket: Ticket | None) -> None:
        """Take a timer back; one that has fired, or None, is no error."""
        if ticket is not None:
            self._due.pop(ticket, None)

    def take(self, now: float) -> tuple[float, Callable[[float], None]] | None:
        """Take out the first timer that is due, with its time; None where none is."""
        if not self._due or self._due.peekitem(0)[0][0] > now:
            return None
        (at, _), action = self._due.popitem(0)
        return at, action
