"""The fleet's budgets in virtual time: real members with drifting clocks, a faulty network and an audit.

It is deterministic by seed. Each member's clock has its own rate and offset, while the audit uses the
network's time, which is exact.
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

DEMAND_INTERVAL_MS = 50.0
ROUNDING_MARGIN_MS = 1e-3  # without it, rounding between clocks could call a member too early
MAX_CLOCK_OFFSET_MS = 1e6


class DriftingMember:
    """A member with its own clock; the network drives it in the network's time (ms)."""

    def __init__(self, member: BudgetMember, rate: float, offset_ms: float, audit: Audit) -> None:
        self.member = member
        self.audit_key = f"{member.name}|{member.id.incarnation}"
        self._rate = rate
        self._offset_ms = offset_ms
        self._audit = audit
        member.lease_client.on_allotment = self._allotment_changed

    def to_member_ms(self, now: float) -> float:
        """Convert the network's time to the member's clock."""
        return self._offset_ms + now * self._rate

    def to_network_ms(self, member_ms: float) -> float:
        """Convert a time by the member's clock to the network's time."""
        return (member_ms - self._offset_ms) / self._rate

    @property
    def counts(self) -> Counter[str]:
        """Counters of the member."""
        return self.member.counts

    @property
    def next_due(self) -> float | None:
        """When ``tick`` must be called next."""
        due_ms = self.member.next_due
        return None if due_ms is None else self.to_network_ms(due_ms) + ROUNDING_MARGIN_MS

    def start(self, now: float) -> None:
        """Start the member."""
        self.member.start(self.to_member_ms(now))

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Process a received datagram."""
        self.member.receive(self.to_member_ms(now), datagram, source)

    def tick(self, now: float) -> None:
        """Run the timers that are due."""
        self.member.tick(self.to_member_ms(now))

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Remove and return the datagrams to send, each with its destination address."""
        return self.member.outgoing()

    def changes(self) -> list[MemberChanged]:
        """Return an empty list, since it does not track other members' states."""
        return []

    def _allotment_changed(self, allotment: Allotment) -> None:
        from_ms = self.to_network_ms(allotment.from_ms)
        self._audit.record_lease(
            self.audit_key, from_ms, self.to_network_ms(allotment.until_ms), allotment.leased
        )


class BudgetFleet:
    """Members of one plan, named m0, m1 and so on, with the voters first.

    Attributes:
        wanted: returns the units of each limit that a member wants, by its name.
        needed: returns the units of each limit that a member needs, by its name.
        in_use: returns the units of each limit that a member uses, by its name.
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
        """The network's time since the start (ms)."""
        return self.network.now

    @property
    def time(self) -> float:
        """The network's time on the scale that members are driven on (ms)."""
        return self.network.time

    def start(self, name: str) -> DriftingMember:
        """Start a member; it replaces a running one of the same name, which is killed."""
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
        """Remove a member without notice, as a crash does."""
        drifting = self.members.pop(name)
        self.network.kill(name)
        self.audit.end_lease(drifting.audit_key, self.time)

    def leave(self, name: str) -> None:
        """Let a member leave gracefully."""
        drifting = self.members.pop(name)
        drifting.member.leave(drifting.to_member_ms(self.time))
        self.audit.end_lease(drifting.audit_key, self.time)
        self.network.flush(name)
        self.network.kill(name)

    def run(self, ms: float) -> None:
        """Simulate a time span; members observe their demand every DEMAND_INTERVAL_MS."""
        until = self.network.now + ms
        while self.network.now < until:
            self.network.run(min(until, self.network.now + DEMAND_INTERVAL_MS))
            for name, drifting in self.members.items():
                if not self.network.is_paused(name):
                    drifting.member.observe_demand(drifting.to_member_ms(self.time))
                    self.network.flush(name)

    @property
    def leader(self) -> str | None:
        """The member that considers itself the leader, or None; asserts that there is at most one."""
        leaders = [
            name
            for name, drifting in self.members.items()
            if drifting.member.leads(drifting.to_member_ms(self.time))
        ]
        assert len(leaders) <= 1, leaders
        return leaders[0] if leaders else None

    def allotments(self) -> dict[str, Amounts]:
        """Return the allotment of each running member now, including floors."""
        return {name: self.allotment_of(name) for name in self.members}

    def allotment_of(self, name: str) -> Amounts:
        """Return the allotment of a running member now, including its floors."""
        drifting = self.members[name]
        return drifting.member.allotment(drifting.to_member_ms(self.time))

    def used_share(self, index: int = 0) -> float:
        """Return the share of a limit that members hold and want to use."""
        used = sum(
            min(allotment[index], self.wanted(name)[index]) for name, allotment in self.allotments().items()
        )
        return used / self.plan.limits[index].units
