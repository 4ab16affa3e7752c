"""The load of engines and of the fleet: own threads in flight, load reports, and how late answers come."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from fordstair.decisions.settings import Settings
from fordstair.decisions.slow_start import SlowStart
from fordstair.decisions.statistics import PooledMean, is_usable
from fordstair.decisions.tracked_engine import TrackedEngine

# Threads a core at which pressure starts, and at which it is full.
THREADS_PER_CORE_AT_ZERO_PRESSURE = 1.2
THREADS_PER_CORE_AT_FULL_PRESSURE = 2.0
# Latency over its objective at which pressure starts, and at which it is full; the most that a sample counts.
LATENESS_AT_ZERO_PRESSURE = 0.35
LATENESS_AT_FULL_PRESSURE = 1.0
MAX_LATENESS = 2.0
# From here on, pressure makes quotas and objectives bind.
PRESSURE_THRESHOLD = 0.05
REPORT_HALF_LIFE_MS = 4_000.0
# After a pause this long, an engine's next report replaces what was known of other coordinators' threads.
REPORT_EXPIRY_MS = 2_000.0
BUSY_CORES_PER_THREAD = 0.75
# An engine that slows down looks idle while it fills up: from this many times the threads by its utilisation,
# those by its number of queries are believed.
MAX_COUNT_TO_UTILISATION_RATIO = 2.0


@dataclass(slots=True)
class LoadReport:
    """One engine's load report, in threads; nan where it does not report it."""

    own_threads: int  # in flight when the report was made, as far as is known
    utilised_threads: float  # running threads, by the engine's utilisation
    queries: float  # queries at the engine


class LoadEstimator:
    """Estimates threads a core at engines, and the pressure on a class of requests."""

    def __init__(self, settings: Settings, slow_start: SlowStart) -> None:
        self._settings = settings
        self._slow_start = slow_start
        self._mean_threads = sum(spec.threads for spec in settings.classes) / len(settings.classes)
        self.other_threads_per_core = PooledMean()  # threads a core of other coordinators
        self.lateness = PooledMean()  # latency over its objective
        self._utilised_threads = PooledMean()
        self._queries = PooledMean()

    def threads_per_core(self, now: float, engine: TrackedEngine) -> float:
        """Return an engine's load: own threads, and others' by a report that fades into the fleet's mean."""
        trust: float = 0.5 ** max(0.0, (now - engine.reported_at) / REPORT_HALF_LIFE_MS)
        pooled_age = max(0.0, (now - self.other_threads_per_core.updated_at) / REPORT_HALF_LIFE_MS)
        pooled: float = self.other_threads_per_core.value * 0.5**pooled_age
        reported = trust * max(0.0, engine.other_threads.value)
        return (engine.own_threads + reported) / engine.cores + (1.0 - trust) * pooled

    def capacity(self, now: float, engines: Sequence[TrackedEngine]) -> float:
        """Return the cores that engines surely have: after a release, most may be warming up."""
        return sum(engine.cores * self._slow_start.warm_up_factor(now, engine) for engine in engines)

    def pressure(self, now: float, engines: Sequence[TrackedEngine], capacity: float) -> float:
        """Return 0 (calm) to 1 (full) for engines of that capacity, by their load or by late answers.

        Utilisation hides what waits; lateness does not.
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
        """Take the latency of a served attempt in, weighted by its class."""
        self.lateness.add_at(now, min(MAX_LATENESS, latency_ms / max(1.0, objective_ms)), weight)

    def record_missed_objective(self, now: float, weight: float) -> None:
        """Take in that a request was given up as too late: overload shows here first."""
        self.lateness.add_at(now, LATENESS_AT_FULL_PRESSURE, weight)

    def read_report(self, now: float, engine: TrackedEngine, report: Sequence[float]) -> LoadReport:
        """Return the report that came from an engine, its values in the order that the settings name."""
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
        """Return the threads that an engine should run at least: own ones, or as many as other engines."""
        return max(report.own_threads, self.other_threads_per_core.value * engine.cores)

    def record_report(self, now: float, engine: TrackedEngine, report: LoadReport) -> None:
        """Learn the threads of other coordinators from a report; one that tells nothing is passed over."""
        threads = self._reported_threads(now, engine, report)
        if math.isnan(threads):
            return
        others = threads - report.own_threads  # what was sent or ended since the report is known here
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
