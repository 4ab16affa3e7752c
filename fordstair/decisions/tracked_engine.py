"""State of one engine as seen by this coordinator: its list entry, own work in flight, scores and reports."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordstair.decisions.engine_list import EngineEntry
from fordstair.decisions.settings import RequestClass, Settings
from fordstair.decisions.statistics import RunningMean

DEFAULT_CORES = 1.0
ERROR_RATE_STEP = 0.15
SLOWNESS_STEP = 0.15
SLOWNESS_PRIOR_SAMPLES = 10
OTHER_THREADS_STEP = 0.3
# Assumed maximum age of an arriving load report, which is compared with the own threads at that time.
REPORT_LAG_MS = 250.0


@dataclass(slots=True, eq=False)
class TrackedEngine:
    """One engine's state; times are milliseconds of the events' clock.

    Attributes:
        hash_position: In [0, 1), different at each coordinator; the lowest positions are preferred.
        slowness: Ratio of latency to that of the other engines; 1 if equal.
        other_threads: Threads of other coordinators, from load reports.
        memory_mb: Memory by machine kind; 0 if unknown.
        own_threads: Threads of own attempts in flight.
        own_threads_snapshot: Own threads shortly before the latest changes, at ``threads_snapshot_at``.
        own_attempts: Own attempts in flight.
        last_activity_at: Time of the last sign of work done.
        unreachable_at: Time at which the engine last accepted no connection.
        own_loads: Own loads in flight, by table group.
    """

    entry: EngineEntry
    hash_position: float = 0.0
    error_rate: RunningMean = field(default_factory=lambda: RunningMean(0.0))
    slowness: RunningMean = field(default_factory=lambda: RunningMean(0.0))
    other_threads: RunningMean = field(default_factory=lambda: RunningMean(0.0))
    cores: float = 0.0
    memory_mb: float = 0.0
    own_threads: int = 0
    own_threads_snapshot: int = 0
    threads_snapshot_at: float = -math.inf
    scores_decayed_at: float = 0.0
    own_attempts: int = 0
    reported_at: float = -math.inf
    health_checked_at: float = -math.inf
    last_activity_at: float = -math.inf
    unreachable_at: float = 0.0
    silence_score: float = 0.0
    own_loads: dict[float, int] = field(default_factory=dict)

    def update(self, entry: EngineEntry, settings: Settings) -> None:
        """Apply a list entry; an engine that was restarted keeps none of the old process's scores."""
        if entry.started_ms > self.entry.started_ms or not self.cores:
            self.error_rate = RunningMean(ERROR_RATE_STEP)
            self.slowness = RunningMean(SLOWNESS_STEP, 1.0, SLOWNESS_PRIOR_SAMPLES)
            self.other_threads = RunningMean(OTHER_THREADS_STEP)
            self.silence_score = 0.0
        self.entry = entry
        kind = entry.kind
        known_cores = settings.cores_by_kind
        known_memory = settings.memory_mb_by_kind
        cores = known_cores[kind] if kind < len(known_cores) else entry.weight
        self.cores = cores if math.isfinite(cores) and cores > 0.0 else DEFAULT_CORES
        self.memory_mb = known_memory[kind] if kind < len(known_memory) else 0.0

    def threads_at_report(self, now: float) -> int:
        """Return the own threads that a report arriving now most likely includes."""
        return (
            self.own_threads_snapshot if now - self.threads_snapshot_at < REPORT_LAG_MS else self.own_threads
        )

    def add_attempt(self, now: float, spec: RequestClass, table_group: float) -> None:
        """Count an attempt that is sent."""
        self._snapshot_threads(now)
        self.own_threads += spec.threads
        self.own_attempts += 1
        if spec.is_load:
            self.own_loads[table_group] = self.own_loads.get(table_group, 0) + 1

    def remove_attempt(self, now: float, spec: RequestClass, table_group: float) -> None:
        """Count an attempt that has ended."""
        self._snapshot_threads(now)
        self.own_threads -= spec.threads
        self.own_attempts -= 1
        if spec.is_load:
            self.own_loads[table_group] -= 1
            if not self.own_loads[table_group]:
                del self.own_loads[table_group]

    def _snapshot_threads(self, now: float) -> None:
        if now - self.threads_snapshot_at >= REPORT_LAG_MS:
            self.own_threads_snapshot = self.own_threads
            self.threads_snapshot_at = now
