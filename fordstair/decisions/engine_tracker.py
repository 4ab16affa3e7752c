"""The engines that are listed, and what their health checks and load reports show of them."""

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
    """What the decision module believes of one engine; times are ms of the events' clock."""

    cores: float
    own_attempts: int  # in flight
    own_threads: int  # of these
    threads_per_core: float  # own ones in flight and others', as last reported
    reliability: float  # 1 without faults and silence, towards 0 with them
    warm_up_factor: float  # a lower bound on the share of its full capacity that it has
    silence_score: float
    last_activity_at: float  # last sign of work done
    reported_at: float  # last load report


class EngineTracker:
    """Keeps the engines by their latest list entry, and passes on what they show to those who judge it."""

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
        """Apply a full or a delta update of the list; an engine that is gone is forgotten with its scores."""
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
        """Take the end of a health check in; return whether it ejects the engine.

        A check without an answer counts as silence; an answer takes none back, since a shallow check shows
        hardly more than that a process runs.
        """
        if status is Status.CONNECT_FAILED:
            self.record_connect_failure(now, engine)
        return status is not Status.OK and self._outliers.record_silence(engine)

    def record_connect_failure(self, now: float, engine: TrackedEngine) -> None:
        """Note that an engine took no connection: what answers there next may have just started."""
        engine.unreachable_at = now

    def record_load_report(self, now: float, engine: TrackedEngine, values: Sequence[float]) -> bool:
        """Take a load report in; return whether it ejects the engine, which is idle without reason."""
        report = self._load.read_report(now, engine, values)
        expected_threads = self._load.expected_threads(engine, report)
        is_idle = self._outliers.is_unexpectedly_idle(report, expected_threads)
        is_ejected = False
        if is_idle and self._slow_start.warm_up_factor(now, engine) >= 1.0:
            is_ejected = self._outliers.record_idle(engine)
        self._load.record_report(now, engine, report)
        return is_ejected

    def assess(self, now: float, engine_id: EngineId) -> EngineAssessment | None:
        """Return what is believed of an engine; None for one that is not listed."""
        engine = self._engines.get(engine_id)
        if engine is None:
            return None
        # Reading a score brings it up to date: a copy is asked, so that a look changes no decision.
        seen = copy(engine)
        seen.error_rate = copy(engine.error_rate)
        seen.slowness = copy(engine.slowness)
        reliability = self._outliers.reliability(now, seen)
        return EngineAssessment(
            cores=seen.cores,
            own_attempts=seen.own_attempts,
            own_threads=seen.own_threads,
            threads_per_core=self._load.threads_per_core(now, seen),
            reliability=reliability,
            warm_up_factor=self._slow_start.warm_up_factor(now, seen),
            silence_score=seen.silence_score,
            last_activity_at=seen.last_activity_at,
            reported_at=seen.reported_at,
        )
