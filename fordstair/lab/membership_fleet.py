"""Fleets of members in virtual time: SWIM, and all-to-all heartbeats as its baseline."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from fordstair.lab.virtual_network import START_MS, Network
from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.member_table import MemberChanged
from fordstair.membership.messages import MemberState, Update
from fordstair.membership.swim import SwimMember

HEARTBEAT_JITTER_FACTORS = (0.9, 1.1)  # of the period
CHECKS_PER_PERIOD = 10.0
HEADER_BYTES = 16  # of a heartbeat, in addition to the sender's name
SEED_COUNT = 2  # members whose addresses the others use to join


class HeartbeatMember:
    """Sends a heartbeat to every member each period; one not heard for ``max_missed_periods`` is dead."""

    def __init__(
        self, name: str, others: Iterable[str], period_ms: float, max_missed_periods: int, seed: int
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._name = name
        self._period_ms = period_ms
        self._max_missed_periods = max_missed_periods
        self._random = Random(seed)
        self._last_heard = dict.fromkeys(others, 0.0)
        self._dead: set[str] = set()
        self._next_heartbeat = 0.0
        self._next_check = 0.0
        self._out: list[tuple[str, bytes]] = []
        self._changes: list[MemberChanged] = []
        self._datagram = name.encode()

    @property
    def next_due(self) -> float | None:
        """When ``tick`` must be called next."""
        return self._next_check

    def start(self, now: float) -> None:
        """Start with every other member considered alive."""
        self._last_heard = dict.fromkeys(self._last_heard, now)
        self._next_heartbeat = now + self._random.random() * self._period_ms
        self._next_check = now

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Consider the sender of a datagram alive."""
        self._last_heard[source] = now
        if source in self._dead:
            self._dead.discard(source)
            self._change(source, MemberState.DEAD, MemberState.ALIVE, now)

    def tick(self, now: float) -> None:
        """Send heartbeats if they are due, and mark silent members as dead."""
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self._period_ms * self._random.uniform(*HEARTBEAT_JITTER_FACTORS)
            self._out += [(other, self._datagram) for other in self._last_heard]
            self.counts["sent"] += len(self._last_heard)
            self.counts["sent_bytes"] += len(self._last_heard) * (len(self._datagram) + HEADER_BYTES)
        for other, last_heard in self._last_heard.items():
            if other not in self._dead and now - last_heard > self._max_missed_periods * self._period_ms:
                self._dead.add(other)
                self._change(other, MemberState.ALIVE, MemberState.DEAD, now)
        self._next_check = now + self._period_ms / CHECKS_PER_PERIOD

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Remove and return the datagrams to send, each with its destination address."""
        out = self._out
        self._out = []
        return out

    def changes(self) -> list[MemberChanged]:
        """Remove and return the member state changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def _change(self, other: str, before: MemberState, state: MemberState, now: float) -> None:
        self._changes.append(MemberChanged(other, other, before, state, 0, self._name, now))


def fleet_addresses(count: int) -> list[str]:
    """Return the addresses of a fleet's members; a member's name is its address without the port."""
    return [f"m-{number:04d}:1" for number in range(count)]


def swim_fleet(
    network: Network,
    count: int,
    config: MembershipConfig,
    seed: int,
    *,
    member_type: type[SwimMember] = SwimMember,
) -> list[str]:
    """Start ``count`` SWIM members that know each other from the start; return their addresses."""
    addresses = fleet_addresses(count)
    names = {address: address.removesuffix(":1") for address in addresses}
    known = [Update(name, address, 1, MemberState.ALIVE, name) for address, name in names.items()]
    for number, (address, name) in enumerate(names.items()):
        own_config = replace(config, name=name, address=address, seeds=tuple(addresses[:SEED_COUNT]))
        member = member_type(own_config, 1, seed * 10_007 + number)
        member.preload(START_MS, [update for update in known if update.address != address])
        network.add(address, member)
    return addresses


def member_states(network: Network) -> dict[str, dict[str, MemberState]]:
    """Return the member states in each running SWIM member's table, by its address and the member's name."""
    return {
        address: {name: member.state for name, member in node.members.items()}
        for address, node in network.nodes.items()
        if isinstance(node, SwimMember)
    }
