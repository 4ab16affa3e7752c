"""A fleet's members in virtual time: the real state machine on a network that loses, delays, cuts and stalls.

Deterministic by seed. ``Heartbeats`` is what SWIM is measured against: all-to-all heartbeats.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Protocol

from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.member_table import MemberChanged
from fordstair.membership.messages import MemberState, Update
from fordstair.membership.swim import SwimMember

START = 1_000_000.0  # ms; the play starts there, so that no time is 0
MAX_STALLED = 500  # datagrams that wait for a paused member: a socket's buffer is bounded too


class Node(Protocol):
    """A member as the network drives it."""

    @property
    def counts(self) -> Counter[str]:
        """What it counted."""

    @property
    def next_due(self) -> float | None:
        """When ``tick`` is wanted next."""

    def start(self, now: float) -> None:
        """Begin."""

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Take a datagram in."""

    def tick(self, now: float) -> None:
        """Do what is due."""

    def outgoing(self) -> Sequence[tuple[str, bytes]]:
        """Take the datagrams to send."""

    def changes(self) -> list[MemberChanged]:
        """Take what has changed."""


@dataclass(frozen=True, slots=True)
class Seen:
    """One member's observation of another, at a time."""

    at: float
    observer: str
    change: MemberChanged


class Network:
    """Members by name, which is their address as well; all times in milliseconds from the day's start."""

    def __init__(self, seed: int, *, loss: float = 0.0, delay_ms: tuple[float, float] = (0.2, 2.0)) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.delay_ms = delay_ms
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.seen: list[Seen] = []
        self.cut: Callable[[str, str], bool] = lambda source, to: False
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._wakes: dict[str, float] = {}
        self._stalled: dict[str, list[tuple[bytes, str]]] = {}  # datagrams that wait for a paused member

    def at(self, time: float, do: Callable[[], None]) -> None:
        """Do something at a time."""
        self._number += 1
        heapq.heappush(self._heap, (time, self._number, do))

    def add(self, name: str, node: Node) -> None:
        """Start a member, or start one of this name anew."""
        self.nodes[name] = node
        self._wakes.pop(name, None)
        self._stalled.pop(name, None)
        node.start(START + self.now)
        self.carry_out(name)

    def kill(self, name: str) -> None:
        """End a member without notice."""
        self.nodes.pop(name, None)
        self._stalled.pop(name, None)

    def pause(self, name: str, ms: float) -> None:
        """Stop a member as SIGSTOP does: what reaches it waits, and its timers fire late."""
        if name in self.nodes and name not in self._stalled:
            self._stalled[name] = []
            self.at(self.now + ms, lambda: self._resume(name))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, do = heapq.heappop(self._heap)
            do()
        self.now = until

    def views(self) -> dict[str, dict[str, int]]:
        """Return each running SWIM member's state of each other member."""
        return {
            name: {other: member.state for other, member in node.members.items()}
            for name, node in self.nodes.items()
            if isinstance(node, SwimMember)
        }

    def _resume(self, name: str) -> None:
        for datagram, source in self._stalled.pop(name, []):
            self._deliver(name, datagram, source)
        if (node := self.nodes.get(name)) is not None:
            self._wakes.pop(name, None)
            node.tick(START + self.now)
            self.carry_out(name)

    def _wake(self, name: str, at: float) -> None:
        if self._wakes.get(name) != at or name in self._stalled:
            return
        del self._wakes[name]
        self.nodes[name].tick(START + self.now)
        self.carry_out(name)

    def _deliver(self, name: str, datagram: bytes, source: str) -> None:
        if name in self._stalled:
            if len(self._stalled[name]) < MAX_STALLED:
                self._stalled[name].append((datagram, source))
        elif (node := self.nodes.get(name)) is not None:
            node.receive(START + self.now, datagram, source)
            self.carry_out(name)

    @property
    def time(self) -> float:
        """The time that members are told."""
        return START + self.now

    def paused(self, name: str) -> bool:
        """Whether a member is stopped now."""
        return name in self._stalled

    def carry_out(self, name: str) -> None:
        """Send what a member has to send, and call it again when it wants to be."""
        node = self.nodes[name]
        for to, datagram in node.outgoing():
            if self.random.random() < self.loss or self.cut(name, to):
                continue
            self.at(
                self.now + self.random.uniform(*self.delay_ms), partial(self._deliver, to, datagram, name)
            )
        self.seen += [Seen(self.now, name, change) for change in node.changes()]
        due = node.next_due
        if due is not None and self._wakes.get(name) != due - START:
            at = max(self.now, due - START)
            self._wakes[name] = at
            self.at(at, lambda: self._wake(name, at) if name in self.nodes else None)


class Heartbeats:
    """All to all: a message to everybody each period; who is silent for ``missed`` periods is dead."""

    def __init__(self, name: str, others: Iterable[str], period_ms: float, missed: int, seed: int) -> None:
        self.name = name
        self.period_ms = period_ms
        self.missed = missed
        self.counts: Counter[str] = Counter()
        self._random = Random(seed)
        self._others = dict.fromkeys(others, 0.0)
        self._dead = set[str]()
        self._next = 0.0
        self._out: list[tuple[str, bytes]] = []
        self._changes: list[MemberChanged] = []
        self._datagram = name.encode()

    @property
    def next_due(self) -> float | None:
        """When the next message is due; silence is looked at ten times a period."""
        return self._look

    def start(self, now: float) -> None:
        """Hold everybody for alive."""
        self._others = dict.fromkeys(self._others, now)
        self._next = now + self._random.random() * self.period_ms
        self._look = now

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Whoever is heard is alive."""
        self._others[source] = now
        if source in self._dead:
            self._dead.discard(source)
            self._change(source, MemberState.DEAD, MemberState.ALIVE, now)

    def tick(self, now: float) -> None:
        """Send what is due, and look at who is silent."""
        if now >= self._next:
            self._next = now + self.period_ms * self._random.uniform(0.9, 1.1)
            self._out += [(other, self._datagram) for other in self._others]
            self.counts["sent"] += len(self._others)
            self.counts["sent_bytes"] += len(self._others) * (len(self._datagram) + 16)
        for other, heard in self._others.items():
            if other not in self._dead and now - heard > self.missed * self.period_ms:
                self._dead.add(other)
                self._change(other, MemberState.ALIVE, MemberState.DEAD, now)
        self._look = now + self.period_ms / 10.0

    def _change(self, other: str, before: MemberState, state: MemberState, now: float) -> None:
        self._changes.append(MemberChanged(other, other, before, state, 0, self.name, now))

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Take the datagrams to send."""
        out = self._out
        self._out = []
        return out

    def changes(self) -> list[MemberChanged]:
        """Take what has changed."""
        changes = self._changes
        self._changes = []
        return changes


def names_of(count: int) -> list[str]:
    """Return the names of a fleet's members."""
    return [f"m-{number:04d}:1" for number in range(count)]


def swim_fleet(
    network: Network, count: int, config: MembershipConfig, seed: int, *, kind: type[SwimMember] = SwimMember
) -> list[str]:
    """Start that many SWIM members who know each other already; return their addresses."""
    addresses = names_of(count)
    known = [Update(address[:-2], address, 1, MemberState.ALIVE, address[:-2]) for address in addresses]
    for number, address in enumerate(addresses):
        own_config = replace(config, name=address[:-2], address=address, seeds=tuple(addresses[:2]))
        node = kind(own_config, 1, seed * 10_007 + number)
        node.preload(START, [update for update in known if update.address != address])
        network.add(address, node)
    return addresses
