"""Whether shares in force ever passed the whole: spans of time by member, and their greatest sum; pure."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from fordstair.budgets.whole import Plan


@dataclass(slots=True)
class Span:
    """What a member held beyond its floor, from one moment to another on the clock of whoever audits."""

    from_ms: float
    until_ms: float
    units: tuple[int, ...]


@dataclass(slots=True)
class Audit:
    """All spans. A member's next span ends the one before; floors count for all listed members, always."""

    plan: Plan
    spans: dict[str, list[Span]] = field(default_factory=dict)

    def lent(self, member: str, from_ms: float, until_ms: float, units: Sequence[int]) -> None:
        """Note a share that came into force."""
        self.ended(member, from_ms)
        self.spans.setdefault(member, []).append(Span(from_ms, until_ms, tuple(units)))

    def ended(self, member: str, at_ms: float) -> None:
        """Note that a member uses nothing any more: it has left, or was killed."""
        if held := self.spans.get(member):
            held[-1].until_ms = min(held[-1].until_ms, at_ms)

    def sums(self) -> Iterator[tuple[float, tuple[int, ...]]]:
        """Yield each moment at which the sum of shares changes, and the sum from then on, floors included."""
        events = list[tuple[float, int, Span]]()
        for span in (span for held in self.spans.values() for span in held):
            if span.until_ms > span.from_ms:
                events += [(span.from_ms, 1, span), (span.until_ms, -1, span)]
        now = [floor * len(self.plan.members) for floor in self.plan.floors]
        for at, sign, span in sorted(events, key=lambda each: each[:2]):  # at one moment, ends come first
            now = [held + sign * units for held, units in zip(now, span.units, strict=True)]
            yield at, tuple(now)

    def peaks(self) -> tuple[float, ...]:
        """Return the greatest sum there ever was of each budget, over its whole: at most 1 if all is well."""
        most = [floor * len(self.plan.members) for floor in self.plan.floors]
        for _, sums in self.sums():
            most = [max(old, new) for old, new in zip(most, sums, strict=True)]
        return tuple(peak / whole.units for peak, whole in zip(most, self.plan.wholes, strict=True))

    def over(self) -> int:
        """Return at how many moments a sum passed its whole."""
        return sum(
            any(held > whole.units for held, whole in zip(sums, self.plan.wholes, strict=True))
            for _, sums in self.sums()
        )


def of_files(plan: Plan, paths: Iterable[Path]) -> Audit:
    """Read what running programs wrote with ``fleet.budgets.audit``; all are on one machine's clock."""
    audit = Audit(plan)
    rows = list[dict[str, object]]()
    for path in paths:
        for line in path.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:  # a line that a kill cut short
                continue
    for row in sorted(rows, key=lambda row: float(str(row["from_ms"]))):
        # each life by itself: one that was stopped may be followed by another under its name
        who = f"{row['member']}|{row['life']}"
        units = row["lent"]
        assert isinstance(units, list)
        audit.lent(who, float(str(row["from_ms"])), float(str(row["until_ms"])), units)
    return audit
