"""The panes of the console, as rows of text made from a snapshot, the time, and whether it is stale.

They are independent of the terminal. A figure that can be outdated is shown with its age, and in a stale
snapshot the state of an engine or member is marked with a question mark: it is the last known state.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fordstair.snapshots.snapshot import Snapshot
from fordstair.snapshots.views import EngineView, MemberView

# Each row is its key and its cells.
Rows = list[tuple[str, tuple[str, ...]]]


@dataclass(frozen=True, slots=True)
class Pane:
    """One table.

    Attributes:
        rows: Builds the rows from a snapshot, the Unix time now (ms) and whether the snapshot is stale.
        right_aligned: The columns that are aligned right.
    """

    name: str
    title: str
    columns: tuple[str, ...]
    rows: Callable[[Snapshot, float, bool], Rows]
    right_aligned: frozenset[str] = frozenset()


def format_age(since_ms: float, now_ms: float) -> str:
    """Format the age of a Unix time (ms), in at most five characters; 0 or below means "never"."""
    if since_ms <= 0.0:
        return "never"
    seconds = max(0.0, (now_ms - since_ms) / 1000.0)
    if seconds < 9.95:
        return f"{seconds:.1f}s"
    if seconds < 120.0:
        return f"{seconds:.0f}s"
    if seconds < 7_200.0:
        return f"{seconds / 60.0:.0f}m"
    return f"{seconds / 3_600.0:.0f}h"


def format_time_left(ms: float) -> str:
    """Format a remaining time (ms); a negative one is formatted as 0."""
    return format_age(1.0, 1.0 + max(0.0, ms))


def format_engine_state(view: EngineView, now_ms: float, stale: bool) -> str:
    """Format an engine's state with its detail; a question mark marks the state of a stale snapshot."""
    text = {
        "silent": f"silent {format_age(view.last_response_ms, now_ms)}",
        "warming": f"warming {view.warm_up_factor:.0%}",
        "aside": "set aside",
    }.get(view.state, view.state)
    return f"{text}?" if stale else text


def _engine_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    views: list[EngineView] = snapshot.rows("engines")
    return [
        (
            view.id,
            (
                view.id,
                format_engine_state(view, now_ms, stale),
                format_age(view.state_since_ms, now_ms),
                str(view.in_flight),
                f"{view.threads_in_flight}/{view.cores:g}",
                f"{view.threads_per_core:.2f}",
                format_age(view.last_report_ms, now_ms),
                f"{view.reliability:.0%}",
                format_age(view.last_response_ms, now_ms),
                "" if view.supports_priorities else "no priorities",
            ),
        )
        for view in views
    ]


def _class_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (
            view.name,
            (
                view.name,
                str(view.open_requests),
                str(view.in_flight),
                str(view.threads_in_flight),
                "-" if view.concurrency_limit is None else str(view.concurrency_limit),
                format_age(view.oldest_received_ms, now_ms) if view.open_requests else "-",
                str(view.served),
                str(view.rejected),
                str(view.failed),
            ),
        )
        for view in snapshot.rows("classes")
    ]


def _team_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (
            view.name,
            (
                view.name,
                str(view.open_requests),
                str(view.in_flight),
                str(view.threads_in_flight),
                format_age(view.oldest_received_ms, now_ms) if view.open_requests else "-",
                "-" if view.expected_wait_ms is None else format_time_left(view.expected_wait_ms),
            ),
        )
        for view in snapshot.rows("teams")
    ]


def _request_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    views = snapshot.rows("requests")
    return [
        (
            str(view.id),
            (
                view.transaction_id,
                view.class_name,
                view.team,
                format_age(view.received_ms, now_ms),
                format_time_left(view.deadline_ms - now_ms),
                str(view.attempt_count),
                view.engine or "waits",
            ),
        )
        for view in views
    ]


def _rejection_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    views = snapshot.rows("refusals")
    return [
        (
            f"{view.class_name}|{view.reason}",
            (view.class_name, view.reason or "no reason told", str(view.count)),
        )
        for view in views
    ]


def _override_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    views = snapshot.rows("adjustments")
    return [
        (
            view.target,
            (view.target, view.effect, view.author, format_age(view.applied_ms, now_ms), "until restart"),
        )
        for view in views
    ]


