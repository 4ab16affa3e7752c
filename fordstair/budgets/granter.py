"""The leader's book: what each member may hold at this moment, and what it is granted next; pure.

Google's Doorman (2016, doc/design.md) is the pattern: clients ask with what they have and want, leases
expire, and a new server learns for a term before it grants anything anew. What differs: a member's question
says which answer it has in force, and that it takes no earlier one any more. So a smaller share frees the
difference as soon as the member is heard again, and a grant that was lost on its way is never counted twice.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from fordstair.budgets.division import divide
from fordstair.budgets.messages import Ask
from fordstair.budgets.whole import Plan

CLIENTS_MOST = 5_000
USED = -1  # the number of no question
DIVIDE_MS = 50.0  # between two divisions: many ask at a time


@dataclass(frozen=True, slots=True)
class Lease:
    """What a member may hold until a time by the leader's clock."""

    number: int
    units: tuple[int, ...]
    until_ms: float


@dataclass(slots=True)
class Client:
    """One life of a member, as the leader knows it."""

    asked: int  # its last question
    needs: tuple[int, ...]
    wants: tuple[int, ...]
    heard_ms: float
    leases: list[Lease] = field(default_factory=list)  # any of them may be in force
    counted: tuple[int, ...] = ()  # the most of them, budget by budget
    granted: tuple[int, ...] = ()  # last
    since_ms: list[float] = field(default_factory=list)  # by budget: since when it has a quantum, or none


class Granter:
    """The book of one leadership; times are the leader's own clock."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan, self.counts = plan, Counter[str]()
        self.learns_until = now + plan.sure_ms  # until then an earlier leader's grants may be in force
        self.clients: dict[tuple[str, int], Client] = {}
        self.held = [0] * len(plan.wholes)  # of all clients together, the most that may be in force
        self._targets: dict[tuple[str, int], list[int]] = {}
        self._divided_ms = -1e18
        self._swept_ms = now

    def ask(self, now: float, who: tuple[str, int], ask: Ask) -> tuple[int, ...] | None:
        """Answer a question; None for one that a later one has overtaken, or that cannot be right."""
        self._sweep(now)
        client, width = self.clients.get(who), len(self.plan.wholes)
        if any(len(told) != width for told in (ask.wants, ask.needs, ask.uses, ask.has or ask.uses)):
            return None
        if client is not None and ask.number <= client.asked:
            return None
        if client is None:
            if len(self.clients) >= CLIENTS_MOST:
                self.counts["turned_away"] += 1
                return None
            nothing = (0,) * width
            client = self.clients[who] = Client(
                ask.number, nothing, nothing, now, [], nothing, nothing, [now] * width
            )
        until_ms = now + self.plan.sure_ms
        # Of all that was granted, only what it has in force can still be: it takes no earlier answer now.
        kept = [lease for lease in client.leases if lease.number == ask.applied]
        if ask.has and not kept and now < self.learns_until:  # from an earlier leader
            kept = [Lease(ask.applied, ask.has, until_ms)]
        client.asked, client.heard_ms = ask.number, now
        client.needs, client.wants = ask.needs, ask.wants
        if ask.leaving:
            self._set(client, [])
            del self.clients[who]
            return (0,) * width
        # What is out stays out until it ends: others have it only then, whatever is left to this member.
        out = [Lease(USED, ask.uses, until_ms)] if any(ask.uses) else []
        self._set(client, kept + out)
        units = self._units(now, who, client, kept)
        self._set(client, [*kept, *out, Lease(ask.number, units, until_ms)])
        self.counts["grants"] += 1
        return units

    def _units(
        self, now: float, who: tuple[str, int], client: Client, kept: Sequence[Lease]
    ) -> tuple[int, ...]:
        """What a member is granted: its part of the division, as far as others have given theirs back."""
        free = [
            pool - held + own
            for pool, held, own in zip(self.plan.pools, self.held, client.counted, strict=True)
        ]
        if now >= self.learns_until:
            aim: Sequence[int] = self._division(now, who)
        else:  # no more than it surely has: what others were granted is not known yet
            aim = kept[0].units if kept else (0,) * len(free)
        units = tuple(max(0, min(target, room)) for target, room in zip(aim, free, strict=True))
        for index, whole in enumerate(self.plan.wholes):
            if (client.granted[index] >= whole.quantum) != (units[index] >= whole.quantum):
                client.since_ms[index] = now
        client.granted = units
        return units

    def _division(self, now: float, who: tuple[str, int]) -> list[int]:
        if now - self._divided_ms >= DIVIDE_MS or who not in self._targets:
            self._divided_ms = now
            names = {f"{name}|{life}": (name, life) for name, life in self.clients}
            self._targets = {each: [] for each in self.clients}
            for index, (whole, pool) in enumerate(zip(self.plan.wholes, self.plan.pools, strict=True)):
                known = {key: self.clients[each] for key, each in names.items()}
                shares = divide(
                    pool,
                    {key: each.needs[index] for key, each in known.items()},
                    {key: each.wants[index] for key, each in known.items()},
                    whole.quantum,
                    self._order(now, index, names),
                    whole.least,
                )
                for key, share in shares.items():
                    self._targets[names[key]].append(share)
        return self._targets[who]

    def _order(self, now: float, index: int, names: dict[str, tuple[str, int]]) -> list[str]:
        """Who comes first where not all can have a quantum: who has one for less than a term, then who has
        lacked one for longest, then who has had one for longest: they take turns."""
        quantum = self.plan.wholes[index].quantum

        def rank(key: str) -> tuple[int, float, str]:
            client = self.clients[names[key]]
            has, since = client.granted[index] >= quantum, client.since_ms[index]
            if has and now - since < self.plan.term_ms:
                return 0, since, key
            return (2, since, key) if has else (1, since, key)

        return sorted(names, key=rank)

    def _set(self, client: Client, leases: list[Lease]) -> None:
        """Count what a member may hold: of several leases, any may be in force."""
        counted = tuple(
            max((lease.units[index] for lease in leases), default=0) for index in range(len(self.held))
        )
        for index, (before, after) in enumerate(zip(client.counted, counted, strict=True)):
            self.held[index] += after - before
        client.leases, client.counted = leases, counted

    def _sweep(self, now: float) -> None:
        """Take back what has run out, and forget who is not heard any more."""
        if now - self._swept_ms < DIVIDE_MS:
            return
        self._swept_ms = now
        for who, client in list(self.clients.items()):
            if any(lease.until_ms <= now for lease in client.leases):
                self._set(client, [lease for lease in client.leases if lease.until_ms > now])
            if not client.leases and now - client.heard_ms > self.plan.sure_ms:
                del self.clients[who]
                self.counts["lapsed"] += 1
