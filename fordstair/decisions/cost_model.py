"""Predicted cost, memory and latency of requests, learned from the outcomes of attempts.

Cost is work in thread-milliseconds. A predicted cost is the client's estimate, corrected by the mean ratio of
actual to estimated cost in its class; without an estimate, the mean of its class and table group, or else of
its class.
"""

from __future__ import annotations

from fordstair.decisions.settings import Settings
from fordstair.decisions.statistics import (
    MAX_POOLED_STEP,
    MIN_POOLED_STEP,
    BoundedMeans,
    EstimateRatio,
    RunningMean,
    is_usable,
)
from fordstair.decisions.tracked_engine import TrackedEngine
from fordstair.decisions.tracked_request import TrackedRequest

CACHED_TABLE_GROUPS = 512
TABLE_GROUP_STEP = 0.1
CLASS_STEP = 0.06
MIN_COST_MS = 1.0
MAX_ESTIMATE_RATIO = 4.0
# An attempt that costs this many times its prediction ran with a bad query plan.
BAD_PLAN_FACTOR = 16.0
# Headroom of a memory grant over the estimate, in mean deviations of the ratio of actual to estimated memory.
MEMORY_GRANT_SPREADS = 2.0
MEMORY_GRANT_WITHOUT_ESTIMATE_FACTOR = 1.3
MIN_SLOWNESS = 0.1
MAX_CLASS_SLOWNESS = 20.0
MAX_ENGINE_SLOWNESS = 10.0
FLEET_SLOWNESS_PRIOR_SAMPLES = 3
# A class has high priority if its weight per thread-second is at least this many times the lowest one.
HIGH_PRIORITY_FACTOR = 1.5


class ClassStatistics:
    """Statistics of one request class.

    Attributes:
        expensive_cost: Cost of requests that were predicted to be expensive.
        slowness: Latency over cost per thread.
    """

    __slots__ = (
        "cost",
        "cost_estimate",
        "cost_ratio",
        "expensive_cost",
        "memory_mb",
        "memory_ratio",
        "slowness",
    )

    def __init__(self) -> None:
        self.cost = RunningMean(CLASS_STEP)
        self.cost_estimate = RunningMean(CLASS_STEP)
        self.expensive_cost = RunningMean(CLASS_STEP)
        self.memory_mb = RunningMean(CLASS_STEP)
        self.cost_ratio = EstimateRatio(CLASS_STEP, MAX_ESTIMATE_RATIO)
        self.memory_ratio = EstimateRatio(CLASS_STEP, MAX_ESTIMATE_RATIO)
        self.slowness = RunningMean(CLASS_STEP, 1.0)


