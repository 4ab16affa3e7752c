"""What the fleet may use together, and the part of it that each member has without asking; pure.

Amounts are whole units: threads at engines, or thousandths of a request a second. A member that reaches
nobody falls back to its floor. Floors are taken off the whole before anything is lent, one for each listed
member whether it runs or not, so that floors and leases together never pass the whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b
from typing import Literal

MILLI = 1_000  # units of one request a second
WHOLES_MOST = 32


@dataclass(frozen=True, slots=True)
class Whole:
    """One budget of the fleet."""

    kind: Literal["threads", "rate"]
    units: int
    team: str = ""  # empty: all teams together
    class_name: str = ""  # empty: all classes together
    quantum: int = 1  # a share smaller than that would be of no use to some: threads of the largest request
    least: int = 1  # one smaller than that would be of use to none: threads of the smallest request

    @property
    def name(self) -> str:
        """Its name in logs and on the console."""
        return f"{self.kind}:{self.team or '*'}:{self.class_name or '*'}"


@dataclass(frozen=True)  # without slots: what is derived is kept, since each datagram asks for it
class Plan:
    """All budgets, who has a floor, and the bounds on time; equal in all members' files. Milliseconds."""

    cluster: str
    wholes: tuple[Whole, ...]
    members: tuple[str, ...]  # who may be the leader, votes for one, and has a floor
    term_ms: float = 5_000.0  # of a share
    drift: float = 0.01  # how far a clock's rate may be from the right one, either way
    floor_part: float = 0.2  # of an even share, that each listed member has as its floor
    size: int = 0  # how many members the fleet has, for what is an even share; at least the listed ones

    @property
    def stretch(self) -> float:
        """How much longer than a lease its lender waits: clocks at opposite ends of the bound."""
        return (1.0 + self.drift) / (1.0 - self.drift)

    @property
    def sure_ms(self) -> float:
        """After that long by any clock here, a lease given before has run out by every clock."""
        return self.term_ms * self.stretch

    @property
    def reign_ms(self) -> float:
        """How long a leader's promises hold: a third of a share's term, so that shares outlast a change."""
        return self.term_ms / 3.0

    @cached_property
    def floors(self) -> tuple[int, ...]:
        """What each listed member has of each budget at all times: room for some request, or nothing."""
        size = max(self.size, len(self.members))
        return tuple(
            int(whole.units * self.floor_part) // size // whole.least * whole.least for whole in self.wholes
        )

    @cached_property
    def pools(self) -> tuple[int, ...]:
        """What is left to lend of each budget."""
        return tuple(
            whole.units - floor * len(self.members)
            for whole, floor in zip(self.wholes, self.floors, strict=True)
        )

    def floor_of(self, member: str) -> tuple[int, ...]:
        """A member's floors; none for one that is not listed."""
        return self.floors if member in self.members else (0,) * len(self.wholes)

    @cached_property
    def digest(self) -> int:
        """48 bits that differ between two plans: who has another plan is neither granted nor voted for."""
        wholes = ", ".join(_as_digested(whole) for whole in self.wholes)
        if len(self.wholes) == 1:
            wholes += ","
        others = (sorted(self.members), self.term_ms, self.drift, self.floor_part, self.size)
        told = f"({self.cluster!r}, ({wholes}), " + repr(others)[1:]
        return int.from_bytes(blake2b(told.encode(), digest_size=6).digest(), "big")


def _as_digested(whole: Whole) -> str:
    """Return the text that the digest reads; it goes on the wire, so no name in the code may change it."""
    return (
        f"Whole(kind={whole.kind!r}, units={whole.units!r}, team={whole.team!r}, klass={whole.class_name!r}, "
        f"quantum={whole.quantum!r}, least={whole.least!r})"
    )


@dataclass(frozen=True, slots=True)
class Part:
    """One member's part in a plan, as its file tells it."""

    plan: Plan
    member: str
    listen: tuple[str, int]
    addresses: Mapping[str, str]  # of the listed members
    audit: str = ""  # a file that gets a line for each share; empty: none
