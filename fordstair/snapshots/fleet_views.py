"""Builds the rows about the fleet: its members, and their quotas of its budgets."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from fordstair.snapshots.views import MemberView, QuotaView

if TYPE_CHECKING:
    from fordstair.budgets.transport import FleetBudgets
    from fordstair.membership.swim import SwimMember
    from fordstair.membership.transport import Membership
    from fordstair.replication.service import ReplicationService

# Converts a monotonic time to Unix time, both in milliseconds; 0 stays 0.
ToUnixMs = Callable[[float], float]


def member_views(
    membership: Membership | None,
    ledger: ReplicationService | None,
    started_unix_ms: float,
    to_unix_ms: ToUnixMs,
) -> dict[str, MemberView]:
    """Return the members by name, this one first; empty without a fleet."""
    if membership is None or (swim := membership.swim) is None:
        return {}
    views = [_own_view(swim, ledger, started_unix_ms), *_other_views(swim, ledger, to_unix_ms)]
    return {view.name: view for view in views}


def quota_views(budgets: FleetBudgets | None, now_unix_ms: float) -> dict[str, QuotaView]:
    """Return the quotas, keyed ``member|budget``; empty without fleet budgets."""
    if budgets is None:
        return {}
    return {f"{row.member}|{row.limit_name}": QuotaView(*row) for row in budgets.rows(now_unix_ms)}


def _own_view(swim: SwimMember, ledger: ReplicationService | None, started_unix_ms: float) -> MemberView:
    own = swim.local.update
    return MemberView(
        own.name,
        own.address,
        "mute" if swim.local_health.isolated else own.state.label,
        own.incarnation,
        started_unix_ms,
        is_self=True,
        awareness_score=swim.local_health.score,
        ledger_entries=len(ledger.state.claim_replica.entries) if ledger is not None else 0,
        store_bytes=ledger.state.file.size_bytes if ledger is not None else 0,
        ledger_fault=ledger.state.unavailable_reason if ledger is not None else "",
    )


def _other_views(
    swim: SwimMember, ledger: ReplicationService | None, to_unix_ms: ToUnixMs
) -> list[MemberView]:
    differing_ranges = ledger.claim_sync.differing_ranges if ledger is not None else {}
    views = []
    for member in swim.members.values():
        suspicion = member.suspicion
        views.append(
            MemberView(
                member.name,
                member.address,
                member.state.label,
                member.incarnation,
                to_unix_ms(member.changed_ms),
                member.reporter,
                len(suspicion.accusers) if suspicion is not None else 0,
                to_unix_ms(suspicion.expires_ms) if suspicion is not None else 0.0,
                member.link_cut,
                ranges_behind=differing_ranges.get(member.name),
            )
        )
    return views
