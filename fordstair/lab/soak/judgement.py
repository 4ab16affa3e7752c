"""What a judgement of a soak consists of: broken rules, and for each rule how much was judged or excused."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

FAIR_SHARE = 0.5  # of its cases that a rule should judge


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: str
    at_s: float
    what: str
    txn: str = ""  # of the request that it is about

    def __str__(self) -> str:
        return f"{self.at_s:.3f} {self.rule}: {self.what}"


@dataclass(slots=True)
class RuleTally:
    """How many cases of one rule were judged, and how many excused, by reason."""

    judged: int = 0
    excused: Counter[str] = field(default_factory=Counter)
    violated: int = 0

    def add(self, other: RuleTally) -> None:
        """Take the cases of another run in."""
        self.judged += other.judged
        self.excused += other.excused
        self.violated += other.violated

    @property
    def judged_share(self) -> float:
        """Which share of the cases was judged; 1 where there was none."""
        cases = self.judged + self.excused.total()
        return self.judged / cases if cases else 1.0

    def __str__(self) -> str:
        reasons = ", ".join(f"{reason} {count}" for reason, count in sorted(self.excused.items()))
        excused = f"{self.excused.total()} excused" + (f" ({reasons})" if reasons else "")
        mark = "" if self.judged_share >= FAIR_SHARE else " UNDER HALF JUDGED"
        return f"{self.judged} judged, {excused}, {self.violated} violated{mark}"


class Judgement:
    """The tallies of one or more runs, by rule, and what was violated."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.rules: dict[str, RuleTally] = {}

    def judge(self, rule: str) -> None:
        """Count a case that was judged."""
        self.rules.setdefault(rule, RuleTally()).judged += 1

    def excuse(self, rule: str, reason: str) -> None:
        """Count a case that evidence excuses."""
        self.rules.setdefault(rule, RuleTally()).excused[reason] += 1

    def violate(self, violation: Violation) -> None:
        """Count a broken rule; its case was judged."""
        self.rules.setdefault(violation.rule, RuleTally()).violated += 1
        self.violations.append(violation)

    def add(self, other: Judgement) -> None:
        """Take the judgement of another run in."""
        self.violations += other.violations
        for rule, tally in other.rules.items():
            self.rules.setdefault(rule, RuleTally()).add(tally)

    def lines(self) -> Iterable[str]:
        """Yield a line for each rule."""
        return (f"rule {rule}: {tally}" for rule, tally in sorted(self.rules.items()))
