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

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    injected: list[InjectedFault] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    planned_ends: list[PlannedEnd] = field(default_factory=list)
    crowded: bool = False  # idle and half-written connections fill the coordinators' descriptors
    ends: list[CoordinatorEnd] = field(default_factory=list)
    log_faults: list[str] = field(default_factory=list)  # lines of logs that no run may show
    worst_lag_s: float = 0.0  # by which the soak itself was late
    core_waits: list[CoreWait] = field(default_factory=list)
    logs: dict[str, list[str]] = field(default_factory=dict)  # by coordinator
    clock_base_s: float = 0.0  # of the monotonic clock, at the start of the run

    def held(self, kind: FaultKind, name: str | None = None) -> list[Span]:
        """Return when faults of a kind held, everywhere or at one place."""
        return [
            each.held for each in self.injected if each.fault.kind is kind and name in (None, each.fault.name)
        ]
