"""Records of what a soak observed: requests at their clients, attempts at their engines, and the faults.

All times are in seconds of the run.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordstair.lab.soak.plan import Fault, FaultKind


@dataclass(slots=True)
class RequestRecord:
    """One request, as its client observed it.

    Attributes:
        sent_s: When its last byte was written.
        answers: The time and the outcome of each answer: ``served``, ``refused``, ``failed`` or ``spoilt``.
        abandoned_s: When its client cancelled it or closed its connection.
        closed_s: When the coordinator closed its connection.
        first: True if it is the first request on its connection.
        client_port: The local port of its connection.
        estimated_cost_ms: The cost that its client states.
        retry_after: The delay that a refusal states, as the coordinator wrote it.
    """

    txn: str
    class_name: str
    coordinator: str
    sent_s: float
    limit_s: float
    answers: list[tuple[float, str]] = field(default_factory=list)
    abandoned_s: float = math.inf
    closed_s: float = math.inf
    first: bool = False
    client_port: int = 0
    statement: bytes = b""
    estimated_cost_ms: float = 1.0
    retry_after: str | None = None


@dataclass(slots=True)
class AttemptRecord:
    """One POST, as its engine observed it.

    Attributes:
        received_s: When its last byte arrived at the engine.
        limit_ms: The time limit that the coordinator sent with it.
        outcome: ``unread`` at first; later ``refused``, ``runs``, ``served``, ``dropped``, ``unasked`` or
            ``lost``.
        connection_reset_s: When the engine reset the connection that it came on.
        first_byte_s: When its first bytes arrived.
    """

    txn: str
    engine: str
    received_s: float
    limit_ms: float
    started_s: float = math.inf
    ended_s: float = math.inf
    outcome: str = "unread"
    connection_reset_s: float = math.inf
    first_byte_s: float = math.inf
    class_name: str = ""
    statement: bytes = b""

    @property
    def begun_s(self) -> float:
        """The time at which its first byte arrived."""
        return min(self.received_s, self.first_byte_s)


@dataclass(frozen=True, slots=True)
class Span:
    """An interval of time."""

    from_s: float
    to_s: float

    def overlap(self, from_s: float, to_s: float) -> float:
        """Return how many seconds it has in common with another interval."""
        return max(0.0, min(self.to_s, to_s) - max(self.from_s, from_s))


@dataclass(slots=True)
class InjectedFault:
    """A fault, and the span in which it was actually in force."""

    fault: Fault
    active: Span


@dataclass(slots=True)
class Drain:
    """A drain of an engine.

    Attributes:
        announced: The span from the announcement that the engine drains to the one that it is ready again.
        event_number: The number of discovery's event.
    """

    engine: str
    announced: Span
    event_number: int = 0


@dataclass(slots=True)
class DiscoveryConnection:
    """A connection of a coordinator to discovery, or the engine list in its configuration at its start."""

    coordinator: str
    ended_s: float = math.inf


@dataclass(frozen=True, slots=True)
class DrainNotification:
    """Discovery had written to a coordinator that an engine drains.

    Attributes:
        event_number: The number of the event; at a coordinator's start, that of discovery's latest event.
    """

    coordinator: str
    engine: str
    written_s: float
    connection: DiscoveryConnection
    event_number: int = 0


@dataclass(frozen=True, slots=True)
class ColdStart:
    """A restart of an engine's process; ``announced`` is True if discovery announced it."""

    engine: str
    at_s: float
    announced: bool


@dataclass(frozen=True, slots=True)
class StartNotification:
    """Discovery had written to a coordinator that an engine was restarted."""

    coordinator: str
    engine: str
    written_s: float


@dataclass(frozen=True, slots=True)
class FailedConnection:
    """A connection of a coordinator on which the shim made a call fail, by the client's local port."""

    coordinator: str
    client_port: int
    at_s: float


@dataclass(frozen=True, slots=True)
class Kill:
    """A SIGKILL to a coordinator's process, without a SIGTERM before."""

    name: str
    at_s: float


