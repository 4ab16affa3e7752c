"""The rows sent to consoles. Fields are renamed to their names on the socket here; times are Unix ms."""

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
    """The program as a whole.

    Attributes:
        open_requests: Number of requests without a final answer.
        in_flight: Number of attempts in flight.
        revision: Revision of the override register.
        followers: Number of consoles that follow.
    """

    name: str = ""
    started_ms: float = 0.0
    draining: bool = False
    open_requests: int = 0
    in_flight: int = 0
    revision: int = 0
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
    """One engine as the decision module assesses it.

    Attributes:
        in_flight: Number of this coordinator's attempts in flight.
        threads_in_flight: The threads that these attempts hold.
        threads_per_core: Threads in flight per core; those of other coordinators are taken from load reports.
        reliability: 1 without faults and silence; falls towards 0 with them.
        warm_up_factor: The share of its capacity that it can be relied on to have.
        silence_score: Grows with each silence and decays.
        last_response_ms: Time of the last sign of work; 0 means never.
        last_report_ms: Time of the last load report; 0 means never.
        state_since_ms: When it entered its state.
        supports_priorities: Whether its protocol can change the priority of running work.
    """

    id: str
    state: EngineDisplayState
    address: str
    protocol: str
    zone: int
    cores: float
    in_flight: int = 0
    threads_in_flight: int = 0
    threads_per_core: float = 0.0
    reliability: float = 1.0
    warm_up_factor: float = 1.0
    silence_score: float = 0.0
    last_response_ms: float = 0.0
    last_report_ms: float = 0.0
    state_since_ms: float = 0.0
    supports_priorities: bool = True


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
    """One class of requests.

    Attributes:
        position: Its position in the settings.
        in_flight: Number of attempts in flight.
        threads_in_flight: The threads that these attempts hold.
        concurrency_limit: The limit on its threads that an operator has set, if any.
        oldest_received_ms: When the oldest open request was received; 0 without open requests.
    """

    name: str
    position: int = 0
    open_requests: int = 0
    in_flight: int = 0
    threads_in_flight: int = 0
    concurrency_limit: int | None = None
    received: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    oldest_received_ms: float = 0.0


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
    """One team.

    Attributes:
        position: Its position in the settings.
        oldest_received_ms: When the oldest open request was received; 0 without open requests.
        queued: Number of requests that wait for admission; 0 without quotas.
        expected_wait_ms: Expected wait of a request of the first class; None without quotas.
    """

    name: str
    position: int = 0
    open_requests: int = 0
    in_flight: int = 0
    threads_in_flight: int = 0
    oldest_received_ms: float = 0.0
    queued: int = 0
    expected_wait_ms: float | None = None


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
    """One open request.

    Attributes:
        engine: The engine of its attempt in flight; empty while it waits.
    """

    id: int
    transaction_id: str
    class_name: str
    team: str
    received_ms: float
    deadline_ms: float
    attempt_count: int
    engine: str


class RejectionView(Struct, frozen=True, rename={"class_name": "lane"}):
    """The number of rejected requests of one class, for one reason."""

    class_name: str
    reason: str
    count: int


class OverrideView(Struct, frozen=True, rename={"effect": "what", "author": "who", "applied_ms": "at_ms"}):
    """An operator's override; active until the program restarts.

    Attributes:
        target: ``engine:s-1``, ``class:lookup`` or ``site``, for instance.
    """

    target: str
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
    """One coordinator of the fleet as this one believes it to be; this one has a row too.

    Attributes:
        state: ``alive``, ``suspect``, ``dead`` or ``left``; for this one also ``mute``, if it receives from
            others but its own messages do not reach them.
        since_ms: When it entered its state; for this one, when the program started.
        reported_by: The member that reported the state.
        accusers: Number of members that suspect it.
        suspicion_ends_ms: When a suspect is declared dead; 0 if it is not suspected.
        awareness_score: Local health, of this one only: 0 is healthy; timeouts stretch by a factor of one
            more than this.
        ranges_behind: Number of ledger ranges that differed when last compared; None if never compared.
        ledger_entries: Number of loads that the ledger of this one remembers.
        store_bytes: Size of that ledger on disk.
        ledger_fault: Why the ledger of this one grants nothing at present; empty if it does.
    """

    name: str
    address: str
    state: str
    incarnation: int
    since_ms: float = 0.0
    reported_by: str = ""
    accusers: int = 0
    suspicion_ends_ms: float = 0.0
    reachable_only_indirectly: bool = False
    is_self: bool = False
    awareness_score: int = 0
    ranges_behind: int | None = None
    ledger_entries: int = 0
    store_bytes: int = 0
    ledger_fault: str = ""


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
    """One member's quota of one budget of the fleet.

    There are rows for this member and, if it leads, for all others. Amounts are threads or requests a second.
    The ``in_use`` of other members is not known; it is 0.

    Attributes:
        budget: Its kind, team and class, as ``threads:karri-energy:*``.
        quota: The quota in force, with the guaranteed part.
        lease_expires_ms: When the part beyond the guaranteed quota expires; 0 if there is none.
        leader: The member that grants quotas, as far as known.
        is_leader: Whether the row is of this member and it is certain to grant quotas now.
    """

    member: str
    budget: str
    total: float
    quota: float
    guaranteed_quota: float = 0.0
    in_use: float = 0.0
    demand: float = 0.0
    lease_expires_ms: float = 0.0
    leader: str = ""
    is_self: bool = False
    is_leader: bool = False


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


# The display order of each table: persistent maps are unordered.
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
