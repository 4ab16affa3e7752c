"""The delta between two snapshots, as it is sent to a console. No I/O and no clock."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from fordstair.snapshots.snapshot import Snapshot, Table
from fordstair.snapshots.views import (
    TABLES,
    ClassView,
    EngineView,
    LogLineView,
    MemberView,
    OverrideView,
    QuotaView,
    RejectionView,
    RequestView,
    SiteView,
    TeamView,
)

MAX_FOLLOWER_LOG_LINES = 200


class SnapshotDelta(
    Struct,
    frozen=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    rename={"removed": "gone", "log_lines": "notes"},
):
    """The changes from snapshot ``base`` to snapshot ``number``; with base 0, the full snapshot.

    The fields from ``engines`` to ``shares`` are named after the tables, and hold their new and changed rows.

    Attributes:
        site: The program's row, if it changed.
        removed: The keys of removed rows, by table.
        log_lines: The lines logged since the base.
    """

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
    removed: dict[str, list[str]] = {}
    log_lines: list[LogLineView] = []


class SnapshotDeltaError(Exception):
    """A frame cannot be decoded, or does not continue the snapshot that it is applied to."""


def delta_between(old: Snapshot, new: Snapshot) -> SnapshotDelta:
    """Return the delta from a snapshot to a later one."""
    changed: dict[str, dict[str, Any]] = {}
    removed: dict[str, list[str]] = {}
    for name in TABLES:
        before, after = old.tables[name], new.tables[name]
        if before is after:
            continue
        if rows := {key: row for key, row in after.items() if before.get(key) != row}:
            changed[name] = rows
        if keys := [key for key in before if key not in after]:
            removed[name] = keys
    last_line = old.log_lines[-1].number if old.log_lines else 0
    return SnapshotDelta(
        new.number,
        old.number,
        new.at_ms,
        new.site if new.site != old.site else None,
        removed=removed,
        log_lines=[line for line in new.log_lines if line.number > last_line],
        **changed,
    )


def apply_delta(snapshot: Snapshot, delta: SnapshotDelta) -> Snapshot:
    """Return the snapshot after a delta; raise SnapshotDeltaError if it does not continue the snapshot."""
    if delta.base == 0:
        snapshot = Snapshot()
    elif delta.base != snapshot.number or delta.number <= snapshot.number:
        raise SnapshotDeltaError(
            f"a step from {delta.base} to {delta.number} where {snapshot.number} is at hand"
        )
    tables = snapshot.tables
    for name in TABLES:
        rows, removed = getattr(delta, name), delta.removed.get(name, [])
        if rows or removed:
            tables = tables.set(name, _apply_rows(tables[name], rows, removed))
    site = snapshot.site if delta.site is None else delta.site
    log_lines = (*snapshot.log_lines, *delta.log_lines)[-MAX_FOLLOWER_LOG_LINES:]
    return Snapshot(delta.number, delta.at_ms, site, tables, log_lines)


def _apply_rows(table: Table, rows: dict[str, Any], removed: list[str]) -> Table:
    mutation = table.mutate()
    for key in removed:
        mutation.pop(key, None)
    mutation.update(rows)
    return mutation.finish()


encode = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[SnapshotDelta] = msgspec.json.Decoder(SnapshotDelta)


def decode(line: bytes | bytearray | memoryview) -> SnapshotDelta:
    """Decode a delta; raise SnapshotDeltaError if the line is not a valid one."""
    try:
        return _decoder.decode(line)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise SnapshotDeltaError(f"not a frame: {error}") from None
