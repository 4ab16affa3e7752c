"""Simulates the decision module in virtual time, with an optional scheduler and modelled machines.

It is deterministic by seed and never waits for a clock. Each request yields one ``PlayedRequest``.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from functools import partial

from fordstair.decisions.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetQueryResources,
    StartTimer,
)
from fordstair.decisions.engine_list import EngineEntry, ListUpdateKind
from fordstair.decisions.events import (
    AttemptEnded,
    EngineListChanged,
    Event,
    RequestArrived,
    Status,
    TimerFired,
)
from fordstair.decisions.gateway import Gateway
from fordstair.decisions.settings import Settings
from fordstair.lab.billing_close import Arrival
from fordstair.lab.machine import Job, Machine
from fordstair.lab.played_request import PlayedRequest, RunningAttempt, ThreadTime
from fordstair.scheduling.fair_queues import QueuedRequest
from fordstair.scheduling.preemption import PriorityPreemption, RunningQuery
from fordstair.scheduling.scheduler import ArrivingRequest, Capacity, Scheduler, latest_useful_start_ms

REPORT_INTERVAL_MS = 300.0  # maximum age of an engine's load report
SCHEDULING_INTERVAL_MS = 20.0
PREEMPTION_INTERVAL_MS = 200.0
CANCEL_DELAY_MS = 1.0  # until an engine has stopped a cancelled query
SCHEDULING_AFTER_LAST_ARRIVAL_MS = 60_000.0
MEMORY_ESTIMATE_MB = 16.0  # per request
START_MS = 1_000_000.0  # not 0, so that no time in a simulation is 0


class GatewaySimulation:
    """One run of a gateway on simulated traffic.

    Attributes:
        slowness: the machines' slowness, by the time since the start (ms).
        backlogged_teams: teams that had requests waiting during a whole span, by span of ``thread_time``.
        priority_changes: number of priority changes by preemption.
    """

    def __init__(
        self,
        settings: Settings,
        machines: dict[str, Machine],
        seed: int,
        scheduler: Scheduler | None = None,
        slowness: Callable[[float], float] = lambda _: 1.0,
    ) -> None:
        self.settings = settings
        self.machines = machines
        self.scheduler = scheduler
        self.slowness = slowness
        self.gateway = Gateway(settings, seed)
        self.now = START_MS
        self._last_number = 0
        self.records: dict[int, PlayedRequest] = {}
        self.open_requests: dict[int, PlayedRequest] = {}
        self.thread_time = ThreadTime()
        self.backlogged_teams: dict[int, set[int]] = {}
        self.preemption = PriorityPreemption()
        self.priority_changes = 0
        self._schedule: list[tuple[float, int, Callable[[], None]]] = []
        self._attempts_by_job: dict[str, tuple[int, int]] = {}  # request ID and attempt number
        self._reports: dict[str, tuple[float, tuple[float, float]]] = {}
        self._arrivals: dict[int, RequestArrived] = {}
        self._update_engine_list(machines)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time (ms)."""
        self._last_number += 1
        heapq.heappush(self._schedule, (time, self._last_number, action))

    def replace_engines(self, time: float, names: Iterable[str], cores: float) -> None:
        """Schedule a full engine list, at a time after the start (ms); unknown engines get a new machine.

        Engines that leave the list keep running their jobs, as draining engines do.
        """
        listed = tuple(names)

        def update() -> None:
            for name in listed:
                self.machines.setdefault(name, Machine(cores))
            self._update_engine_list(listed)

        self.at(START_MS + time, update)

    def _update_engine_list(self, names: Iterable[str]) -> None:
        self._handle_event(EngineListChanged(ListUpdateKind.FULL, tuple(EngineEntry(name) for name in names)))

    def run(self, arrivals: Iterable[Arrival]) -> list[PlayedRequest]:
        """Simulate the traffic to its end; return a record for each request."""
        classes = {spec.name: index for index, spec in enumerate(self.settings.classes)}
        teams = {tenant.name: index for index, tenant in enumerate(self.settings.tenants)}
        last = 0.0
        for number, arrival in enumerate(arrivals, 1):
            record = PlayedRequest(arrival, teams[arrival.team], classes[arrival.class_name])
            self.records[number] = record
            last = max(last, arrival.at_ms)
            self.at(START_MS + arrival.at_ms, partial(self._handle_arrival, number, record))
        if self.scheduler is not None:
            self.at(self.now, lambda: self._run_scheduler(START_MS + last + SCHEDULING_AFTER_LAST_ARRIVAL_MS))
        while self._schedule or any(machine.jobs for machine in self.machines.values()):
            next_end = min((machine.next_end_ms() for machine in self.machines.values()), default=math.inf)
            if self._schedule and self._schedule[0][0] <= next_end:
                time, _, action = heapq.heappop(self._schedule)
                self._advance(time)
                action()
            else:
                self._advance(next_end + 1e-6)
        return list(self.records.values())

    def _advance(self, time: float) -> None:
        self.now = max(self.now, time)
        for name, machine in self.machines.items():
            machine.slowness = self.slowness(self.now - START_MS)
            for job in machine.advance(self.now):
                request, attempt = self._attempts_by_job.pop(job.id)
                self._end_attempt(request, attempt, name, Status.OK)

    def _handle_arrival(self, id: int, record: PlayedRequest) -> None:
        self.open_requests[id] = record
        arrival = record.arrival
        spec = self.settings.classes[record.class_index]
        event = RequestArrived(
            id,
            record.class_index,
            arrival.limit_ms,
            record.team,
            arrival.estimate_ms,
            MEMORY_ESTIMATE_MB,
            float(arrival.group),
        )
        self._arrivals[id] = event
        if self.scheduler is None:
            record.released_ms = 0.0
            return self._handle_event(event)
        work_ms = self.gateway.predicted_cost(event)
        latest_start_ms = latest_useful_start_ms(spec, work_ms, self.now, self.now + arrival.limit_ms)
        arriving = ArrivingRequest(
            id, record.team, record.class_index, spec.threads, work_ms, latest_start_ms
        )
        admission = self.scheduler.admit(arriving, self.now)
        if admission.rejection is not None:
            return self._finish_request(id, "refused", admission.rejection.value)
        record.likely_ms = admission.wait.likely_ms
        record.at_most_ms = admission.wait.at_most_ms
        self._release()

    def _run_scheduler(self, until: float) -> None:
        assert self.scheduler is not None
        for item in self.scheduler.pop_overdue(self.now):
            self._finish_request(item.id, "refused", "it could not be reached in time")
        self._release()
        span = int(self.now // self.thread_time.span_ms)
        waiting = set(self.scheduler.queues.waiting_teams())
        self.backlogged_teams[span] = self.backlogged_teams.get(span, waiting) & waiting
        if self.now - self.preemption.decided_ms >= PREEMPTION_INTERVAL_MS:
            self._preempt(waiting)
        if self.now < until or self.open_requests:
            self.at(self.now + SCHEDULING_INTERVAL_MS, lambda: self._run_scheduler(until))

    def _preempt(self, waiting: set[int]) -> None:
        assert self.scheduler is not None
        running = [
            RunningQuery(
                id,
                record.team,
                float(record.arrival.group),
                self.settings.classes[record.class_index].is_load,
                self._remaining_ms(record),
            )
            for id, record in self.open_requests.items()
            if record.running is not None
        ]
        within = {
            team for team in self.scheduler.quotas.accounts if self.scheduler.quotas.is_within_quota(team)
        }
        for id, lower in self.preemption.decide(self.now, running, within, waiting, {}):
            self.priority_changes += 1
            record = self.open_requests[id]
            if record.running is not None:
                job = self.machines[record.running.engine].jobs.get(f"{id}/{record.running.number}")
                if job is not None:
                    job.priority = 0 if lower else record.priority

    def _remaining_ms(self, record: PlayedRequest) -> float:
        assert record.running is not None
        spec = self.settings.classes[record.class_index]
        return max(0.0, record.arrival.estimate_ms / spec.threads - (self.now - record.running.started_ms))

    def _capacity(self, item: QueuedRequest) -> Capacity:
        return Capacity.AVAILABLE if self.gateway.has_capacity(self._arrivals[item.id]) else Capacity.FULL

    def _release(self) -> None:
        assert self.scheduler is not None
        while (item := self.scheduler.release(self.now, self._capacity)) is not None:
            record = self.open_requests[item.id]
            event = self._arrivals[item.id]
            record.released_ms = self.now - START_MS - record.arrival.at_ms
            remaining_ms = record.arrival.limit_ms - record.released_ms
            self._handle_event(
                RequestArrived(
                    event.request,
                    event.class_index,
                    remaining_ms,
                    event.tenant,
                    event.cost_ms,
                    event.memory_mb,
                    event.table_group,
                )
            )

    def _handle_event(self, event: Event) -> None:
        for action in self.gateway.handle(self.now, event):
            match action:
                case SendAttempt(request, engine):
                    self._send_attempt(request, engine)
                case RejectRequest(request, _, reason):
                    self._finish_request(request, "refused", reason)
                case FailRequest(request, reason):
                    self._finish_request(request, "failed", reason)
                case SetQueryResources(request, _, priority):
                    if request in self.open_requests:
                        self.open_requests[request].priority = priority
                case StartTimer(token, delay):
                    self.at(self.now + delay, partial(self._handle_event, TimerFired(token)))
                case CancelAttempt(request, attempt):
                    self.at(self.now + CANCEL_DELAY_MS, partial(self._end_cancelled, request, attempt))

    def _send_attempt(self, id: int, engine: str) -> None:
        record = self.open_requests[id]
        spec = self.settings.classes[record.class_index]
        attempt = record.attempts
        record.attempts += 1
        record.running = RunningAttempt(engine, attempt, self.now, spec.threads)
        job = Job(f"{id}/{attempt}", record.arrival.work_ms, spec.threads, record.priority)
        self._attempts_by_job[job.id] = (id, attempt)
        self.machines[engine].start(job, self.now)

    def _end_cancelled(self, id: int, attempt: int) -> None:
        record = self.records[id]
        if record.running is not None and record.running.number == attempt:
            engine = record.running.engine
            self.machines[engine].remove(f"{id}/{attempt}", self.now)
            self._attempts_by_job.pop(f"{id}/{attempt}", None)
            self._end_attempt(id, attempt, engine, Status.CANCELLED)

    def _end_attempt(self, id: int, attempt: int, engine: str, status: Status) -> None:
        record = self.records[id]
        running = record.running
        if running is None or running.number != attempt:
            return
        record.running = None
        machine = self.machines[engine]
        record.thread_ms += (self.now - running.started_ms) * running.threads
        self.thread_time.add(record.team, running.started_ms, self.now, running.threads)
        reported_ms, report = self._reports.get(engine, (-math.inf, (0.0, 0.0)))
        if self.now - reported_ms >= REPORT_INTERVAL_MS:
            report = (machine.util, float(len(machine.jobs)))
            self._reports[engine] = (self.now, report)
        if status is Status.OK and id in self.open_requests:
            self._finish_request(id, "served", "")
        elif self.scheduler is not None and id not in self.open_requests:
            self.scheduler.finish(id, self.now, record.thread_ms)
        fields = dict(zip(("util", "inflight"), report, strict=True))
        self._handle_event(
            AttemptEnded(
                id,
                attempt,
                engine,
                status,
                self.now - running.started_ms,
                request_over=id not in self.open_requests,
                report=tuple(fields[name] for name in self.settings.load_report_fields),
            )
        )
        if self.scheduler is not None:
            self._release()

    def _finish_request(self, id: int, outcome: str, reason: str) -> None:
        if (record := self.open_requests.pop(id, None)) is None:
            return
        record.outcome = outcome
        record.reason = reason
        record.answered_ms = self.now - START_MS - record.arrival.at_ms
        if self.scheduler is not None:
            self.scheduler.remove(id)
            if record.running is None:
                self.scheduler.finish(id, self.now, record.thread_ms)
