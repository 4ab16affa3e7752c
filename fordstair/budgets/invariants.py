"""Invariants of one member's state between two calls; for tests and simulations."""

from __future__ import annotations

from fordstair.budgets.lease_grants import LeaseGrants
from fordstair.budgets.member import BudgetMember
from fordstair.runtime.invariants import require


def check_invariants(member: BudgetMember, now_ms: float) -> None:
    """Raise InvariantViolationError for the first violated invariant at a time of the member's clock."""
    holder = member.lease_client.holder
    allotment = member.allotment(now_ms)
    require(
        len(allotment) == len(member.plan.limits),
        f"allotment of {member.name} does not have one amount per limit",
    )
    require(
        all(units >= floor for units, floor in zip(allotment, holder.floors, strict=True)),
        f"allotment of {member.name} is below its floors",
    )
    if member.name not in member.plan.voters:
        require(member.election.candidacy is None, f"{member.name} is a candidate but not a voter")
    if member.election.grants is not None:
        _check_grants(member.election.grants, member.name)


def _check_grants(grants: LeaseGrants, name: str) -> None:
    for index, reserved in enumerate(grants.reserved):
        total = sum(lessee.reserved[index] for lessee in grants.lessees.values())
        require(reserved == total, f"{name} miscounts the units reserved for its lessees")
    for member, lessee in grants.lessees.items():
        for lease in lessee.leases:
            require(
                all(units <= held for units, held in zip(lease.units, lessee.reserved, strict=True)),
                f"{name} reserves less than {member.name} holds by a lease",
            )
