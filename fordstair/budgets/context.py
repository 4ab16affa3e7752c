"""State shared by the components of one member's state machine, and its outbox; pure."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from random import Random

from fordstair.budgets.messages import MemberId, Message, encode
from fordstair.budgets.plan import BudgetPlan


class Outbox:
    """Queues outgoing messages; messages to this member itself are looped back."""

    def __init__(self, name: str, voter_addresses: Mapping[str, str]) -> None:
        self._name = name
        self._addresses = dict(voter_addresses)
        self._datagrams: list[tuple[str, bytes]] = []
        self._looped_back: deque[Message] = deque()

    def has_address(self, name: str) -> bool:
        """Return True if the address of a voter is known."""
        return name in self._addresses

    def send(self, recipient: str, message: Message) -> None:
        """Queue a message to a voter; drop it if the voter's address is unknown."""
        if recipient == self._name:
            self._looped_back.append(message)
        elif recipient in self._addresses:
            self._datagrams.append((self._addresses[recipient], encode(message)))

    def reply(self, recipient: str, source: str, message: Message) -> None:
        """Queue an answer to the source address of a request; the address is empty for own requests."""
        if source:
            self._datagrams.append((source, encode(message)))
        elif recipient == self._name:
            self._looped_back.append(message)

    def take(self) -> list[tuple[str, bytes]]:
        """Remove and return the datagrams to send, each with its address."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def take_looped_back(self) -> Message | None:
        """Remove and return this member's first message to itself; None if there is none."""
        return self._looped_back.popleft() if self._looped_back else None


class MemberContext:
    """Plan, identity, random numbers, counters, outbox and the known leader of one member.

    Attributes:
        known_leader: Name of the last known leader; empty if unknown.
    """

    def __init__(self, plan: BudgetPlan, member: MemberId, outbox: Outbox, random: Random) -> None:
        self.plan = plan
        self.member = member
        self.outbox = outbox
        self.random = random
        self.counts: Counter[str] = Counter()
        self.known_leader = ""

    def header(self, sequence: int) -> tuple[int, str, int, int]:
        """Return the fields that start every message."""
        return self.plan.digest, self.member.name, self.member.incarnation, sequence

    def learn_leader(self, leader: str | None) -> None:
        """Record the leader named by another member; names without a known address are ignored."""
        if leader and leader != self.member.name and self.outbox.has_address(leader):
            self.known_leader = leader
