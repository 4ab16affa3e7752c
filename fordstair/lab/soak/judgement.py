"""The result of judging a soak: the violations, and for each rule how many cases were judged or excused."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

MIN_JUDGED_SHARE = 0.5  # of a rule's cases; a report marks a rule that judged fewer


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule.

    Attributes:
        txn: The request that it concerns, if any.
    """

    rule: str
    at_s: float
    description: str
    txn: str = ""

    def __str__(self) -> str:
        return f"{self.at_s:.3f} {self.rule}: {self.description}"


@dataclass(slots=True)
class RuleTally:
    """How many cases of one rule were judged, excused (by reason) and violated."""

    judged: int = 0
    excused: Counter[str] = field(default_factory=Counter)
    violated: int = 0

    def merge(self, other: RuleTally) -> None:
        """Add the cases of another run."""
        self.judged += other.judged
        self.excused += other.excused
        self.violated += other.violated

    @property
    def judged_share(self) -> float:
        """The share of the cases that was judged; 1 if there were none."""
        cases = self.judged + self.excused.total()
        return self.judged / cases if cases else 1.0

    def __str__(self) -> str:
        reasons = ", ".join(f"{reason} {count}" for reason, count in sorted(self.excused.items()))
        excused = f"{self.excused.total()} excused" + (f" ({reasons})" if reasons else "")
        warning = "" if self.judged_share >= MIN_JUDGED_SHARE else " UNDER HALF JUDGED"
        return f"{self.judged} judged, {excused}, {self.violated} violated{warning}"


class Judgement:
    """The tallies of one or more runs by rule, and their violations."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.rules: dict[str, RuleTally] = {}

    def count_judged(self, rule: str) -> None:
        """Count one judged case of a rule."""
        self.rules.setdefault(rule, RuleTally()).judged += 1

    def count_excused(self, rule: str, reason: str) -> None:
        """Count one case of a rule that evidence excuses."""
        self.rules.setdefault(rule, RuleTally()).excused[reason] += 1

    def add_violation(self, violation: Violation) -> None:
        """Add a violation, and count it for its rule."""
        self.rules.setdefault(violation.rule, RuleTally()).violated += 1
        self.violations.append(violation)

    def merge(self, other: Judgement) -> None:
        """Add the judgement of another run."""
        self.violations += other.violations
        for rule, tally in other.rules.items():
            self.rules.setdefault(rule, RuleTally()).merge(tally)

    def lines(self) -> Iterable[str]:
        """Return one line for each rule, in the order of their names."""
        return (f"rule {rule}: {tally}" for rule, tally in sorted(self.rules.items()))
