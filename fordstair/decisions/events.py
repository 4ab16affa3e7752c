"""The events that a host hands to the decision module. Times are milliseconds throughout."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from fordstair.decisions.engine_list import EngineEntry, EngineId, ListUpdateKind


class Status(Enum):
    """How an attempt or a health check ended; the values appear in counters and log lines.

    Attributes:
        OK: Served.
        ERROR: The engine answered with an error; the statement itself may be wrong.
        FULL: Rejected by the engine for lack of capacity; it never ran.
        TIMEOUT: Stopped at its time limit; it may have run.
        CONNECT_FAILED: No connection was established; it never ran.
        RESET: The connection or the engine was lost; it may have run.
        CANCELLED: Cancelled by this coordinator; it may have run.
        NOT_STARTED: Denied by the send guard, or reported by the engine as never begun.
    """

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"

    @property
    def proves_not_run(self) -> bool:
        """Return True if the attempt certainly never ran."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_STARTED)


class NoteKind(Enum):
    """Kind of a note on a running attempt, and the meaning of its value.

    Attributes:
        PROGRESS: The share done.
        SPILL: The memory missing, in MB.
        WAIT: What the attempt waits for.
    """

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
    """A client's request has arrived.

    Attributes:
        time_left_ms: Time until the client gives up.
        cost_ms: Estimated cost in thread-milliseconds; 0 if not given.
        memory_mb: Estimated memory; 0 if not given.
        table_group: The tables that the query reads.
        is_client_retry: Sent by the simulator; not used.
        is_write: Sent by the simulator; not used.
    """

    request: int
    class_index: int
    time_left_ms: float
    tenant: int = 0
    cost_ms: float = 0.0
    memory_mb: float = 0.0
    table_group: float = 0.0
    ordering_key: int = 0
    is_client_retry: bool = False
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer streams to the client from now on: the request is over and not retried (simulator only)."""

    request: int
    attempt: int
    engine: EngineId
    latency_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The end of an attempt, which occurs exactly once for each.

    Attributes:
        request_over: The client has its answer or has disconnected.
        work_ms: Work in thread-milliseconds; 0 if the engine does not report it.
        memory_mb: Memory used; 0 if the engine does not report it.
        report: Load report, its values in the order of the settings.
        may_still_run: The attempt could not be withdrawn, and may still begin or run.
        may_connect_late: The connect timed out, which does not show that the engine is down.
    """

    request: int
    attempt: int
    engine: EngineId
    status: Status
    latency_ms: float
    request_over: bool = False
    work_ms: float = 0.0
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()
    may_still_run: bool = False
    may_connect_late: bool = False


@dataclass(slots=True, frozen=True)
class QueryFinished:
    """The engine has finished the query of an attempt, which ends once its result has been checked."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptNote:
    """A note on an attempt in flight; its kind determines the meaning of its value."""

    request: int
    attempt: int
    engine: EngineId
    kind: NoteKind
    value: float


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The end of a health check, or of a connect that failed after its attempt had stopped waiting for it."""

    engine: EngineId
    status: Status
    latency_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; the request is over."""

    request: int


@dataclass(slots=True, frozen=True)
class RequestWithdrawn:
    """The host is shutting down: the request needs its final answer now."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that was started earlier has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class ConcurrencyLimitSet:
    """An operator has limited the threads that a class may have in flight; None removes the limit."""

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
    | QueryFinished
    | AttemptNote
    | HealthCheckEnded
    | ClientDisconnected
    | RequestWithdrawn
    | TimerFired
    | ConcurrencyLimitSet
    | PeerMessage
)
