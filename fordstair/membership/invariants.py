"""Invariants of one member's state between two calls, checked in tests and simulations."""

from __future__ import annotations

from fordstair.membership.indirect_probes import MAX_RELAYED_PROBES
from fordstair.membership.messages import MAX_INCARNATION, MemberState
from fordstair.membership.swim import SwimMember
from fordstair.runtime.invariants import require


def check_invariants(swim: SwimMember) -> None:
    """Raise InvariantViolationError for the first invariant that does not hold."""
    name = swim.config.name
    require(name not in swim.members, f"{name} is in its own table")
    require(1 <= swim.local.incarnation <= MAX_INCARNATION, f"incarnation of {name} out of bounds")
    require(len(swim.members) <= swim.config.max_members, f"table of {name} exceeds max_members")
    require(swim.table.present_count == 1 + len(swim.table.present), f"{name} miscounts present members")
    require(len(swim.probe_relay) <= MAX_RELAYED_PROBES, f"{name} relays more than MAX_RELAYED_PROBES probes")
    for member in swim.members.values():
        suspected = member.state == MemberState.SUSPECT
        require(suspected == (member.suspicion is not None), f"{name}: suspicion of {member.name}")
        require(
            (member.timer is None) == (member.state == MemberState.ALIVE), f"{name}: timer of {member.name}"
        )
