"""Processing of requests between the fronts, the decision module and the engine transports.

Two invariants always hold: a request gets exactly one final answer (``request_table``), and a load never runs
twice (``send_guard``, which checks every attempt right before its first byte is sent).
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

import trio

from fordstair.core.action_dispatcher import ActionDispatcher
from fordstair.core.arrival_pacer import ArrivalPacer
from fordstair.core.attempt_executor import AttemptExecutor
from fordstair.core.engine_registry import EngineRegistry
from fordstair.core.extensions import Extensions
from fordstair.core.invariants import Invariants
from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import Engine, Query, Reply, Transport
from fordstair.core.query_priorities import QueryPriorities
from fordstair.core.request_memory import reserve_request, try_reserve_request
from fordstair.core.request_table import RequestTable
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    ConcurrencyLimitSet,
    EngineListChanged,
    Event,
    HealthCheckEnded,
    RequestArrived,
    RequestWithdrawn,
    Status,
)
from fordstair.decisions.gateway import Gateway
from fordstair.decisions.settings import Settings
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.memory_budget import MemoryBudget, Reservation

log = EventLog(__name__)


# How long a request that found no room for itself should stay away; by then others have ended.
MEMORY_RETRY_AFTER_MS = 500.0


def _ignore_change() -> None:
    """Do nothing; the default of ``Coordinator.on_change``."""


class Coordinator:
    """Feeds events to the decision module and dispatches its actions.

    Attributes:
        memory: the memory budget; without one that is given, it has no limit.
        withdrawing: True once ``withdraw_all`` has been called; requests that still arrive get a final answer
            from the decision module, and no attempt is sent for them.
        on_change: called after each event.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        transports: Mapping[str, Transport],
        deadlines: Deadlines,
        counters: Counters,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.settings = settings
        self.deadlines = deadlines
        self.counters = counters
        self.memory = memory or MemoryBudget()
        self.invariants = Invariants(counters)
        self.gateway = Gateway(settings, seed)
        self.classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self.extensions = Extensions()
        self.requests = RequestTable(counters, self.invariants, self.memory)
        self.registry = EngineRegistry(transports)
        self.priorities = QueryPriorities(counters, self._start_task)
        self.draining = False
        self.withdrawing = False
        self.on_change: Callable[[], None] = _ignore_change
        self._actions = ActionDispatcher(self.requests, self.priorities, deadlines, self.dispatch)
        self._attempt_executor = AttemptExecutor(
            settings,
            transports,
            deadlines,
            counters,
            self.invariants,
            self.requests,
            self.registry,
            self.extensions,
            self.dispatch,
            self.memory,
        )
        self._arrival_pacer = ArrivalPacer()
        self._nursery: trio.Nursery | None = None

    @property
    def live(self) -> dict[int, LiveRequest]:
        """The requests in progress, by id."""
        return self.requests.live

    @property
    def engines(self) -> dict[str, Engine]:
        """The listed engines, by id."""
        return self.registry.engines

    @property
    def open_count(self) -> int:
        """The number of requests that still wait for their answer."""
        return sum(1 for _ in self.requests.unanswered())

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the nursery of the tasks of all requests until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._arrival_pacer.run)
            task_status.started()
            await trio.sleep_forever()

    def tenant_index(self, team: str) -> int | None:
        """Return a team's index, None if it is unknown; 0 for every name if no teams are configured."""
        return self.tenants.get(team) if self.tenants else 0

    def is_in_progress(self, transaction_id: str) -> bool:
        """Return whether a request with this transaction id is in progress."""
        return self.requests.is_in_progress(transaction_id)

    def is_past_load(self, transaction_id: str) -> bool:
        """Return whether a load with this transaction id has ended and may have run."""
        return self.requests.is_past_load(transaction_id)

    def try_submit(self, query: Query, reply: Reply) -> LiveRequest | None:
        """Accept a request as ``submit`` does; return None if there is no memory for it.

        The caller then calls ``refuse`` and answers the client itself.
        """
        reservation = try_reserve_request(self.memory, query)
        return None if reservation is None else self._start(query, reply, reservation)

    def submit(self, query: Query, reply: Reply) -> LiveRequest:
        """Accept a request; its reply gets exactly one final answer, unless the client disconnects."""
        return self._start(query, reply, reserve_request(self.memory, query))

    def _start(self, query: Query, reply: Reply, reservation: Reservation) -> LiveRequest:
        assert self._nursery is not None, "the coordinator is not running"
        spec = self.settings.classes[query.class_index]
        live = self.requests.add(query, reply, spec, self.deadlines.clock())
        self._nursery.start_soon(self._run_request, live, reservation)
        return live

    def refuse(self, class_name: str) -> float:
        """Count a request that is refused for want of memory; return when to retry in ms, 0 for no advice."""
        self.requests.count_refused(class_name, "no memory")
        if not self.settings.sends_retry_after:
            return 0.0
        return min(MEMORY_RETRY_AFTER_MS, self.settings.max_retry_after_ms)

    def client_disconnected(self, live: LiveRequest) -> None:
        """Abandon a request whose client has stopped waiting; no answer is sent."""
        if live.finished:
            return
        self.counters.add("client.disconnected")
        log.debug("request.abandoned", txn=live.query.transaction_id, engine=live.engine)
        live.abandon()
        queue = self.extensions.admission_queue
        if queue is None or not queue.remove(live):
            self.dispatch(ClientDisconnected(live.id))

    def withdraw_all(self) -> None:
        """Have all open requests, and those that still arrive, answered now, because the program ends."""
        self.withdrawing = True
        self._arrival_pacer.admit_all()
        queue = self.extensions.admission_queue
        for live in list(self.requests.unanswered()):
            if queue is None or not queue.withdraw(live):
                self.dispatch(RequestWithdrawn(live.id))

    def dispatch(self, event: Event) -> None:
        """Pass an event to the decision module and carry out the resulting actions in order."""
        now_ms = self.deadlines.clock()
        for action in self.gateway.handle(now_ms, event):
            self._actions.dispatch(action, now_ms)
        self.on_change()

    def arrival_event(self, live: LiveRequest) -> RequestArrived:
        """Return the decision module's event for a request, with the time now left to its deadline."""
        query = live.query
        return RequestArrived(
            live.id,
            query.class_index,
            live.deadline_ms - self.deadlines.clock(),
            query.tenant_index,
            query.cost_ms,
            query.memory_mb,
            live.table_group,
        )

    def update_engines(self, kind: ListUpdateKind, engines: Iterable[Engine]) -> None:
        """Apply an update of the engine list and pass it to the decision module."""
        updated = self.registry.update(kind, engines)
        if (watch := self.extensions.zone_watch) is not None:
            watch.engines_updated()
        self.counters.add("engine_list.updates")
        self.dispatch(EngineListChanged(kind, tuple(engine.effective_entry for engine in updated)))

    def engine_unreachable(self, address: str, after_ms: float) -> None:
        """Report that a connection to an address has not been established for ``after_ms``.

        The next process at that address may be a new one. The event is a failed health check, although no
        check was made: the decision module counts it as silence and treats the engine as restarted.
        """
        for engine_id in self.registry.ids_at_address(address):
            self.dispatch(HealthCheckEnded(engine_id, Status.CONNECT_FAILED, after_ms))

    def set_cordoned(self, engine_id: str, cordoned: bool) -> None:
        """Stop or resume sending new attempts to an engine.

        Running attempts continue, and the engine's load reports still count.
        """
        if (engine := self.registry.set_cordoned(engine_id, cordoned)) is not None:
            self.dispatch(EngineListChanged(ListUpdateKind.DELTA, (engine.effective_entry,)))

    def set_concurrency_limit(self, class_index: int, threads: int | None) -> None:
        """Limit the threads that a class may have in flight; None removes the limit."""
        self.dispatch(ConcurrencyLimitSet(class_index, threads))

    async def _run_request(self, live: LiveRequest, reservation: Reservation) -> None:
        """Process a request; answer it as failed on an unexpected exception, which must not affect others."""
        try:
            await self._process(live)
        except Exception:
            log.exception("request.internal_error", txn=live.query.transaction_id, engine=live.engine)
            self.requests.fail(live, "internal error")
            self._clear_in_flight(live)
        finally:
            if not (live.finished or trio.current_effective_deadline() == -math.inf):
                self.requests.fail_unanswered(live)
            self.requests.remove(live)
            if (watch := self.extensions.zone_watch) is not None:
                watch.attempt_ended(live.id)
            if (queue := self.extensions.admission_queue) is not None:
                queue.request_finished(live)
            reservation.release()

    async def _process(self, live: LiveRequest) -> None:
        """Process a request from its arrival to its final answer."""
        activity = live.query.client_activity
        if not (live.finished or self.withdrawing or self._arrival_pacer.admit_nowait(activity)):
            with self.deadlines.limit(live.deadline_ms):  # after the deadline it is answered without waiting
                await self._arrival_pacer.wait(activity)
        if live.finished:  # it ended while waiting: the decision module must not plan attempts for it
            return
        queue = self.extensions.admission_queue
        if queue is None or self.withdrawing:
            self.dispatch(self.arrival_event(live))
        else:
            await queue.wait(live)
        if self.withdrawing:
            self.dispatch(RequestWithdrawn(live.id))
        while (send := await live.next_send()) is not None:
            self.dispatch(await self._attempt_executor.execute(live, send))

    def _clear_in_flight(self, live: LiveRequest) -> None:
        """Tell the decision module that the request has ended, or it would count its threads forever."""
        number = live.attempt_count - 1
        try:
            self.dispatch(ClientDisconnected(live.id))
            self.dispatch(AttemptEnded(live.id, number, live.engine, Status.ERROR, 0.0, request_over=True))
        except Exception:
            log.exception("decisions.internal_error", txn=live.query.transaction_id)

    def _start_task(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(function, *args)
