"""A site in virtual time: several coordinators with the program's real core, and modelled engines.

``virtual.GatewaySimulation`` simulates a single decision module. Here each coordinator is the program's own
``Coordinator`` with an ``AdmissionQueue`` and, if a plan is given, the fleet's budgets on a network with
faults. Only fronts and engine transports are replaced, at their ports. It runs under
``clockwork.run_in_virtual_time`` and is deterministic by seed.
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

SAMPLE_INTERVAL_MS = 10.0  # step of the fleet's network, and sampling interval of held threads
LAST_ANSWERS_TIMEOUT_S = 40.0
ANSWER_POLL_INTERVAL_S = 0.1
MEMORY_ESTIMATE_MB = 16.0  # per request


class RecordingReply:
    """Implements ``Reply`` of ports.py and records the answer to one request."""

    def __init__(self, record: PlayedRequest, sent_ms: float) -> None:
        self.record = record
        self.sent_ms = sent_ms

    async def drain_input(self) -> None:
        """Do nothing but a checkpoint, since a modelled client sends nothing after its request."""
        await trio.lowlevel.checkpoint()

    def served(self, pages: Sequence[bytes]) -> None:
        """Record that the request was served."""
        self._record_answer("served", "")

    def rejected(self, retry_after_ms: float) -> None:
        """Record that the request was rejected, with its Retry-After."""
        self._record_answer("refused", f"later {retry_after_ms:.0f}")

    def failed(self, reason: str) -> None:
        """Record that the request failed."""
        self._record_answer("failed", reason)

    def _record_answer(self, outcome: str, reason: str) -> None:
        assert not self.record.outcome, "a request got a second final answer"
        self.record.outcome = outcome
        self.record.reason = reason
        self.record.answered_ms = now_ms() - self.sent_ms


class RecordingScheduler(Scheduler):
    """Records the estimated and the actual wait of each request.

    Attributes:
        records: records of the requests submitted so far, by the coordinator's request ID.
    """

    records: dict[int, PlayedRequest]

    def admit(self, arriving: ArrivingRequest, now_ms: float) -> Admission:
        """Admit as the scheduler does, and record the estimated wait."""
        admission = super().admit(arriving, now_ms)
        if admission.rejection is None and (record := self.records.get(arriving.id)) is not None:
            record.likely_ms = admission.wait.likely_ms
            record.at_most_ms = admission.wait.at_most_ms
        return admission

    def release(self, now_ms: float, room: Callable[[QueuedRequest], Capacity]) -> QueuedRequest | None:
        """Release as the scheduler does, and record the actual wait."""
        item = super().release(now_ms, room)
        if item is not None and (record := self.records.get(item.id)) is not None:
            record.released_ms = now_ms - item.arrived_ms
        return item


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Settings of each coordinator's queues, as in ``[budgets]`` of the operator's file."""

    shares: dict[int, float]
    threads_a_core: float = 1.5
    burst_ms: float = 8_000.0
    debt_ms: float = 4_000.0


class ModelledCoordinator:
    """A real coordinator with modelled clients, and the ``Transport`` of ports.py for its modelled engines.

    Attributes:
        records: records of the requests that the coordinator has accepted, by its request ID.
        work_ms: true work of each query, by the client's transaction ID.
    """

    def __init__(self, site: Site, name: str, seed: int) -> None:
        self.site = site
        self.name = name
        self.random = Random(seed)
        self.settings: Settings = site.settings
        self.deadlines = Deadlines(now_ms)
        self.coordinator = Coordinator(site.settings, seed, {"rest": self}, self.deadlines, Counters())
        self.records: dict[int, PlayedRequest] = {}
        self.work_ms: dict[str, float] = {}
        self.admission_queue: AdmissionQueue | None = None
        if site.eject_silent_zones:
            self.coordinator.extensions.zone_watch = ZoneWatch(self.coordinator)
        if site.queue_settings is not None:
            queue_settings = site.queue_settings
            scheduler = RecordingScheduler(
                dict(queue_settings.shares),
                1.0,
                burst_ms=queue_settings.burst_ms,
                debt_ms=queue_settings.debt_ms,
            )
            scheduler.records = self.records
            self.admission_queue = AdmissionQueue(
                self.coordinator, scheduler, queue_settings.threads_a_core, seed=seed
            )
            self.coordinator.extensions.admission_queue = self.admission_queue

    def join(self, fleet: BudgetFleet) -> LocalLimits:
        """Take part in the fleet's budgets, as the program does if the operator's file configures them."""
        queue = self.admission_queue
        settings = self.settings
        assert queue is not None, "the fleet's budgets need queues"
        queue.local_limits = LocalLimits(
            fleet.plan.limits,
            [tenant.name for tenant in settings.tenants],
            [spec.name for spec in settings.classes],
            lambda now: fleet.allotment_of(self.name),
            fleet.plan.request_interval_ms,
        )
        return queue.local_limits

    def call(self, attempt_request: AttemptRequest) -> ModelledCall:
        """Prepare one attempt."""
        engine = self.site.engines.get(attempt_request.engine.entry.engine)
        return ModelledCall(engine, attempt_request, self.settings, self.work_ms, self.random)

    def close_connections(self, engine: Engine) -> None:
        """Do nothing, since a modelled transport keeps no connections."""

    async def run(self) -> None:
        """Run the coordinator on the site's engines until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deadlines.run)
            await nursery.start(self.coordinator.run)
            self.coordinator.update_engines(
                ListUpdateKind.FULL,
                [Engine(engine.entry, name) for name, engine in self.site.engines.items()],
            )
            await trio.sleep_forever()

    def send(self, arrival: Arrival, record: PlayedRequest) -> None:
        """Submit a client's request now; ``record`` receives its outcome."""
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
                MEMORY_ESTIMATE_MB,
            ),
            RecordingReply(record, now_ms()),
        )
        self.records[live.id] = record


