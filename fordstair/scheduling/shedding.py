"""Load shedding while requests wait: costly requests of a class first, and teams over their quota earlier.

``decisions/admission.py`` applies the same rule to the engines' pressure: under pressure, heavy queries of a
class are rejected more than its light ones. A queue in front of the engines keeps that pressure off them, so
here the pressure is that of the queue: the forecast wait divided by the time that the request can spare.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Highest cost that may wait, as a multiple of the class's mean cost.
MAX_COST_FACTOR_WITHOUT_PRESSURE = 3.0
MAX_COST_FACTOR_AT_FULL_PRESSURE = 0.25
# Ratios of the forecast wait to the time to spare at which the pressure leaves 0 and reaches 1.
PRESSURE_START_RATIO = 0.1
FULL_PRESSURE_RATIO = 0.9
WITHIN_QUOTA_PRESSURE_FACTOR = 0.5
MEAN_LEARNING_RATE = 0.02


@dataclass(slots=True)
class CostShedding:
    """Sheds requests that are too costly for the present pressure.

    Attributes:
        mean_cost: Mean predicted thread-milliseconds of arriving requests, by class.
    """

    mean_cost: dict[int, float] = field(default_factory=dict)

    def record_arrival(self, class_index: int, cost: float) -> None:
        """Update the mean cost of a class with one arrival's predicted thread-milliseconds."""
        mean = self.mean_cost.setdefault(class_index, cost)
        self.mean_cost[class_index] = mean + (cost - mean) * MEAN_LEARNING_RATE

    def should_shed(
        self, class_index: int, cost: float, wait_ms: float, spare_ms: float, within_quota: bool
    ) -> bool:
        """Return True if a request is to be rejected because of its cost.

        Args:
            class_index: Class of the request.
            cost: Predicted thread-milliseconds of the request.
            wait_ms: Forecast wait.
            spare_ms: Longest wait after which the request can still be answered in time.
            within_quota: True if the request's team is within its quota.
        """
        if spare_ms <= 0.0 or not math.isfinite(wait_ms):
            return True
        pressure = (wait_ms / spare_ms - PRESSURE_START_RATIO) / (FULL_PRESSURE_RATIO - PRESSURE_START_RATIO)
        pressure = min(1.0, max(0.0, pressure * (WITHIN_QUOTA_PRESSURE_FACTOR if within_quota else 1.0)))
        if not pressure:
            return False
        max_cost: float = (
            MAX_COST_FACTOR_WITHOUT_PRESSURE
            * (MAX_COST_FACTOR_AT_FULL_PRESSURE / MAX_COST_FACTOR_WITHOUT_PRESSURE) ** pressure
        )
        return cost > max_cost * self.mean_cost.get(class_index, cost)
