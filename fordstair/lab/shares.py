"""The fleet's budgets in virtual time: the real members, a network with faults, clocks that drift, an audit.

Deterministic by seed. A member's clock runs at a rate of its own, from a start of its own; the audit's is the
right one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from fordstair.budgets.holding import Share
from fordstair.budgets.node import Node
from fordstair.budgets.whole import Plan
from fordstair.lab.audit import Audit
from fordstair.lab.gossip import Network
from fordstair.membership.member_table import MemberChanged

DEMAND_MS = 50.0  # between two readings of what members could use


class Member:
    """One member with a clock of its own, as the network drives it."""

    def __init__(self, node: Node, rate: float, offset_ms: float, audit: Audit) -> None:
        self.node = node
        self.rate = rate
        self.offset_ms = offset_ms
        self.audit = audit
        self.key = f"{node.name}|{node.incarnation}"
        node.on_share = self._lent

    def own(self, now: float) -> float:
        """Return the time by its clock."""
        return self.offset_ms + now * self.rate

    def right(self, own: float) -> float:
        """Return the right time for one by its clock."""
        return (own - self.offset_ms) / self.rate

    def _lent(self, share: Share) -> None:
        self.audit.lent(self.key, self.right(share.from_ms), self.right(share.until_ms), share.lent)

    @property
    def counts(self) -> Counter[str]:
        """What it counted."""
        return self.node.counts

    @property
    def next_due(self) -> float | None:
        """When it wants to be called next."""
        due = self.node.next_due
        return None if due is None else self.right(due) + 1e-3  # not a rounding too early, for ever

    def start(self, now: float) -> None:
        """Begin."""
        self.node.start(self.own(now))

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Take a datagram in."""
        self.node.receive(self.own(now), datagram, source)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.node.tick(self.own(now))

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Take what is to be sent."""
        return self.node.outgoing()

    def changes(self) -> list[MemberChanged]:
        """It has no news of members."""
        return []


class Fleet:
    """Members of one plan, named m0, m1 ..., the listed ones first; ``demand`` says what each could use."""

    def __init__(self, plan: Plan, count: int, seed: int, *, skewed: bool = False, loss: float = 0.0) -> None:
        self.plan = plan
        self.skewed = skewed
        self.random = Random(seed)
        self.network = Network(seed, loss=loss)
        self.audit = Audit(plan)
        self.members: dict[str, Member] = {}
        self.demand: Callable[[str], tuple[int, ...]] = lambda name: tuple(
            whole.units for whole in plan.wholes
        )
        nothing = (0,) * len(plan.wholes)
        self.needs: Callable[[str], tuple[int, ...]] = lambda name: nothing  # what is out and waits there
        self.uses: Callable[[str], tuple[int, ...]] = lambda name: nothing  # what is out
        self._starts = 0
        for number in range(count):
            self.start(f"m{number}")

    @property
    def now(self) -> float:
        """The right time, in milliseconds from the day's start."""
        return self.network.now

    def start(self, name: str) -> Member:
        """Start a member, or one of this name anew."""
        if name in self.members:
            self.kill(name)
        self._starts += 1
        node = Node(
            self.plan,
            name,
            self._starts,
            {each: each for each in self.plan.members},
            self.random.randrange(2**32),
        )
        node.wants = lambda: self.demand(name)
        node.needs = lambda: self.needs(name)
        node.uses = lambda: self.uses(name)
        drift = self.plan.drift
        rate = self.random.choice((1.0 - drift, 1.0, 1.0 + drift)) if self.skewed else 1.0
        member = Member(node, rate, self.random.uniform(0.0, 1e6), self.audit)
        self.members[name] = member
        self.network.add(name, member)
        return member

    def kill(self, name: str) -> None:
        """End a member without notice."""
        member = self.members.pop(name)
        self.network.kill(name)
        self.audit.ended(member.key, self.right_now)

    def leave(self, name: str) -> None:
        """Let a member leave in order."""
        member = self.members.pop(name)
        member.node.leave(member.own(self.right_now))
        self.audit.ended(member.key, self.right_now)
        self.network.carry_out(name)
        self.network.kill(name)

    def run(self, ms: float) -> None:
        """Let time pass; members read their demand each DEMAND_MS."""
        until = self.network.now + ms
        while self.network.now < until:
            self.network.run(min(until, self.network.now + DEMAND_MS))
            for name, member in self.members.items():
                if not self.network.paused(name):
                    member.node.demand(member.own(self.right_now))
                    self.network.carry_out(name)

    @property
    def right_now(self) -> float:
        """The right time on the scale that members are driven on."""
        return self.network.time

    @property
    def leader(self) -> str | None:
        """Who leads, by its own knowledge; it may be several only where something is broken."""
        leaders = [name for name, each in self.members.items() if each.node.leads(each.own(self.right_now))]
        assert len(leaders) <= 1, leaders
        return leaders[0] if leaders else None

    def shares(self) -> dict[str, tuple[int, ...]]:
        """Return what each running member may use now, floors included."""
        return {name: self.share_of(name) for name in self.members}

    def share_of(self, name: str) -> tuple[int, ...]:
        """Return what one running member may use now, floors included."""
        member = self.members[name]
        return member.node.shares(member.own(self.right_now))

    def used(self, index: int = 0) -> float:
        """Return the part of a whole that members have and could use."""
        return (
            sum(min(share[index], self.demand(name)[index]) for name, share in self.shares().items())
            / self.plan.wholes[index].units
        )
