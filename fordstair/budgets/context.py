"""What the parts of one member's state machine share, and its outbox; pure."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from random import Random

from fordstair.budgets.messages import MemberId, Message, encode
from fordstair.budgets.plan import BudgetPlan


class Outbox:
    """Messages to send, by address; those to this member itself are looped back."""

    def __init__(self, name: str, voter_addresses: Mapping[str, str]) -> None:
        self._name = name
        self._addresses = dict(voter_addresses)
        self._datagrams: list[tuple[str, bytes]] = []
        self._looped_back: deque[Message] = deque()

    def knows(self, name: str) -> bool:
        """Whether there is an address for a voter's name."""
        return name in self._addresses

    def send(self, recipient: str, message: Message) -> None:
        """Send to a voter; to one without an address nothing is sent."""
        if recipient == self._name:
            self._looped_back.append(message)
        elif recipient in self._addresses:
            self._datagrams.append((self._addresses[recipient], encode(message)))

    def reply(self, recipient: str, source: str, message: Message) -> None:
        """Answer a request at the address that it came from; empty: from this member itself."""
        if source:
            self._datagrams.append((source, encode(message)))
        elif recipient == self._name:
            self._looped_back.append(message)

    def take(self) -> list[tuple[str, bytes]]:
        """Take out the datagrams to send, each with its address."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def take_looped_back(self) -> Message | None:
        """Take out this member's first message to itself; None where there is none."""
        return self._looped_back.popleft() if self._looped_back else None


class MemberContext:
    """Plan, identity, random numbers, counters, outbox and the known leader of one member."""

    def __init__(self, plan: BudgetPlan, member: MemberId, outbox: Outbox, random: Random) -> None:
        self.plan = plan
        self.member = member
        self.outbox = outbox
        self.random = random
        self.counts: Counter[str] = Counter()
        self.known_leader = ""  # who was last heard to lead; empty: unknown

    def header(self, sequence: int) -> tuple[int, str, int, int]:
        """Return the fields that every message begins with."""
        return self.plan.digest, self.member.name, self.member.incarnation, sequence

    def heard_of_leader(self, leader: str | None) -> None:
        """Note another member's word on who leads; only voters with an address count."""
        if leader and leader != self.member.name and self.outbox.knows(leader):
            self.known_leader = leader