class Site:
    """Coordinators and modelled engines of one site; ``plan`` sets the fleet's budgets.

    Attributes:
        held_threads: samples of time (ms) and threads held at engines by team, every SAMPLE_INTERVAL_MS.
        traffic_started_ms: when the traffic began; set by ``run``.
    """

    def __init__(
        self,
        settings: Settings,
        engines: Iterable[ModelledEngine],
        coordinators: int,
        seed: int,
        queue_settings: QueueSettings | None = None,
        plan: BudgetPlan | None = None,
        *,
        eject_silent_zones: bool = False,
    ) -> None:
        self.settings = settings
        self.queue_settings = queue_settings
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
        self.held_threads = list[tuple[float, dict[int, int]]]()

    async def run(
        self,
        traffic: Sequence[Iterable[Arrival]],
        warm_up_ms: float = 0.0,
        script: Callable[[Site], object] = lambda site: None,
    ) -> list[list[PlayedRequest]]:
        """Send each coordinator its traffic after ``warm_up_ms``; return the records by coordinator."""
        records: list[list[PlayedRequest]] = [[] for _ in self.coordinators]
        async with trio.open_nursery() as nursery:
            for engine in self.engines.values():
                nursery.start_soon(engine.run)
            for coordinator in self.coordinators:
                nursery.start_soon(coordinator.run)
            nursery.start_soon(self._sample)
            await trio.sleep(warm_up_ms / 1e3)
            self.traffic_started_ms = now_ms()
            script(self)
            async with trio.open_nursery() as clients:
                for coordinator, arrivals, own in zip(self.coordinators, traffic, records, strict=True):
                    clients.start_soon(partial(self._send, coordinator, arrivals, own))
            with trio.move_on_after(LAST_ANSWERS_TIMEOUT_S):
                while any(not record.outcome for own in records for record in own):
                    await trio.sleep(ANSWER_POLL_INTERVAL_S)
            nursery.cancel_scope.cancel()
        return records

    def announce(
        self, kind: ListUpdateKind, names: Iterable[str], delay_ms: tuple[float, float] = (0.0, 0.0)
    ) -> None:
        """Deliver engines' present entries to each coordinator, after a random delay within ``delay_ms``."""
        entries = [self.engines[name].entry for name in names]
        for coordinator in self.coordinators:

            def deliver(coordinator: ModelledCoordinator = coordinator) -> None:
                coordinator.coordinator.update_engines(
                    kind, [Engine(entry, entry.engine) for entry in entries]
                )

            coordinator.deadlines.add(now_ms() + coordinator.random.uniform(*delay_ms), deliver)

    def at(self, ms: float, action: Callable[[], object]) -> None:
        """Schedule an action, ``ms`` after the start of the traffic."""
        self.coordinators[0].deadlines.add(self.traffic_started_ms + ms, action)

    async def _send(
        self, coordinator: ModelledCoordinator, arrivals: Iterable[Arrival], records: list[PlayedRequest]
    ) -> None:
        classes = {spec.name: number for number, spec in enumerate(self.settings.classes)}
        teams = {tenant.name: number for number, tenant in enumerate(self.settings.tenants)}
        for arrival in arrivals:
            await trio.sleep(max(0.0, self.traffic_started_ms + arrival.at_ms - now_ms()) / 1e3)
            records.append(PlayedRequest(arrival, teams[arrival.team], classes[arrival.class_name]))
            coordinator.send(arrival, records[-1])

    async def _sample(self) -> None:
        while True:
            if self.fleet is not None:
                self.fleet.run(SAMPLE_INTERVAL_MS)
            threads = dict[int, int]()
            for engine in self.engines.values():
                for run in engine.runs.values():
                    threads[run.team] = threads.get(run.team, 0) + run.threads
            self.held_threads.append((now_ms(), threads))
            await trio.sleep(SAMPLE_INTERVAL_MS / 1e3)
