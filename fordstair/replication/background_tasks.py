"""Tasks that go on beside the one that starts them, and whose faults end nothing else."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TypeVarTuple

import trio

from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

Ts = TypeVarTuple("Ts")


class BackgroundTasks:
    """Starts tasks in the nursery of a running service; ``nursery`` is None while it does not run."""

    def __init__(self, counts: Counter[str]) -> None:
        self.counts = counts
        self.nursery: trio.Nursery | None = None

    def running_nursery(self) -> trio.Nursery:
        """Return the nursery of the running service."""
        assert self.nursery is not None, "replication is not running"
        return self.nursery

    def start(self, function: Callable[[*Ts], Awaitable[None]], *args: *Ts) -> None:
        """Run a function in the background."""
        self.running_nursery().start_soon(self.contain, function, *args)

    async def contain(self, function: Callable[[*Ts], Awaitable[None]], *args: *Ts) -> None:
        """Run a function; a fault with one member or one claim ends nothing else."""
        try:
            await function(*args)
        except Exception:
            self.counts["internal_errors"] += 1
            log.exception("ledger.internal_error")
