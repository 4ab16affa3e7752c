"""The priority of running queries: set by the decision module, lowered while they exceed a quota."""

from __future__ import annotations

from collections.abc import Callable

from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import Call
from fordstair.runtime.counters import Counters
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

LOWEST_PRIORITY = 0


class QueryPriorities:
    """Passes priorities on to the engines where queries run."""

    def __init__(self, counters: Counters, start_task: Callable[..., None]) -> None:
        self._counters = counters
        self._start_task = start_task

    def set_priority(self, live: LiveRequest, priority: int) -> None:
        """Give a request its priority, 0 to 3; one that is lowered just now gets it later."""
        if live.priority == priority:
            return
        live.priority = priority
        if not live.deprioritized:
            self._pass_on(live, priority)

    def set_deprioritized(self, live: LiveRequest, deprioritized: bool) -> None:
        """Lower what runs, or give it its own priority again; it is never stopped."""
        live.deprioritized = deprioritized
        self._pass_on(live, LOWEST_PRIORITY if deprioritized else live.priority)
        self._counters.add("priority.lowered" if deprioritized else "priority.raised")

    def _pass_on(self, live: LiveRequest, priority: int) -> None:
        if live.call is not None:
            self._start_task(_send_priority, live.call, priority)


async def _send_priority(call: Call, priority: int) -> None:
    try:
        await call.set_priority(priority)
    except Exception:  # a fault in this must not take down the requests
        log.exception("priority.update_failed")
