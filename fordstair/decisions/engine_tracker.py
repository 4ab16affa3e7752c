"""Tracking of the listed engines, their health checks and their load reports."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from copy import copy
from dataclasses import dataclass

from fordstair.decisions.engine_list import EngineId, EngineState, ListUpdateKind
from fordstair.decisions.events import EngineListChanged, Status
from fordstair.decisions.load_estimation import LoadEstimator
from fordstair.decisions.outlier_detection import OutlierDetector
from fordstair.decisions.settings import Settings
from fordstair.decisions.slow_start import SlowStart
from fordstair.decisions.tracked_engine import TrackedEngine


@dataclass(slots=True, frozen=True)
class EngineAssessment:
    """The decision module's view of one engine; times are milliseconds of the events' clock.

    Attributes:
        own_attempts: This coordinator's attempts in flight.
        own_threads: Threads of these attempts.
        threads_per_core: Own threads in flight and those of other coordinators as last reported, per core.
        reliability: 1 without faults and silence, falling towards 0 with them.
        warm_up_factor: Lower bound of the share of its full capacity that the engine has.
        last_activity_at: Time of the last sign of work done.
        reported_at: Time of the last load report.
    """

    cores: float
    own_attempts: int
    own_threads: int
    threads_per_core: float
    reliability: float
    warm_up_factor: float
    silence_score: float
    last_activity_at: float
    reported_at: float


class EngineTracker:
    """Maintains the listed engines; passes their health checks and load reports to the policies."""

    def __init__(
        self,
        settings: Settings,
        engines: dict[EngineId, TrackedEngine],
        hash_position: Callable[[EngineId], float],
        load: LoadEstimator,
        outliers: OutlierDetector,
        slow_start: SlowStart,
    ) -> None:
        self._settings = settings
        self._engines = engines
        self._hash_position = hash_position
        self._load = load
        self._outliers = outliers
        self._slow_start = slow_start

    def update_list(self, event: EngineListChanged) -> None:
        """Apply a full or delta update of the list; an engine that is gone is removed with its scores."""
        if event.kind is not ListUpdateKind.DELTA:
            listed = {entry.engine for entry in event.entries}
            for engine_id in self._engines.keys() - listed:
                del self._engines[engine_id]
        for entry in event.entries:
            if entry.state is EngineState.GONE:
                self._engines.pop(entry.engine, None)
                continue
            engine = self._engines.get(entry.engine)
            if engine is None:
                engine = TrackedEngine(entry, self._hash_position(entry.engine))
                self._engines[entry.engine] = engine
            engine.update(entry, self._settings)

    def record_health_check(self, now: float, engine: TrackedEngine, status: Status) -> bool:
        """Record the end of a health check; return whether it ejects the engine.

        A failed check counts as silence. A successful one does not lower the silence score, since a shallow
        check shows little more than that a process runs.
        """
        if status is Status.CONNECT_FAILED:
            self.record_connect_failure(now, engine)
        return status is not Status.OK and self._outliers.record_silence(engine)

    def record_connect_failure(self, now: float, engine: TrackedEngine) -> None:
        """Record that an engine accepted no connection: the next process there may have just started."""
        engine.unreachable_at = now

    def record_load_report(self, now: float, engine: TrackedEngine, values: Sequence[float]) -> bool:
        """Record a load report; return whether it ejects the engine as unexpectedly idle."""
        report = self._load.read_report(now, engine, values)
        expected_threads = self._load.expected_threads(engine, report)
        is_idle = self._outliers.is_unexpectedly_idle(report, expected_threads)
        is_ejected = False
        if is_idle and self._slow_start.warm_up_factor(now, engine) >= 1.0:
            is_ejected = self._outliers.record_idle(engine)
        self._load.record_report(now, engine, report)
        return is_ejected

    def assess(self, now: float, engine_id: EngineId) -> EngineAssessment | None:
        """Return the assessment of an engine, or None if it is not listed."""
        engine = self._engines.get(engine_id)
        if engine is None:
            return None
        # Reading the reliability decays the scores; a copy is read so that observers change no decision.
        snapshot = copy(engine)
        snapshot.error_rate = copy(engine.error_rate)
        snapshot.slowness = copy(engine.slowness)
        reliability = self._outliers.reliability(now, snapshot)
        return EngineAssessment(
            cores=snapshot.cores,
            own_attempts=snapshot.own_attempts,
            own_threads=snapshot.own_threads,
            threads_per_core=self._load.threads_per_core(now, snapshot),
            reliability=reliability,
            warm_up_factor=self._slow_start.warm_up_factor(now, snapshot),
            silence_score=snapshot.silence_score,
            last_activity_at=snapshot.last_activity_at,
            reported_at=snapshot.reported_at,
        )
