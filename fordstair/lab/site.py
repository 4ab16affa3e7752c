"""A site in virtual time: several coordinators, each the real core with queues and module, before engines.

What ``virtual.World`` plays with one decision module, this plays with the program's own ``Coordinator``,
``AdmissionQueue`` and, where a plan is given, the fleet's budgets on a network with faults. Only fronts and
engine transports are replaced, at their ports. To be run by ``clockwork.play``; deterministic by seed.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

import trio

from fordstair.budgets.local_limits import LocalLimits
from fordstair.budgets.plan import BudgetPlan
from fordstair.core.admission_queue import AdmissionQueue
from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import AttemptFailedError, AttemptRequest, Engine, Query, QueryProgress
from fordstair.core.zone_watch import ZoneWatch
from fordstair.decisions.engine_list import EngineEntry, ListUpdateKind
from fordstair.decisions.events import NoteKind, Status
from fordstair.decisions.settings import Settings
from fordstair.lab.billing_close import Arrival
from fordstair.lab.budget_fleet import BudgetFleet
from fordstair.lab.clockwork import now_ms
from fordstair.lab.machine import Job, Machine
from fordstair.lab.virtual import Record
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.scheduling.fair_queues import QueuedRequest
from fordstair.scheduling.scheduler import Admission, ArrivingRequest, Capacity, Scheduler

NEWS_MS, NOTE_MS, REPORT_MS, UNASKED_MS = 250.0, 500.0, 250.0, 2_000.0
CONNECT_MS, DROP_MS, AGAIN_MS = 250.0, 300.0, 20.0  # until a connect, a DELETE is given up; between asks
WAY_MS = (0.3, 1.5)  # one way between a coordinator and an engine
LOOK_MS = 10.0  # between two looks at the fleet's network
UNANSWERED_S = 40.0  # a play waits so long for the last answers


@dataclass(slots=True)
class Run:
    """One query at an engine."""

    txn: str
    team: int
    threads: int
    asked_ms: float
    is_load: bool = False
    over: trio.Event = field(default_factory=trio.Event)
    served: bool = False
    noted_ms: float = 0.0


class Server:
    """One modelled engine."""

    def __init__(self, name: str, machine: Machine, zone: int = 0, sessions: int = 256) -> None:
        self.entry, self.machine, self.sessions = EngineEntry(name, zone=zone), machine, sessions
        self.silent = False  # no reset, no answer: what runs goes on, and nobody hears of it
        self.runs: dict[str, Run] = {}
        self.loads = Counter[str]()  # how often each load was begun here
        self.came = list[tuple[float, float]]()  # when work came, and how much, in thread-milliseconds
        self._report, self._report_ms = dict[str, float](), -math.inf
        self._woken = trio.Event()

    async def run(self) -> None:
        """End what has ended, and what nobody asks for, until cancelled."""
        self.machine.now_ms = now_ms()
        while True:
            now = now_ms()
            self._advance(now)
            for run in [run for run in self.runs.values() if now - run.asked_ms > UNASKED_MS]:
                self.end(run, served=False)
            self._woken = trio.Event()
            with trio.move_on_after(min(500.0, max(0.0, self.machine.next_end() - now) + 0.01) / 1e3):
                await self._woken.wait()

    def begin(self, run: Run, work_ms: float, priority: int) -> None:
        """Start a query; raise AttemptFailedError where there is no room."""
        if len(self.runs) >= self.sessions:
            raise AttemptFailedError(Status.FULL, "no room")
        self._advance(now_ms())
        if run.is_load:
            self.loads[run.txn] += 1
        self.came.append((now_ms(), work_ms))
        self.runs[run.txn] = run
        self.machine.start(Job(run.txn, max(0.001, work_ms), run.threads, priority), now_ms())
        self._woken.set()

    def end(self, run: Run, *, served: bool) -> None:
        """A query has ended, or was given up."""
        if self.runs.pop(run.txn, None) is not None:
            self._advance(now_ms())
            self.machine.jobs.pop(run.txn, None)
            run.served = served
            run.over.set()
            self._woken.set()

    def come_back_cold(self) -> None:
        """A new process at the same place, which knows nothing of what ran."""
        self.silent = False
        for run in list(self.runs.values()):
            self.end(run, served=False)
        self.machine.restart(now_ms())
        self.entry = replace(self.entry, started_ms=now_ms())

    def set_priority(self, run: Run, priority: int) -> None:
        """Give a query that runs another priority."""
        self._advance(now_ms())
        if (job := self.machine.jobs.get(run.txn)) is not None:
            job.priority = priority
            self._woken.set()

    def report(self) -> dict[str, float]:
        """Return the load report as it stood up to REPORT_MS ago."""
        now = now_ms()
        if now - self._report_ms >= REPORT_MS:
            self._report, self._report_ms = (
                {"util": round(self.machine.util, 2), "inflight": float(len(self.runs))},
                now,
            )
        return self._report

    def _advance(self, now: float) -> None:
        for job in self.machine.advance(now):
            if (run := self.runs.pop(job.id, None)) is not None:
                run.served = True
                run.over.set()


class Attempt:
    """One attempt over the way between one coordinator and one engine; the ``Call`` of ports.py."""

    def __init__(self, desk: Desk, server: Server | None, attempt_request: AttemptRequest) -> None:
        self.desk, self.server, self.attempt_request = desk, server, attempt_request
        self.ran: Run | None = None

    async def start(self) -> QueryProgress:
        """Send the query."""
        if self.server is None:
            raise AttemptFailedError(Status.CONNECT_FAILED, "refused")
        if self.server.silent:
            await trio.sleep(CONNECT_MS / 1e3)
            raise AttemptFailedError(Status.CONNECT_FAILED, "nothing came up", reachable=False)
        await self._way()
        if not await self.attempt_request.may_send():
            raise AttemptFailedError(Status.MOOT, "the engine takes nothing new")
        query = self.attempt_request.query
        spec = self.desk.settings.classes[query.class_index]
        run = Run(query.transaction_id, query.tenant_index, spec.threads, now_ms(), spec.is_load)
        self.server.begin(run, self.desk.work_ms[query.transaction_id], self.attempt_request.priority)
        self.ran = run
        return await self.poll()

    async def poll(self) -> QueryProgress:
        """Ask how it stands, as the platform's transport does: each question is answered within NEWS_MS."""
        run, server = self.ran, self.server
        assert run is not None
        assert server is not None
        run.asked_ms = now_ms()
        with trio.move_on_after(NEWS_MS / 1e3):
            await run.over.wait()
        while server.silent:  # asked again and again, until the attempt is given up
            await trio.sleep(AGAIN_MS / 1e3)
        run.asked_ms = now_ms()
        await self._way()
        report = tuple(server.report().get(name, 0.0) for name in self.desk.settings.load_report_fields)
        if run.over.is_set():
            if run.served:
                return QueryProgress(False, b"1\n", None, report)
            raise AttemptFailedError(Status.ERROR, "given up", report)
        note = None
        if now_ms() - run.noted_ms >= NOTE_MS and (job := server.machine.jobs.get(run.txn)) is not None:
            run.noted_ms = now_ms()
            note = NoteKind.PROGRESS, job.share_done
        return QueryProgress(True, b"", note, report)

    async def next_page(self) -> bytes | None:
        """All is on the first page."""
        return None

    async def abandon(self) -> bool:
        """Give the query up."""
        if self.ran is not None and self.server is not None and not self.ran.over.is_set():
            with trio.CancelScope(shield=True):
                if self.server.silent:
                    await trio.sleep(DROP_MS / 1e3)
                    return False
                await self._way()
                self.server.end(self.ran, served=False)
        return True

    async def set_priority(self, priority: int) -> None:
        """Tell a new priority."""
        await self._way()
        if self.ran is not None and self.server is not None:
            self.server.set_priority(self.ran, priority)

    async def _way(self) -> None:
        await trio.sleep(self.desk.random.uniform(*WAY_MS) / 1e3)


