"""The leader's leases: what each member may hold at this moment, and what it is granted next; pure.

Google's Doorman (2016, doc/design.md) is the pattern: clients ask with what they have and want, leases
expire, and a new server learns for a lease's time before it grants anything anew. What differs: a member's
request says which answer it has in force, and that it takes no earlier one any more. So a smaller lease frees
the difference as soon as the member is heard again, and a grant lost on its way is never counted twice.
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
DIVISION_INTERVAL_MS = 50.0  # many request at a time: the limits are not divided for each
NO_REQUEST = -1  # in place of a sequence number: units in use, whatever was granted


@dataclass(frozen=True, slots=True)
class Lease:
    """What a member may hold until a time (ms) by the leader's clock."""

    sequence: int  # of its request
    units: Amounts
    until_ms: float


@dataclass(slots=True)
class Lessee:
    """One process of a member, as the leader knows it."""

    sequence: int  # of its last request
    needed: Amounts
    wanted: Amounts
    heard_ms: float
    reserved: Amounts  # the most that any of its leases gives it, limit by limit
    granted: Amounts  # last
    quantum_since_ms: list[float]  # by limit: since when its grant has been a quantum or more, or less
    leases: list[Lease] = field(default_factory=list)  # any of them may be in force


class LeaseGrants:
    """The leases of one leadership; times are of the leader's own clock (ms).

    Invariant, never more than the limit: what is reserved for all lessees together, that is the most that any
    lease of each may give it, stays within the plan's lendable units; a grant is cut to what is free of them.
    """

    def __init__(self, plan: BudgetPlan, now_ms: float, counts: Counter[str] | None = None) -> None:
        self.lessees: dict[MemberId, Lessee] = {}
        self.reserved = [0] * len(plan.limits)  # for all lessees together
        self.learning_until_ms = now_ms + plan.safe_expiry_ms  # an earlier leader's leases may be in force
        self._plan = plan
        self._counts = counts if counts is not None else Counter[str]()
        self._targets: dict[MemberId, list[int]] = {}  # by the last division
        self._divided_ms = -math.inf
        self._swept_ms = now_ms

    def grant(self, now_ms: float, member: MemberId, request: LeaseRequest) -> Amounts | None:
        """Answer a request; None for one that a later one has overtaken, or that is malformed."""
        self._sweep(now_ms)
        if not self._is_well_formed(request):
            return None
        lessee = self._lessee(now_ms, member, request)
        if lessee is None:
            return None
        until_ms = now_ms + self._plan.safe_expiry_ms
        in_force = self._in_force(now_ms, lessee, request)
        lessee.sequence = request.sequence
        lessee.heard_ms = now_ms
        lessee.needed = request.needed
        lessee.wanted = request.wanted
        if request.leaving:
            self._set_leases(lessee, [])
            del self.lessees[member]
            return self._plan.nothing
        if any(request.in_use):  # it stays in use until it ends, however small the next lease is
            in_force.append(Lease(NO_REQUEST, request.in_use, until_ms))
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
        """Return whose request it is; None for an overtaken one, or where there are too many."""
        lessee = self.lessees.get(member)
        if lessee is not None:
            return lessee if request.sequence > lessee.sequence else None
        if len(self.lessees) >= MAX_LESSEES:
            self._counts["lessees_rejected"] += 1
            return None
        nothing = self._plan.nothing
        lessee = Lessee(request.sequence, nothing, nothing, now_ms, nothing, nothing, [now_ms] * len(nothing))
        self.lessees[member] = lessee
        return lessee

    def _in_force(self, now_ms: float, lessee: Lessee, request: LeaseRequest) -> list[Lease]:
        """Return the one lease that the member says it has in force: it takes no earlier answer now."""
        leases = [lease for lease in lessee.leases if lease.sequence == request.applied]
        if request.leased and not leases and now_ms < self.learning_until_ms:  # from an earlier leader
            until_ms = now_ms + self._plan.safe_expiry_ms
            leases = [Lease(request.applied, request.leased, until_ms)]
        return leases

    def _grantable(self, now_ms: float, member: MemberId, lessee: Lessee) -> Amounts:
        """Return the member's part of the division, as far as others have given theirs back."""
        if now_ms >= self.learning_until_ms:
            targets: Sequence[int] = self._division(now_ms, member)
        else:  # no more than it surely has: what others were granted is not known yet
            held = next((lease for lease in lessee.leases if lease.sequence != NO_REQUEST), None)
            targets = held.units if held is not None else self._plan.nothing
        units = list[int]()
        for index, target in enumerate(targets):
            free = self._plan.lendable[index] - self.reserved[index] + lessee.reserved[index]
            units.append(max(0, min(target, free)))
        self._note_quanta(now_ms, lessee, units)
        lessee.granted = tuple(units)
        return lessee.granted

    def _note_quanta(self, now_ms: float, lessee: Lessee, units: Sequence[int]) -> None:
        """Note where a member gets or loses its only quantum, for ``_order``."""
        for index, limit in enumerate(self._plan.limits):
            if (lessee.granted[index] >= limit.quantum) != (units[index] >= limit.quantum):
                lessee.quantum_since_ms[index] = now_ms

    def _division(self, now_ms: float, member: MemberId) -> list[int]:
        """Return a member's part of each limit, at most DIVISION_INTERVAL_MS old."""
        if now_ms - self._divided_ms >= DIVISION_INTERVAL_MS or member not in self._targets:
            self._divided_ms = now_ms
            self._targets = {each: [] for each in self.lessees}
            for index, limit in enumerate(self._plan.limits):
                allotments = divide(
                    self._plan.lendable[index],
                    {each: lessee.needed[index] for each, lessee in self.lessees.items()},
                    {each: lessee.wanted[index] for each, lessee in self.lessees.items()},
                    limit.quantum,
                    self._order(now_ms, index),
                    limit.min_useful,
                )
                for each, units in allotments.items():
                    self._targets[each].append(units)
        return self._targets[member]

    def _order(self, now_ms: float, index: int) -> list[MemberId]:
        """Return who comes first where not all can have a quantum, so that they take turns.

        First who has had one for less than a lease's time, then who has lacked one for longest, then who has
        had one for longest.
        """
        quantum = self._plan.limits[index].quantum

        def rank(member: MemberId) -> tuple[int, float, str]:
            lessee = self.lessees[member]
            since_ms = lessee.quantum_since_ms[index]
            tie_break = f"{member.name}|{member.incarnation}"
            if lessee.granted[index] < quantum:
                return 1, since_ms, tie_break
            return 0 if now_ms - since_ms < self._plan.lease_ms else 2, since_ms, tie_break

        return sorted(self.lessees, key=rank)

    def _set_leases(self, lessee: Lessee, leases: list[Lease]) -> None:
        """Reserve what a member may hold: of several leases, any may be in force."""
        reserved = tuple(
            max((lease.units[index] for lease in leases), default=0) for index in range(len(self.reserved))
        )
        for index, (before, after) in enumerate(zip(lessee.reserved, reserved, strict=True)):
            self.reserved[index] += after - before
        lessee.leases = leases
        lessee.reserved = reserved

    def _sweep(self, now_ms: float) -> None:
        """Free what has expired, and forget members that are not heard any more."""
        if now_ms - self._swept_ms < DIVISION_INTERVAL_MS:
            return
        self._swept_ms = now_ms
        for member, lessee in list(self.lessees.items()):
            if any(lease.until_ms <= now_ms for lease in lessee.leases):
                self._set_leases(lessee, [lease for lease in lessee.leases if lease.until_ms > now_ms])
            if not lessee.leases and now_ms - lessee.heard_ms > self._plan.safe_expiry_ms:
                del self.lessees[member]
                self._counts["lessees_expired"] += 1
