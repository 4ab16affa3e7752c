"""A site in virtual time: the real decision module, a scheduler before it or none, and machines behind it.

Deterministic by seed. What became of a request is one ``PlayedRequest``; nothing here waits for a clock.
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

REPORT_INTERVAL_MS = 300.0  # by which an engine's load report may be old
TURN_MS = 20.0  # between two turns of the scheduler
PREEMPT_MS = 200.0  # between two decisions on the priorities of what runs
CANCEL_MS = 1.0  # until an engine has stopped a cancelled query
LAST_TURNS_MS = 60_000.0  # the scheduler goes on for so long after the last arrival
MEMORY_MB = 16.0  # that each request estimates
DAY_START_MS = 1_000_000.0  # so that no time is 0


class World:
    """One run."""

    def __init__(
        self,
        settings: Settings,
        machines: dict[str, Machine],
        seed: int,
        scheduler: Scheduler | None = None,
        slow: Callable[[float], float] = lambda _: 1.0,
    ) -> None:
        self.settings = settings
        self.machines = machines
        self.scheduler = scheduler
        self.slow = slow
        self.gateway = Gateway(settings, seed)
        self.now = DAY_START_MS
        self._number = 0
        self.records: dict[int, PlayedRequest] = {}
        self.open: dict[int, PlayedRequest] = {}
        self.thread_time = ThreadTime()
        self.backlog: dict[int, set[int]] = {}  # teams with something waiting, by span
        self.preemption = PriorityPreemption()
        self.changes = 0  # of priorities, by preemption
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._jobs: dict[str, tuple[int, int]] = {}  # job: request, attempt
        self._reports: dict[str, tuple[float, tuple[float, float]]] = {}
        self._arrived: dict[int, RequestArrived] = {}
        self._listed(machines)

    def at(self, time: float, do: Callable[[], None]) -> None:
        """Do something at a time."""
        self._number += 1
        heapq.heappush(self._heap, (time, self._number, do))

    def replace(self, time: float, names: Iterable[str], cores: float) -> None:
        """At a time after the day's start (ms), tell the module the whole list anew; new engines start cold.

        Engines that leave the list keep running what they hold, as an engine that drains does.
        """
        listed = tuple(names)

        def tell() -> None:
            for name in listed:
                self.machines.setdefault(name, Machine(cores))
            self._listed(listed)

        self.at(DAY_START_MS + time, tell)

    def _listed(self, names: Iterable[str]) -> None:
        self._feed(EngineListChanged(ListUpdateKind.FULL, tuple(EngineEntry(name) for name in names)))

    def run(self, arrivals: Iterable[Arrival]) -> list[PlayedRequest]:
        """Play the traffic to its end; return a record for each request."""
        classes = {spec.name: index for index, spec in enumerate(self.settings.classes)}
        teams = {tenant.name: index for index, tenant in enumerate(self.settings.tenants)}
        last = 0.0
        for number, arrival in enumerate(arrivals, 1):
            record = PlayedRequest(arrival, teams[arrival.team], classes[arrival.class_name])
            self.records[number] = record
            last = max(last, arrival.at_ms)
            self.at(DAY_START_MS + arrival.at_ms, partial(self._arrive, number, record))
        if self.scheduler is not None:
            self.at(self.now, lambda: self._turn(DAY_START_MS + last + LAST_TURNS_MS))
        while self._heap or any(machine.jobs for machine in self.machines.values()):
            next_end = min((machine.next_end() for machine in self.machines.values()), default=math.inf)
            if self._heap and self._heap[0][0] <= next_end:
                time, _, do = heapq.heappop(self._heap)
                self._advance(time)
                do()
            else:
                self._advance(next_end + 1e-6)
        return list(self.records.values())

    def _advance(self, time: float) -> None:
        self.now = max(self.now, time)
        for name, machine in self.machines.items():
            machine.slowness = self.slow(self.now - DAY_START_MS)
            for job in machine.advance(self.now):
                request, attempt = self._jobs.pop(job.id)
                self._end(request, attempt, name, Status.OK)

    def _arrive(self, id: int, record: PlayedRequest) -> None:
        self.open[id] = record
        arrival = record.arrival
        spec = self.settings.classes[record.class_index]
        event = RequestArrived(
            id,
            record.class_index,
            arrival.limit_ms,
            record.team,
            arrival.estimate_ms,
            MEMORY_MB,
            float(arrival.group),
        )
        self._arrived[id] = event
        if self.scheduler is None:
            record.released_ms = 0.0
            return self._feed(event)
        work = self.gateway.predicted_cost(event)
        last = latest_useful_start_ms(spec, work, self.now, self.now + arrival.limit_ms)
        told = ArrivingRequest(id, record.team, record.class_index, spec.threads, work, last)
        admission = self.scheduler.admit(told, self.now)
        if admission.rejection is not None:
            return self._answer(id, "refused", admission.rejection.value)
        record.likely_ms = admission.wait.likely_ms
        record.at_most_ms = admission.wait.at_most_ms
        self._release()

    def _turn(self, until: float) -> None:
        assert self.scheduler is not None
        for item in self.scheduler.pop_overdue(self.now):
            self._answer(item.id, "refused", "it could not be reached in time")
        self._release()
        span = int(self.now // self.thread_time.span_ms)
        waiting = set(self.scheduler.queues.waiting_teams())
        self.backlog[span] = self.backlog.get(span, waiting) & waiting
        if self.now - self.preemption.decided_ms >= PREEMPT_MS:
            self._preempt(waiting)
        if self.now < until or self.open:
            self.at(self.now + TURN_MS, lambda: self._turn(until))

    def _preempt(self, waiting: set[int]) -> None:
        assert self.scheduler is not None
        running = [
            RunningQuery(
                id,
                record.team,
                float(record.arrival.group),
                self.settings.classes[record.class_index].is_load,
                self._left(record),
            )
            for id, record in self.open.items()
            if record.running is not None
        ]
        within = {
            team for team in self.scheduler.quotas.accounts if self.scheduler.quotas.is_within_quota(team)
        }
        for id, lower in self.preemption.decide(self.now, running, within, waiting, {}):
            self.changes += 1
            record = self.open[id]
            if record.running is not None:
                job = self.machines[record.running.engine].jobs.get(f"{id}/{record.running.number}")
                if job is not None:
                    job.priority = 0 if lower else record.priority

    def _left(self, record: PlayedRequest) -> float:
        assert record.running is not None
        spec = self.settings.classes[record.class_index]
        return max(0.0, record.arrival.estimate_ms / spec.threads - (self.now - record.running.since_ms))

    def _room(self, item: QueuedRequest) -> Capacity:
        return Capacity.AVAILABLE if self.gateway.has_capacity(self._arrived[item.id]) else Capacity.FULL

    def _release(self) -> None:
        assert self.scheduler is not None
        while (item := self.scheduler.release(self.now, self._room)) is not None:
            record = self.open[item.id]
            event = self._arrived[item.id]
            record.released_ms = self.now - DAY_START_MS - record.arrival.at_ms
            left = record.arrival.limit_ms - record.released_ms
            self._feed(
                RequestArrived(
                    event.request,
                    event.class_index,
                    left,
                    event.tenant,
                    event.cost_ms,
                    event.memory_mb,
                    event.table_group,
                )
            )

    def _feed(self, event: Event) -> None:
        for action in self.gateway.handle(self.now, event):
            match action:
                case SendAttempt(request, engine):
                    self._send(request, engine)
                case RejectRequest(request, _, reason):
                    self._answer(request, "refused", reason)
                case FailRequest(request, reason):
                    self._answer(request, "failed", reason)
                case SetQueryResources(request, _, priority):
                    if request in self.open:
                        self.open[request].priority = priority
                case StartTimer(token, delay):
                    self.at(self.now + delay, partial(self._feed, TimerFired(token)))
                case CancelAttempt(request, attempt):
                    self.at(self.now + CANCEL_MS, partial(self._cancelled, request, attempt))

    def _send(self, id: int, engine: str) -> None:
        record = self.open[id]
        spec = self.settings.classes[record.class_index]
        attempt = record.attempts
        record.attempts += 1
        record.running = RunningAttempt(engine, attempt, self.now, spec.threads)
        job = Job(f"{id}/{attempt}", record.arrival.work_ms, spec.threads, record.priority)
        self._jobs[job.id] = (id, attempt)
        self.machines[engine].start(job, self.now)

    def _cancelled(self, id: int, attempt: int) -> None:
        record = self.records[id]
        if record.running is not None and record.running.number == attempt:
            engine = record.running.engine
            self.machines[engine].drop(f"{id}/{attempt}", self.now)
            self._jobs.pop(f"{id}/{attempt}", None)
            self._end(id, attempt, engine, Status.CANCELLED)

    def _end(self, id: int, attempt: int, engine: str, status: Status) -> None:
        record = self.records[id]
        running = record.running
        if running is None or running.number != attempt:
            return
        record.running = None
        machine = self.machines[engine]
        record.thread_ms += (self.now - running.since_ms) * running.threads
        self.thread_time.add(record.team, running.since_ms, self.now, running.threads)
        at, report = self._reports.get(engine, (-math.inf, (0.0, 0.0)))
        if self.now - at >= REPORT_INTERVAL_MS:
            report = (machine.util, float(len(machine.jobs)))
            self._reports[engine] = (self.now, report)
        if status is Status.OK and id in self.open:
            self._answer(id, "served", "")
        elif self.scheduler is not None and id not in self.open:
            self.scheduler.finish(id, self.now, record.thread_ms)
        fields = dict(zip(("util", "inflight"), report, strict=True))
        self._feed(
            AttemptEnded(
                id,
                attempt,
                engine,
                status,
                self.now - running.since_ms,
                request_over=id not in self.open,
                report=tuple(fields[name] for name in self.settings.load_report_fields),
            )
        )
        if self.scheduler is not None:
            self._release()

    def _answer(self, id: int, how: str, reason: str) -> None:
        if (record := self.open.pop(id, None)) is None:
            return
        record.how = how
        record.reason = reason
        record.answered_ms = self.now - DAY_START_MS - record.arrival.at_ms
        if self.scheduler is not None:
            self.scheduler.remove(id)
            if record.running is None:
                self.scheduler.finish(id, self.now, record.thread_ms)
