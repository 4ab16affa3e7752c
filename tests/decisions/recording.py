"""A seeded driver of the decision module, and a digest of the actions that the module returns."""

from __future__ import annotations

import hashlib
import heapq
import math
import struct
from random import Random

from fordstair.configuration.settings_document import parse_settings
from fordstair.decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetQueryResources,
    StartTimer,
    WatchEngineList,
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
    NoteKind,
    RequestArrived,
    RequestWithdrawn,
    Status,
    StreamStarted,
    TimerFired,
)
from fordstair.decisions.gateway import Gateway
from fordstair.decisions.settings import Settings
from tests.decisions.recorded_sites import SETTINGS_DOCUMENTS

EVENTS = 24_000
EVENTS_PER_DIGEST = 1_000
ENGINE_COUNT = 10
CALM_ARRIVALS_PER_S = 55.0
BUSY_ARRIVALS_PER_S = 320.0
PHASE_MS = 4_000.0
LIST_CHANGE_MS = 900.0
BAD_ENGINE_SHARE = 0.2

# Statuses of attempts with their weights, at a healthy engine and at a faulty one.
HEALTHY_STATUSES = (
    (Status.OK, 94.0),
    (Status.ERROR, 1.0),
    (Status.FULL, 1.5),
    (Status.TIMEOUT, 0.5),
    (Status.CONNECT_FAILED, 1.0),
    (Status.RESET, 1.0),
    (Status.CANCELLED, 0.5),
    (Status.NOT_STARTED, 0.5),
)
FAULTY_STATUSES = (
    (Status.OK, 40.0),
    (Status.ERROR, 20.0),
    (Status.FULL, 10.0),
    (Status.TIMEOUT, 8.0),
    (Status.CONNECT_FAILED, 10.0),
    (Status.RESET, 10.0),
    (Status.CANCELLED, 1.0),
    (Status.NOT_STARTED, 1.0),
)


def encode(action: Action) -> bytes:
    """Return an action's type and fields as bytes, without the text of a reason."""
    match action:
        case SendAttempt(request, engine, limit_ms, begin_by):
            return struct.pack(">BIdd", 1, request, limit_ms, begin_by) + engine.encode()
        case RejectRequest(request, retry_after_ms):
            return struct.pack(">BId", 2, request, retry_after_ms)
        case FailRequest(request):
            return struct.pack(">BI", 3, request)
        case CancelAttempt(request, attempt):
            return struct.pack(">BII", 4, request, attempt)
        case StartTimer(token, delay_ms):
            return struct.pack(">BQd", 5, token, delay_ms)
        case CheckHealth(engine):
            return struct.pack(">B", 6) + engine.encode()
        case WatchEngineList(on):
            return struct.pack(">BB", 11, on)
        case SetQueryResources(request, memory_mb, priority):
            return struct.pack(">BIdB", 13, request, memory_mb, priority)
    raise AssertionError(f"unexpected action {action!r}: the recorded runs contain no action of its type")


