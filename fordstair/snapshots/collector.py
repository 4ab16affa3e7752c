"""Makes pictures of a running coordinator: reads what the decision module believes, and changes nothing."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING, Any

import msgspec

from fordstair.core.coordinator import Coordinator
from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import Engine
from fordstair.core.request_table import Answer
from fordstair.decisions.engine_list import EngineState
from fordstair.decisions.engine_registry import EngineAssessment
from fordstair.decisions.outlier_detection import BELIEVABLE_RELIABILITY
from fordstair.overrides.register import OverrideRegister
from fordstair.runtime.clock import WallClock
from fordstair.snapshots.snapshot import (
    ClassView,
    EngineView,
    LogLineView,
    MemberView,
    OverrideView,
    QuotaView,
    RejectionView,
    RequestView,
    SiteView,
    Snapshot,
    State,
    TeamView,
    updated_table,
)

if TYPE_CHECKING:
    from fordstair.budgets.transport import FleetBudgets
    from fordstair.membership.transport import Membership
    from fordstair.replication.service import ReplicationService

REQUESTS_MOST = 50  # the oldest; the counts by class and team hold all
NOTES_MOST = 100
SILENT_MS = 1_000.0  # an engine that worked within that time is not called silent


class SnapshotCollector:
    """Keeps the latest picture, and makes the next one from it."""

    def __init__(
        self,
        name: str,
        coordinator: Coordinator,
        overrides: OverrideRegister,
        wall_clock: WallClock,
        membership: Membership | None = None,
        shared: ReplicationService | None = None,
        budgets: FleetBudgets | None = None,
    ) -> None:
        self.membership, self.shared, self.budgets = membership, shared, budgets
        self.name, self.coordinator, self.overrides = name, coordinator, overrides
        self.wall_clock, self.followers = wall_clock, 0
        self._started_ms = coordinator.deadlines.clock()
        self._changes: dict[str, tuple[State, float]] = {}  # by engine: its state, and since when
        self.latest = Snapshot()
        self.log_lines: deque[LogLineView] = deque(maxlen=NOTES_MOST)

    def _unix(self, moment_ms: float) -> float:
        """Return a moment of the monotonic clock as people read it; 0 where there was none."""
        return self.wall_clock.unix(moment_ms).value if moment_ms > 0.0 else 0.0

    def collect(self, now: float) -> Snapshot:
        """Make the picture of this moment of the monotonic clock, numbered after the one before."""
        live = [each for each in self.coordinator.live.values() if not each.finished]
        rows: dict[str, dict[str, Any]] = {
            "engines": self._engines(now),
            "classes": self._classes(live),
            "teams": self._teams(live),
            "requests": self._requests(live),
            "refusals": self._refusals(),
            "adjustments": self._adjustments(),
            "members": self._members(),
            "shares": self._shares(now),
        }
        tables = self.latest.tables
        for name, table in rows.items():
            kept = updated_table(tables[name], table)
            if kept is not tables[name]:
                tables = tables.set(name, kept)
        site = SiteView(
            self.name,
            self._unix(self._started_ms),
            self.coordinator.draining,
            len(live),
            sum(each.call is not None for each in live),
            self.overrides.revision,
            self.followers,
        )
        self.latest = Snapshot(self.latest.number + 1, self._unix(now), site, tables, tuple(self.log_lines))
        return self.latest

    def _engines(self, now: float) -> dict[str, EngineView]:
        views, changes = dict[str, EngineView](), dict[str, tuple[State, float]]()
        for name, engine in self.coordinator.engines.items():
            view = self._engine(name, engine, self.coordinator.gateway.assess(name), now)
            before = self._changes.get(name)
            changes[name] = before if before is not None and before[0] == view.state else (view.state, now)
            views[name] = msgspec.structs.replace(view, state_since_ms=self._unix(changes[name][1]))
        self._changes = changes
        return views

    def _engine(self, name: str, engine: Engine, known: EngineAssessment | None, now: float) -> EngineView:
        entry = engine.entry
        if known is None:  # listed, but not yet taken in by the decisions: nothing is sent there
            return EngineView(name, "draining", engine.address, engine.protocol, entry.zone, 0.0)
        state = engine_state(
            engine, known.reliability, known.warm_up_factor, known.silence_score, now - known.heard_at
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
            self._unix(known.heard_at),
            self._unix(known.reported_at),
            supports_priorities=engine.protocol != "odata",
        )

    def _classes(self, live: list[LiveRequest]) -> dict[str, ClassView]:
        counters, gateway = self.coordinator.counters, self.coordinator.gateway
        views = dict[str, ClassView]()
        for k, spec in enumerate(self.coordinator.settings.classes):
            mine = [each for each in live if each.query.class_index == k]
            out = sum(each.call is not None for each in mine)
            served, rejected, failed = (
                counters[f"answered.{answer.value}.{spec.name}"]
                for answer in (Answer.SERVED, Answer.REJECTED, Answer.FAILED)
            )
            views[spec.name] = ClassView(
                spec.name,
                k,
                len(mine),
                out,
                out * spec.threads,
                gateway.admission.concurrency_limits.get(k),
                counters[f"taken.{spec.name}"],
                served,
                rejected,
                failed,
                self._oldest(mine),
            )
        return views

    def _teams(self, live: list[LiveRequest]) -> dict[str, TeamView]:
        by_team: dict[int, list[LiveRequest]] = {t: [] for t in range(len(self.coordinator.settings.tenants))}
        for each in live if by_team else ():
            by_team[each.query.tenant_index].append(each)
        classes = self.coordinator.settings.classes
        return {
            tenant.name: TeamView(
                tenant.name,
                t,
                len(by_team[t]),
                sum(each.call is not None for each in by_team[t]),
                sum(classes[each.query.class_index].threads for each in by_team[t] if each.call is not None),
                self._oldest(by_team[t]),
                *self._outlook(t),
            )
            for t, tenant in enumerate(self.coordinator.settings.tenants)
        }

    def _oldest(self, live: list[LiveRequest]) -> float:
        return round(self._unix(live[0].received_ms), 1) if live else 0.0

    def _outlook(self, team: int) -> tuple[int, float | None]:
        if (queue := self.coordinator.extensions.admission_queue) is None:
            return 0, None
        queued, wait_ms = queue.expected_wait(team)
        return queued, round(wait_ms)

    def _requests(self, live: list[LiveRequest]) -> dict[str, RequestView]:
        teams = [tenant.name for tenant in self.coordinator.settings.tenants] or [""]
        return {
            str(each.id): RequestView(  # taken in order: the first are the oldest
                each.id,
                each.query.transaction_id,
                each.query.class_name,
                teams[each.query.tenant_index],
                round(self._unix(each.received_ms), 1),
                round(self._unix(each.deadline_ms), 1),
                each.attempt_count,
                each.engine if each.call is not None else "",
            )
            for each in islice(live, REQUESTS_MOST)
        }

    def _refusals(self) -> dict[str, RejectionView]:
        return {
            f"{class_name}|{reason}": RejectionView(class_name, reason, count)
            for (class_name, reason), count in self.coordinator.requests.rejections.items()
        }

    def _members(self) -> dict[str, MemberView]:
        if self.membership is None or (swim := self.membership.swim) is None:
            return {}
        me, shared = swim.local.update, self.shared
        views = {
            me.name: MemberView(
                me.name,
                me.address,
                "mute" if swim.local_health.isolated else me.state.label,
                me.incarnation,
                self._unix(self._started_ms),
                is_self=True,
                awareness_score=swim.local_health.score,
                ledger_entries=len(shared.state.claim_replica.entries) if shared is not None else 0,
                store_bytes=shared.state.file.size_bytes if shared is not None else 0,
                ledger_fault=shared.state.unavailable_reason if shared is not None else "",
            )
        }
        for each in swim.members.values():
            doubt = each.suspicion
            views[each.name] = MemberView(
                each.name,
                each.address,
                each.state.label,
                each.incarnation,
                self._unix(each.changed_ms),
                each.reporter,
                len(doubt.accusers) if doubt is not None else 0,
                self._unix(doubt.expires_ms) if doubt is not None else 0.0,
                each.link_cut,
                ranges_behind=shared.claim_sync.differing_ranges.get(each.name)
                if shared is not None
                else None,
            )
        return views

    def _shares(self, now: float) -> dict[str, QuotaView]:
        if self.budgets is None:
            return {}
        rows = self.budgets.rows(self._unix(now))
        return {f"{row.member}|{row.limit_name}": QuotaView(*row) for row in rows}

    def _adjustments(self) -> dict[str, OverrideView]:
        return {
            target: OverrideView(target, each.effect, each.author, each.applied_ms, each.revision)
            for target, each in self.overrides.active.items()
        }


def engine_state(engine: Engine, trust: float, warmth: float, strikes: float, unheard_ms: float) -> State:
    """Name an engine's state so that nothing is called ready that the module avoids."""
    if engine.cordoned:
        return "aside"
    if engine.zone_ejected:
        return "avoided"
    if engine.entry.state is not EngineState.READY:
        return "draining"
    if trust < BELIEVABLE_RELIABILITY:  # by this the module takes what looks idle there for a fault
        if strikes < 0.5:
            return "failing"
        return "silent" if unheard_ms > SILENT_MS else "doubted"  # it answers, yet looks too idle to be sound
    return "warming" if warmth < 1.0 else "ready"
