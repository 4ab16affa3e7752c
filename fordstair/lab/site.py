"""A site in virtual time: several coordinators, each the real core with queues and module, before engines.

What ``virtual.World`` plays with one decision module, this plays with the program's own ``Coordinator``,
``AdmissionQueue`` and, where a plan is given, the fleet's budgets on a network with faults. Only fronts and
engine transports are replaced, at their ports. To be run by ``clockwork.run_in_virtual_time``; deterministic
by seed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

import trio

from fordstair.budgets.local_limits import LocalLimits
from fordstair.budgets.plan import BudgetPlan
from fordstair.core.admission_queue import AdmissionQueue
from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import AttemptRequest, Engine, Query
from fordstair.core.zone_watch import ZoneWatch
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.decisions.settings import Settings
from fordstair.lab.billing_close import Arrival
from fordstair.lab.budget_fleet import BudgetFleet
from fordstair.lab.clockwork import now_ms
from fordstair.lab.modelled_call import ModelledCall
from fordstair.lab.modelled_engine import ModelledEngine
from fordstair.lab.played_request import PlayedRequest
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.scheduling.fair_queues import QueuedRequest
from fordstair.scheduling.scheduler import Admission, ArrivingRequest, Capacity, Scheduler

SAMPLE_MS = 10.0  # between two steps of the fleet's network, and two samples of the threads held
LAST_ANSWERS_S = 40.0  # a play waits so long for the last answers
ANSWER_POLL_S = 0.1
MEMORY_MB = 16.0  # that each request estimates


class RecordingReply:
    """Records the answer of one request; the ``Reply`` of ports.py."""

    def __init__(self, record: PlayedRequest, sent_ms: float) -> None:
        self.record = record
        self.sent_ms = sent_ms

    async def drain_input(self) -> None:
        """Return at once: a modelled client sends nothing after its request."""
        await trio.lowlevel.checkpoint()

    def served(self, pages: Sequence[bytes]) -> None:
        """PlayedRequest that it was served."""
        self._answered("served", "")

    def rejected(self, retry_after_ms: float) -> None:
        """PlayedRequest that it was rejected, with its Retry-After."""
        self._answered("refused", f"later {retry_after_ms:.0f}")

    def failed(self, reason: str) -> None:
        """PlayedRequest that it failed."""
        self._answered("failed", reason)

    def _answered(self, how: str, reason: str) -> None:
        assert not self.record.how, "a second final answer"
        self.record.how = how
        self.record.reason = reason
        self.record.answered_ms = now_ms() - self.sent_ms


class RecordingScheduler(Scheduler):
    """Records what each request was told of its wait, and how long that was."""

    records: dict[int, PlayedRequest]

    def admit(self, told: ArrivingRequest, now_ms: float) -> Admission:
        """As the scheduler does."""
        admission = super().admit(told, now_ms)
        if admission.rejection is None and (record := self.records.get(told.id)) is not None:
            record.likely_ms = admission.wait.likely_ms
            record.at_most_ms = admission.wait.at_most_ms
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


class ModelledCoordinator:
    """One real coordinator with its modelled clients and engine transport."""

    def __init__(self, site: Site, name: str, seed: int) -> None:
        self.site = site
        self.name = name
        self.random = Random(seed)
        self.settings: Settings = site.settings
        self.deadlines = Deadlines(now_ms)
        self.coordinator = Coordinator(site.settings, seed, {"rest": self}, self.deadlines, Counters())
        self.records: dict[int, PlayedRequest] = {}  # by the coordinator's id, of those it has taken in
        self.work_ms: dict[str, float] = {}  # by the client's id: the true work of each query
        self.admission_queue: AdmissionQueue | None = None
        if site.eject_silent_zones:
            self.coordinator.extensions.zone_watch = ZoneWatch(self.coordinator)
        if site.queueing is not None:
            queueing = site.queueing
            scheduler = RecordingScheduler(
                dict(queueing.shares), 1.0, burst_ms=queueing.burst_ms, debt_ms=queueing.debt_ms
            )
            scheduler.records = self.records
            self.admission_queue = AdmissionQueue(
                self.coordinator, scheduler, queueing.threads_a_core, seed=seed
            )
            self.coordinator.extensions.admission_queue = self.admission_queue

    def join(self, fleet: BudgetFleet) -> LocalLimits:
        """Take part in the fleet's budgets, as the program does where the operator's file says so."""
        queue = self.admission_queue
        settings = self.settings
        assert queue is not None, "budgets of a fleet need queues"
        queue.local_limits = LocalLimits(
            fleet.plan.limits,
            [each.name for each in settings.tenants],
            [each.name for each in settings.classes],
            lambda now: fleet.allotment_of(self.name),
            fleet.plan.request_interval_ms,
        )
        return queue.local_limits

    def call(self, attempt_request: AttemptRequest) -> ModelledCall:
        """Prepare one attempt; the ``Transport`` of ports.py."""
        engine = self.site.engines.get(attempt_request.engine.entry.engine)
        return ModelledCall(engine, attempt_request, self.settings, self.work_ms, self.random)

    def close_connections(self, engine: Engine) -> None:
        """Do nothing: a modelled transport keeps no connections."""

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deadlines.run)
            await nursery.start(self.coordinator.run)
            self.coordinator.update_engines(
                ListUpdateKind.FULL,
                [Engine(engine.entry, name) for name, engine in self.site.engines.items()],
            )
            await trio.sleep_forever()

    def send(self, arrival: Arrival, record: PlayedRequest) -> None:
        """Let a client send its request now; record what becomes of it."""
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
                arrival.estimate_ms,
                MEMORY_MB,
            ),
            RecordingReply(record, now_ms()),
        )
        self.records[live.id] = record


class Site:
    """Engines and coordinators, by name; ``plan`` gives them budgets of the whole fleet."""

    def __init__(
        self,
        settings: Settings,
        engines: Iterable[ModelledEngine],
        coordinators: int,
        seed: int,
        queueing: Queueing | None = None,
        plan: BudgetPlan | None = None,
        *,
        eject_silent_zones: bool = False,
    ) -> None:
        self.settings = settings
        self.queueing = queueing
        self.seed = seed
        self.eject_silent_zones = eject_silent_zones
        self.engines = {engine.entry.engine: engine for engine in engines}
        self.coordinators = [
            ModelledCoordinator(self, f"m{number}", seed * 1_009 + number) for number in range(coordinators)
        ]
        self.fleet: BudgetFleet | None = None
        if plan is not None:
            fleet = BudgetFleet(plan, coordinators, seed, skewed=True)
            self.fleet = fleet
            limits = {coordinator.name: coordinator.join(fleet) for coordinator in self.coordinators}
            fleet.wanted = lambda name: limits[name].wanted(now_ms())
            fleet.needed = lambda name: limits[name].needed()
            fleet.in_use = lambda name: limits[name].in_use()
        self.held = list[tuple[float, dict[int, int]]]()  # threads at engines by team, each SAMPLE_MS

    async def play(
        self,
        traffic: Sequence[Iterable[Arrival]],
        warm_ms: float = 0.0,
        script: Callable[[Site], object] = lambda site: None,
    ) -> list[list[PlayedRequest]]:
        """Send each coordinator its traffic, after ``warm_ms``; return what became of it, by coordinator."""
        records: list[list[PlayedRequest]] = [[] for _ in self.coordinators]
        async with trio.open_nursery() as nursery:
            for engine in self.engines.values():
                nursery.start_soon(engine.run)
            for coordinator in self.coordinators:
                nursery.start_soon(coordinator.run)
            nursery.start_soon(self._sample)
            await trio.sleep(warm_ms / 1e3)
            self.began_ms = now_ms()
            script(self)
            async with trio.open_nursery() as clients:
                for coordinator, arrivals, mine in zip(self.coordinators, traffic, records, strict=True):
                    clients.start_soon(partial(self._send, coordinator, arrivals, mine))
            with trio.move_on_after(LAST_ANSWERS_S):
                while any(not record.how for mine in records for record in mine):
                    await trio.sleep(ANSWER_POLL_S)
            nursery.cancel_scope.cancel()
        return records

    def announce(
        self, kind: ListUpdateKind, names: Iterable[str], late_ms: tuple[float, float] = (0.0, 0.0)
    ) -> None:
        """Let discovery announce engines as they are to all coordinators, each after a delay of its own."""
        entries = [self.engines[name].entry for name in names]
        for coordinator in self.coordinators:

            def deliver(coordinator: ModelledCoordinator = coordinator) -> None:
                coordinator.coordinator.update_engines(
                    kind, [Engine(entry, entry.engine) for entry in entries]
                )

            coordinator.deadlines.add(now_ms() + coordinator.random.uniform(*late_ms), deliver)

    def at(self, ms: float, do: Callable[[], object]) -> None:
        """Do something that long after the traffic has begun."""
        self.coordinators[0].deadlines.add(self.began_ms + ms, do)

    async def _send(
        self, coordinator: ModelledCoordinator, arrivals: Iterable[Arrival], records: list[PlayedRequest]
    ) -> None:
        classes = {spec.name: number for number, spec in enumerate(self.settings.classes)}
        teams = {tenant.name: number for number, tenant in enumerate(self.settings.tenants)}
        for arrival in arrivals:
            await trio.sleep(max(0.0, self.began_ms + arrival.at_ms - now_ms()) / 1e3)
            records.append(PlayedRequest(arrival, teams[arrival.team], classes[arrival.class_name]))
            coordinator.send(arrival, records[-1])

    async def _sample(self) -> None:
        while True:
            if self.fleet is not None:
                self.fleet.run(SAMPLE_MS)
            held = dict[int, int]()
            for engine in self.engines.values():
                for run in engine.runs.values():
                    held[run.team] = held.get(run.team, 0) + run.threads
            self.held.append((now_ms(), held))
            await trio.sleep(SAMPLE_MS / 1e3)
