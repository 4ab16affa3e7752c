"""Fleets of members in virtual time: SWIM, and the all-to-all heartbeats that it is measured against."""

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
CHECKS_A_PERIOD = 10.0  # how often silence is looked at
HEADER_BYTES = 16  # of a heartbeat beside the sender's name
SEEDS = 2  # members at whose addresses the others join


class HeartbeatMember:
    """A heartbeat to every other member each period; who is silent for ``missed`` periods is dead."""

    def __init__(self, name: str, others: Iterable[str], period_ms: float, missed: int, seed: int) -> None:
        self.counts: Counter[str] = Counter()
        self._name = name
        self._period_ms = period_ms
        self._missed = missed
        self._random = Random(seed)
        self._heard = dict.fromkeys(others, 0.0)  # when each was heard last
        self._dead: set[str] = set()
        self._next_beat = 0.0
        self._next_check = 0.0
        self._out: list[tuple[str, bytes]] = []
        self._changes: list[MemberChanged] = []
        self._datagram = name.encode()

    @property
    def next_due(self) -> float | None:
        """When ``tick`` is wanted next."""
        return self._next_check

    def start(self, now: float) -> None:
        """Take every other member for alive."""
        self._heard = dict.fromkeys(self._heard, now)
        self._next_beat = now + self._random.random() * self._period_ms
        self._next_check = now

    def receive(self, now: float, datagram: bytes, source: str) -> None:
        """Whoever is heard is alive."""
        self._heard[source] = now
        if source in self._dead:
            self._dead.discard(source)
            self._change(source, MemberState.DEAD, MemberState.ALIVE, now)

    def tick(self, now: float) -> None:
        """Send the heartbeats that are due, and look at who is silent."""
        if now >= self._next_beat:
            self._next_beat = now + self._period_ms * self._random.uniform(*HEARTBEAT_JITTER_FACTORS)
            self._out += [(other, self._datagram) for other in self._heard]
            self.counts["sent"] += len(self._heard)
            self.counts["sent_bytes"] += len(self._heard) * (len(self._datagram) + HEADER_BYTES)
        for other, heard in self._heard.items():
            if other not in self._dead and now - heard > self._missed * self._period_ms:
                self._dead.add(other)
                self._change(other, MemberState.ALIVE, MemberState.DEAD, now)
        self._next_check = now + self._period_ms / CHECKS_A_PERIOD

    def outgoing(self) -> list[tuple[str, bytes]]:
        """Take out the datagrams to send, each with its address."""
        out = self._out
        self._out = []
        return out

    def changes(self) -> list[MemberChanged]:
        """Take out what has changed."""
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
    kind: type[SwimMember] = SwimMember,
) -> list[str]:
    """Start that many SWIM members who know each other already; return their addresses."""
    addresses = fleet_addresses(count)
    names = {address: address.removesuffix(":1") for address in addresses}
    known = [Update(name, address, 1, MemberState.ALIVE, name) for address, name in names.items()]
    for number, (address, name) in enumerate(names.items()):
        own_config = replace(config, name=name, address=address, seeds=tuple(addresses[:SEEDS]))
        member = kind(own_config, 1, seed * 10_007 + number)
        member.preload(START_MS, [update for update in known if update.address != address])
        network.add(address, member)
    return addresses


def member_states(network: Network) -> dict[str, dict[str, MemberState]]:
    """Return each running SWIM member's state of each other member."""
    return {
        address: {name: member.state for name, member in node.members.items()}
        for address, node in network.nodes.items()
        if isinstance(node, SwimMember)
    }
