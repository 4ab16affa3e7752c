"""Types shared by the decision module and whatever hosts it. Times are milliseconds throughout."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

EngineId: TypeAlias = str


class Effect(Enum):
    """What a repeat of a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which engines share the memory of a keyed request's duplicates."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def joins(self, one: EngineEntry, other: EngineEntry) -> bool:
        """Whether two engines share it."""
        if self is Scope.ALL:
            return True
        return one.zone == other.zone if self is Scope.ZONE else one.cell == other.cell


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
    def proves_unrun(self) -> bool:
        """True where the attempt certainly never ran."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class EngineState(Enum):
    """Discovery's word on an engine."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """What a membership event holds."""

    CACHED = 0
    FULL = 1
    DELTA = 2
    FAILED = 3


class Discovery(Enum):
    """Whether membership changes come by themselves."""

    PUSH = "push"
    ASK = "ask"


class NoteKind(Enum):
    """What a note on a running attempt tells: share done, MB missing, or what it waits for."""

    PROGRESS = 1
    SPILL = 2
    WAIT = 3


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    effect: Effect = Effect.SAFE
    promise_ms: float = 1000.0
    aim_stretch: float = 0.0
    give_up_ms: float = 10000.0
    worth: float = 1.0
    late_worth: float = 0.0
    scope: Scope = Scope.ALL
    memory_span_ms: float = 0.0
    ordered: bool = False
    zones: frozenset[int] | None = None
    kinds: frozenset[int] | None = None
    threads: int = 1
    is_load: bool = False
    waits_for_loads: bool = False

    def __post_init__(self) -> None:
        _check(
            f"classes.{self.name}",
            self,
            "promise_ms",
            "aim_stretch",
            "give_up_ms",
            "worth",
            "late_worth",
            "memory_span_ms",
        )
        if self.threads < 1:
            raise ValueError(f"classes.{self.name}.threads: must be at least 1, not {self.threads}")

    def allows(self, entry: EngineEntry) -> bool:
        """Whether an engine is of the places and kinds that the class is bound to, if it is bound."""
        placed = self.zones is None or entry.zone in self.zones
        return placed and (self.kinds is None or entry.kind in self.kinds)


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; a quota of 0 means none is stated."""

    name: str
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _check(f"tenants.{self.name}", self, "quota_per_s")


@dataclass(slots=True, frozen=True)
class AttemptBudget:
    """The ration of attempts beyond each request's first."""

    free: float
    ratio: float
    window_ms: float

    def __post_init__(self) -> None:
        _check("attempt_budget", self, "free", "ratio", "window_ms")


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    instances: int = 1
    cores_by_kind: tuple[float, ...] = ()
    memory_mb_by_kind: tuple[float, ...] = ()
    largest_grant_share: float = 1.0
    grants: bool = False
    priorities: bool = False
    notes_every_ms: float = 0.0
    report_fields: tuple[str, ...] = ()
    reports_by_probe_only: bool = False
    discovery: Discovery = Discovery.PUSH
    ask_within_ms: float = 10000.0
    probes: bool = False
    may_cancel: bool = False
    retry_advice: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    over_share_worth: float = 1.0
    attempt_budget: AttemptBudget | None = None
    order_settle_ms: float = 0.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 1000.0

    def __post_init__(self) -> None:
        _check(
            "settings",
            self,
            "largest_grant_share",
            "notes_every_ms",
            "ask_within_ms",
            "max_retry_after_ms",
            "over_share_worth",
            "order_settle_ms",
            "cold_from",
            "cold_ms",
            "fall_multiple",
            "fall_ms",
        )
        for name in ("instances", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"settings.{name}: must be at least 1")
        if not self.classes:
            raise ValueError("settings.classes: at least one class is needed")


def _check(where: str, item: object, *names: str) -> None:
    for name in names:
        value = getattr(item, name)
        if not math.isfinite(value) or value < 0:
            raise ValueError(f"{where}.{name}: must be finite and not negative, not {value}")


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One line of the list of engines; started_ms is 0 where the start is long past."""

    engine: EngineId
    state: EngineState = EngineState.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_ms: float = 0.0
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class MembersChanged:
    """News from discovery."""

    kind: ListKind
    entries: tuple[EngineEntry, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request; estimates of 0 mean that none was given."""

    request: int
    klass: int
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
    loose: bool = False  # it could not be taken back, and may begin or run yet
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
class ProbeEnded:
    """The result of a probe, or of a connection that nobody waited for any more."""

    engine: EngineId
    status: Status
    latency_ms: float
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has left; the request is over."""

    request: int


@dataclass(slots=True, frozen=True)
class Withdrawn:
    """The host is about to end: the request needs its final answer now."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set earlier has run out."""

    token: int


@dataclass(slots=True, frozen=True)
class LimitSet:
    """An operator bounds the threads that a class may have out; None lifts the bound."""

    klass: int
    threads: int | None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from a sibling gateway."""

    sender: int
    payload: bytes


Event: TypeAlias = (
    MembersChanged
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | AttemptNote
    | ProbeEnded
    | ClientGone
    | Withdrawn
    | TimerFired
    | LimitSet
    | PeerMessage
)


@dataclass(slots=True, frozen=True)
class Send:
    """Send the request's next attempt; a limit of 0 lets it run until the client leaves."""

    request: int
    engine: EngineId
    limit_ms: float = 0.0
    begin_by: float = math.inf  # from then on it must not begin: what ran before may be forgotten there


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: no, and a retry does no harm."""

    request: int
    retry_after_ms: float = 0.0
    reason: str = ""  # one of a few fixed texts, for those who look on


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; nothing is promised about the effect."""

    request: int
    reason: str = ""


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop one attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTerms:
    """Memory for the next attempts (0: the engine's choice) and priority, 0 to 3."""

    request: int
    memory_mb: float = 0.0
    priority: int = 1


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired after the delay."""

    token: int
    delay_ms: float


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask an engine for its state."""

    engine: EngineId


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Close idle connections to an engine."""

    engine: EngineId


@dataclass(slots=True, frozen=True)
class Post:
    """Tell a sibling, or all where peer is None."""

    peer: int | None
    payload: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(slots=True, frozen=True)
class Watch:
    """Start or stop the subscription to discovery."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class Fetch:
    """Ask discovery for the whole list once."""


Action: TypeAlias = (
    Send | Refuse | Fail | Cancel | SetTerms | SetTimer | Probe | Disconnect | Post | Log | Watch | Fetch
)
Actions: TypeAlias = list[Action]
