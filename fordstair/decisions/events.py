"""The events that a host hands to the decision module. Times are milliseconds throughout."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from fordstair.decisions.engine_list import EngineEntry, EngineId, ListUpdateKind


class Status(Enum):
    """How an attempt or a health check ended; the values are those of counters and log lines."""

    OK = "ok"  # served
    ERROR = "error"  # the engine answered with an error; the statement itself may be wrong
    FULL = "full"  # rejected by the engine for lack of capacity; it never ran
    TIMEOUT = "timeout"  # stopped at its limit; it may have run
    CONNECT_FAILED = "connect_failed"  # there was no connection; it never ran
    RESET = "reset"  # the connection or the engine was lost; it may have run
    CANCELLED = "cancelled"  # stopped by this coordinator; it may have run
    NOT_STARTED = "moot"  # denied by the send guard, or the engine says that it was never begun

    @property
    def proves_not_run(self) -> bool:
        """Whether the attempt certainly never ran."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_STARTED)


class NoteKind(Enum):
    """What a note on a running attempt tells: share done, MB missing, or what it waits for."""

    PROGRESS = 1
    SPILL = 2
    WAIT = 3


@dataclass(slots=True, frozen=True)
class EngineListChanged:
    """An update of the engine list from discovery."""

    kind: ListUpdateKind
    entries: tuple[EngineEntry, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request; an estimate of 0 was not given."""

    request: int
    class_index: int
    time_left_ms: float  # until the client gives up
    tenant: int = 0
    cost_ms: float = 0.0  # estimate, thread-milliseconds
    memory_mb: float = 0.0  # estimate
    table_group: float = 0.0  # the tables that the query reads
    ordering_key: int = 0
    is_client_retry: bool = False  # told by the simulator, and not used
    is_write: bool = False  # told by the simulator, and not used


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The client gets the answer from now on: the request is over and is not retried (simulator only)."""

    request: int
    attempt: int
    engine: EngineId
    latency_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one end of an attempt; work and memory are 0 where the engine does not tell them."""

    request: int
    attempt: int
    engine: EngineId
    status: Status
    latency_ms: float
    request_over: bool = False  # its client has its answer, or has gone
    work_ms: float = 0.0  # thread-milliseconds
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()  # load report, in the order of the settings
    may_still_run: bool = False  # it could not be taken back, and may begin or run yet
    may_connect_late: bool = False  # the connect timed out, which does not show that the engine is down


@dataclass(slots=True, frozen=True)
class AttemptNote:
    """A note on an attempt that is in flight; its value is a share done, MB missing or what it waits for."""

    request: int
    attempt: int
    engine: EngineId
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The end of a health check, or of a connection that nobody waited for any more."""

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
    """The host shuts down: the request needs its final answer now."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier has run out."""

    token: int


@dataclass(slots=True, frozen=True)
class ConcurrencyLimitSet:
    """An operator limits the threads that a class may have in flight; None lifts the limit."""

    class_index: int
    threads: int | None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another coordinator; part of the simulator's protocol, which the gateway ignores."""

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
