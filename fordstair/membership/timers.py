"""Timers without a clock; the driver passes the current time."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from sortedcontainers import SortedDict

TimerHandle: TypeAlias = tuple[float, int]  # due time (ms), and a number that keeps equal times in order
Action: TypeAlias = Callable[[], None]


class Timers:
    """Actions ordered by due time (ms)."""

    def __init__(self) -> None:
        self._due: SortedDict[TimerHandle, Action] = SortedDict()
        self._number = 0

    def __len__(self) -> int:
        return len(self._due)

    @property
    def next_due_ms(self) -> float | None:
        """The due time of the first timer; None without timers."""
        return self._due.peekitem(0)[0][0] if self._due else None

    def add(self, due_ms: float, action: Action) -> TimerHandle:
        """Set a timer; return the handle that cancels it."""
        self._number += 1
        handle = (due_ms, self._number)
        self._due[handle] = action
        return handle

    def cancel(self, handle: TimerHandle | None) -> None:
        """Cancel a timer; do nothing for None or a timer that has fired."""
        if handle is not None:
            self._due.pop(handle, None)

    def clear(self) -> None:
        """Cancel all timers."""
        self._due.clear()

    def pop_due(self, now_ms: float) -> Action | None:
        """Remove the first timer that is due and return its action; None if none is due."""
        due_ms = self.next_due_ms
        if due_ms is None or due_ms > now_ms:
            return None
        _, action = self._due.popitem(0)
        return action
