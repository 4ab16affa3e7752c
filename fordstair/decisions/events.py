"""The events that a host hands to the decision module. Times are milliseconds throughout."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from fordstair.decisions.engine_list import EngineEntry, EngineId, ListUpdateKind


class Status(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def proves_not_run(self) -> bool:
        """True where the attempt certainly never ran."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class NoteKind(Enum):
    """What a note on a running attempt tells: share done, MB missing, or what it waits for."""

    PROGRESS = 1
    SPILL = 2
    WAIT = 3


@dataclass(slots=True, frozen=True)
class EngineListChanged:
    """News from discovery."""

    kind: ListUpdateKind
    entries: tuple[EngineEntry, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request; estimates of 0 mean that none was given."""

    request: int
    class_index: int
    budget_ms: float
    tenant: int = 0
    cost_ms: float = 0.0
    memory_mb: float = 0.0
    group: float = 0.0
    key: int = 0
    client_retry: bool = False
    write: bool = False


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer of an attempt has started to stream."""

    request: int
    attempt: int
    engine: EngineId
    latency_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one outcome of an attempt; work and memory are 0 where not told."""

    request: int
    attempt: int
    engine: EngineId
    status: Status
    latency_ms: float
    complete: bool = False
    work_ms: float = 0.0
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()
    may_still_run: bool = False  # it could not be taken back, and may begin or run yet
    late: bool = False  # no connection came up in time; that shows nobody to be down


@dataclass(slots=True, frozen=True)
class AttemptNote:
    """Word on an attempt that is still out."""

    request: int
    attempt: int
    engine: EngineId
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The result of a probe, or of a connection that nobody waited for any more."""

    engine: EngineId
    status: Status
    latency_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has left; the request is over."""

    request: int


@dataclass(slots=True, frozen=True)
class RequestWithdrawn:
    """The host is about to end: the request needs its final answer now."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier has run out."""

    token: int


@dataclass(slots=True, frozen=True)
class ConcurrencyLimitSet:
    """An operator bounds the threads that a class may have out; None lifts the bound."""

    class_index: int
    threads: int | None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from a sibling gateway."""

    sender: int
    payload: bytes


Event: TypeAlias = (
    EngineListChanged
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | AttemptNote
    | HealthCheckEnded
    | ClientDisconnected
    | RequestWithdrawn
    | TimerFired
    | ConcurrencyLimitSet
    | PeerMessage
)
