"""Background tasks whose exceptions are logged and end no other task."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TypeVarTuple

import trio

from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

Ts = TypeVarTuple("Ts")


class BackgroundTasks:
    """Starts tasks in the nursery of a running service.

    Attributes:
        nursery: The nursery of the service, or None before it runs.
    """

    def __init__(self, counts: Counter[str]) -> None:
        self.counts = counts
        self.nursery: trio.Nursery | None = None

    def running_nursery(self) -> trio.Nursery:
        """Return the nursery of the service, which must be running."""
        assert self.nursery is not None, "replication is not running"
        return self.nursery

    def start(self, function: Callable[[*Ts], Awaitable[None]], *args: *Ts) -> None:
        """Run a function in the background, as ``run_and_log_errors`` does; return immediately."""
        self.running_nursery().start_soon(self.run_and_log_errors, function, *args)

    async def run_and_log_errors(self, function: Callable[[*Ts], Awaitable[None]], *args: *Ts) -> None:
        """Run a function and log an exception, so that a fault with one member or claim affects no other."""
        try:
            await function(*args)
        except Exception:
            self.counts["internal_errors"] += 1
            log.exception("ledger.internal_error")
