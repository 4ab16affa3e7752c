"""Collects snapshots of a running coordinator; collecting changes none of its state."""

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

# A snapshot lists only the oldest requests; the counts by class and team include all of them.
MAX_REQUESTS = 50
MAX_LOG_LINES = 100


class SnapshotCollector:
    """Collects snapshots; each shares the unchanged tables of the one before it.

    Attributes:
        followers: Number of consoles that follow the snapshots; the console server updates it.
        latest: The snapshot that was collected last.
        log_lines: The latest log lines; the console server appends them.
    """

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
        # By engine: its state, and the monotonic time at which a snapshot first showed that state.
        self._display_states: dict[str, tuple[EngineDisplayState, float]] = {}

    def collect(self, now_ms: float) -> Snapshot:
        """Collect and return the next snapshot; ``now_ms`` is the monotonic time now."""
        live = [request for request in self.coordinator.live.values() if not request.finished]
        tables = self.latest.tables
        for name, rows in self._table_rows(live, now_ms).items():
            table = updated_table(tables[name], rows)
            if table is not tables[name]:
                tables = tables.set(name, table)
        self.latest = Snapshot(
            self.latest.number + 1,
            self._to_unix_ms(now_ms),
            self._site_view(live),
            tables,
            tuple(self.log_lines),
        )
        return self.latest

    def _table_rows(self, live: list[LiveRequest], now_ms: float) -> dict[str, dict[str, Any]]:
        """Return the rows of all tables, by table name and row key."""
        return {
            "engines": self._engine_views(now_ms),
            "classes": self._class_views(live),
            "teams": self._team_views(live),
            "requests": self._request_views(live),
            "refusals": self._rejection_views(),
            "adjustments": self._override_views(),
            "members": member_views(
                self._membership, self._ledger, self._to_unix_ms(self._started_ms), self._to_unix_ms
            ),
            "shares": quota_views(self._budgets, self._to_unix_ms(now_ms)),
        }

    def _site_view(self, live: list[LiveRequest]) -> SiteView:
        return SiteView(
            self.name,
            self._to_unix_ms(self._started_ms),
            self.coordinator.draining,
            len(live),
            _count_in_flight(live),
            self.overrides.revision,
            self.followers,
        )

    def _engine_views(self, now_ms: float) -> dict[str, EngineView]:
        views: dict[str, EngineView] = {}
        states: dict[str, tuple[EngineDisplayState, float]] = {}
        for name, engine in self.coordinator.engines.items():
            view = self._engine_view(name, engine, now_ms)
            previous = self._display_states.get(name)
            states[name] = (
                previous if previous is not None and previous[0] == view.state else (view.state, now_ms)
            )
            views[name] = msgspec.structs.replace(view, state_since_ms=self._to_unix_ms(states[name][1]))
        self._display_states = states
        return views

    def _engine_view(self, name: str, engine: Engine, now_ms: float) -> EngineView:
        entry = engine.entry
        assessment = self.coordinator.gateway.assess(name)
        if assessment is None:  # Listed, but not yet known to the decision module, which sends it nothing.
            return EngineView(name, "draining", engine.address, engine.protocol, entry.zone, 0.0)
        state = engine_state(
            engine,
            assessment.reliability,
            assessment.warm_up_factor,
            assessment.silence_score,
            now_ms - assessment.last_activity_at,
        )
        return EngineView(
            name,
            state,
            engine.address,
            engine.protocol,
            entry.zone,
            assessment.cores,
            assessment.own_attempts,
            assessment.own_threads,
            round(assessment.threads_per_core, 2),
            round(assessment.reliability, 3),
            round(assessment.warm_up_factor, 2),
            round(assessment.silence_score, 2),
            self._to_unix_ms(assessment.last_activity_at),
            self._to_unix_ms(assessment.reported_at),
            supports_priorities=engine.protocol != "odata",
        )

    def _class_views(self, live: list[LiveRequest]) -> dict[str, ClassView]:
        counters = self.coordinator.counters
        limits = self.coordinator.gateway.admission.concurrency_limits
        views: dict[str, ClassView] = {}
        for index, spec in enumerate(self.coordinator.settings.classes):
            requests = [request for request in live if request.query.class_index == index]
            in_flight = _count_in_flight(requests)
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
                self._oldest_received_ms(requests),
            )
        return views

    def _team_views(self, live: list[LiveRequest]) -> dict[str, TeamView]:
        views: dict[str, TeamView] = {}
        by_team: defaultdict[int, list[LiveRequest]] = defaultdict(list)
        for request in live:
            by_team[request.query.tenant_index].append(request)
        for index, tenant in enumerate(self.coordinator.settings.tenants):
            requests = by_team[index]
            views[tenant.name] = TeamView(
                tenant.name,
                index,
                len(requests),
                _count_in_flight(requests),
                self._threads_in_flight(requests),
                self._oldest_received_ms(requests),
                *self._expected_wait(index),
            )
        return views

    def _threads_in_flight(self, requests: list[LiveRequest]) -> int:
        classes = self.coordinator.settings.classes
        return sum(
            classes[request.query.class_index].threads for request in requests if request.call is not None
        )

    def _oldest_received_ms(self, requests: list[LiveRequest]) -> float:
        return round(self._to_unix_ms(requests[0].received_ms), 1) if requests else 0.0

    def _expected_wait(self, tenant_index: int) -> tuple[int, float | None]:
        """Return a team's number of queued requests and its expected wait (ms); None without quotas."""
        if (queue := self.coordinator.extensions.admission_queue) is None:
            return 0, None
        queued, wait_ms = queue.expected_wait(tenant_index)
        return queued, round(wait_ms)

    def _request_views(self, live: list[LiveRequest]) -> dict[str, RequestView]:
        teams = [tenant.name for tenant in self.coordinator.settings.tenants] or [""]
        return {
            str(request.id): RequestView(
                request.id,
                request.query.transaction_id,
                request.query.class_name,
                teams[request.query.tenant_index],
                round(self._to_unix_ms(request.received_ms), 1),
                round(self._to_unix_ms(request.deadline_ms), 1),
                request.attempt_count,
                request.engine if request.call is not None else "",
            )
            for request in islice(live, MAX_REQUESTS)  # Live requests are in order of arrival.
        }

    def _rejection_views(self) -> dict[str, RejectionView]:
        return {
            f"{class_name}|{reason}": RejectionView(class_name, reason, count)
            for (class_name, reason), count in self.coordinator.requests.rejections.items()
        }

    def _override_views(self) -> dict[str, OverrideView]:
        return {
            target: OverrideView(
                target, override.effect, override.author, override.applied_ms, override.revision
            )
            for target, override in self.overrides.active.items()
        }

    def _to_unix_ms(self, monotonic_ms: float) -> float:
        """Convert a monotonic time to Unix time (ms); 0 and below, which mean "never", become 0."""
        return self.wall_clock.unix(monotonic_ms).value if monotonic_ms > 0.0 else 0.0


def _count_in_flight(requests: list[LiveRequest]) -> int:
    return sum(request.call is not None for request in requests)