def _member_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (
            view.name,
            (
                f"{view.name} (here)" if view.is_self else view.name,
                f"{view.state}?" if stale else view.state,
                format_age(view.since_ms, now_ms),
                str(view.incarnation),
                f"{view.accusers} for {format_time_left(view.suspicion_ends_ms - now_ms)}"
                if view.suspicion_ends_ms
                else "-",
                view.reported_by if not view.is_self else "-",
                view.address,
                _member_note(view),
            ),
        )
        for view in snapshot.rows("members")
    ]


def _member_note(view: MemberView) -> str:
    if not view.is_self:
        notes = ["only through others"] if view.reachable_only_indirectly else []
        return ", ".join(
            notes + ([f"ledger differs in {view.ranges_behind} ranges"] if view.ranges_behind else [])
        )
    notes = [f"health {view.awareness_score}"]
    if view.store_bytes:
        notes.append(f"ledger {view.ledger_entries} loads, {view.store_bytes / 1e6:.1f} MB")
    return ", ".join(notes + ([f"grants nothing: {view.ledger_fault}"] if view.ledger_fault else []))


def _quota_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (
            f"{view.member}|{view.budget}",
            (
                view.budget,
                f"{view.member} (here)" if view.is_self else view.member,
                f"{view.quota:g}",
                f"{view.in_use:g}" if view.is_self else "-",
                f"{view.demand:g}",
                f"{view.guaranteed_quota:g}" if view.is_self else "-",
                f"{view.total:g}",
                format_time_left(view.lease_expires_ms - now_ms)
                if view.lease_expires_ms > now_ms
                else "floor alone",
                view.leader or "nobody known",
            ),
        )
        for view in snapshot.rows("shares")
    ]


def _log_rows(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (str(line.number), (format_age(line.at_ms, now_ms), line.level, line.text))
        for line in reversed(snapshot.log_lines)
    ]


def _column_set(*names: str) -> frozenset[str]:
    return frozenset(names)


ENGINES = Pane(
    "engines",
    "Engines",
    ("engine", "state", "for", "out", "thr/cores", "load", "told", "trust", "heard", "note"),
    _engine_rows,
    _column_set("for", "out", "thr/cores", "load", "told", "trust", "heard"),
)
CLASSES = Pane(
    "classes",
    "Classes",
    ("class", "open", "out", "threads", "limit", "oldest", "served", "refused", "failed"),
    _class_rows,
    _column_set("open", "out", "threads", "limit", "oldest", "served", "refused", "failed"),
)
TEAMS = Pane(
    "teams",
    "Teams",
    ("team", "open", "out", "threads", "oldest", "wait"),
    _team_rows,
    _column_set("open", "out", "threads", "oldest", "wait"),
)
REQUESTS = Pane(
    "requests",
    "Waiting",
    ("request", "class", "team", "age", "left", "tries", "engine"),
    _request_rows,
    _column_set("age", "left", "tries"),
)
REJECTIONS = Pane("refusals", "Refusals", ("class", "reason", "count"), _rejection_rows, _column_set("count"))
OVERRIDES = Pane(
    "adjustments", "In force", ("what", "is", "by", "ago", "lasts"), _override_rows, _column_set("ago")
)
MEMBERS = Pane(
    "members",
    "Fleet",
    ("member", "state", "for", "incarnation", "accusers", "by", "address", "note"),
    _member_rows,
    _column_set("for", "incarnation"),
)
QUOTAS = Pane(
    "shares",
    "Shares",
    ("budget", "member", "share", "out", "wants", "floor", "whole", "lease", "granted by"),
    _quota_rows,
    _column_set("share", "out", "wants", "floor", "whole", "lease"),
)
LOG = Pane("log", "Log", ("ago", "level", "event"), _log_rows, _column_set("ago"))
PANES = (ENGINES, CLASSES, TEAMS, REQUESTS, REJECTIONS, OVERRIDES, MEMBERS, QUOTAS, LOG)


def headline(snapshot: Snapshot, now_ms: float, stale: str) -> str:
    """Return the headline; STALE comes first, to be visible on the narrowest terminal."""
    site = snapshot.site
    if not snapshot.number:
        return f"STALE {stale}"
    waiting = site.open_requests - site.in_flight
    text = (
        f"{site.name}  up {format_age(site.started_ms, now_ms)}  open {site.open_requests}  waiting {waiting}"
        f"  picture {snapshot.number}, {format_age(snapshot.at_ms, now_ms)} old"
    )
    if site.draining:
        text = f"DRAINING  {text}"
    return f"STALE: {stale}  {text}" if stale else f"LIVE  {text}"
