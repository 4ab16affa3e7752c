"""A network in virtual time that loses, delays, cuts and stalls; the real state machines run on it.

Deterministic by seed. All times are in milliseconds.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Protocol

from fordstair.membership.member_table import MemberChanged

START = 1_000_000.0  # what members are told at the day's start, so that no time is 0
MAX_BUFFERED_DATAGRAMS = 500  # of a paused member, as in a socket's buffer


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
        """Take out the datagrams to send, each with its address."""

    def changes(self) -> list[MemberChanged]:
        """Take out what has changed."""


@dataclass(frozen=True, slots=True)
class Observation:
    """What one member came to believe of another, at a time from the day's start."""

    at: float
    observer: str
    change: MemberChanged


class Network:
    """Members by name, which is their address as well; ``now`` counts from the day's start."""

    def __init__(self, seed: int, *, loss: float = 0.0, delay_ms: tuple[float, float] = (0.2, 2.0)) -> None:
        self.loss = loss
        self.delay_ms = delay_ms
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.observations: list[Observation] = []
        self.cut: Callable[[str, str], bool] = lambda source, to: False
        self._random = Random(seed)
        self._schedule: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._wakes: dict[str, float] = {}
        self._paused: dict[str, list[tuple[bytes, str]]] = {}  # with the datagrams that wait

    @property
    def time(self) -> float:
        """The time that members are told."""
        return START + self.now

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time from the day's start."""
        self._number += 1
        heapq.heappush(self._schedule, (time, self._number, action))

    def add(self, name: str, node: Node) -> None:
        """Start a member, or start one of this name anew."""
        self.nodes[name] = node
        self._wakes.pop(name, None)
        self._paused.pop(name, None)
        node.start(self.time)
        self.carry_out(name)

    def kill(self, name: str) -> None:
        """End a member without notice."""
        self.nodes.pop(name, None)
        self._paused.pop(name, None)

    def pause(self, name: str, ms: float) -> None:
        """Stop a member as SIGSTOP does: what reaches it waits, and its timers fire late."""
        if name in self.nodes and name not in self._paused:
            self._paused[name] = []
            self.at(self.now + ms, lambda: self._resume(name))

    def paused(self, name: str) -> bool:
        """Whether a member is stopped now."""
        return name in self._paused

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._schedule and self._schedule[0][0] <= until:
            self.now, _, action = heapq.heappop(self._schedule)
            action()
        self.now = until

    def carry_out(self, name: str) -> None:
        """Send what a member has to send, and call it again when it wants to be."""
        node = self.nodes[name]
        for to, datagram in node.outgoing():
            if self._random.random() < self.loss or self.cut(name, to):
                continue
            arrival = self.now + self._random.uniform(*self.delay_ms)
            self.at(arrival, partial(self._deliver, to, datagram, name))
        self.observations += [Observation(self.now, name, change) for change in node.changes()]
        due = node.next_due
        if due is not None and self._wakes.get(name) != due - START:
            wake = max(self.now, due - START)
            self._wakes[name] = wake
            self.at(wake, lambda: self._wake(name, wake) if name in self.nodes else None)

    def _resume(self, name: str) -> None:
        for datagram, source in self._paused.pop(name, []):
            self._deliver(name, datagram, source)
        if (node := self.nodes.get(name)) is not None:
            self._wakes.pop(name, None)
            node.tick(self.time)
            self.carry_out(name)

    def _wake(self, name: str, at: float) -> None:
        if self._wakes.get(name) != at or name in self._paused:
            return
        del self._wakes[name]
        self.nodes[name].tick(self.time)
        self.carry_out(name)

    def _deliver(self, name: str, datagram: bytes, source: str) -> None:
        if name in self._paused:
            if len(self._paused[name]) < MAX_BUFFERED_DATAGRAMS:
                self._paused[name].append((datagram, source))
        elif (node := self.nodes.get(name)) is not None:
            node.receive(self.time, datagram, source)
            self.carry_out(name)
