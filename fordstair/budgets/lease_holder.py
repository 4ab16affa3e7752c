"""What one member may use now: its floors, and its leases for as long as they surely hold; pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fordstair.budgets.demand import Amounts, Demand
from fordstair.budgets.messages import LeaseRequest, MemberId
from fordstair.budgets.plan import BudgetPlan


@dataclass(frozen=True, slots=True)
class Allotment:
    """What is leased to a member beyond its floors, in a span (ms) of the member's own clock."""

    from_ms: float
    until_ms: float
    leased: Amounts


class LeaseHolder:
    """The leases of one process. A lease counts from when its request was sent, never from the answer.

    Invariant, never more than the limit: the leader counts the same lease from when the request reached it,
    with a margin for drift, so it has expired here before the leader grants its units again.
    """

    def __init__(self, plan: BudgetPlan, member: MemberId) -> None:
        self.floors = plan.floors_of(member.name)
        self.wanted = plan.nothing  # this and the next two are beyond the floors
        self.needed = plan.nothing
        self.in_use = plan.nothing
        self.requested_ms = 0.0  # when the last request was sent
        self.until_ms = 0.0
        self.leased: Amounts = ()  # as last granted; empty: nothing
        self._plan = plan
        self._member = member
        self._sequence = 0  # of the last request
        self._applied = 0  # the request whose answer is in force

    @property
    def sequence(self) -> int:
        """The last request's sequence number."""
        return self._sequence

    @property
    def requirements(self) -> Amounts:
        """What is wanted and needed beyond the floors, one after the other."""
        return self.wanted + self.needed

    def allotment(self, now_ms: float) -> Amounts:
        """Return what may be used now; to be asked for each use, since a pause may have come before it."""
        if now_ms >= self.until_ms or not self.leased:
            return self.floors
        return tuple(floor + leased for floor, leased in zip(self.floors, self.leased, strict=True))

    def set_demand(self, demand: Demand) -> None:
        """Note the present demand."""
        self.wanted = self._beyond_floors(demand.wanted)
        self.needed = self._beyond_floors(demand.needed)
        self.in_use = self._beyond_floors(demand.in_use)

    def request(self, now_ms: float, *, leaving: bool = False) -> LeaseRequest:
        """Return the next request; the answer to an earlier one is not taken any more."""
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
        """Take the answer to the last request; None for any other, or one that has expired on its way."""
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
