"""All deadlines of the program, in one sorted structure that is swept whenever the first is due.

Times are milliseconds of the monotonic clock; a step of the wall clock moves none of them.
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

IDLE_SWEEP_MS = 60_000.0  # between sweeps where no deadline is set
Ticket: TypeAlias = tuple[float, int]  # time in ms, number of the deadline


class Deadlines:
    """Actions to run once their time has come, sorted by that time."""

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        self.clock = clock
        self._due: SortedDict[Ticket, Callable[[], object]] = SortedDict()
        self._number = 0
        self._earlier = trio.Event()

    def __len__(self) -> int:
        return len(self._due)

    def add(self, at_ms: float, action: Callable[[], object]) -> Ticket:
        """Run the action at the first sweep at or after that time; return what ``cancel`` takes."""
        self._number += 1
        ticket = (at_ms, self._number)
        self._due[ticket] = action
        if self._due.peekitem(0)[0] == ticket:
            self._earlier.set()
        return ticket

    def after(self, span_ms: float, action: Callable[[], object]) -> Ticket:
        """Run the action once that span of real time has passed."""
        return self.add(self.clock() + span_ms, action)

    def cancel(self, ticket: Ticket) -> None:
        """Forget a deadline; one that has passed is no error."""
        self._due.pop(ticket, None)

    def sweep(self) -> None:
        """Run what is due, in order of time."""
        now_ms = self.clock()
        while self._due and self._due.peekitem(0)[0][0] <= now_ms:
            _, action = self._due.popitem(0)
            try:
                action()
            except Exception:  # one failing action must not stop the deadlines of everything else
                log.exception("deadline.action_failed")

    @contextmanager
    def limit(self, at_ms: float) -> Iterator[trio.CancelScope]:
        """Cancel the block at that time; ``scope.cancelled_caught`` tells whether it was."""
        with trio.CancelScope() as scope:
            ticket = self.add(at_ms, scope.cancel)
            try:
                yield scope
            finally:
                self.cancel(ticket)

    def limit_for(self, span_ms: float) -> AbstractContextManager[trio.CancelScope]:
        """Cancel the block once that span of real time has passed, as ``limit`` does."""
        return self.limit(self.clock() + span_ms)

    async def sleep(self, span_ms: float) -> None:
        """Wait for that many milliseconds of real time."""
        with self.limit_for(span_ms):
            await trio.sleep_forever()

    async def run(self) -> None:
        """Sweep whenever the first deadline has come, until cancelled."""
        while True:
            self.sweep()
            self._earlier = trio.Event()
            wait_ms = self._due.peekitem(0)[0][0] - self.clock() if self._due else IDLE_SWEEP_MS
            with trio.move_on_after(max(0.0, wait_ms) / 1000.0):
                await self._earlier.wait()
