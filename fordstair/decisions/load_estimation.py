"""The load of engines and of the fleet, from own threads in flight, load reports and late answers."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from fordstair.decisions.settings import Settings
from fordstair.decisions.slow_start import SlowStart
from fordstair.decisions.statistics import PooledMean, is_usable
from fordstair.decisions.tracked_engine import TrackedEngine

# Threads per core between which pressure rises from 0 to 1.
THREADS_PER_CORE_AT_ZERO_PRESSURE = 1.2
THREADS_PER_CORE_AT_FULL_PRESSURE = 2.0
# Ratios of latency to its objective between which pressure rises from 0 to 1, and the cap of one sample.
LATENESS_AT_ZERO_PRESSURE = 0.35
LATENESS_AT_FULL_PRESSURE = 1.0
MAX_LATENESS = 2.0
# Above this pressure, quotas, the rate of expensive requests and latency objectives are enforced.
PRESSURE_THRESHOLD = 0.05
REPORT_HALF_LIFE_MS = 4_000.0
# After a gap longer than this, an engine's next report replaces the estimate of others' threads.
REPORT_EXPIRY_MS = 2_000.0
BUSY_CORES_PER_THREAD = 0.75
# An engine that slows down shows a low utilisation while it fills up: above this ratio of the threads by
# number of queries to those by utilisation, the former are used.
MAX_COUNT_TO_UTILISATION_RATIO = 2.0


@dataclass(slots=True)
class LoadReport:
    """One engine's load report; a value that the engine does not report is NaN.

    Attributes:
        own_threads: Own threads in flight when the report was made, as far as is known.
        utilised_threads: Running threads, derived from the engine's utilisation.
        queries: Number of queries at the engine.
    """

    own_threads: int
    utilised_threads: float
    queries: float


class LoadEstimator:
    """Estimates the threads per core of engines, and the pressure on them.

    Attributes:
        other_threads_per_core: Threads per core of other coordinators, over all engines.
        lateness: Ratio of latency to its objective, over all engines.
    """

    def __init__(self, settings: Settings, slow_start: SlowStart) -> None:
        self._settings = settings
        self._slow_start = slow_start
        self._mean_threads = sum(spec.threads for spec in settings.classes) / len(settings.classes)
        self.other_threads_per_core = PooledMean()
        self.lateness = PooledMean()
        self._utilised_threads = PooledMean()
        self._queries = PooledMean()

    def threads_per_core(self, now: float, engine: TrackedEngine) -> float:
        """Return an engine's threads per core: own ones, and those of other coordinators.

        The latter come from the engine's last report; as it ages, the fleet's mean replaces it.
        """
        report_weight: float = 0.5 ** max(0.0, (now - engine.reported_at) / REPORT_HALF_LIFE_MS)
        pooled_age = max(0.0, (now - self.other_threads_per_core.updated_at) / REPORT_HALF_LIFE_MS)
        pooled: float = self.other_threads_per_core.value * 0.5**pooled_age
        reported = report_weight * max(0.0, engine.other_threads.value)
        return (engine.own_threads + reported) / engine.cores + (1.0 - report_weight) * pooled

    def capacity(self, now: float, engines: Sequence[TrackedEngine]) -> float:
        """Return a lower bound of the engines' usable cores: after a release, most may be warming up."""
        return sum(engine.cores * self._slow_start.warm_up_factor(now, engine) for engine in engines)

    def pressure(self, now: float, engines: Sequence[TrackedEngine], capacity: float) -> float:
        """Return the pressure on engines of this capacity, from 0 to 1: the higher one of load and lateness.

        Utilisation does not show queued work; lateness does.
        """
        threads = sum(self.threads_per_core(now, engine) * engine.cores for engine in engines)
        load = threads / max(1.0, capacity)
        by_load = (load - THREADS_PER_CORE_AT_ZERO_PRESSURE) / (
            THREADS_PER_CORE_AT_FULL_PRESSURE - THREADS_PER_CORE_AT_ZERO_PRESSURE
        )
        lateness_age = (now - self.lateness.updated_at) / REPORT_HALF_LIFE_MS
        lateness: float = self.lateness.value * 0.5**lateness_age
        by_lateness = (lateness - LATENESS_AT_ZERO_PRESSURE) / (
            LATENESS_AT_FULL_PRESSURE - LATENESS_AT_ZERO_PRESSURE
        )
        return min(1.0, max(0.0, by_lateness, by_load))

    def record_latency(self, now: float, latency_ms: float, objective_ms: float, weight: float) -> None:
        """Record the latency of a served attempt with the weight of its class."""
        self.lateness.add_at(now, min(MAX_LATENESS, latency_ms / max(1.0, objective_ms)), weight)

    def record_missed_objective(self, now: float, weight: float) -> None:
        """Record that a request was abandoned as too late, which is the first sign of overload."""
        self.lateness.add_at(now, LATENESS_AT_FULL_PRESSURE, weight)

    def read_report(self, now: float, engine: TrackedEngine, report: Sequence[float]) -> LoadReport:
        """Parse an engine's load report, whose values are in the order that the settings name."""
        values = dict(zip(self._settings.load_report_fields, report, strict=False))
        utilisation = values.get("util", math.nan)
        queries = values.get("inflight", math.nan)
        utilised_threads = math.nan
        if is_usable(utilisation):
            utilised_threads = min(1.0, utilisation) * engine.cores / BUSY_CORES_PER_THREAD
        return LoadReport(
            own_threads=engine.threads_at_report(now),
            utilised_threads=utilised_threads,
            queries=queries if is_usable(queries) else math.nan,
        )

    def expected_threads(self, engine: TrackedEngine, report: LoadReport) -> float:
        """Return the threads that an engine should run at least: own ones, or the fleet's mean of others'."""
        return max(report.own_threads, self.other_threads_per_core.value * engine.cores)

    def record_report(self, now: float, engine: TrackedEngine, report: LoadReport) -> None:
        """Learn the threads of other coordinators from a report; ignore one without usable values."""
        threads = self._reported_threads(now, engine, report)
        if math.isnan(threads):
            return
        # Subtract the own threads at the time of the report; later changes are counted in engine.own_threads.
        others = threads - report.own_threads
        if now - engine.reported_at > REPORT_EXPIRY_MS:
            engine.other_threads.count = 0
        engine.other_threads.add(others)
        engine.reported_at = now
        self.other_threads_per_core.add_at(now, max(0.0, others) / engine.cores)

    def _reported_threads(self, now: float, engine: TrackedEngine, report: LoadReport) -> float:
        if math.isnan(report.utilised_threads):
            attempts = engine.own_attempts
            per_query = engine.own_threads / attempts if attempts else self._mean_threads
            return report.queries * per_query
        if math.isnan(report.queries):
            return report.utilised_threads
        self._utilised_threads.add_at(now, report.utilised_threads)
        self._queries.add_at(now, report.queries)
        by_count = report.queries * self._utilised_threads.value / max(1.0, self._queries.value)
        if by_count > MAX_COUNT_TO_UTILISATION_RATIO * report.utilised_threads:
            return by_count
        return report.utilised_threads
