"""What a console is told: typed views, one immutable picture of them all, and the step between two.

A picture never changes once it is made; tables are persistent maps, so that a new one shares with the
one before it whatever did not change. Times are Unix milliseconds. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal, TypeAlias

import immutables
import msgspec
from msgspec import Struct

State: TypeAlias = Literal["ready", "warming", "silent", "doubted", "failing", "draining", "aside", "avoided"]


class SiteView(
    Struct, frozen=True, rename={"open_requests": "open", "in_flight": "out", "followers": "watchers"}
):
    """The program as a whole."""

    name: str = ""
    started_ms: float = 0.0
    draining: bool = False
    open_requests: int = 0  # requests that wait for their answer
    in_flight: int = 0  # of these, attempts at engines
    revision: int = 0  # of the adjustments in force
    followers: int = 0


class EngineView(
    Struct,
    frozen=True,
    rename={
        "in_flight": "out",
        "threads_in_flight": "threads",
        "health_score": "trust",
        "warm_up_factor": "warmth",
        "last_response_ms": "heard_ms",
        "last_report_ms": "report_ms",
        "state_since_ms": "changed_ms",
        "supports_priorities": "priorities",
        "zone": "hall",
    },
):
    """One engine as the decision module believes it to be."""

    id: str
    state: State
    address: str
    protocol: str
    zone: int
    cores: float
    in_flight: int = 0  # own attempts
    threads_in_flight: int = 0  # of these
    load: float = 0.0  # threads a core, those of others by report
    health_score: float = 1.0  # 1 without faults and silence, towards 0 with them
    warm_up_factor: float = 1.0  # share of its capacity that it is surely up to
    strikes: float = 0.0
    last_response_ms: float = 0.0  # last sign of work done; 0: never
    last_report_ms: float = 0.0  # last load report; 0: never
    state_since_ms: float = 0.0  # since when it is in this state
    supports_priorities: bool = True  # whether its protocol knows the priority of running work


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
    threads_in_flight: int = 0  # held by what is out
    concurrency_limit: int | None = None  # threads, as an operator has set
    received: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    oldest_received_ms: float = 0.0  # when the oldest open request was taken; 0: none is open


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
    queued: int = 0  # that wait for their turn, where there are budgets
    expected_wait_ms: float | None = None  # that a request of the first class may expect now


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
    """How often a class was refused for one reason, and when last."""

    class_name: str
    reason: str
    count: int


class OverrideView(Struct, frozen=True, rename={"effect": "what", "author": "who", "applied_ms": "at_ms"}):
    """What an operator has changed, in force until the program starts again."""

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
    reported_by: str = ""  # who said so
    accusers: int = 0  # of a suspect
    suspicion_ends_ms: float = 0.0  # when a suspect counts as dead; 0: no suspect
    reachable_only_indirectly: bool = False  # reached through others alone
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
    """One member's share of one budget of the fleet: this one's own, and all members' where this one leads.

    Amounts are threads or requests a second. Of others ``out`` and ``floor`` are not told.
    """

    member: str
    budget: str  # "threads:karri-energy:*": its kind, team and class
    total: float
    quota: float  # in force, floor included
    guaranteed_quota: float = 0.0
    in_use: float = 0.0
    demand: float = 0.0
    lease_expires_ms: float = 0.0  # when what goes beyond the floor runs out; 0: nothing does
    leader: str = ""  # who grants, as far as is known
    is_self: bool = False
    is_leader: bool = False  # of itself: it surely grants now


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
_ORDER: dict[str, Callable[[Any], Any]] = {
    "engines": lambda row: row.id,
    "classes": lambda row: row.position,
    "teams": lambda row: row.position,
    "requests": lambda row: row.id,
    "refusals": lambda row: (-row.count, row.class_name, row.reason),
    "adjustments": lambda row: row.revision,
    "members": lambda row: (not row.is_self, row.name),
    "shares": lambda row: (row.budget, not row.is_self, row.member),
}


class Snapshot(Struct, frozen=True):
    """Everything at one moment. Numbers count up; number 0 is the empty picture before the first."""

    number: int = 0
    at_ms: float = 0.0
    site: SiteView = SiteView()
    tables: immutables.Map[str, immutables.Map[str, Any]] = immutables.Map(
        {name: immutables.Map() for name in TABLES}
    )
    notes: tuple[LogLineView, ...] = ()

    def table(self, name: str) -> immutables.Map[str, Any]:
        """Return one table, by key."""
        return self.tables[name]

    def rows(self, name: str) -> list[Any]:
        """Return one table's rows, in order."""
        return sorted(self.tables[name].values(), key=_ORDER[name])


