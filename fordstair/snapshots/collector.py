"""Collects snapshots of a running coordinator: reads what its parts hold, and changes nothing."""

from __future__ import annotations

from collections import defaultdict, deque
from itertools import islice
from typing import TYPE_CHECKING, Any

import msgspec

from fordstair.core.coordinator import Coordinator
from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import Engine
from fordstair.core.request_table import Answer
from fordstair.overrides.register import OverrideRegister
from fordstair.runtime.clock import WallClock
from fordstair.snapshots.engine_states import engine_state
from fordstair.snapshots.fleet_views import member_views, quota_views
from fordstair.snapshots.snapshot import Snapshot, updated_table
from fordstair.snapshots.views import (
    ClassView,
    EngineDisplayState,
    EngineView,
    LogLineView,
    OverrideView,
    RejectionView,
    RequestView,
    SiteView,
    TeamView,
)

if TYPE_CHECKING:
    from fordstair.budgets.transport import FleetBudgets
    from fordstair.membership.transport import Membership
    from fordstair.replication.service import ReplicationService

MAX_REQUESTS = 50  # the oldest; the counts by class and team hold all
MAX_LOG_LINES = 100


class SnapshotCollector:
    """Keeps the latest snapshot, and collects the next one from it."""

    def __init__(
        self,
        name: str,
        coordinator: Coordinator,
        overrides: OverrideRegister,
        wall_clock: WallClock,
        membership: Membership | None = None,
        ledger: ReplicationService | None = None,
        budgets: FleetBudgets | None = None,
    ) -> None:
        self.name = name
        self.coordinator = coordinator
        self.overrides = overrides
        self.wall_clock = wall_clock
        self.followers = 0
        self.latest = Snapshot()
        self.log_lines: deque[LogLineView] = deque(maxlen=MAX_LOG_LINES)
        self._membership = membership
        self._ledger = ledger
        self._budgets = budgets
        self._started_ms = coordinator.deadlines.clock()
        self._states: dict[str, tuple[EngineDisplayState, float]] = {}  # by engine, and since when

    def collect(self, now_ms: float) -> Snapshot:
        """Make the snapshot of this moment of the monotonic clock, numbered after the one before."""
        live = [each for each in self.coordinator.live.values() if not each.finished]
        tables = self.latest.tables
        for name, rows in self._rows(live, now_ms).items():
            table = updated_table(tables[name], rows)
            if table is not tables[name]:
                tables = tables.set(name, table)
        self.latest = Snapshot(
            self.latest.number + 1, self._unix(now_ms), self._site(live), tables, tuple(self.log_lines)
        )
        return self.latest

    def _rows(self, live: list[LiveRequest], now_ms: float) -> dict[str, dict[str, Any]]:
        """Return the rows of all tables, by table and key."""
        return {
            "engines": self._engines(now_ms),
            "classes": self._classes(live),
            "teams": self._teams(live),
            "requests": self._requests(live),
            "refusals": self._rejections(),
            "adjustments": self._overrides(),
            "members": member_views(self._membership, self._ledger, self._unix(self._started_ms), self._unix),
            "shares": quota_views(self._budgets, self._unix(now_ms)),
        }

    def _site(self, live: list[LiveRequest]) -> SiteView:
        return SiteView(
            self.name,
            self._unix(self._started_ms),
            self.coordinator.draining,
            len(live),
            _in_flight(live),
            self.overrides.revision,
            self.followers,
        )

    def _engines(self, now_ms: float) -> dict[str, EngineView]:
        views: dict[str, EngineView] = {}
        states: dict[str, tuple[EngineDisplayState, float]] = {}
        for name, engine in self.coordinator.engines.items():
            view = self._engine(name, engine, now_ms)
            before = self._states.get(name)
            states[name] = before if before is not None and before[0] == view.state else (view.state, now_ms)
            views[name] = msgspec.structs.replace(view, state_since_ms=self._unix(states[name][1]))
        self._states = states
        return views

    def _engine(self, name: str, engine: Engine, now_ms: float) -> EngineView:
        entry = engine.entry
        known = self.coordinator.gateway.assess(name)
        if known is None:  # listed, but not yet taken in by the decisions: nothing is sent there
            return EngineView(name, "draining", engine.address, engine.protocol, entry.zone, 0.0)
        state = engine_state(
            engine,
            known.reliability,
            known.warm_up_factor,
            known.silence_score,
            now_ms - known.last_activity_at,
        )
        return EngineView(
            name,
            state,
            engine.address,
            engine.protocol,
            entry.zone,
            known.cores,
            known.own_attempts,
            known.own_threads,
            round(known.threads_per_core, 2),
            round(known.reliability, 3),
            round(known.warm_up_factor, 2),
            round(known.silence_score, 2),
            self._unix(known.last_activity_at),
            self._unix(known.reported_at),
            supports_priorities=engine.protocol != "odata",
        )

    def _classes(self, live: list[LiveRequest]) -> dict[str, ClassView]:
        counters = self.coordinator.counters
        limits = self.coordinator.gateway.admission.concurrency_limits
        views: dict[str, ClassView] = {}
        for index, spec in enumerate(self.coordinator.settings.classes):
            requests = [each for each in live if each.query.class_index == index]
            in_flight = _in_flight(requests)
            views[spec.name] = ClassView(
                spec.name,
                index,
                len(requests),
                in_flight,
                in_flight * spec.threads,
                limits.get(index),
                counters[f"taken.{spec.name}"],
                counters[f"answered.{Answer.SERVED.value}.{spec.name}"],
                counters[f"answered.{Answer.REJECTED.value}.{spec.name}"],
                counters[f"answered.{Answer.FAILED.value}.{spec.name}"],
                self._oldest(requests),
            )
        return views

    def _teams(self, live: list[LiveRequest]) -> dict[str, TeamView]:
        views: dict[str, TeamView] = {}
        by_team: defaultdict[int, list[LiveRequest]] = defaultdict(list)
        for each in live:
            by_team[each.query.tenant_index].append(each)
        for index, tenant in enumerate(self.coordinator.settings.tenants):
            requests = by_team[index]
            views[tenant.name] = TeamView(
                tenant.name,
                index,
                len(requests),
                _in_flight(requests),
                self._threads_in_flight(requests),
                self._oldest(requests),
                *self._expected_wait(index),
            )
        return views

    def _threads_in_flight(self, requests: list[LiveRequest]) -> int:
        classes = self.coordinator.settings.classes
        return sum(classes[each.query.class_index].threads for each in requests if each.call is not None)

    def _oldest(self, requests: list[LiveRequest]) -> float:
        return round(self._unix(requests[0].received_ms), 1) if requests else 0.0

    def _expected_wait(self, team: int) -> tuple[int, float | None]:
        if (queue := self.coordinator.extensions.admission_queue) is None:
            return 0, None
        queued, wait_ms = queue.expected_wait(team)
        return queued, round(wait_ms)

    def _requests(self, live: list[LiveRequest]) -> dict[str, RequestView]:
        teams = [tenant.name for tenant in self.coordinator.settings.tenants] or [""]
        return {
            str(each.id): RequestView(  # in the order of arrival: the first are the oldest
                each.id,
                each.query.transaction_id,
                each.query.class_name,
                teams[each.query.tenant_index],
                round(self._unix(each.received_ms), 1),
                round(self._unix(each.deadline_ms), 1),
                each.attempt_count,
                each.engine if each.call is not None else "",
            )
            for each in islice(live, MAX_REQUESTS)
        }

    def _rejections(self) -> dict[str, RejectionView]:
        return {
            f"{class_name}|{reason}": RejectionView(class_name, reason, count)
            for (class_name, reason), count in self.coordinator.requests.rejections.items()
        }

    def _overrides(self) -> dict[str, OverrideView]:
        return {
            target: OverrideView(target, each.effect, each.author, each.applied_ms, each.revision)
            for target, each in self.overrides.active.items()
        }

    def _unix(self, monotonic_ms: float) -> float:
        """Return a moment of the monotonic clock as Unix time; 0 where there was none."""
        return self.wall_clock.unix(monotonic_ms).value if monotonic_ms > 0.0 else 0.0


def _in_flight(requests: list[LiveRequest]) -> int:
    return sum(each.call is not None for each in requests)
