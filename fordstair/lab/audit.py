"""Whether allotments in force ever passed a limit: spans of time by member, and their greatest sum; pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from fordstair.budgets.plan import BudgetPlan


@dataclass(slots=True)
class Span:
    """What was leased to a member beyond its floors, in a span (ms) of the auditor's clock."""

    from_ms: float
    until_ms: float
    units: tuple[int, ...]


class AuditLine(msgspec.Struct, frozen=True, rename={"incarnation": "life", "leased": "lent"}):
    """A line that a running program wrote with ``fleet.budgets.audit``."""

    member: str
    incarnation: int
    from_ms: float
    until_ms: float
    leased: tuple[int, ...]


@dataclass(slots=True)
class Audit:
    """All spans. A member's next span ends the one before; the floors of all voters count, always."""

    plan: BudgetPlan
    spans: dict[str, list[Span]] = field(default_factory=dict)

    def leased(self, member: str, from_ms: float, until_ms: float, units: Sequence[int]) -> None:
        """Note leases that came into force."""
        self.ended(member, from_ms)
        self.spans.setdefault(member, []).append(Span(from_ms, until_ms, tuple(units)))

    def ended(self, member: str, at_ms: float) -> None:
        """Note that a member uses nothing any more: it has left, or was killed."""
        if spans := self.spans.get(member):
            spans[-1].until_ms = min(spans[-1].until_ms, at_ms)

    def sums(self) -> Iterator[tuple[float, tuple[int, ...]]]:
        """Yield each moment at which the sum of allotments changes, and the sum from then on."""
        events: list[tuple[float, int, Span]] = []
        for span in (span for spans in self.spans.values() for span in spans):
            if span.until_ms > span.from_ms:
                events.append((span.from_ms, 1, span))
                events.append((span.until_ms, -1, span))
        sums = self._floors()
        for at_ms, sign, span in sorted(events, key=lambda event: event[:2]):  # ends come first at one moment
            sums = [held + sign * units for held, units in zip(sums, span.units, strict=True)]
            yield at_ms, tuple(sums)

    def peaks(self) -> tuple[float, ...]:
        """Return the greatest sum there ever was of each limit, over the limit: at most 1 if all is well."""
        greatest = self._floors()
        for _, sums in self.sums():
            greatest = [max(old, new) for old, new in zip(greatest, sums, strict=True)]
        return tuple(peak / limit.units for peak, limit in zip(greatest, self.plan.limits, strict=True))

    def violations(self) -> int:
        """Return at how many moments a sum passed its limit."""
        return sum(
            any(held > limit.units for held, limit in zip(sums, self.plan.limits, strict=True))
            for _, sums in self.sums()
        )

    def _floors(self) -> list[int]:
        return [floor * len(self.plan.voters) for floor in self.plan.floors]


def read_audit(plan: BudgetPlan, paths: Iterable[Path]) -> Audit:
    """Read what running programs wrote; all are on one machine's clock."""
    decoder: msgspec.json.Decoder[AuditLine] = msgspec.json.Decoder(AuditLine)
    lines: list[AuditLine] = []
    for path in paths:
        for text in path.read_text().splitlines():
            try:
                lines.append(decoder.decode(text))
            except msgspec.ValidationError:
                raise
            except msgspec.DecodeError:  # a line that a kill cut short
                continue
    audit = Audit(plan)
    for line in sorted(lines, key=lambda line: line.from_ms):
        # Each process by itself: one that was stopped may be followed by another under its name.
        process = f"{line.member}|{line.incarnation}"
        audit.leased(process, line.from_ms, line.until_ms, line.leased)
    return audit