class CostModel:
    """Predicts cost, memory and latency, and learns from served and stopped attempts.

    Attributes:
        typical_cost: Mean predicted cost of all requests that arrive.
    """

    def __init__(self, settings: Settings) -> None:
        self.specs = settings.classes
        self.classes = [ClassStatistics() for _ in settings.classes]
        self.table_groups = BoundedMeans(CACHED_TABLE_GROUPS, TABLE_GROUP_STEP)
        self.typical_cost = RunningMean(MIN_POOLED_STEP)
        self._fleet_slowness = RunningMean(MAX_POOLED_STEP, 1.0, FLEET_SLOWNESS_PRIOR_SAMPLES)

    def class_mean(self, class_index: int) -> float:
        """Return a class's mean cost, from outcomes, else from estimates, else from its latency objective."""
        statistics = self.classes[class_index]
        spec = self.specs[class_index]
        known = statistics.cost.value or statistics.cost_estimate.value
        return max(MIN_COST_MS, known or spec.latency_objective_ms * spec.threads)

    def largest_class_mean(self) -> float:
        """Return the mean cost of the costliest class."""
        return max(self.class_mean(index) for index in range(len(self.specs)))

    def is_high_priority(self, class_index: int) -> bool:
        """Return whether a class's weight per thread-second is clearly above the lowest one."""
        rates = [spec.priority_weight / self.class_mean(index) for index, spec in enumerate(self.specs)]
        return rates[class_index] / max(1e-9, min(rates)) >= HIGH_PRIORITY_FACTOR

    def predict_arrival(self, request: TrackedRequest) -> float:
        """Return the predicted cost of a request that arrives, and learn from its estimate."""
        if request.cost_estimate > 0.0:
            self.classes[request.class_index].cost_estimate.add(request.cost_estimate)
        cost = self.predict(request.class_index, request.table_group, request.cost_estimate)
        self.typical_cost.add(cost)
        return cost

    def predict(self, class_index: int, table_group: float, estimate: float) -> float:
        """Return the predicted cost without learning from the estimate."""
        if estimate > 0.0:
            return max(MIN_COST_MS, estimate * self.classes[class_index].cost_ratio.mean.value)
        cached = self.table_groups.get((class_index, table_group))
        return max(MIN_COST_MS, cached.value) if cached else self.class_mean(class_index)

    def learn_served(
        self,
        request: TrackedRequest,
        engine: TrackedEngine,
        work_ms: float,
        latency_ms: float,
        memory_mb: float,
    ) -> None:
        """Learn from a served attempt; others are left out, as quick errors would lower the means."""
        statistics = self.classes[request.class_index]
        threads = request.spec.threads
        cost = max(MIN_COST_MS, work_ms if work_ms > 0.0 else latency_ms * threads)
        # The cost of a bad plan does not predict the cost of the next attempt.
        is_bad_plan = cost >= BAD_PLAN_FACTOR * request.cost
        if not is_bad_plan or not statistics.cost.count:
            statistics.cost.add(cost)
            self.table_groups.add((request.class_index, request.table_group), cost)
            statistics.cost_ratio.add(work_ms, request.cost_estimate)
        if is_usable(memory_mb) and memory_mb > 0.0:
            statistics.memory_mb.add(memory_mb)
            statistics.memory_ratio.add(memory_mb, request.memory_estimate_mb)
        slowness = min(MAX_CLASS_SLOWNESS, latency_ms * threads / cost)
        engine.slowness.add(min(MAX_ENGINE_SLOWNESS, slowness / self._class_slowness(statistics)))
        statistics.slowness.add(slowness)
        self._fleet_slowness.add(slowness)

    def learn_stopped(self, request: TrackedRequest, engine: TrackedEngine, ran_ms: float) -> None:
        """Learn a lower bound of an engine's slowness from a stopped attempt; often nothing else shows it."""
        statistics = self.classes[request.class_index]
        slowness = ran_ms * request.spec.threads / request.cost / self._class_slowness(statistics)
        slowness = min(MAX_ENGINE_SLOWNESS, slowness)
        if slowness > engine.slowness.value:
            engine.slowness.add(slowness)

    def memory_grant_mb(self, request: TrackedRequest) -> float:
        """Return the memory to grant: the corrected estimate, or else the class's mean, plus headroom."""
        statistics = self.classes[request.class_index]
        ratio = statistics.memory_ratio
        by_estimate = request.memory_estimate_mb * (
            ratio.mean.value + MEMORY_GRANT_SPREADS * ratio.spread.value
        )
        return by_estimate or statistics.memory_mb.value * MEMORY_GRANT_WITHOUT_ESTIMATE_FACTOR

    def expected_latency_ms(self, request: TrackedRequest) -> float:
        """Return the expected latency of an attempt, from the slowness of its class and of the fleet."""
        class_slowness = self.classes[request.class_index].slowness.value
        # The fleet's slowness stands in for a class that is rarely seen.
        slowness = max(1.0, class_slowness, self._fleet_slowness.value)
        return request.cost / request.spec.threads * slowness

    @staticmethod
    def _class_slowness(statistics: ClassStatistics) -> float:
        return max(MIN_SLOWNESS, statistics.slowness.value)
