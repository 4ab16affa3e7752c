"""What one member may use now: its floors, and its leases while they are certain to hold; pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fordstair.budgets.demand import Amounts, Demand
from fordstair.budgets.messages import LeaseRequest, MemberId
from fordstair.budgets.plan import BudgetPlan


@dataclass(frozen=True, slots=True)
class Allotment:
    """Units leased to a member beyond its floors, for a time span (ms) of the member's own clock."""

    from_ms: float
    until_ms: float
    leased: Amounts


class LeaseHolder:
    """The leases of one process. A lease counts from the sending of its request, not from the answer.

    Invariant, never more than the limit: the leader counts the same lease from the arrival of the request,
    with a margin for clock drift, so it expires here before the leader grants its units again.

    Attributes:
        wanted: Units that could be used, beyond the floors.
        needed: Units in use and waited for, beyond the floors.
        in_use: Units in use, beyond the floors.
        requested_ms: When the last request was sent.
        until_ms: When the leases expire.
        leased: Units granted last; empty if nothing is leased.
    """

    def __init__(self, plan: BudgetPlan, member: MemberId) -> None:
        self.floors = plan.floors_of(member.name)
        self.wanted = plan.zero_units
        self.needed = plan.zero_units
        self.in_use = plan.zero_units
        self.requested_ms = 0.0
        self.until_ms = 0.0
        self.leased: Amounts = ()
        self._plan = plan
        self._member = member
        self._sequence = 0
        self._applied = 0  # sequence number of the request whose answer is in force; 0 if none is

    @property
    def sequence(self) -> int:
        """The sequence number of the last request."""
        return self._sequence

    @property
    def wanted_and_needed(self) -> Amounts:
        """The units wanted and then the units needed, beyond the floors."""
        return self.wanted + self.needed

    def allotment(self, now_ms: float) -> Amounts:
        """Return the units that may be used now.

        Callers ask before each use, since the process may have been paused since the last call.
        """
        if now_ms >= self.until_ms or not self.leased:
            return self.floors
        return tuple(floor + leased for floor, leased in zip(self.floors, self.leased, strict=True))

    def set_demand(self, demand: Demand) -> None:
        """Set the present demand."""
        self.wanted = self._beyond_floors(demand.wanted)
        self.needed = self._beyond_floors(demand.needed)
        self.in_use = self._beyond_floors(demand.in_use)

    def request(self, now_ms: float, *, leaving: bool = False) -> LeaseRequest:
        """Return the next request; answers to earlier requests are ignored from now on."""
        if leaving or now_ms >= self.until_ms:
            self.leased = ()
            self._applied = 0
        self._sequence += 1
        self.requested_ms = now_ms
        return LeaseRequest(
            self._plan.digest,
            self._member.name,
            self._member.incarnation,
            self._sequence,
            self._applied,
            self.leased,
            self.in_use,
            self.needed,
            self.wanted,
            leaving,
        )

    def apply_grant(self, now_ms: float, sequence: int, units: Sequence[int]) -> Allotment | None:
        """Apply the answer to the last request; return None for any other, or if it expired in transit."""
        until_ms = self.requested_ms + self._plan.lease_ms
        is_answer = sequence == self._sequence and sequence != self._applied
        if not is_answer or now_ms >= until_ms or len(units) != len(self._plan.limits):
            return None
        self.leased = tuple(units)
        self._applied = sequence
        self.until_ms = until_ms
        return Allotment(now_ms, until_ms, self.leased)

    def _beyond_floors(self, amounts: Sequence[int]) -> Amounts:
        return tuple(max(0, amount - floor) for amount, floor in zip(amounts, self.floors, strict=True))