@dataclass(slots=True)
class CoordinatorStart:
    """A start of a coordinator's process.

    Attributes:
        ready_s: When it listened.
        end_requested: True if the soak ended the process before it was ready.
    """

    name: str
    begun_s: float
    ready_s: float = math.inf
    end_requested: bool = False


@dataclass(slots=True)
class Resources:
    """The peak resource use of a coordinator's processes."""

    descriptors: int = 0
    memory_mb: float = 0.0


@dataclass(slots=True)
class CoordinatorExit:
    """An exit of a coordinator's process; ``expected`` is True if the soak asked for it or killed it."""

    name: str
    at_s: float
    expected: bool
    exit_code: int | None


@dataclass(slots=True)
class PlannedShutdown:
    """A shutdown by SIGTERM, followed by SIGKILL if the process had not ended in time.

    Attributes:
        killed_s: When SIGKILL was sent; inf if the process had ended by itself.
        last_event: The last line of its log, if it was killed.
    """

    name: str
    sigterm_s: float
    killed_s: float = math.inf
    last_event: str = ""


@dataclass(frozen=True, slots=True)
class CoreWait:
    """How long a coordinator's process was runnable without a core, within the sampled span."""

    name: str
    sampled: Span
    waited_s: float


@dataclass(slots=True)
class SoakRecord:
    """Everything observed in one run.

    Attributes:
        resources: The peak resource use, by coordinator.
        crowded: True if idle and half-written connections fill the coordinators' descriptors.
        log_errors: Log lines that must not occur in any run, and processes that did not end after SIGTERM.
        worst_lag_s: The longest delay with which the soak itself ran.
        logs: The log lines, by coordinator.
        clock_base_s: The monotonic clock at the start of the run.
    """

    coordinators: list[str] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    injected: list[InjectedFault] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    drain_notifications: list[DrainNotification] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    start_notifications: list[StartNotification] = field(default_factory=list)
    failed_connections: list[FailedConnection] = field(default_factory=list)
    kills: list[Kill] = field(default_factory=list)
    starts: list[CoordinatorStart] = field(default_factory=list)
    resources: dict[str, Resources] = field(default_factory=dict)
    descriptor_limit: int = 0
    memory_limit_mb: float = 0.0
    planned_shutdowns: list[PlannedShutdown] = field(default_factory=list)
    crowded: bool = False
    exits: list[CoordinatorExit] = field(default_factory=list)
    log_errors: list[str] = field(default_factory=list)
    worst_lag_s: float = 0.0
    core_waits: list[CoreWait] = field(default_factory=list)
    logs: dict[str, list[str]] = field(default_factory=dict)
    clock_base_s: float = 0.0

    def not_running_s(self, coordinator: str, from_s: float, to_s: float) -> float:
        """Return how long a coordinator did not run though it had work: paused, or without a core."""
        waits = [each for each in self.core_waits if each.name == coordinator]
        waited_s = sum(each.waited_s for each in waits if each.sampled.overlap(from_s, to_s) > 0.0)
        pauses = self.active_spans(FaultKind.PAUSE, coordinator)
        return waited_s + sum(pause.overlap(from_s, to_s) for pause in pauses)

    def start_notified_s(self, coordinator: str, start: ColdStart) -> float:
        """Return when a coordinator was notified of an engine's restart; inf if it was not."""
        notified = (
            each.written_s
            for each in self.start_notifications
            if (each.coordinator, each.engine) == (coordinator, start.engine) and each.written_s >= start.at_s
        )
        return min(notified, default=math.inf)

    def next_cold_start_s(self, start: ColdStart) -> float:
        """Return when the same engine was restarted the next time; inf if it was not."""
        later = (each.at_s for each in self.cold_starts if each.engine == start.engine)
        return min((at_s for at_s in later if at_s > start.at_s), default=math.inf)

    def active_spans(self, kind: FaultKind, name: str | None = None) -> list[Span]:
        """Return the spans of a kind of fault, for one target or, if ``name`` is None, for all."""
        return [
            each.active
            for each in self.injected
            if each.fault.kind is kind and name in (None, each.fault.name)
        ]