class Client:
    """Takes one request's answer down; the ``Reply`` of ports.py."""

    def __init__(self, record: Record, sent_ms: float) -> None:
        self.record, self.sent_ms = record, sent_ms

    async def drain_input(self) -> None:
        """It says nothing."""
        await trio.lowlevel.checkpoint()

    def served(self, pages: Sequence[bytes]) -> None:
        """Served."""
        self._answered("served", "")

    def rejected(self, retry_after_ms: float) -> None:
        """Refused; ``retry_after_ms`` is when to come again."""
        self._answered("refused", f"later {retry_after_ms:.0f}")

    def failed(self, reason: str) -> None:
        """Failed."""
        self._answered("failed", reason)

    def _answered(self, how: str, reason: str) -> None:
        assert not self.record.how, "a second final answer"
        self.record.how, self.record.reason = how, reason
        self.record.answered_ms = now_ms() - self.sent_ms


class Watched(Scheduler):
    """Notes in each request's record what it was told of its wait, and how long that was."""

    records: dict[int, Record]

    def admit(self, told: ArrivingRequest, now_ms: float) -> Admission:
        """As the scheduler does."""
        admission = super().admit(told, now_ms)
        if admission.rejection is None and (record := self.records.get(told.id)) is not None:
            record.likely_ms, record.at_most_ms = admission.wait.likely_ms, admission.wait.at_most_ms
        return admission

    def release(self, now_ms: float, room: Callable[[QueuedRequest], Capacity]) -> QueuedRequest | None:
        """As the scheduler does."""
        item = super().release(now_ms, room)
        if item is not None and (record := self.records.get(item.id)) is not None:
            record.released_ms = now_ms - item.arrived_ms
        return item


