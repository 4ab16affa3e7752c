"""The life of a request between the decision module, a front and an engine transport."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from functools import partial

import trio

from fordstair.core.extensions import AttemptWatch, RequestQueue
from fordstair.core.invariants import Invariant, Invariants
from fordstair.core.live_request import AttemptOutcome, LiveRequest
from fordstair.core.ports import AttemptFailedError, AttemptRequest, Call, Engine, Query, Reply, Transport
from fordstair.core.send_guard import Denial, SendGuard
from fordstair.decisions.actions import (
    CancelAttempt,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SetQueryResources,
    StartTimer,
)
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind
from fordstair.decisions.events import (
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    ConcurrencyLimitSet,
    EngineListChanged,
    Event,
    HealthCheckEnded,
    RequestArrived,
    RequestWithdrawn,
    Status,
    TimerFired,
)
from fordstair.decisions.gateway import Gateway
from fordstair.decisions.settings import Settings
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

# A client counts its limit from its send, which happened before the request was read here, and the
# answer has a way to go as well: what both take, with a busy turn of this program, comes off the limit.
TRANSIT_MS = 15.0
LARGEST_RESULT = 1024 * 1024


def _nobody() -> None:
    """Nobody looks on."""


class Coordinator:
    """Feeds the module with events and carries out its actions."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        transports: Mapping[str, Transport],
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        self.settings, self.transports = settings, transports
        self.deadlines, self.counters, self.invariants = deadlines, counters, Invariants(counters)
        self.gateway = Gateway(settings, seed)
        self.engines: dict[str, Engine] = {}
        self.live: dict[int, LiveRequest] = {}
        self._txns: set[str] = set()
        self.classes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self.draining = False
        self.closed = False  # what still comes is answered, and nothing of it sent on
        self.cordoned: set[str] = set()  # ids of engines that an operator has set aside, listed or not
        self.rejections: Counter[tuple[str, str]] = Counter()  # by class and the module's reason
        self.on_change: Callable[[], None] = _nobody  # called at each transition, for those who look on
        self.admission_queue: RequestQueue | None = None
        self.zone_watch: AttemptWatch | None = None
        self._last_id = 0
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Hold the tasks of all requests, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def submit(self, query: Query, reply: Reply) -> LiveRequest:
        """Take a request in; its reply gets exactly one final answer, unless the client leaves."""
        assert self._nursery is not None, "the coordinator is not running"
        self._last_id += 1
        now = self.deadlines.clock()
        spec = self.settings.classes[query.class_index]
        left_ms = max(0.0, query.timeout_ms - TRANSIT_MS - query.read_delay_ms)
        live = LiveRequest(
            self._last_id,
            query,
            reply,
            now,
            now + left_ms,
            SendGuard(spec.idempotency, spec.deduplication_window_ms),
        )
        self.live[live.id] = live
        self._txns.add(query.transaction_id.lower())
        self.counters.add(f"taken.{query.class_name}")
        self._nursery.start_soon(self._guarded, live)
        return live

    def tenant_index(self, team: str) -> int | None:
        """Return a team's number; None for one that is not known. Where there are no teams all are one."""
        return self.tenants.get(team) if self.tenants else 0

    def is_in_progress(self, txn: str) -> bool:
        """Whether a request under this id is being worked on."""
        return txn.lower() in self._txns

    def client_disconnected(self, live: LiveRequest) -> None:
        """The client has stopped waiting: no answer is owed."""
        if not live.finished:
            self.counters.add("client.left")
            live.abandon()
            if self.admission_queue is None or not self.admission_queue.remove(live):
                self.dispatch(ClientDisconnected(live.id))

    @property
    def open_count(self) -> int:
        """How many requests still wait for their answer."""
        return sum(not live.finished for live in self.live.values())

    def withdraw_all(self) -> None:
        """The program ends: the module gives its word on every request that is still open, or comes yet."""
        self.closed = True
        for live in [live for live in self.live.values() if not live.finished]:
            if self.admission_queue is None or not self.admission_queue.withdraw(live):
                self.dispatch(RequestWithdrawn(live.id))

    async def _guarded(self, live: LiveRequest) -> None:
        """Keep a fault in one request from taking down the others: it becomes a failed answer."""
        try:
            await self.serve(live)
        except Exception:
            log.exception("request.broke", txn=live.query.transaction_id, engine=live.engine)
            self.answer(live, "failed", partial(live.reply.failed, "internal error"))
            self._write_off(live)
        finally:
            if not (live.finished or trio.current_effective_deadline() == -math.inf):
                self.invariants.violated(
                    Invariant.EVERY_ANSWER, txn=live.query.transaction_id, attempts=live.attempt_count
                )
                self.answer(live, "failed", partial(live.reply.failed, "internal error"))
            self.live.pop(live.id, None)
            self._txns.discard(live.query.transaction_id.lower())
            if self.zone_watch is not None:
                self.zone_watch.attempt_ended(live.id)
            if self.admission_queue is not None:
                self.admission_queue.request_finished(live)

    def _write_off(self, live: LiveRequest) -> None:
        """Tell the module that nothing is out; else it would count the attempt's threads for good."""
        try:
            self.dispatch(ClientDisconnected(live.id))
            self.dispatch(
                AttemptEnded(live.id, live.attempt_count - 1, live.engine, Status.ERROR, 0.0, complete=True)
            )
        except Exception:
            log.exception("module.broke", txn=live.query.transaction_id)

    async def serve(self, live: LiveRequest) -> None:
        """One request from its arrival to its single final answer."""
        if live.finished:  # withdrawn before its turn came: the module must not plan for it
            return
        if self.admission_queue is None or self.closed:
            self.dispatch(self.arrival_event(live))
        else:
            await self.admission_queue.wait(live)
        if self.closed:
            self.dispatch(RequestWithdrawn(live.id))
        while (order := await live.next_send()) is not None:
            self.dispatch(await self._attempt(live, order))

    async def _attempt(self, live: LiveRequest, order: SendAttempt) -> AttemptEnded:
        """Carry one attempt out; return its end, of which the module must hear whatever it was."""
        number, live.attempt_count = live.attempt_count, live.attempt_count + 1
        live.engine, live.deprioritized = order.engine, False
        engine = self.engines.get(order.engine)
        denial = Denial.ENGINE_CLOSED if engine is None else self._denial(live, engine, order)
        if engine is None or denial is not None:
            # Its client left, or the engine went, before the order's turn came: nothing is sent, but the
            # module counts it as out until it is told of an end.
            self._held(live, order, denial or Denial.ENGINE_CLOSED)
            return AttemptEnded(live.id, number, order.engine, Status.MOOT, 0.0, complete=live.finished)
        self._note_sent(live, order, number)
        sent_ms = self.deadlines.clock()
        until_ms = live.deadline_ms
        if order.limit_ms > 0.0:
            until_ms = min(until_ms, sent_ms + order.limit_ms)
        call = live.call = self._call(live, engine, order, until_ms - sent_ms)
        outcome = AttemptOutcome()
        with self.deadlines.limit(until_ms) as live.attempt_scope:
            await self._follow(live, order, number, call, outcome)
        if live.attempt_scope.cancelled_caught and self.deadlines.clock() >= until_ms:
            outcome.status = Status.TIMEOUT
        if outcome.status is not Status.OK:  # what may still run must be given up before the next attempt
            outcome.may_still_run = not await call.abandon()
        live.send_guard.end(outcome.status, may_still_run=outcome.may_still_run)
        live.attempt_scope, live.call = None, None
        took_ms = self.deadlines.clock() - sent_ms
        self._note_end(live, order, number, outcome, took_ms)
        if outcome.status is Status.OK:
            self.answer(live, "served", partial(live.reply.served, outcome.pages))
        return AttemptEnded(
            live.id,
            number,
            order.engine,
            outcome.status,
            took_ms,
            complete=live.finished,
            report=outcome.load_report,
            may_still_run=outcome.may_still_run,
            late=outcome.may_connect_late,
        )

    def _call(self, live: LiveRequest, engine: Engine, order: SendAttempt, limit_ms: float) -> Call:
        # The transport asks the guard right before bytes go out: an engine may have begun to drain while a
        # connection came up, and the request may have been given up meanwhile.
        may_send = partial(self._may_send, live, engine, order)
        return self.transports[engine.protocol].call(
            AttemptRequest(live.query, engine, live.priority, limit_ms, may_send)
        )

    async def _follow(
        self, live: LiveRequest, order: SendAttempt, number: int, call: Call, outcome: AttemptOutcome
    ) -> None:
        """Ask for an attempt until it has ended, and put down how."""
        try:
            progress = await call.start()
            while progress.running:
                if self.zone_watch is not None:
                    self.zone_watch.engine_responded(live.id, order.engine)
                if progress.note is not None:
                    self.dispatch(AttemptNote(live.id, number, order.engine, *progress.note))
                progress = await call.poll()
            outcome.load_report, outcome.pages = progress.load_report, [progress.rows]
            while (rows := await call.next_page()) is not None:
                outcome.pages.append(rows)
                # a result without an end must not fill the memory
                if sum(map(len, outcome.pages)) > LARGEST_RESULT:
                    raise AttemptFailedError(Status.ERROR, "the result is too large")
            outcome.status = Status.OK  # only now: a page that is lost is an error that may have run
        except AttemptFailedError as failure:
            outcome.status, outcome.load_report, outcome.may_connect_late = (
                failure.status,
                failure.load_report,
                failure.may_connect_late,
            )
            outcome.reason = str(failure)
            if self.zone_watch is not None and not failure.reachable:
                self.zone_watch.connect_failed(order.engine)

    def _held(self, live: LiveRequest, order: SendAttempt, denial: Denial) -> None:
        """Count an attempt that was not begun; whoever ordered one that no rule allows has a fault."""
        self.counters.add(f"held.{denial.name.lower()}")
        if (rule := denial.violates) is None:
            return
        self.invariants.violated(
            rule, txn=live.query.transaction_id, engine=order.engine, attempt=live.attempt_count - 1
        )
        self.answer(live, "failed", partial(live.reply.failed, denial.value))

    def _note_sent(self, live: LiveRequest, order: SendAttempt, number: int) -> None:
        self.counters.add(f"sent.{live.query.class_name}")
        if self.zone_watch is not None:
            self.zone_watch.attempt_sent(live.id)
        if number:
            self.counters.add(f"repeated.{live.query.class_name}")
            log.info(
                "attempt.repeated",
                txn=live.query.transaction_id,
                class_name=live.query.class_name,
                attempt=number,
                engine=order.engine,
                left_ms=round(live.deadline_ms - self.deadlines.clock()),
            )

    def _note_end(
        self, live: LiveRequest, order: SendAttempt, number: int, outcome: AttemptOutcome, took_ms: float
    ) -> None:
        status = outcome.status
        live.used_thread_ms += took_ms * self.settings.classes[live.query.class_index].threads
        self.counters.add(f"outcome.{status.value}")
        if self.zone_watch is not None:
            self.zone_watch.attempt_ended(live.id)
            if status is Status.OK:
                self.zone_watch.engine_responded(live.id, order.engine)
        if status is not Status.OK:
            log.info(
                "attempt.ended",
                txn=live.query.transaction_id,
                class_name=live.query.class_name,
                attempt=number,
                engine=order.engine,
                status=status.value,
                not_run=status.proves_not_run,
                may_still_run=outcome.may_still_run,
                after_ms=round(took_ms),
                why=outcome.reason,
            )

    def arrival_event(self, live: LiveRequest) -> RequestArrived:
        """Return the request as the module is told it now, with the time that it has left."""
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

    def dispatch(self, event: Event) -> None:
        """Hand the module an event and carry out what it answers, in order."""
        now = self.deadlines.clock()
        for action in self.gateway.handle(now, event):
            match action:
                case SendAttempt(request):
                    if (live := self.live.get(request)) is not None:
                        live.pending_send = action
                        live.wakeup.set()
                case RejectRequest(request, later, reason):
                    if (live := self.live.get(request)) is not None:
                        self.reject(live, later, reason)
                case FailRequest(request, reason):
                    if (live := self.live.get(request)) is not None:
                        log.info(
                            "request.failed",
                            txn=live.query.transaction_id,
                            class_name=live.query.class_name,
                            why=reason,
                            attempts=live.attempt_count,
                        )
                        self.answer(live, "failed", partial(live.reply.failed, reason or "given up"))
                case CancelAttempt(request, attempt):
                    live = self.live.get(request)
                    if (
                        live is not None
                        and live.attempt_scope is not None
                        and live.attempt_count == attempt + 1
                    ):
                        live.attempt_scope.cancel()
                case SetQueryResources(request, _, priority):
                    self._set_priority(request, priority)
                case StartTimer(token, delay):
                    self.deadlines.add(now + delay, partial(self.dispatch, TimerFired(token)))
                case LogMessage(text):
                    log.info("module.says", text=text)
                case _:  # this deployment knows neither probes nor peers, and its register pushes
                    log.warning("module.asks_in_vain", action=action)
        self.on_change()

    def update_engines(self, kind: ListUpdateKind, engines: Iterable[Engine]) -> None:
        """Take news of the register in, and pass it to the module."""
        listed = list(engines)
        if kind is not ListUpdateKind.DELTA:
            for gone in self.engines.keys() - {engine.entry.engine for engine in listed}:
                self._retire(self.engines.pop(gone))
        for engine in listed:
            engine.cordoned = engine.entry.engine in self.cordoned
            old = self.engines.get(engine.entry.engine)
            if old is not None and (old.address, old.entry.started_ms) == (
                engine.address,
                engine.entry.started_ms,
            ):
                old.entry = engine.entry
            else:
                if old is not None:
                    self._retire(old)
                self._forget(engine)
                self.engines[engine.entry.engine] = engine
            if engine.entry.state is EngineState.GONE:
                self._retire(self.engines.pop(engine.entry.engine))
        if self.zone_watch is not None:
            self.zone_watch.engines_updated()
        self.counters.add("members.events")
        # As they are kept here: one that is listed again may stand in a hall that is avoided.
        known = (self.engines.get(engine.entry.engine, engine) for engine in listed)
        self.dispatch(EngineListChanged(kind, tuple(engine.notified_entry for engine in known)))

    def engine_unreachable(self, address: str, after_ms: float) -> None:
        """A connection there has not come up for long: what answers there next may have started anew."""
        for name in [name for name, engine in self.engines.items() if engine.address == address]:
            self.dispatch(HealthCheckEnded(name, Status.CONNECT_FAILED, after_ms))

    def set_cordoned(self, name: str, cordoned: bool) -> None:
        """Send an engine nothing new, or again; what runs there goes on, and its word is heeded as before."""
        (self.cordoned.add if cordoned else self.cordoned.discard)(name)
        if (engine := self.engines.get(name)) is not None:
            engine.cordoned = cordoned
            self.dispatch(EngineListChanged(ListUpdateKind.DELTA, (engine.notified_entry,)))

    def set_concurrency_limit(self, class_index: int, threads: int | None) -> None:
        """Bound the threads that a class may have out; None lifts the bound."""
        self.dispatch(ConcurrencyLimitSet(class_index, threads))

    async def _may_send(self, live: LiveRequest, engine: Engine, order: SendAttempt) -> bool:
        """Whether bytes may go out now; nothing runs between the look and them."""
        await live.reply.drain_input()
        if (denial := self._denial(live, engine, order)) is not None:
            self._held(live, order, denial)
            return False
        live.send_guard.begin(self.deadlines.clock())
        return True

    def _denial(self, live: LiveRequest, engine: Engine, order: SendAttempt) -> Denial | None:
        """Return why an attempt must not begin now; None where it may."""
        if live.finished:
            return Denial.REQUEST_OVER
        if not engine.ready or self.engines.get(engine.entry.engine) is not engine:
            return Denial.ENGINE_CLOSED
        now = self.deadlines.clock()
        return Denial.WINDOW_OVER if now > order.begin_by else live.send_guard.denial(now)

    def _retire(self, engine: Engine) -> None:
        """No POST meant for this process may reach another that took its address."""
        entry = engine.entry
        engine.entry = EngineEntry(
            entry.engine, EngineState.GONE, entry.zone, entry.cell, entry.kind, entry.started_ms, entry.weight
        )
        self._forget(engine)

    def _forget(self, engine: Engine) -> None:
        """What is open at its address, for whichever engine that was opened, leads to a process before it."""
        for transport in self.transports.values():
            transport.forget(engine)

    def reject(self, live: LiveRequest, later_ms: float, reason: str) -> None:
        """Give the final answer that a retry is harmless, and count why."""
        self.rejections[live.query.class_name, reason] += not live.finished
        log.debug(
            "request.refused",
            txn=live.query.transaction_id,
            class_name=live.query.class_name,
            why=reason,
            attempts=live.attempt_count,
        )
        self.answer(live, "refused", partial(live.reply.rejected, later_ms))

    def answer(self, live: LiveRequest, how: str, answer: Callable[[], None]) -> None:
        """Give the one final answer, at once; a second one is never given."""
        if live.finished:
            return
        self.counters.add(f"answered.{how}.{live.query.class_name}")
        answer()
        live.finished = True
        live.wakeup.set()

    def _set_priority(self, request: int, priority: int) -> None:
        if (live := self.live.get(request)) is None or live.priority == priority:
            return
        live.priority = priority
        if not live.deprioritized:
            self._pass_on(live, priority)

    def set_deprioritized(self, live: LiveRequest, lowered: bool) -> None:
        """Lower what runs, or give it its own priority again; it is never stopped."""
        live.deprioritized = lowered
        self._pass_on(live, 0 if lowered else live.priority)
        self.counters.add("priority.lowered" if lowered else "priority.raised")

    def _pass_on(self, live: LiveRequest, priority: int) -> None:
        if live.call is not None and self._nursery is not None:
            self._nursery.start_soon(self._send_priority, live.call, priority)

    async def _send_priority(self, call: Call, priority: int) -> None:
        """Pass a priority on; a fault in that must not take down the requests."""
        try:
            await call.set_priority(priority)
        except Exception:
            log.exception("priority.broke")
