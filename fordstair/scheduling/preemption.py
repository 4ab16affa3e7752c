"""Preemption by priority alone: what runs beyond a quota is lowered while others wait within theirs.

Nothing is ever cancelled or started again here. A load may be slowed, unless somebody of another team waits
for the group of tables that it holds: then slowing it would hold them back as well (priority inversion), so
it keeps its priority, and gets it back at once where it was lowered before.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field
from typing import NamedTuple

MIN_PRIORITY_MS = 1_500.0  # a priority that was changed stays for so long, whatever happens
MAX_CHANGES_PER_S = 8.0
ENDS_SOON_MS = 400.0  # what is about to end is left alone
MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class RunningQuery:
    """One attempt that runs."""

    id: int
    team: int
    table_group: float
    is_load: bool
    remaining_ms: float  # until it is expected to end
    supports_priority: bool = True  # some protocols of engines have no message for it


class PriorityChange(NamedTuple):
    """A query whose priority is lowered, or else restored."""

    id: int
    lowered: bool


@dataclass(slots=True)
class PriorityPreemption:
    """Who is lowered, since when, and how many changes may still be made."""

    lowered_ms: dict[int, float] = field(default_factory=dict)  # by id: since when
    restored_ms: dict[int, float] = field(default_factory=dict)  # lately, by id
    tokens: float = MAX_CHANGES_PER_S
    decided_ms: float = 0.0
    unsupported: int = 0  # that would have been lowered, and whose engine knows no priority

    def decide(
        self,
        now_ms: float,
        running: Iterable[RunningQuery],
        within_quota: Set[int],
        waiting: Set[int],
        waiting_for_group: Mapping[float, Set[int]],
    ) -> list[PriorityChange]:
        """Return the changes to make.

        Args:
            now_ms: milliseconds of the caller's clock.
            running: all attempts that run.
            within_quota: teams within their quota.
            waiting: teams that have something waiting.
            waiting_for_group: the teams that wait for each group of tables.
        """
        self._refill(now_ms)
        queries = {query.id: query for query in running}
        self._forget_all_but(queries)
        entitled = waiting & within_quota
        changes: list[PriorityChange] = []
        for query in queries.values():
            blocks_others = query.is_load and bool(
                waiting_for_group.get(query.table_group, set()) - {query.team}
            )
            lower = query.team not in within_quota and bool(entitled - {query.team}) and not blocks_others
            is_lowered = query.id in self.lowered_ms
            if lower and not is_lowered and self._may_lower(query, now_ms):
                changes.append(self._lower(query, now_ms))
            elif not lower and is_lowered and self._may_restore(query, now_ms, blocks_others):
                changes.append(self._restore(query, now_ms, blocks_others))
        return changes

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self.decided_ms)
        self.tokens = min(MAX_CHANGES_PER_S, self.tokens + elapsed_ms * MAX_CHANGES_PER_S / MS_PER_S)
        self.decided_ms = now_ms

    def _forget_all_but(self, queries: Mapping[int, RunningQuery]) -> None:
        for table in (self.lowered_ms, self.restored_ms):
            for id in [id for id in table if id not in queries]:
                del table[id]

    def _may_lower(self, query: RunningQuery, now_ms: float) -> bool:
        if not query.supports_priority:
            self.unsupported += 1
            return False
        restored_ms = self.restored_ms.get(query.id, -MIN_PRIORITY_MS)
        return (
            query.remaining_ms > ENDS_SOON_MS
            and self.tokens >= 1.0
            and now_ms - restored_ms >= MIN_PRIORITY_MS
        )

    def _may_restore(self, query: RunningQuery, now_ms: float, blocks_others: bool) -> bool:
        return blocks_others or (
            now_ms - self.lowered_ms[query.id] >= MIN_PRIORITY_MS
            and self.tokens >= 1.0
            and query.remaining_ms > ENDS_SOON_MS
        )

    def _lower(self, query: RunningQuery, now_ms: float) -> PriorityChange:
        self.tokens -= 1.0
        self.lowered_ms[query.id] = now_ms
        return PriorityChange(query.id, lowered=True)

    def _restore(self, query: RunningQuery, now_ms: float, blocks_others: bool) -> PriorityChange:
        self.tokens -= 0.0 if blocks_others else 1.0  # a priority inversion is never waited out
        del self.lowered_ms[query.id]
        self.restored_ms[query.id] = now_ms
        return PriorityChange(query.id, lowered=False)
