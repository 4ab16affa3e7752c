"""What the console shows, as rows of text made from a picture, the time, and whether the picture is stale.

Nothing here knows a terminal. Every figure that can grow old stands beside its age, and in a stale picture
no engine is called by its state alone: it was so when last heard, which is marked with a question mark.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fordstair.snapshots.snapshot import Snapshot
from fordstair.snapshots.views import EngineView, MemberView

Rows = list[tuple[str, tuple[str, ...]]]  # key and cells


@dataclass(frozen=True, slots=True)
class Pane:
    """One table: its title, its columns, which of them hold numbers, and how its rows are made."""

    name: str
    title: str
    columns: tuple[str, ...]
    rows: Callable[[Snapshot, float, bool], Rows]
    right: frozenset[str] = frozenset()


def age(since_ms: float, now_ms: float) -> str:
    """Return how long ago that was, in at most five characters."""
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


def span(ms: float) -> str:
    """Return a time to go; what has passed is 0."""
    return age(1.0, 1.0 + max(0.0, ms))


def state_of(view: EngineView, now_ms: float, stale: bool) -> str:
    """Name an engine's state, with what belongs to it."""
    text = {
        "silent": f"silent {age(view.last_response_ms, now_ms)}",
        "warming": f"warming {view.warm_up_factor:.0%}",
        "aside": "set aside",
    }.get(view.state, view.state)
    return f"{text}?" if stale else text


def _engines(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    views: list[EngineView] = snapshot.rows("engines")
    return [
        (
            view.id,
            (
                view.id,
                state_of(view, now_ms, stale),
                age(view.state_since_ms, now_ms),
                str(view.in_flight),
                f"{view.threads_in_flight}/{view.cores:g}",
                f"{view.threads_per_core:.2f}",
                age(view.last_report_ms, now_ms),
                f"{view.reliability:.0%}",
                age(view.last_response_ms, now_ms),
                "" if view.supports_priorities else "no priorities",
            ),
        )
        for view in views
    ]


def _classes(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (
            view.name,
            (
                view.name,
                str(view.open_requests),
                str(view.in_flight),
                str(view.threads_in_flight),
                "-" if view.concurrency_limit is None else str(view.concurrency_limit),
                age(view.oldest_received_ms, now_ms) if view.open_requests else "-",
                str(view.served),
                str(view.rejected),
                str(view.failed),
            ),
        )
        for view in snapshot.rows("classes")
    ]


def _teams(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (
            view.name,
            (
                view.name,
                str(view.open_requests),
                str(view.in_flight),
                str(view.threads_in_flight),
                age(view.oldest_received_ms, now_ms) if view.open_requests else "-",
                "-" if view.expected_wait_ms is None else span(view.expected_wait_ms),
            ),
        )
        for view in snapshot.rows("teams")
    ]


def _requests(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    views = snapshot.rows("requests")
    return [
        (
            str(view.id),
            (
                view.transaction_id,
                view.class_name,
                view.team,
                age(view.received_ms, now_ms),
                span(view.deadline_ms - now_ms),
                str(view.attempt_count),
                view.engine or "waits",
            ),
        )
        for view in views
    ]


def _refusals(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    views = snapshot.rows("refusals")
    return [
        (
            f"{view.class_name}|{view.reason}",
            (view.class_name, view.reason or "no reason told", str(view.count)),
        )
        for view in views
    ]


def _adjustments(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    views = snapshot.rows("adjustments")
    return [
        (view.target, (view.target, view.effect, view.author, age(view.applied_ms, now_ms), "until restart"))
        for view in views
    ]


def _members(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (
            view.name,
            (
                f"{view.name} (here)" if view.is_self else view.name,
                f"{view.state}?" if stale else view.state,
                age(view.since_ms, now_ms),
                str(view.incarnation),
                f"{view.accusers} for {span(view.suspicion_ends_ms - now_ms)}"
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


def _shares(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
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
                span(view.lease_expires_ms - now_ms) if view.lease_expires_ms > now_ms else "floor alone",
                view.leader or "nobody known",
            ),
        )
        for view in snapshot.rows("shares")
    ]


def _notes(snapshot: Snapshot, now_ms: float, stale: bool) -> Rows:
    return [
        (str(note.number), (age(note.at_ms, now_ms), note.level, note.text))
        for note in reversed(snapshot.log_lines)
    ]


def _numbers(*names: str) -> frozenset[str]:
    return frozenset(names)


ENGINES = Pane(
    "engines",
    "Engines",
    ("engine", "state", "for", "out", "thr/cores", "load", "told", "trust", "heard", "note"),
    _engines,
    _numbers("for", "out", "thr/cores", "load", "told", "trust", "heard"),
)
CLASSES = Pane(
    "classes",
    "Classes",
    ("class", "open", "out", "threads", "limit", "oldest", "served", "refused", "failed"),
    _classes,
    _numbers("open", "out", "threads", "limit", "oldest", "served", "refused", "failed"),
)
TEAMS = Pane(
    "teams",
    "Teams",
    ("team", "open", "out", "threads", "oldest", "wait"),
    _teams,
    _numbers("open", "out", "threads", "oldest", "wait"),
)
REQUESTS = Pane(
    "requests",
    "Waiting",
    ("request", "class", "team", "age", "left", "tries", "engine"),
    _requests,
    _numbers("age", "left", "tries"),
)
REFUSALS = Pane("refusals", "Refusals", ("class", "reason", "count"), _refusals, _numbers("count"))
ADJUSTMENTS = Pane(
    "adjustments", "In force", ("what", "is", "by", "ago", "lasts"), _adjustments, _numbers("ago")
)
MEMBERS = Pane(
    "members",
    "Fleet",
    ("member", "state", "for", "incarnation", "accusers", "by", "address", "note"),
    _members,
    _numbers("for", "incarnation"),
)
SHARES = Pane(
    "shares",
    "Shares",
    ("budget", "member", "share", "out", "wants", "floor", "whole", "lease", "granted by"),
    _shares,
    _numbers("share", "out", "wants", "floor", "whole", "lease"),
)
LOG = Pane("log", "Log", ("ago", "level", "event"), _notes, _numbers("ago"))
PANES = (ENGINES, CLASSES, TEAMS, REQUESTS, REFUSALS, ADJUSTMENTS, MEMBERS, SHARES, LOG)


def headline(snapshot: Snapshot, now_ms: float, stale: str) -> str:
    """Return the line at the top; STALE comes first, so that it is seen on the narrowest terminal."""
    site = snapshot.site
    if not snapshot.number:
        return f"STALE {stale}"
    waits = site.open_requests - site.in_flight
    text = (
        f"{site.name}  up {age(site.started_ms, now_ms)}  open {site.open_requests}  waiting {waits}"
        f"  picture {snapshot.number}, {age(snapshot.at_ms, now_ms)} old"
    )
    if site.draining:
        text = f"DRAINING  {text}"
    return f"STALE: {stale}  {text}" if stale else f"LIVE  {text}"
