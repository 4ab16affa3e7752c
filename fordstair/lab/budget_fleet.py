"""The fleet's budgets in virtual time: the real members, a network with faults, clocks that drift, an audit.

Deterministic by seed. A member's clock runs at a rate of its own, from a start of its own; the audit's is the
right one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from fordstair.budgets.demand import Amounts, Demand
from fordstair.budgets.lease_holder import Allotment
from fordstair.budgets.member import BudgetMember
from fordstair.budgets.plan import BudgetPlan
from fordstair.lab.audit import Audit
from fordstair.lab.virtual_network import Network
from fordstair.membership.member_table import MemberChanged

STEP_MS = 50.0  # between two looks at demand
ROUNDING_MS = 1e-3  # so that a conversion between clocks never calls a member just too early
MAX_CLOCK_OFFSET_MS = 1e6


class DriftingMember:
    """One member with a clock of its own, as the network drives it; its times are the network's (ms)."""

    def __init__(self, member: BudgetMember, rate: float, offset_ms: float, audit: Audit) -> None:
        self.member = member
        self.audit_key = f"{member.name}|{member.id.incarnation}"
        self._rate = rate
        self._offset_ms = offset_ms
        self._audit = audit
        member.lease_client.on_allotment = self._allotment_changed

    def own_ms(self, now: float) -> float:
        """Return the time by its clock."""
        return self._offset_ms + now * self._rate

    def true_ms(self, own_ms: float) -> float:
        """Return the right time for one by its clock."""
        return (own_ms - self._offset_ms) / self._rate

    @property
    def counts(self) -> Counter[str]:
        """What it counted."""
        return self.member.counts

    @property
    def next_due(self) -> float | None:
        """When it wants to be called next."""
        due_ms = self.member.next_due
        return None if due_ms is None else self.true_ms(due_ms) + ROUNDING_MS

    def start(self, now: float) -> None:
        """Begin."""
        self.member.start(self.own_ms(now))

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Take a datagram in."""
        self.member.receive(self.own_ms(now), datagram, source)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.member.tick(self.own_ms(now))

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Take what is to be sent."""
        return self.member.outgoing()

    def changes(self) -> list[MemberChanged]:
        """It reports no changes of members."""
        return []

    def _allotment_changed(self, allotment: Allotment) -> None:
        from_ms = self.true_ms(allotment.from_ms)
        self._audit.leased(self.audit_key, from_ms, self.true_ms(allotment.until_ms), allotment.leased)


class BudgetFleet:
    """Members of one plan, named m0, m1 ..., the voters first.

    ``wanted``, ``needed`` and ``in_use`` give a member's demand by its name, in units by limit.
    """

    def __init__(
        self, plan: BudgetPlan, count: int, seed: int, *, skewed: bool = False, loss: float = 0.0
    ) -> None:
        self.plan = plan
        self.network = Network(seed, loss=loss)
        self.audit = Audit(plan)
        self.members: dict[str, DriftingMember] = {}
        self.wanted: Callable[[str], Amounts] = lambda name: tuple(limit.units for limit in plan.limits)
        self.needed: Callable[[str], Amounts] = lambda name: plan.zero_units
        self.in_use: Callable[[str], Amounts] = lambda name: plan.zero_units
        self._skewed = skewed
        self._random = Random(seed)
        self._incarnation = 0
        for number in range(count):
            self.start(f"m{number}")

    @property
    def now(self) -> float:
        """The right time, in milliseconds from the day's start."""
        return self.network.now

    @property
    def time(self) -> float:
        """The right time on the scale that members are driven on (ms)."""
        return self.network.time

    def start(self, name: str) -> DriftingMember:
        """Start a member, or one of this name anew."""
        if name in self.members:
            self.kill(name)
        self._incarnation += 1
        addresses = {voter: voter for voter in self.plan.voters}
        seed = self._random.randrange(2**32)
        member = BudgetMember(self.plan, name, self._incarnation, addresses, seed)
        member.lease_client.demand_source = lambda: Demand(
            self.wanted(name), self.needed(name), self.in_use(name)
        )
        drift = self.plan.max_clock_drift
        rate = self._random.choice((1.0 - drift, 1.0, 1.0 + drift)) if self._skewed else 1.0
        offset_ms = self._random.uniform(0.0, MAX_CLOCK_OFFSET_MS)
        drifting = DriftingMember(member, rate, offset_ms, self.audit)
        self.members[name] = drifting
        self.network.add(name, drifting)
        return drifting

    def kill(self, name: str) -> None:
        """End a member without notice."""
        drifting = self.members.pop(name)
        self.network.kill(name)
        self.audit.ended(drifting.audit_key, self.time)

    def leave(self, name: str) -> None:
        """Let a member leave in order."""
        drifting = self.members.pop(name)
        drifting.member.leave(drifting.own_ms(self.time))
        self.audit.ended(drifting.audit_key, self.time)
        self.network.flush(name)
        self.network.kill(name)

    def run(self, ms: float) -> None:
        """Let time pass; members look at their demand at each STEP_MS."""
        until = self.network.now + ms
        while self.network.now < until:
            self.network.run(min(until, self.network.now + STEP_MS))
            for name, drifting in self.members.items():
                if not self.network.is_paused(name):
                    drifting.member.observe_demand(drifting.own_ms(self.time))
                    self.network.flush(name)

    @property
    def leader(self) -> str | None:
        """Who leads, by its own knowledge; the invariant of one leader is asserted here."""
        leaders = [
            name
            for name, drifting in self.members.items()
            if drifting.member.leads(drifting.own_ms(self.time))
        ]
        assert len(leaders) <= 1, leaders
        return leaders[0] if leaders else None

    def allotments(self) -> dict[str, Amounts]:
        """Return what each running member may use now, floors included."""
        return {name: self.allotment_of(name) for name in self.members}

    def allotment_of(self, name: str) -> Amounts:
        """Return what one running member may use now, floors included."""
        drifting = self.members[name]
        return drifting.member.allotment(drifting.own_ms(self.time))

    def used_share(self, index: int = 0) -> float:
        """Return the share of a limit that members have and could use."""
        used = sum(
            min(allotment[index], self.wanted(name)[index]) for name, allotment in self.allotments().items()
        )
        return used / self.plan.limits[index].units