class SnapshotDelta(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """The step from picture ``base`` to picture ``number``; from base 0 it is the full picture."""

    number: int
    base: int
    at_ms: float
    site: SiteView | None = None
    engines: dict[str, EngineView] = {}
    classes: dict[str, ClassView] = {}
    teams: dict[str, TeamView] = {}
    requests: dict[str, RequestView] = {}
    refusals: dict[str, RejectionView] = {}
    adjustments: dict[str, OverrideView] = {}
    members: dict[str, MemberView] = {}
    shares: dict[str, QuotaView] = {}
    gone: dict[str, list[str]] = {}  # keys that a table holds no more
    notes: list[LogLineView] = []


class SnapshotDeltaError(Exception):
    """A frame that does not continue the picture at hand."""


def updated_table(table: immutables.Map[str, Any], rows: dict[str, Any]) -> immutables.Map[str, Any]:
    """Return the table with exactly these rows, sharing all that is equal."""
    gone = [key for key in table if key not in rows]
    news = {key: row for key, row in rows.items() if table.get(key) != row}
    if not gone and not news:
        return table
    change = table.mutate()
    for key in gone:
        del change[key]
    change.update(news)
    return change.finish()


def delta_between(old: Snapshot, new: Snapshot) -> SnapshotDelta:
    """Return the frame that leads from one picture to a later one."""
    changed, gone = dict[str, dict[str, Any]](), dict[str, list[str]]()
    for name in TABLES:
        before, after = old.tables[name], new.tables[name]
        if before is after:
            continue
        if rows := {key: row for key, row in after.items() if before.get(key) != row}:
            changed[name] = rows
        if keys := [key for key in before if key not in after]:
            gone[name] = keys
    last = old.notes[-1].number if old.notes else 0
    return SnapshotDelta(
        new.number,
        old.number,
        new.at_ms,
        new.site if new.site != old.site else None,
        gone=gone,
        notes=[note for note in new.notes if note.number > last],
        **changed,
    )


def apply_delta(picture: Snapshot, frame: SnapshotDelta, log_lines_limit: int = 200) -> Snapshot:
    """Return the picture after a frame; raise SnapshotDeltaError where the frame continues another one."""
    if frame.base == 0:
        picture = Snapshot()
    elif frame.base != picture.number or frame.number <= picture.number:
        raise SnapshotDeltaError(
            f"a step from {frame.base} to {frame.number} where {picture.number} is at hand"
        )
    tables = picture.tables
    for name in TABLES:
        rows, gone = getattr(frame, name), frame.gone.get(name, [])
        if rows or gone:
            change = tables[name].mutate()
            for key in gone:
                change.pop(key, None)
            change.update(rows)
            tables = tables.set(name, change.finish())
    site = picture.site if frame.site is None else frame.site
    return Snapshot(
        frame.number, frame.at_ms, site, tables, (*picture.notes, *frame.notes)[-log_lines_limit:]
    )


encode = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[SnapshotDelta] = msgspec.json.Decoder(SnapshotDelta)


def decode(line: bytes | bytearray | memoryview) -> SnapshotDelta:
    """Read a frame; raise SnapshotDeltaError for what is none."""
    try:
        return _decoder.decode(line)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise SnapshotDeltaError(f"not a frame: {error}") from None
