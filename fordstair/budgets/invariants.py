"""What always holds for one member's state between two calls; for tests and simulations."""

from __future__ import annotations

from fordstair.budgets.lease_grants import LeaseGrants
from fordstair.budgets.member import BudgetMember
from fordstair.runtime.invariants import require


def check_invariants(member: BudgetMember, now_ms: float) -> None:
    """Raise InvariantViolationError for the first rule that does not hold at that time of its clock."""
    holder = member.lease_client.holder
    allotment = member.allotment(now_ms)
    require(len(allotment) == len(member.plan.limits), f"allotment of {member.name} has another width")
    require(
        all(used >= floor for used, floor in zip(allotment, holder.floors, strict=True)),
        f"{member.name} may use less than its floors",
    )
    if member.name not in member.plan.voters:
        require(member.election.candidacy is None, f"{member.name} stands for election and is no voter")
    if member.election.grants is not None:
        _check_grants(member.election.grants, member.name)


def _check_grants(grants: LeaseGrants, name: str) -> None:
    for index, reserved in enumerate(grants.reserved):
        sums = sum(lessee.reserved[index] for lessee in grants.lessees.values())
        require(reserved == sums, f"{name} miscounts what it has reserved")
    for member, lessee in grants.lessees.items():
        for lease in lessee.leases:
            require(
                all(units <= held for units, held in zip(lease.units, lessee.reserved, strict=True)),
                f"{name} reserves less than a lease of {member.name}",
            )
