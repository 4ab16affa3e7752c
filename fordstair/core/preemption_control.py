"""Lowers and restores the priority of running queries, depending on quotas and on waiting requests."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from fordstair.core.live_request import LiveRequest
from fordstair.scheduling.preemption import PriorityPreemption, RunningQuery
from fordstair.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from fordstair.core.coordinator import Coordinator

PREEMPTION_INTERVAL_MS = 200.0


class PreemptionControl:
    """Applies the decisions of PriorityPreemption to one coordinator's running queries."""

    def __init__(self, coordinator: Coordinator, scheduler: Scheduler) -> None:
        self._coordinator = coordinator
        self._scheduler = scheduler
        self._rule = PriorityPreemption()
        self._last_check_ms = 0.0

    def check(self, waiting: Iterable[LiveRequest]) -> None:
        """Change priorities as the rule decides, at most once per PREEMPTION_INTERVAL_MS to limit cost."""
        now = self._coordinator.deadlines.clock()
        if now - self._last_check_ms < PREEMPTION_INTERVAL_MS:
            return
        self._last_check_ms = now
        if self._coordinator.settings.priorities:
            self._preempt(now, waiting)

    def _preempt(self, now: float, waiting: Iterable[LiveRequest]) -> None:
        running = {
            live.id: live
            for live in self._coordinator.live.values()
            if live.call is not None and not live.finished
        }
        waiting_teams: set[int] = set()
        waiting_teams_by_group: dict[float, set[int]] = {}
        for live in waiting:
            team = live.query.tenant_index
            waiting_teams.add(team)
            waiting_teams_by_group.setdefault(live.table_group, set()).add(team)
        accounts = self._scheduler.quotas.accounts
        within_quota = {team for team in accounts if self._scheduler.quotas.is_within_quota(team)}
        queries = [self._running_query(live, now) for live in running.values()]
        for request_id, lowered in self._rule.decide(
            now, queries, within_quota, waiting_teams, waiting_teams_by_group
        ):
            self._coordinator.priorities.set_deprioritized(running[request_id], lowered)

    def _running_query(self, live: LiveRequest, now: float) -> RunningQuery:
        """Return the rule's view of an attempt in flight."""
        coordinator, query = self._coordinator, live.query
        attempt = coordinator.gateway.attempts.get((live.id, live.attempt_count - 1))
        left_ms = attempt.sent_at + attempt.expected_latency_ms - now if attempt is not None else 0.0
        engine = coordinator.engines.get(live.engine)
        return RunningQuery(
            live.id,
            query.tenant_index,
            live.table_group,
            coordinator.settings.classes[query.class_index].is_load,
            left_ms,
            engine is not None and engine.protocol != "odata",
        )