@dataclass(frozen=True, slots=True)
class Queueing:
    """How each coordinator's queues are set, as ``[budgets]`` of the operator's file is."""

    shares: dict[int, float]
    threads_a_core: float = 1.5
    burst_ms: float = 8_000.0
    debt_ms: float = 4_000.0


class Desk:
    """One coordinator with what it knows, its clients and its engines' wire."""

    def __init__(self, site: Site, name: str, seed: int) -> None:
        self.site, self.name, self.random = site, name, Random(seed)
        self.settings: Settings = site.settings
        self.deadlines = Deadlines(now_ms)
        self.coordinator = Coordinator(site.settings, seed, {"rest": self}, self.deadlines, Counters())
        self.records: dict[int, Record] = {}  # by the coordinator's id, of those it has taken in
        self.work_ms: dict[str, float] = {}  # by the client's id: the true work of each query
        self.admission_queue: AdmissionQueue | None = None
        if site.halls:
            self.coordinator.extensions.zone_watch = ZoneWatch(self.coordinator)
        if site.queueing is not None:
            told = site.queueing
            scheduler = Watched(dict(told.shares), 1.0, burst_ms=told.burst_ms, debt_ms=told.debt_ms)
            scheduler.records = self.records
            self.admission_queue = AdmissionQueue(self.coordinator, scheduler, told.threads_a_core, seed=seed)
            self.coordinator.extensions.admission_queue = self.admission_queue

    def share(self, fleet: BudgetFleet) -> LocalLimits:
        """Take part in the fleet's budgets, as the program does where the operator's file says so."""
        queue, settings = self.admission_queue, self.settings
        assert queue is not None, "budgets of a fleet need queues"
        queue.caps = LocalLimits(
            fleet.plan.limits,
            [each.name for each in settings.tenants],
            [each.name for each in settings.classes],
            lambda now: fleet.allotment_of(self.name),
            fleet.plan.request_interval_ms,
        )
        return queue.caps

    def call(self, attempt_request: AttemptRequest) -> Attempt:
        """Prepare one attempt; the ``Transport`` of ports.py."""
        return Attempt(self, self.site.servers.get(attempt_request.engine.entry.engine), attempt_request)

    def forget(self, engine: Engine) -> None:
        """No connection is kept."""

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deadlines.run)
            await nursery.start(self.coordinator.run)
            self.coordinator.update_engines(
                ListUpdateKind.FULL,
                [Engine(server.entry, name) for name, server in self.site.servers.items()],
            )
            await trio.sleep_forever()

    def take(self, arrival: Arrival, record: Record) -> None:
        """Let a client send its request now."""
        txn = f"{self.name}-{len(self.work_ms)}"
        self.work_ms[txn] = arrival.work_ms
        live = self.coordinator.submit(
            Query(
                txn,
                arrival.class_name,
                record.class_index,
                record.team,
                arrival.limit_ms,
                b"",
                float(arrival.group),
                arrival.told_ms,
                16.0,
            ),
            Client(record, now_ms()),
        )
        self.records[live.id] = record