class RecordedRun:
    """Simulates clients, engines and discovery for one gateway, all drawn from one seed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.gateway = Gateway(settings, seed)
        self.now = 1_000.0
        self.event_count = 0
        self.digests: list[str] = []
        self._digest = hashlib.sha256()
        self._pending: list[tuple[float, int, Event | str]] = []
        self._pending_count = 0
        self._last_request = 0
        self._attempt_counts: dict[int, int] = {}
        self._outstanding: dict[tuple[int, int], tuple[str, float]] = {}
        self._engines: dict[str, EngineEntry] = {}
        self._engine_count = 0

    def run(self, events: int) -> list[str]:
        """Feed this many events to the gateway; return the running digest after each thousand."""
        for _ in range(ENGINE_COUNT):
            self._add_engine(started_ms=0.0)
        self._feed(EngineListChanged(ListUpdateKind.CACHED, tuple(self._engines.values())[:4]))
        self._feed(EngineListChanged(ListUpdateKind.FULL, tuple(self._engines.values())))
        self._schedule(0.0, "arrive")
        self._schedule(LIST_CHANGE_MS, "change list")
        while self.event_count < events:
            at, _, event = heapq.heappop(self._pending)
            self.now = max(self.now, at)
            if event == "arrive":
                self._arrive()
            elif event == "change list":
                self._change_list()
            elif not isinstance(event, str):
                self._deliver(event)
        return self.digests

    def _schedule(self, delay_ms: float, event: Event | str) -> None:
        self._pending_count += 1
        heapq.heappush(self._pending, (self.now + delay_ms, self._pending_count, event))

    def _feed(self, event: Event) -> None:
        actions = self.gateway.handle(self.now, event)
        self.event_count += 1
        for action in actions:
            self._digest.update(encode(action))
            self._execute(action)
        self._digest.update(b"|")
        if self.event_count % EVENTS_PER_DIGEST == 0:
            self.digests.append(self._digest.hexdigest()[:16])

    def _deliver(self, event: Event) -> None:
        if isinstance(event, AttemptEnded):
            if self._outstanding.pop((event.request, event.attempt), None) is None:
                # The attempt was cancelled in the meantime.
                return
        elif isinstance(event, AttemptNote) and (event.request, event.attempt) not in self._outstanding:
            return
        self._feed(event)

    def _arrive(self) -> None:
        busy = int(self.now / PHASE_MS) % 2 == 1
        rate = BUSY_ARRIVALS_PER_S if busy else CALM_ARRIVALS_PER_S
        self._schedule(self.random.expovariate(rate) * 1000.0, "arrive")
        self._last_request += 1
        request = self._last_request
        classes = self.settings.classes
        index = self.random.choices(range(len(classes)), [8.0, 3.0, 2.0, 1.0][: len(classes)])[0]
        cost_ms = self.random.lognormvariate(5.5 + index, 0.8) if self.random.random() < 0.7 else 0.0
        memory_mb = self.random.uniform(10.0, 2_000.0) if self.random.random() < 0.5 else 0.0
        malformed_draw = self.random.random()
        if malformed_draw < 0.005:
            cost_ms = math.nan
        elif malformed_draw < 0.01:
            memory_mb = -1.0
        time_left_ms = classes[index].client_timeout_ms * self.random.choice((0.1, 0.5, 1.0))
        self._feed(
            RequestArrived(
                request,
                index,
                time_left_ms,
                self.random.randrange(max(1, len(self.settings.tenants))),
                cost_ms,
                memory_mb,
                float(self.random.randrange(12)),
                self.random.randrange(1, 7),
            )
        )
        end_draw = self.random.random()
        if end_draw < 0.03:
            self._schedule(self.random.uniform(1.0, 2_000.0), ClientDisconnected(request))
        elif end_draw < 0.04:
            self._schedule(self.random.uniform(1.0, 2_000.0), RequestWithdrawn(request))

    def _execute(self, action: Action) -> None:
        match action:
            case SendAttempt(request, engine):
                self._send(request, engine)
            case CancelAttempt(request, attempt):
                if (request, attempt) in self._outstanding and self.random.random() < 0.9:
                    engine, sent_at = self._outstanding[request, attempt]
                    delay_ms = self.random.uniform(0.5, 20.0)
                    self._schedule(
                        delay_ms,
                        self._ended(
                            request, attempt, engine, Status.CANCELLED, self.now - sent_at + delay_ms
                        ),
                    )
            case StartTimer(token, delay_ms):
                self._schedule(delay_ms, TimerFired(token))
            case CheckHealth(engine):
                status = Status.OK if self.random.random() < 0.9 else Status.TIMEOUT
                delay_ms = self.random.uniform(0.5, 40.0)
                self._schedule(delay_ms, HealthCheckEnded(engine, status, delay_ms, self._report()))
            case _:
                pass

    def _send(self, request: int, engine: str) -> None:
        attempt = self._attempt_counts.get(request, 0)
        self._attempt_counts[request] = attempt + 1
        self._outstanding[request, attempt] = (engine, self.now)
        faulty = int(engine.rpartition(":")[2]) % 5 == int(self.now / PHASE_MS) % 5
        statuses = FAULTY_STATUSES if faulty else HEALTHY_STATUSES
        status = self.random.choices([s for s, _ in statuses], [w for _, w in statuses])[0]
        latency_ms = self.random.lognormvariate(5.0, 1.0) * (4.0 if faulty else 1.0)
        if status in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_STARTED):
            latency_ms = self.random.uniform(0.5, 250.0)
        elif status is Status.OK and self.random.random() < 0.02:
            # The engine hangs, or the query has a bad plan.
            latency_ms *= 40.0
        self._schedule(latency_ms, self._ended(request, attempt, engine, status, latency_ms))
        if self.random.random() < 0.15:
            kind = self.random.choice(tuple(NoteKind))
            value = self.random.choice((0.01, 0.3, 0.9, math.nan))
            note_ms = latency_ms * self.random.uniform(0.1, 0.9)
            self._schedule(note_ms, AttemptNote(request, attempt, engine, kind, value))
        elif self.random.random() < 0.02:
            self._schedule(latency_ms * 0.5, StreamStarted(request, attempt, engine, latency_ms * 0.5))

    def _ended(
        self, request: int, attempt: int, engine: str, status: Status, latency_ms: float
    ) -> AttemptEnded:
        served = status is Status.OK
        return AttemptEnded(
            request,
            attempt,
            engine,
            status,
            latency_ms,
            request_over=served or self.random.random() < 0.02,
            work_ms=latency_ms * self.random.uniform(0.3, 1.0) if self.random.random() < 0.6 else 0.0,
            memory_mb=self.random.uniform(10.0, 1_500.0) if self.random.random() < 0.4 else 0.0,
            report=self._report(),
            may_still_run=not served and self.random.random() < 0.05,
            may_connect_late=status is Status.CONNECT_FAILED and self.random.random() < 0.5,
        )

    def _report(self) -> tuple[float, ...]:
        draw = self.random.random()
        if draw < 0.1:
            return ()
        values = [self.random.choice((0.0, 0.05, self.random.random())), float(self.random.randrange(60))]
        if draw < 0.12:
            values[self.random.randrange(2)] = math.nan
        return tuple(values)

    def _add_engine(self, started_ms: float) -> EngineEntry:
        self._engine_count += 1
        number = self._engine_count
        kinds = max(1, len(self.settings.cores_by_kind))
        entry = EngineEntry(
            f"10.0.0.{number % 250}:{8000 + number}",
            EngineState.READY,
            number % 2,
            number % 3,
            number % kinds,
            started_ms,
            1.0 + number % 2,
        )
        self._engines[entry.engine] = entry
        return entry

    def _change_list(self) -> None:
        self._schedule(self.random.expovariate(1.0 / LIST_CHANGE_MS), "change list")
        draw = self.random.random()
        if draw < 0.1:
            self._feed(EngineListChanged(ListUpdateKind.FAILED))
        elif draw < 0.25:
            self._feed(EngineListChanged(ListUpdateKind.FULL, tuple(self._engines.values())))
        elif draw < 0.35:
            threads = self.random.choice((None, None, None, 6, 30))
            self._feed(ConcurrencyLimitSet(self.random.randrange(len(self.settings.classes)), threads))
        elif draw < 0.45:
            self._feed(
                HealthCheckEnded(
                    self.random.choice([*self._engines, "10.9.9.9:1"]), Status.CONNECT_FAILED, 250.0
                )
            )
        else:
            self._replace_engine()

    def _replace_engine(self) -> None:
        old = self._engines[self.random.choice(list(self._engines))]
        draw = self.random.random()
        if draw < 0.4 and len(self._engines) < ENGINE_COUNT + 3:
            # A cold engine joins.
            self._feed(EngineListChanged(ListUpdateKind.DELTA, (self._add_engine(self.now),)))
        elif draw < 0.65:
            # The engine's process is restarted.
            entry = EngineEntry(
                old.engine, EngineState.READY, old.zone, old.cell, old.kind, self.now, old.weight
            )
            self._engines[old.engine] = entry
            self._feed(EngineListChanged(ListUpdateKind.DELTA, (entry,)))
        elif len(self._engines) > ENGINE_COUNT // 2:
            state = EngineState.GONE if draw < 0.8 else EngineState.DRAINING
            entry = EngineEntry(old.engine, state, old.zone, old.cell, old.kind, old.started_ms, old.weight)
            del self._engines[old.engine]
            self._feed(EngineListChanged(ListUpdateKind.DELTA, (entry,)))


def record(site: str, seed: int, events: int = EVENTS) -> list[str]:
    """Return the digests of one site's recorded run."""
    return RecordedRun(parse_settings(SETTINGS_DOCUMENTS[site]), seed).run(events)
