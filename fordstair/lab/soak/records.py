"""What a soak has seen: requests by their clients, attempts by their engines, and the faults."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordstair.lab.soak.plan import Fault, FaultKind


@dataclass(slots=True)
class RequestRecord:
    """One request, as its client saw it; times in seconds of the run."""

    txn: str
    class_name: str
    coordinator: str
    sent_s: float  # when its last byte was written
    limit_s: float
    answers: list[tuple[float, str]] = field(default_factory=list)  # when, and served, refused, failed, ...
    gone_s: float = math.inf  # when its client cancelled it, or closed its connection
    closed_s: float = math.inf  # when the coordinator ended its connection
    first: bool = False  # on its connection
    client_port: int = 0  # the local port of its connection
    statement: bytes = b""
    cost_ms: float = 1.0  # as its client estimates it
    retry_after: str | None = None  # of a refusal, as the coordinator told it


@dataclass(slots=True)
class AttemptRecord:
    """One POST, as its engine saw it."""

    txn: str
    engine: str
    read_s: float  # when its last byte arrived at the engine
    limit_ms: float
    started_s: float = math.inf
    ended_s: float = math.inf
    how: str = "unread"  # then: refused, runs, served, dropped, unasked, lost
    connection_ended_s: float = math.inf  # when the engine reset the connection that it came on
    first_byte_s: float = math.inf  # when its first bytes arrived
    class_name: str = ""
    statement: bytes = b""

    @property
    def begun_s(self) -> float:
        """When it began to arrive."""
        return min(self.read_s, self.first_byte_s)


@dataclass(frozen=True, slots=True)
class Span:
    """A stretch of time in which something held."""

    from_s: float
    to_s: float

    def overlap(self, from_s: float, to_s: float) -> float:
        """Return for how long it held in another stretch."""
        return max(0.0, min(self.to_s, to_s) - max(self.from_s, from_s))


@dataclass(slots=True)
class InjectedFault:
    """A fault, and when it really held."""

    fault: Fault
    held: Span


@dataclass(slots=True)
class Drain:
    """An engine was told to take nothing new, until it was told to be ready again."""

    engine: str
    announced: Span
    number: int = 0  # of discovery's event


@dataclass(slots=True)
class DiscoveryConnection:
    """A connection of a coordinator to discovery, or what a process was told at its start."""

    coordinator: str
    ended_s: float = math.inf


@dataclass(frozen=True, slots=True)
class ToldOfDrain:
    """Discovery had written to a coordinator that an engine drains."""

    coordinator: str
    engine: str
    written_s: float
    connection: DiscoveryConnection
    number: int = 0  # of the event; of the latest one, where it is told at a start


@dataclass(frozen=True, slots=True)
class ColdStart:
    """An engine's process was started anew, and discovery told of it or not."""

    engine: str
    at_s: float
    announced: bool


@dataclass(frozen=True, slots=True)
class ToldOfStart:
    """Discovery had written to a coordinator that an engine was started anew."""

    coordinator: str
    engine: str
    written_s: float


@dataclass(frozen=True, slots=True)
class FailedConnection:
    """The shim had a call fail on a coordinator's connection with the client at that local port."""

    coordinator: str
    client_port: int
    at_s: float


@dataclass(frozen=True, slots=True)
class Kill:
    """A coordinator's process was killed without notice."""

    name: str
    at_s: float


@dataclass(slots=True)
class CoordinatorStart:
    """A coordinator's process was started."""

    name: str
    begun_s: float
    ready_s: float = math.inf
    signalled: bool = False  # it was told to end before it was ready


@dataclass(slots=True)
class Resources:
    """The most that a coordinator's processes have used."""

    descriptors: int = 0
    memory_mb: float = 0.0


@dataclass(slots=True)
class CoordinatorEnd:
    """A coordinator's process has ended."""

    name: str
    at_s: float
    wanted: bool  # it was told to, or killed
    code: int | None


@dataclass(slots=True)
class PlannedEnd:
    """A coordinator was told to end by SIGTERM, and killed where it had not ended in time."""

    name: str
    signalled_s: float
    killed_s: float = math.inf  # inf: it had ended by itself
    last_event: str = ""  # of its log, where it was killed


@dataclass(frozen=True, slots=True)
class CoreWait:
    """A coordinator's process was runnable for so long in a span, and had no core."""

    name: str
    sampled: Span
    waited_s: float


@dataclass(slots=True)
class SoakRecord:
    """All that was seen in one run."""

    coordinators: list[str] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    injected: list[InjectedFault] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    told: list[ToldOfDrain] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    told_starts: list[ToldOfStart] = field(default_factory=list)
    failed_connections: list[FailedConnection] = field(default_factory=list)
    kills: list[Kill] = field(default_factory=list)
    starts: list[CoordinatorStart] = field(default_factory=list)
    resources: dict[str, Resources] = field(default_factory=dict)  # by coordinator
    descriptor_limit: int = 0
    memory_limit_mb: float = 0.0
    planned_ends: list[PlannedEnd] = field(default_factory=list)
    crowded: bool = False  # idle and half-written connections fill the coordinators' descriptors
    ends: list[CoordinatorEnd] = field(default_factory=list)
    log_faults: list[str] = field(default_factory=list)  # lines of logs that no run may show
    worst_lag_s: float = 0.0  # by which the soak itself was late
    core_waits: list[CoreWait] = field(default_factory=list)
    logs: dict[str, list[str]] = field(default_factory=dict)  # by coordinator
    clock_base_s: float = 0.0  # of the monotonic clock, at the start of the run

    def stopped_s(self, coordinator: str, from_s: float, to_s: float) -> float:
        """Return for how long a coordinator did not run though it could: stopped, or without a core."""
        waits = [each for each in self.core_waits if each.name == coordinator]
        waited_s = sum(each.waited_s for each in waits if each.sampled.overlap(from_s, to_s) > 0.0)
        pauses = self.held(FaultKind.PAUSE, coordinator)
        return waited_s + sum(pause.overlap(from_s, to_s) for pause in pauses)

    def told_start_s(self, coordinator: str, start: ColdStart) -> float:
        """Return when a coordinator was told of an engine's start; inf where it was not."""
        told = (
            each.written_s
            for each in self.told_starts
            if (each.coordinator, each.engine) == (coordinator, start.engine) and each.written_s >= start.at_s
        )
        return min(told, default=math.inf)

    def next_cold_start_s(self, start: ColdStart) -> float:
        """Return when the same engine was started the next time; inf where it was not."""
        later = (each.at_s for each in self.cold_starts if each.engine == start.engine)
        return min((at_s for at_s in later if at_s > start.at_s), default=math.inf)

    def held(self, kind: FaultKind, name: str | None = None) -> list[Span]:
        """Return when faults of a kind held, everywhere or at one place."""
        return [
            each.held for each in self.injected if each.fault.kind is kind and name in (None, each.fault.name)
        ]
