"""The rows that a console is sent. Names on its socket are mapped here; times are Unix milliseconds."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal, TypeAlias

from msgspec import Struct

EngineDisplayState: TypeAlias = Literal[
    "ready", "warming", "silent", "doubted", "failing", "draining", "aside", "avoided"
]


class SiteView(
    Struct, frozen=True, rename={"open_requests": "open", "in_flight": "out", "followers": "watchers"}
):
    """The program as a whole."""

    name: str = ""
    started_ms: float = 0.0
    draining: bool = False
    open_requests: int = 0  # requests that wait for their answer
    in_flight: int = 0  # attempts at engines
    revision: int = 0  # of the register of overrides
    followers: int = 0


class EngineView(
    Struct,
    frozen=True,
    rename={
        "in_flight": "out",
        "threads_in_flight": "threads",
        "threads_per_core": "load",
        "reliability": "trust",
        "silence_score": "strikes",
        "warm_up_factor": "warmth",
        "last_response_ms": "heard_ms",
        "last_report_ms": "report_ms",
        "state_since_ms": "changed_ms",
        "supports_priorities": "priorities",
        "zone": "hall",
    },
):
    """One engine as the decision module assesses it."""

    id: str
    state: EngineDisplayState
    address: str
    protocol: str
    zone: int
    cores: float
    in_flight: int = 0  # own attempts
    threads_in_flight: int = 0  # of these attempts
    threads_per_core: float = 0.0  # in flight, those of other coordinators by report
    reliability: float = 1.0  # 1 without faults and silence, towards 0 with them
    warm_up_factor: float = 1.0  # the share of its capacity that it surely has
    silence_score: float = 0.0  # grows with each silence, and fades
    last_response_ms: float = 0.0  # 0: never
    last_report_ms: float = 0.0  # 0: never
    state_since_ms: float = 0.0  # since when it is in this state
    supports_priorities: bool = True  # whether its protocol can change the priority of running work


class ClassView(
    Struct,
    frozen=True,
    rename={
        "position": "place",
        "open_requests": "open",
        "in_flight": "out",
        "threads_in_flight": "threads",
        "concurrency_limit": "limit",
        "received": "taken",
        "rejected": "refused",
        "oldest_received_ms": "oldest_ms",
    },
):
    """One class of requests."""

    name: str
    position: int = 0  # in the order of the settings
    open_requests: int = 0
    in_flight: int = 0
    threads_in_flight: int = 0  # held by attempts in flight
    concurrency_limit: int | None = None  # threads, as an operator has set
    received: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    oldest_received_ms: float = 0.0  # of the requests that are open; 0: none is


class TeamView(
    Struct,
    frozen=True,
    rename={
        "position": "place",
        "open_requests": "open",
        "in_flight": "out",
        "threads_in_flight": "threads",
        "oldest_received_ms": "oldest_ms",
        "expected_wait_ms": "wait_ms",
    },
):
    """One team."""

    name: str
    position: int = 0  # in the order of the settings
    open_requests: int = 0
    in_flight: int = 0
    threads_in_flight: int = 0
    oldest_received_ms: float = 0.0
    queued: int = 0  # that wait for admission, where there are quotas
    expected_wait_ms: float | None = None  # of a request of the first class


class RequestView(
    Struct,
    frozen=True,
    rename={
        "transaction_id": "txn",
        "received_ms": "taken_ms",
        "attempt_count": "attempts",
        "class_name": "lane",
    },
):
    """One open request."""

    id: int
    transaction_id: str
    class_name: str
    team: str
    received_ms: float
    deadline_ms: float
    attempt_count: int
    engine: str  # where it runs; empty while it waits


class RejectionView(Struct, frozen=True, rename={"class_name": "lane"}):
    """How often requests of a class were rejected for one reason."""

    class_name: str
    reason: str
    count: int


class OverrideView(Struct, frozen=True, rename={"effect": "what", "author": "who", "applied_ms": "at_ms"}):
    """An operator's override, active until the program starts again."""

    target: str  # "engine:s-1", "class:lookup", "site"
    effect: str
    author: str
    applied_ms: float
    revision: int


class MemberView(
    Struct,
    frozen=True,
    rename={
        "reported_by": "by",
        "suspicion_ends_ms": "until_ms",
        "reachable_only_indirectly": "cut_off",
        "is_self": "own",
        "awareness_score": "health",
        "ranges_behind": "behind",
        "ledger_entries": "entries",
        "ledger_fault": "doubted",
    },
):
    """One coordinator of the fleet as this one believes it to be; itself among them."""

    name: str
    address: str
    state: str  # alive, suspect, dead, left; of itself also "mute": it hears others and is not heard
    incarnation: int
    since_ms: float = 0.0  # since when it is in this state
    reported_by: str = ""  # the member that said so
    accusers: int = 0  # of a suspect
    suspicion_ends_ms: float = 0.0  # when a suspect counts as dead; 0: no suspect
    reachable_only_indirectly: bool = False
    is_self: bool = False
    awareness_score: int = 0  # of itself: 0 is healthy, timeouts stretch by one more than this
    ranges_behind: int | None = (
        None  # ranges of the ledger in which it differed when last compared; None: never was
    )
    ledger_entries: int = 0  # of itself: loads that its ledger remembers ...
    store_bytes: int = 0  # ... and what they take on disk
    ledger_fault: str = ""  # of itself: why its ledger grants nothing just now


class QuotaView(
    Struct,
    frozen=True,
    rename={
        "total": "whole",
        "quota": "share",
        "guaranteed_quota": "floor",
        "in_use": "out",
        "demand": "wants",
        "lease_expires_ms": "until_ms",
        "is_self": "own",
        "is_leader": "leads",
    },
):
    """One member's quota of one budget of the fleet: this one's own, and all members' where this one leads.

    Amounts are threads or requests a second. Of others, ``in_use`` and ``guaranteed_quota`` are not known.
    """

    member: str
    budget: str  # "threads:karri-energy:*": its kind, team and class
    total: float
    quota: float  # in force, with the guaranteed part
    guaranteed_quota: float = 0.0
    in_use: float = 0.0
    demand: float = 0.0
    lease_expires_ms: float = 0.0  # of what goes beyond the guaranteed quota; 0: nothing does
    leader: str = ""  # who grants quotas, as far as is known
    is_self: bool = False
    is_leader: bool = False  # of itself: it surely grants quotas now


class LogLineView(Struct, frozen=True):
    """A line of the log."""

    number: int
    at_ms: float
    level: str
    text: str


TABLES: dict[str, type[Struct]] = {
    "engines": EngineView,
    "classes": ClassView,
    "teams": TeamView,
    "requests": RequestView,
    "refusals": RejectionView,
    "adjustments": OverrideView,
    "members": MemberView,
    "shares": QuotaView,
}


# The order in which a table is shown: a persistent map has none of its own.
SORT_KEYS: dict[str, Callable[[Any], Any]] = {
    "engines": lambda row: row.id,
    "classes": lambda row: row.position,
    "teams": lambda row: row.position,
    "requests": lambda row: row.id,
    "refusals": lambda row: (-row.count, row.class_name, row.reason),
    "adjustments": lambda row: row.revision,
    "members": lambda row: (not row.is_self, row.name),
    "shares": lambda row: (row.budget, not row.is_self, row.member),
}
