"""Engine selection: which engines are eligible for a request, and to which of them it is sent."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random
from zlib import crc32

from fordstair.decisions.cost_model import CostModel
from fordstair.decisions.engine_list import EngineId, EngineState
from fordstair.decisions.load_estimation import LoadEstimator
from fordstair.decisions.outlier_detection import CREDIBLE_RELIABILITY, OutlierDetector
from fordstair.decisions.settings import Idempotency, Settings
from fordstair.decisions.slow_start import SlowStart
from fordstair.decisions.tracked_engine import TrackedEngine
from fordstair.decisions.tracked_request import TrackedRequest

# Weight of an engine in the draw: cores x warm-up x selection factor / (base + threads per core) ^ exponent.
LOAD_EXPONENT = 4.0
BASE_THREADS_PER_CORE = 0.2
PREFERRED_ENGINES = 8
PREFERRED_FACTOR = 6.0
# For an engine that runs a load of the same tables, which the request would wait for or interfere with.
RUNNING_LOAD_FACTOR = 0.2
HEALTH_CHECKS_PER_REQUEST = 0.4
MAX_HEALTH_CHECK_CREDIT = 8.0
ENGINES_CHECKED_PER_ATTEMPT = 4
# An engine whose report is younger than this needs no health check.
MAX_REPORT_AGE_WITHOUT_CHECK_MS = 500.0
# Age up to which a report counts as fresh after health checks; allows for the time that a check takes.
MAX_REPORT_AGE_AFTER_CHECK_MS = 700.0


class EngineSelector:
    """Selects the engine of an attempt by a weighted random draw."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        engines: Mapping[EngineId, TrackedEngine],
        cost_model: CostModel,
        load: LoadEstimator,
        outliers: OutlierDetector,
        slow_start: SlowStart,
    ) -> None:
        self._settings = settings
        self._random = random
        self._engines = engines
        self._cost_model = cost_model
        self._load = load
        self._outliers = outliers
        self._slow_start = slow_start
        self._salt = random.getrandbits(32)
        self._health_check_credit = 0.0

    def hash_position(self, engine: EngineId) -> float:
        """Return an engine's position in this coordinator's own hash order, in [0, 1)."""
        return crc32(f"{self._salt}|{engine}".encode()) / 2.0**32

    def record_arrival(self) -> None:
        """Add a fraction of a health check to the credit, so that checks stay in proportion to traffic."""
        self._health_check_credit = min(
            MAX_HEALTH_CHECK_CREDIT, self._health_check_credit + HEALTH_CHECKS_PER_REQUEST
        )

    def eligible(self, class_index: int) -> list[TrackedEngine]:
        """Return the engines that are ready and that the class's settings allow."""
        spec = self._settings.classes[class_index]
        ready = EngineState.READY
        return [
            engine
            for engine in self._engines.values()
            if engine.entry.state is ready and spec.allows(engine.entry)
        ]

    def is_preferred(self, engine: TrackedEngine) -> bool:
        """Return whether an engine is one of the few that this coordinator prefers.

        Without preferences in a large fleet, each coordinator would send to every engine too rarely to learn
        its state, and over a new connection each time. The preferences of all coordinators together still
        cover the engines evenly.
        """
        return engine.hash_position * len(self._engines) < PREFERRED_ENGINES

    def select(self, now: float, request: TrackedRequest) -> TrackedEngine | None:
        """Return the engine of the request's next attempt, or None if no engine may get it now.

        Once health checks were considered, only engines with a fresh report are drawn, if there are at least
        two of them.
        """
        eligible = self.eligible(request.class_index)
        candidates = self._candidates(request, eligible)
        if request.health_checks_considered:
            fresh = [
                engine for engine in candidates if now - engine.reported_at <= MAX_REPORT_AGE_AFTER_CHECK_MS
            ]
            if len(fresh) > 1:
                candidates = fresh
        return self._draw(now, request, candidates, eligible)

    def engines_to_check(self, now: float, request: TrackedRequest) -> list[TrackedEngine]:
        """Return the engines to check before a costly request is sent, drawn like the engine of an attempt.

        Considered once per attempt. Empty if the settings allow no health checks, the request is cheap, the
        credit is spent or the reports are fresh.
        """
        if request.health_checks_considered or not self._settings.health_checks:
            return []
        if request.cost < self._cost_model.typical_cost.value:
            return []
        request.health_checks_considered = True
        eligible = self.eligible(request.class_index)
        candidates = self._candidates(request, eligible)
        checked: list[TrackedEngine] = []
        for _ in range(ENGINES_CHECKED_PER_ATTEMPT):
            engine = self._draw(now, request, candidates, eligible)
            if engine is not None and self._needs_health_check(now, engine):
                self._health_check_credit -= 1.0
                engine.health_checked_at = now
                checked.append(engine)
        return checked

    def _needs_health_check(self, now: float, engine: TrackedEngine) -> bool:
        if self._health_check_credit < 1.0:
            return False
        return now - max(engine.reported_at, engine.health_checked_at) >= MAX_REPORT_AGE_WITHOUT_CHECK_MS

    def _candidates(self, request: TrackedRequest, eligible: list[TrackedEngine]) -> list[TrackedEngine]:
        """Leave out engines that would not discard a duplicate, and the last one tried if others remain."""
        candidates = eligible
        first = request.may_have_run_on
        if first is not None and request.spec.idempotency is Idempotency.WITH_KEY:
            scope = request.spec.deduplication_scope
            candidates = [engine for engine in candidates if scope.is_shared_by(first, engine.entry)]
        if len(candidates) > 1:
            candidates = [engine for engine in candidates if engine.entry.engine != request.last_engine]
        return candidates

    def _draw(
        self,
        now: float,
        request: TrackedRequest,
        candidates: Sequence[TrackedEngine],
        eligible: Sequence[TrackedEngine],
    ) -> TrackedEngine | None:
        """Draw an engine by weight.

        Return None if there are no candidates, or if all are warming up and the draw falls outside their
        slow-start budgets.
        """
        if not candidates:
            return None
        warm_up_factors = [self._slow_start.warm_up_factor(now, engine) for engine in candidates]
        weights = self._weights(now, request, candidates, warm_up_factors)
        warm_weight = sum(
            weight for weight, factor in zip(weights, warm_up_factors, strict=True) if factor >= 1.0
        )
        fleet_cores = sum(engine.cores for engine in eligible)
        for index, factor in enumerate(warm_up_factors):
            if factor < 1.0:
                probability = self._slow_start.send_probability(
                    request, candidates[index], factor, fleet_cores, all_warming_up=not warm_weight
                )
                weights[index] = min(weights[index], probability * (warm_weight or 1.0))
        none_weight = 0.0 if warm_weight else max(0.0, 1.0 - sum(weights))
        return self._random.choices([*candidates, None], [*weights, none_weight])[0]

    def _weights(
        self,
        now: float,
        request: TrackedRequest,
        candidates: Sequence[TrackedEngine],
        warm_up_factors: Sequence[float],
    ) -> list[float]:
        threads_per_core = [self._load.threads_per_core(now, engine) for engine in candidates]
        mean_threads = sum(threads_per_core) / max(1, len(candidates))
        conflicts_with_loads = request.spec.is_load or request.spec.waits_for_loads
        weights: list[float] = []
        for engine, threads, warm_up_factor in zip(
            candidates, threads_per_core, warm_up_factors, strict=True
        ):
            reliability = self._outliers.reliability(now, engine)
            # An engine that fails fast or refuses attempts looks idle: assume at least the mean load.
            assumed_threads = max(threads, mean_threads if reliability < CREDIBLE_RELIABILITY else 0.0)
            selection_factor = self._outliers.selection_factor(reliability, engine)
            weight = engine.cores * warm_up_factor * selection_factor
            weight /= (BASE_THREADS_PER_CORE + assumed_threads) ** LOAD_EXPONENT
            weight *= PREFERRED_FACTOR if self.is_preferred(engine) else 1.0
            if conflicts_with_loads and request.table_group in engine.own_loads:
                weight *= RUNNING_LOAD_FACTOR
            weights.append(weight)
        return weights
