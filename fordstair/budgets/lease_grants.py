"""The leader's record of leases: what each member may hold now, and what it is granted next; pure.

The pattern is Google's Doorman (2016, doc/design.md): clients report what they have and want, leases expire,
and a new server learns for the time of a lease before it grants anything new. The difference: a request says
which answer the member has in force, and the member accepts no earlier answer afterwards. So a smaller lease
frees the difference with the member's next request, and a grant lost in transit is never counted twice.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from fordstair.budgets.demand import Amounts
from fordstair.budgets.division import divide
from fordstair.budgets.messages import LeaseRequest, MemberId
from fordstair.budgets.plan import BudgetPlan

MAX_LESSEES = 5_000
DIVISION_INTERVAL_MS = 50.0  # limits the divisions when many members send requests at the same time
IN_USE_SEQUENCE = -1  # sequence number that stands for units in use, whatever was granted


@dataclass(frozen=True, slots=True)
class Lease:
    """Units that a member may hold until a time (ms) of the leader's clock.

    Attributes:
        sequence: Sequence number of the request that was answered, or ``IN_USE_SEQUENCE``.
    """

    sequence: int
    units: Amounts
    until_ms: float


@dataclass(slots=True)
class Lessee:
    """The leader's record of one process of a member.

    Attributes:
        sequence: Sequence number of the last request.
        last_request_ms: When the last request arrived.
        reserved: The maximum over its leases, for each limit.
        granted: Units granted last.
        quantum_changed_ms: For each limit, when the grant last rose to a quantum or fell below one; at first,
            when the lessee was added.
        leases: Leases of which any may be in force.
    """

    sequence: int
    needed: Amounts
    wanted: Amounts
    last_request_ms: float
    reserved: Amounts
    granted: Amounts
    quantum_changed_ms: list[float]
    leases: list[Lease] = field(default_factory=list)


class LeaseGrants:
    """The leases of one leadership; times are those of the leader's own clock (ms).

    Invariant, never more than the limit: the units reserved for all lessees together stay within the plan's
    lendable units, where a lessee's reservation is the maximum over its leases. A grant is cut to the units
    that are free.

    Attributes:
        reserved: Units of each limit reserved for all lessees together.
        learning_until_ms: Until then leases of an earlier leader may be in force.
    """

    def __init__(self, plan: BudgetPlan, now_ms: float, counts: Counter[str] | None = None) -> None:
        self.lessees: dict[MemberId, Lessee] = {}
        self.reserved = [0] * len(plan.limits)
        self.learning_until_ms = now_ms + plan.safe_expiry_ms
        self._plan = plan
        self._counts = counts if counts is not None else Counter[str]()
        self._targets: dict[MemberId, list[int]] = {}  # result of the last division
        self._divided_ms = -math.inf
        self._swept_ms = now_ms

    def grant(self, now_ms: float, member: MemberId, request: LeaseRequest) -> Amounts | None:
        """Return the units granted for a request.

        Return None if the request is malformed or not newer than the last one, or if there are too many
        lessees. A leaving member is granted nothing and removed.
        """
        self._sweep(now_ms)
        if not self._is_well_formed(request):
            return None
        lessee = self._lessee(now_ms, member, request)
        if lessee is None:
            return None
        until_ms = now_ms + self._plan.safe_expiry_ms
        in_force = self._reported_leases(now_ms, lessee, request)
        lessee.sequence = request.sequence
        lessee.last_request_ms = now_ms
        lessee.needed = request.needed
        lessee.wanted = request.wanted
        if request.leaving:
            self._set_leases(lessee, [])
            del self.lessees[member]
            return self._plan.zero_units
        if any(request.in_use):  # units stay in use until their requests end, however small the next lease
            in_force.append(Lease(IN_USE_SEQUENCE, request.in_use, until_ms))
        self._set_leases(lessee, in_force)
        units = self._grantable(now_ms, member, lessee)
        self._set_leases(lessee, [*in_force, Lease(request.sequence, units, until_ms)])
        self._counts["grants"] += 1
        return units

    def _is_well_formed(self, request: LeaseRequest) -> bool:
        width = len(self._plan.limits)
        leased_fits = not request.leased or len(request.leased) == width
        return leased_fits and all(
            len(amounts) == width for amounts in (request.wanted, request.needed, request.in_use)
        )

    def _lessee(self, now_ms: float, member: MemberId, request: LeaseRequest) -> Lessee | None:
        """Return the sender's record, added if needed; None if the request is outdated or the table full."""
        lessee = self.lessees.get(member)
        if lessee is not None:
            return lessee if request.sequence > lessee.sequence else None
        if len(self.lessees) >= MAX_LESSEES:
            self._counts["lessees_rejected"] += 1
            return None
        zero_units = self._plan.zero_units
        lessee = Lessee(
            request.sequence,
            zero_units,
            zero_units,
            now_ms,
            zero_units,
            zero_units,
            [now_ms] * len(zero_units),
        )
        self.lessees[member] = lessee
        return lessee

    def _reported_leases(self, now_ms: float, lessee: Lessee, request: LeaseRequest) -> list[Lease]:
        """Return the lease that the request reports in force; the member accepts no earlier answer now."""
        leases = [lease for lease in lessee.leases if lease.sequence == request.applied]
        if request.leased and not leases and now_ms < self.learning_until_ms:  # granted by an earlier leader
            until_ms = now_ms + self._plan.safe_expiry_ms
            leases = [Lease(request.applied, request.leased, until_ms)]
        return leases

    def _grantable(self, now_ms: float, member: MemberId, lessee: Lessee) -> Amounts:
        """Return the member's share of the division, cut to the units that are free."""
        if now_ms >= self.learning_until_ms:
            targets: Sequence[int] = self._division(now_ms, member)
        else:  # not all leases of the earlier leader are known yet: grant only what the member holds
            held = next((lease for lease in lessee.leases if lease.sequence != IN_USE_SEQUENCE), None)
            targets = held.units if held is not None else self._plan.zero_units
        units = list[int]()
        for index, target in enumerate(targets):
            free = self._plan.lendable[index] - self.reserved[index] + lessee.reserved[index]
            units.append(max(0, min(target, free)))
        self._record_quantum_changes(now_ms, lessee, units)
        lessee.granted = tuple(units)
        return lessee.granted

    def _record_quantum_changes(self, now_ms: float, lessee: Lessee, units: Sequence[int]) -> None:
        """Record when a member's grant rises to a quantum or falls below one, for ``_precedence``."""
        for index, limit in enumerate(self._plan.limits):
            if (lessee.granted[index] >= limit.quantum) != (units[index] >= limit.quantum):
                lessee.quantum_changed_ms[index] = now_ms

    def _division(self, now_ms: float, member: MemberId) -> list[int]:
        """Return a member's share of each limit, from a division at most DIVISION_INTERVAL_MS old."""
        if now_ms - self._divided_ms >= DIVISION_INTERVAL_MS or member not in self._targets:
            self._divided_ms = now_ms
            self._targets = {each: [] for each in self.lessees}
            for index, limit in enumerate(self._plan.limits):
                allotments = divide(
                    self._plan.lendable[index],
                    {each: lessee.needed[index] for each, lessee in self.lessees.items()},
                    {each: lessee.wanted[index] for each, lessee in self.lessees.items()},
                    limit.quantum,
                    self._precedence(now_ms, index),
                    limit.min_useful,
                )
                for each, units in allotments.items():
                    self._targets[each].append(units)
        return self._targets[member]

    def _precedence(self, now_ms: float, index: int) -> list[MemberId]:
        """Return the members by precedence for a quantum of a limit, so that they take turns if it is scarce.

        Members that have had a quantum for less than ``lease_ms`` come first, then members without one, the
        longest without it first, then the other members with one, the longest with it first.
        """
        quantum = self._plan.limits[index].quantum

        def rank(member: MemberId) -> tuple[int, float, str]:
            lessee = self.lessees[member]
            since_ms = lessee.quantum_changed_ms[index]
            tie_break = f"{member.name}|{member.incarnation}"
            if lessee.granted[index] < quantum:
                return 1, since_ms, tie_break
            return 0 if now_ms - since_ms < self._plan.lease_ms else 2, since_ms, tie_break

        return sorted(self.lessees, key=rank)

    def _set_leases(self, lessee: Lessee, leases: list[Lease]) -> None:
        """Replace a member's leases and reserve their maximum, since any of them may be in force."""
        reserved = tuple(
            max((lease.units[index] for lease in leases), default=0) for index in range(len(self.reserved))
        )
        for index, (before, after) in enumerate(zip(lessee.reserved, reserved, strict=True)):
            self.reserved[index] += after - before
        lessee.leases = leases
        lessee.reserved = reserved

    def _sweep(self, now_ms: float) -> None:
        """Drop expired leases, and members without leases that have stopped sending requests."""
        if now_ms - self._swept_ms < DIVISION_INTERVAL_MS:
            return
        self._swept_ms = now_ms
        for member, lessee in list(self.lessees.items()):
            if any(lease.until_ms <= now_ms for lease in lessee.leases):
                self._set_leases(lessee, [lease for lease in lessee.leases if lease.until_ms > now_ms])
            if not lessee.leases and now_ms - lessee.last_request_ms > self._plan.safe_expiry_ms:
                del self.lessees[member]
                self._counts["lessees_expired"] += 1
