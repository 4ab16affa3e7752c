"""A network in virtual time that drops and delays datagrams, cuts links and pauses members.

The real state machines of members run on it. It is deterministic by seed, and all times are in milliseconds.
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

START_MS = 1_000_000.0  # the members' time at the start; not 0, so that no time is 0
MAX_BUFFERED_DATAGRAMS = 500  # per paused member, like a socket's receive buffer


class Node(Protocol):
    """The interface of a member that the network drives."""

    @property
    def counts(self) -> Counter[str]:
        """Counters of the member."""

    @property
    def next_due(self) -> float | None:
        """When ``tick`` must be called next."""

    def start(self, now: float) -> None:
        """Start the member."""

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Process a received datagram."""

    def tick(self, now: float) -> None:
        """Run the timers that are due."""

    def outgoing(self) -> Sequence[tuple[str, bytes]]:
        """Remove and return the datagrams to send, each with its destination address."""

    def changes(self) -> list[MemberChanged]:
        """Remove and return the member state changes since the last call."""


@dataclass(frozen=True, slots=True)
class Observation:
    """A change of one member's view of another, with the time since the start."""

    at: float
    observer: str
    change: MemberChanged


class Network:
    """Members by name, which is also their address.

    Attributes:
        loss: share of datagrams lost.
        delay_ms: minimum and maximum one-way delay.
        now: time since the start.
        cut: returns whether the link from a source to a destination is cut.
    """

    def __init__(self, seed: int, *, loss: float = 0.0, delay_ms: tuple[float, float] = (0.2, 2.0)) -> None:
        self.loss = loss
        self.delay_ms = delay_ms
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.observations: list[Observation] = []
        self.cut: Callable[[str, str], bool] = lambda source, to: False
        self._random = Random(seed)
        self._schedule: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0
        self._next_wakes: dict[str, float] = {}
        self._paused: dict[str, list[tuple[bytes, str]]] = {}  # with their buffered datagrams

    @property
    def time(self) -> float:
        """The current time on the scale that members are driven on."""
        return START_MS + self.now

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time since the start."""
        self._last_number += 1
        heapq.heappush(self._schedule, (time, self._last_number, action))

    def add(self, name: str, node: Node) -> None:
        """Start a member; it replaces one of the same name."""
        self.nodes[name] = node
        self._next_wakes.pop(name, None)
        self._paused.pop(name, None)
        node.start(self.time)
        self.flush(name)

    def kill(self, name: str) -> None:
        """Remove a member without notice, as a crash does."""
        self.nodes.pop(name, None)
        self._paused.pop(name, None)

    def pause(self, name: str, ms: float) -> None:
        """Stop a member as SIGSTOP does: datagrams to it are buffered, and its timers fire late."""
        if name in self.nodes and name not in self._paused:
            self._paused[name] = []
            self.at(self.now + ms, lambda: self._resume(name))

    def is_paused(self, name: str) -> bool:
        """Return whether a member is paused now."""
        return name in self._paused

    def run(self, until: float) -> None:
        """Simulate the time up to ``until``, since the start."""
        while self._schedule and self._schedule[0][0] <= until:
            self.now, _, action = heapq.heappop(self._schedule)
            action()
        self.now = until

    def flush(self, name: str) -> None:
        """Send a member's outgoing datagrams, record its changes and schedule its next tick."""
        node = self.nodes[name]
        for to, datagram in node.outgoing():
            if self._random.random() < self.loss or self.cut(name, to):
                continue
            arrival = self.now + self._random.uniform(*self.delay_ms)
            self.at(arrival, partial(self._deliver, to, datagram, name))
        self.observations += [Observation(self.now, name, change) for change in node.changes()]
        due = node.next_due
        if due is not None and self._next_wakes.get(name) != due - START_MS:
            wake_at = max(self.now, due - START_MS)
            self._next_wakes[name] = wake_at
            self.at(wake_at, lambda: self._wake(name, wake_at) if name in self.nodes else None)

    def _resume(self, name: str) -> None:
        for datagram, source in self._paused.pop(name, []):
            self._deliver(name, datagram, source)
        if (node := self.nodes.get(name)) is not None:
            self._next_wakes.pop(name, None)
            node.tick(self.time)
            self.flush(name)

    def _wake(self, name: str, at: float) -> None:
        if self._next_wakes.get(name) != at or name in self._paused:
            return
        del self._next_wakes[name]
        self.nodes[name].tick(self.time)
        self.flush(name)

    def _deliver(self, name: str, datagram: bytes, source: str) -> None:
        if name in self._paused:
            if len(self._paused[name]) < MAX_BUFFERED_DATAGRAMS:
                self._paused[name].append((datagram, source))
        elif (node := self.nodes.get(name)) is not None:
            node.receive(self.time, datagram, source)
            self.flush(name)
