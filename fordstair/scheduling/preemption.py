"""Preemption by priority: lowers queries of teams over their quota while teams within theirs wait.

This module never cancels or restarts a query. A load may be slowed, unless another team waits for the table
group that it holds: slowing it would delay that team as well (priority inversion), so the load keeps its
priority, or has it restored at once if it was lowered before.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field
from typing import NamedTuple

# A changed priority stays for at least this long, except that a priority inversion is resolved at once.
MIN_PRIORITY_HOLD_MS = 1_500.0
MAX_CHANGES_PER_S = 8.0
MIN_REMAINING_MS = 400.0  # queries expected to end sooner are left unchanged
MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class RunningQuery:
    """One running attempt.

    Attributes:
        remaining_ms: Expected time until the attempt ends.
        supports_priority: False if the engine's protocol has no message to change a priority.
    """

    id: int
    team: int
    table_group: float
    is_load: bool
    remaining_ms: float
    supports_priority: bool = True


class PriorityChange(NamedTuple):
    """A change of one query's priority: lowered if ``lowered`` is True, restored otherwise."""

    id: int
    lowered: bool


@dataclass(slots=True)
class PriorityPreemption:
    """Decides which running queries have their priority lowered or restored.

    Attributes:
        lowered_ms: When each query with a lowered priority was lowered, by id.
        restored_ms: When each running query was last restored, by id.
        tokens: Changes that may be made now; a token bucket filled at ``MAX_CHANGES_PER_S``.
        decided_ms: When the token bucket was last filled.
        unsupported_count: How often a query was not lowered because its engine does not support priorities.
    """

    lowered_ms: dict[int, float] = field(default_factory=dict)
    restored_ms: dict[int, float] = field(default_factory=dict)
    tokens: float = MAX_CHANGES_PER_S
    decided_ms: float = 0.0
    unsupported_count: int = 0

    def decide(
        self,
        now_ms: float,
        running: Iterable[RunningQuery],
        within_quota: Set[int],
        waiting: Set[int],
        waiting_for_group: Mapping[float, Set[int]],
    ) -> list[PriorityChange]:
        """Return the changes to make, and record them as made.

        Args:
            now_ms: Current time of the caller's clock in milliseconds.
            running: All running attempts.
            within_quota: Teams within their quota.
            waiting: Teams with waiting requests.
            waiting_for_group: Teams waiting for each table group.
        """
        self._refill(now_ms)
        queries = {query.id: query for query in running}
        self._drop_ended(queries)
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

    def _drop_ended(self, queries: Mapping[int, RunningQuery]) -> None:
        for times_ms in (self.lowered_ms, self.restored_ms):
            for id in [id for id in times_ms if id not in queries]:
                del times_ms[id]

    def _may_lower(self, query: RunningQuery, now_ms: float) -> bool:
        if not query.supports_priority:
            self.unsupported_count += 1
            return False
        restored_ms = self.restored_ms.get(query.id, -MIN_PRIORITY_HOLD_MS)
        return (
            query.remaining_ms > MIN_REMAINING_MS
            and self.tokens >= 1.0
            and now_ms - restored_ms >= MIN_PRIORITY_HOLD_MS
        )

    def _may_restore(self, query: RunningQuery, now_ms: float, blocks_others: bool) -> bool:
        return blocks_others or (
            now_ms - self.lowered_ms[query.id] >= MIN_PRIORITY_HOLD_MS
            and self.tokens >= 1.0
            and query.remaining_ms > MIN_REMAINING_MS
        )

    def _lower(self, query: RunningQuery, now_ms: float) -> PriorityChange:
        self.tokens -= 1.0
        self.lowered_ms[query.id] = now_ms
        return PriorityChange(query.id, lowered=True)

    def _restore(self, query: RunningQuery, now_ms: float, blocks_others: bool) -> PriorityChange:
        # Resolving a priority inversion never waits for a token and takes none.
        self.tokens -= 0.0 if blocks_others else 1.0
        del self.lowered_ms[query.id]
        self.restored_ms[query.id] = now_ms
        return PriorityChange(query.id, lowered=False)