class Site:
    """Engines and coordinators, by name; ``plan`` gives them budgets of the whole fleet."""

    def __init__(
        self,
        settings: Settings,
        servers: Iterable[Server],
        coordinators: int,
        seed: int,
        queueing: Queueing | None = None,
        plan: BudgetPlan | None = None,
        *,
        halls: bool = False,
    ) -> None:
        self.settings, self.queueing, self.seed, self.halls = settings, queueing, seed, halls
        self.servers = {server.entry.engine: server for server in servers}
        self.desks = [Desk(self, f"m{number}", seed * 1_009 + number) for number in range(coordinators)]
        self.fleet: BudgetFleet | None = None
        if plan is not None:
            self.fleet = fleet = BudgetFleet(plan, coordinators, seed, skewed=True)
            limits = {desk.name: desk.share(fleet) for desk in self.desks}
            fleet.wanted = lambda name: limits[name].wanted(now_ms())
            fleet.needed = lambda name: limits[name].needed()
            fleet.in_use = lambda name: limits[name].in_use()
        self.held = list[tuple[float, dict[int, int]]]()  # threads at engines by team, each LOOK_MS

    async def play(
        self,
        traffic: Sequence[Iterable[Arrival]],
        warm_ms: float = 0.0,
        script: Callable[[Site], object] = lambda site: None,
    ) -> list[list[Record]]:
        """Send each coordinator its traffic, after ``warm_ms``; return what became of it, by coordinator."""
        records: list[list[Record]] = [[] for _ in self.desks]
        async with trio.open_nursery() as nursery:
            for server in self.servers.values():
                nursery.start_soon(server.run)
            for desk in self.desks:
                nursery.start_soon(desk.run)
            nursery.start_soon(self._look)
            await trio.sleep(warm_ms / 1e3)
            self.began_ms = now_ms()
            script(self)
            async with trio.open_nursery() as clients:
                for desk, arrivals, mine in zip(self.desks, traffic, records, strict=True):
                    clients.start_soon(partial(self._send, desk, arrivals, mine))
            with trio.move_on_after(UNANSWERED_S):
                while any(not record.how for mine in records for record in mine):
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        return records

    def tell(
        self, kind: ListUpdateKind, names: Iterable[str], late_ms: tuple[float, float] = (0.0, 0.0)
    ) -> None:
        """Let the register tell all coordinators of engines as they are, each after a delay of its own."""
        told = [self.servers[name].entry for name in names]
        for desk in self.desks:

            def tell(desk: Desk = desk) -> None:
                desk.coordinator.update_engines(kind, [Engine(entry, entry.engine) for entry in told])

            desk.deadlines.add(now_ms() + desk.random.uniform(*late_ms), tell)

    def at(self, ms: float, do: Callable[[], object]) -> None:
        """Do something that long after the traffic has begun."""
        self.desks[0].deadlines.add(self.began_ms + ms, do)

    async def _send(self, desk: Desk, arrivals: Iterable[Arrival], records: list[Record]) -> None:
        classes = {spec.name: number for number, spec in enumerate(self.settings.classes)}
        teams = {tenant.name: number for number, tenant in enumerate(self.settings.tenants)}
        for arrival in arrivals:
            await trio.sleep(max(0.0, self.began_ms + arrival.at_ms - now_ms()) / 1e3)
            records.append(Record(arrival, teams[arrival.team], classes[arrival.class_name]))
            desk.take(arrival, records[-1])

    async def _look(self) -> None:
        while True:
            if self.fleet is not None:
                self.fleet.run(LOOK_MS)
            held = dict[int, int]()
            for server in self.servers.values():
                for run in server.runs.values():
                    held[run.team] = held.get(run.team, 0) + run.threads
            self.held.append((now_ms(), held))
            await trio.sleep(LOOK_MS / 1e3)
