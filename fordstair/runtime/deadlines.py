"""All deadlines of the program, in one sorted structure that is swept whenever the earliest is due.

Times are milliseconds of the monotonic clock; a step of the wall clock does not move them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import TypeAlias

import trio
from sortedcontainers import SortedDict

from fordstair.runtime.clock import monotonic_now
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

IDLE_SWEEP_INTERVAL_MS = 60_000.0  # while no deadline is set
DeadlineHandle: TypeAlias = tuple[float, int]  # time in ms, serial number


class Deadlines:
    """Runs each action once its time has come."""

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        self.clock = clock
        self._actions: SortedDict[DeadlineHandle, Callable[[], object]] = SortedDict()
        self._last_number = 0
        self._earliest_changed = trio.Event()

    def __len__(self) -> int:
        return len(self._actions)

    def add(self, at_ms: float, action: Callable[[], object]) -> DeadlineHandle:
        """Run the action at the first sweep at or after ``at_ms``; return a handle for ``cancel``."""
        self._last_number += 1
        handle = (at_ms, self._last_number)
        self._actions[handle] = action
        if self._actions.peekitem(0)[0] == handle:
            self._earliest_changed.set()
        return handle

    def after(self, span_ms: float, action: Callable[[], object]) -> DeadlineHandle:
        """Run the action after ``span_ms``; return a handle for ``cancel``."""
        return self.add(self.clock() + span_ms, action)

    def cancel(self, handle: DeadlineHandle) -> None:
        """Remove a deadline; do nothing if its action has run or it is already removed."""
        self._actions.pop(handle, None)

    def sweep(self) -> None:
        """Run the actions that are due, in order of time; an exception from one is logged."""
        now_ms = self.clock()
        while self._actions and self._actions.peekitem(0)[0][0] <= now_ms:
            _, action = self._actions.popitem(0)
            try:
                action()
            except Exception:  # a failing action must not stop the others
                log.exception("deadline.action_failed")

    @contextmanager
    def limit(self, at_ms: float) -> Iterator[trio.CancelScope]:
        """Cancel the block at ``at_ms``; ``scope.cancelled_caught`` tells afterwards whether it was."""
        with trio.CancelScope() as scope:
            handle = self.add(at_ms, scope.cancel)
            try:
                yield scope
            finally:
                self.cancel(handle)

    def limit_for(self, span_ms: float) -> AbstractContextManager[trio.CancelScope]:
        """Cancel the block after ``span_ms``, as ``limit`` does."""
        return self.limit(self.clock() + span_ms)

    async def sleep(self, span_ms: float) -> None:
        """Sleep for ``span_ms`` milliseconds."""
        with self.limit_for(span_ms):
            await trio.sleep_forever()

    async def run(self) -> None:
        """Sweep whenever the earliest deadline is due, until cancelled."""
        while True:
            self.sweep()
            self._earliest_changed = trio.Event()
            wait_ms = (
                self._actions.peekitem(0)[0][0] - self.clock() if self._actions else IDLE_SWEEP_INTERVAL_MS
            )
            with trio.move_on_after(max(0.0, wait_ms) / 1000.0):
                await self._earliest_changed.wait()
