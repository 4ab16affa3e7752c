"""Audits whether the sum of the allotments in force ever exceeded a limit.

It works on recorded time spans by member; only ``read_audit`` performs I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from fordstair.budgets.plan import BudgetPlan


@dataclass(slots=True)
class Span:
    """Units leased to a member beyond its floors, during a time span (ms) of the audit clock."""

    from_ms: float
    until_ms: float
    units: tuple[int, ...]


class AuditLine(msgspec.Struct, frozen=True, rename={"incarnation": "life", "leased": "lent"}):
    """A line of the file that a running program writes if ``fleet.budgets.audit`` is set."""

    member: str
    incarnation: int
    from_ms: float
    until_ms: float
    leased: tuple[int, ...]


@dataclass(slots=True)
class Audit:
    """The lease spans of all members.

    A member's new span ends its previous one. The floors of all voters count at all times.
    """

    plan: BudgetPlan
    spans: dict[str, list[Span]] = field(default_factory=dict)

    def record_lease(self, member: str, from_ms: float, until_ms: float, units: Sequence[int]) -> None:
        """Record leases that came into force."""
        self.end_lease(member, from_ms)
        self.spans.setdefault(member, []).append(Span(from_ms, until_ms, tuple(units)))

    def end_lease(self, member: str, at_ms: float) -> None:
        """Record that a member's leases ended, because it got new ones, has left or was killed."""
        if spans := self.spans.get(member):
            spans[-1].until_ms = min(spans[-1].until_ms, at_ms)

    def sums(self) -> Iterator[tuple[float, tuple[int, ...]]]:
        """Yield each time (ms) at which the sums of allotments change, and the new sum for each limit."""
        events: list[tuple[float, int, Span]] = []
        for span in (span for spans in self.spans.values() for span in spans):
            if span.until_ms > span.from_ms:
                events.append((span.from_ms, 1, span))
                events.append((span.until_ms, -1, span))
        sums = self._floors()
        # At the same time, ends sort before starts.
        for at_ms, sign, span in sorted(events, key=lambda event: event[:2]):
            sums = [held + sign * units for held, units in zip(sums, span.units, strict=True)]
            yield at_ms, tuple(sums)

    def peaks(self) -> tuple[float, ...]:
        """Return the peak sum for each limit, divided by the limit; above 1 the limit was exceeded."""
        peaks = self._floors()
        for _, sums in self.sums():
            peaks = [max(old, new) for old, new in zip(peaks, sums, strict=True)]
        return tuple(peak / limit.units for peak, limit in zip(peaks, self.plan.limits, strict=True))

    def violations(self) -> int:
        """Return the number of changes after which a sum exceeded its limit."""
        return sum(
            any(held > limit.units for held, limit in zip(sums, self.plan.limits, strict=True))
            for _, sums in self.sums()
        )

    def _floors(self) -> list[int]:
        return [floor * len(self.plan.voters) for floor in self.plan.floors]


def read_audit(plan: BudgetPlan, paths: Iterable[Path]) -> Audit:
    """Read the audit files of running programs; the times of all are by one machine's clock."""
    decoder: msgspec.json.Decoder[AuditLine] = msgspec.json.Decoder(AuditLine)
    lines: list[AuditLine] = []
    for path in paths:
        for text in path.read_text().splitlines():
            try:
                lines.append(decoder.decode(text))
            except msgspec.ValidationError:
                raise
            except msgspec.DecodeError:  # a line truncated when its process was killed
                continue
    audit = Audit(plan)
    for line in sorted(lines, key=lambda line: line.from_ms):
        # Each process counts separately, since a stopped process may have a successor of the same name.
        process_key = f"{line.member}|{line.incarnation}"
        audit.record_lease(process_key, line.from_ms, line.until_ms, line.leased)
    return audit
