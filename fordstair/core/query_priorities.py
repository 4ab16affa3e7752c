"""The priorities of running queries: set by the decision module, lowered while a team exceeds its quota."""

from __future__ import annotations

from collections.abc import Callable

from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import Call
from fordstair.runtime.counters import Counters
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

LOWEST_PRIORITY = 0


class QueryPriorities:
    """Sends changed priorities to the engines at which queries run."""

    def __init__(self, counters: Counters, start_task: Callable[..., None]) -> None:
        self._counters = counters
        self._start_task = start_task

    def set_priority(self, live: LiveRequest, priority: int) -> None:
        """Set a request's own priority, 0 to 3; a deprioritized query gets it once it is restored."""
        if live.priority == priority:
            return
        live.priority = priority
        if not live.deprioritized:
            self._start_update(live, priority)

    def set_deprioritized(self, live: LiveRequest, deprioritized: bool) -> None:
        """Lower a running query to the lowest priority, or restore its own; the query is never stopped."""
        live.deprioritized = deprioritized
        self._start_update(live, LOWEST_PRIORITY if deprioritized else live.priority)
        self._counters.add("priority.lowered" if deprioritized else "priority.raised")

    def _start_update(self, live: LiveRequest, priority: int) -> None:
        if live.call is not None:
            self._start_task(_send_priority, live.call, priority)


async def _send_priority(call: Call, priority: int) -> None:
    try:
        await call.set_priority(priority)
    except Exception:  # a failed update must not cancel the tasks of requests
        log.exception("priority.update_failed")
