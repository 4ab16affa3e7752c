"""What one member may use now: its floor, and what it was lent for as long as that surely holds; pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fordstair.budgets.messages import Ask
from fordstair.budgets.whole import Plan


@dataclass(frozen=True, slots=True)
class Share:
    """What is lent to a member beyond its floor, from one moment to another by the member's own clock."""

    from_ms: float
    until_ms: float
    lent: tuple[int, ...]


class Holding:
    """One life of a member. Its lease counts from when the question was sent, never from the answer."""

    def __init__(self, plan: Plan, member: str) -> None:
        self.plan, self.floor = plan, plan.floor_of(member)
        self.wants = self.needs = self.uses = (0,) * len(plan.wholes)
        self.number = self.applied = 0
        self.asked_ms, self.until_ms = 0.0, 0.0
        self.lent: tuple[int, ...] = ()

    def shares(self, now: float) -> tuple[int, ...]:
        """What may be used at this moment; looked at for each use, since a pause may have come before."""
        if now >= self.until_ms or not self.lent:
            return self.floor
        return tuple(floor + lent for floor, lent in zip(self.floor, self.lent, strict=True))

    def want(self, wants: Sequence[int], needs: Sequence[int], uses: Sequence[int]) -> None:
        """Note what could be used now, what is out and waits, and what is out, floors included."""
        self.wants, self.needs, self.uses = (
            tuple(max(0, each - floor) for each, floor in zip(told, self.floor, strict=True))
            for told in (wants, needs, uses)
        )

    def ask(self, now: float, incarnation: int, sender: str, *, leaving: bool = False) -> Ask:
        """Return the next question; the answer to an earlier one is not taken any more."""
        if leaving or now >= self.until_ms:
            self.lent, self.applied = (), 0
        self.number, self.asked_ms = self.number + 1, now
        return Ask(
            self.plan.digest,
            sender,
            incarnation,
            self.number,
            self.applied,
            self.lent,
            self.uses,
            self.needs,
            self.wants,
            leaving,
        )

    def granted(self, now: float, number: int, units: Sequence[int]) -> Share | None:
        """Take the answer to the last question; None for any other, or one that has run out on its way."""
        until_ms = self.asked_ms + self.plan.term_ms
        if (
            number != self.number
            or number == self.applied
            or now >= until_ms
            or len(units) != len(self.plan.wholes)
        ):
            return None
        self.lent, self.applied, self.until_ms = tuple(units), number, until_ms
        return Share(now, until_ms, self.lent)
