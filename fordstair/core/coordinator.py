"""The life of a request between the decision module, a front and an engine transport.

Two invariants hold whatever happens: a request gets exactly one final answer (``request_table``), and a load
never runs twice (``send_guard``, which every attempt passes right before its first byte).
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

log = EventLog(__name__)


def _ignore_change() -> None:
    """Nobody follows the changes."""


class Coordinator:
    """Feeds the decision module with events and has its actions carried out."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        transports: Mapping[str, Transport],
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        self.settings = settings
        self.deadlines = deadlines
        self.counters = counters
        self.invariants = Invariants(counters)
        self.gateway = Gateway(settings, seed)
        self.classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self.extensions = Extensions()
        self.requests = RequestTable(counters, self.invariants)
        self.registry = EngineRegistry(transports)
        self.priorities = QueryPriorities(counters, self._start_task)
        self.draining = False
        self.withdrawn = False  # what still comes is answered, and nothing of it sent on
        self.on_change: Callable[[], None] = _ignore_change  # called after each event
        self._actions = ActionDispatcher(self.requests, self.priorities, deadlines, self.dispatch)
        self._executor = AttemptExecutor(
            settings,
            transports,
            deadlines,
            counters,
            self.invariants,
            self.requests,
            self.registry,
            self.extensions,
            self.dispatch,
        )
        self._pacer = ArrivalPacer()
        self._nursery: trio.Nursery | None = None

    @property
    def live(self) -> dict[int, LiveRequest]:
        """The requests in progress, by number."""
        return self.requests.live

    @property
    def engines(self) -> dict[str, Engine]:
        """The listed engines, by id."""
        return self.registry.engines

    @property
    def open_count(self) -> int:
        """How many requests still wait for their answer."""
        return sum(1 for _ in self.requests.unanswered())

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the nursery of all requests' tasks, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._pacer.run)
            task_status.started()
            await trio.sleep_forever()

    def tenant_index(self, team: str) -> int | None:
        """Return a team's number; None for one that is not known. Without teams, all requests are of one."""
        return self.tenants.get(team) if self.tenants else 0

    def is_in_progress(self, transaction_id: str) -> bool:
        """Whether a request under this id is being worked on."""
        return self.requests.is_in_progress(transaction_id)

    def submit(self, query: Query, reply: Reply) -> LiveRequest:
        """Take a request in; its reply gets exactly one final answer, unless the client leaves."""
        assert self._nursery is not None, "the coordinator is not running"
        spec = self.settings.classes[query.class_index]
        live = self.requests.add(query, reply, spec, self.deadlines.clock())
        self._nursery.start_soon(self._run_guarded, live)
        return live

    def client_disconnected(self, live: LiveRequest) -> None:
        """The client has stopped waiting: no answer is sent any more."""
        if live.finished:
            return
        self.counters.add("client.disconnected")
        log.debug("request.abandoned", txn=live.query.transaction_id, engine=live.engine)
        live.abandon()
        queue = self.extensions.admission_queue
        if queue is None or not queue.remove(live):
            self.dispatch(ClientDisconnected(live.id))

    def withdraw_all(self) -> None:
        """The program ends: the decision module answers every request that is still open, or comes yet."""
        self.withdrawn = True
        self._pacer.release_all()
        queue = self.extensions.admission_queue
        for live in list(self.requests.unanswered()):
            if queue is None or not queue.withdraw(live):
                self.dispatch(RequestWithdrawn(live.id))

    def dispatch(self, event: Event) -> None:
        """Hand the decision module an event and carry out the actions that it answers, in order."""
        now_ms = self.deadlines.clock()
        for action in self.gateway.handle(now_ms, event):
            self._actions.carry_out(action, now_ms)
        self.on_change()

    def arrival_event(self, live: LiveRequest) -> RequestArrived:
        """Return a request as the decision module is told of it now, with the time that it has left."""
        query = live.query
        return RequestArrived(
            live.id,
            query.class_index,
            live.deadline_ms - self.deadlines.clock(),
            query.tenant_index,
            query.cost_ms,
            query.memory_mb,
            query.table_group,
        )

    def update_engines(self, kind: ListUpdateKind, engines: Iterable[Engine]) -> None:
        """Apply an update of the engine list, and pass it to the decision module."""
        updated = self.registry.update(kind, engines)
        if (watch := self.extensions.zone_watch) is not None:
            watch.engines_updated()
        self.counters.add("engine_list.updates")
        self.dispatch(EngineListChanged(kind, tuple(engine.notified_entry for engine in updated)))

    def engine_unreachable(self, address: str, after_ms: float) -> None:
        """A connection to an address has not come up for long: the process there next may be a new one.

        Reported as a failed health check, though none was made: the decision module counts it as silence, and
        the engine as started anew.
        """
        for name in self.registry.at_address(address):
            self.dispatch(HealthCheckEnded(name, Status.CONNECT_FAILED, after_ms))

    def set_cordoned(self, name: str, cordoned: bool) -> None:
        """Send an engine nothing new, or again; what runs there goes on, and its reports are heeded."""
        if (engine := self.registry.set_cordoned(name, cordoned)) is not None:
            self.dispatch(EngineListChanged(ListUpdateKind.DELTA, (engine.notified_entry,)))

    def set_concurrency_limit(self, class_index: int, threads: int | None) -> None:
        """Bound the threads that a class may have in flight; None lifts the bound."""
        self.dispatch(ConcurrencyLimitSet(class_index, threads))

    async def _run_guarded(self, live: LiveRequest) -> None:
        """Keep a fault in one request from taking down the others: it becomes a failed answer."""
        try:
            await self._run(live)
        except Exception:
            log.exception("request.internal_error", txn=live.query.transaction_id, engine=live.engine)
            self.requests.fail(live, "internal error")
            self._write_off(live)
        finally:
            if not (live.finished or trio.current_effective_deadline() == -math.inf):
                self.requests.fail_unanswered(live)
            self.requests.remove(live)
            if (watch := self.extensions.zone_watch) is not None:
                watch.attempt_ended(live.id)
            if (queue := self.extensions.admission_queue) is not None:
                queue.request_finished(live)

    async def _run(self, live: LiveRequest) -> None:
        """One request from its arrival to its single final answer."""
        new_client = live.query.from_new_client
        if not (live.finished or self.withdrawn or self._pacer.pass_now(new_client=new_client)):
            with self.deadlines.limit(live.deadline_ms):  # past it, it is answered at once
                await self._pacer.wait(new_client=new_client)
        if live.finished:  # withdrawn before its turn came: the decision module must not plan for it
            return
        queue = self.extensions.admission_queue
        if queue is None or self.withdrawn:
            self.dispatch(self.arrival_event(live))
        else:
            await queue.wait(live)
        if self.withdrawn:
            self.dispatch(RequestWithdrawn(live.id))
        while (send := await live.next_send()) is not None:
            self.dispatch(await self._executor.execute(live, send))

    def _write_off(self, live: LiveRequest) -> None:
        """Tell the decision module that nothing is in flight; else it would count the threads for good."""
        number = live.attempt_count - 1
        try:
            self.dispatch(ClientDisconnected(live.id))
            self.dispatch(AttemptEnded(live.id, number, live.engine, Status.ERROR, 0.0, request_over=True))
        except Exception:
            log.exception("decisions.internal_error", txn=live.query.transaction_id)

    def _start_task(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(function, *args)
