"""Load shedding while requests wait: the costly requests of a class first, and of teams beyond their quota.

The rule "under pressure the heavy queries of a class are rejected more than its light ones" is that of
``decisions/admission.py`` on engines' pressure. A queue before it keeps that pressure off the engines, so
here the same rule reads the queue: pressure is the forecast wait over the time that the request can spare.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_COST_WITHOUT_PRESSURE = 3.0  # times the class's mean cost, that may wait
MAX_COST_AT_FULL_PRESSURE = 0.25
PRESSURE_STARTS = 0.1  # part of the time to spare that the wait takes
PRESSURE_FULL = 0.9
WITHIN_QUOTA_PRESSURE = 0.5  # factor on the pressure for teams within their quota
MEAN_STEP = 0.02


@dataclass(slots=True)
class CostShedding:
    """The classes' mean costs as they arrive, and the rule."""

    mean_cost: dict[int, float] = field(default_factory=dict)  # thread-milliseconds, by class

    def record_arrival(self, class_index: int, cost: float) -> None:
        """Take one arrival's predicted thread-milliseconds into its class's mean."""
        mean = self.mean_cost.setdefault(class_index, cost)
        self.mean_cost[class_index] = mean + (cost - mean) * MEAN_STEP

    def should_shed(
        self, class_index: int, cost: float, wait_ms: float, spare_ms: float, within_quota: bool
    ) -> bool:
        """Whether to reject a request now, for what it costs.

        Args:
            class_index: its class.
            cost: its predicted thread-milliseconds.
            wait_ms: how long it would wait.
            spare_ms: how long it could wait, and still be answered in time.
            within_quota: whether its team is within its quota.
        """
        if spare_ms <= 0.0 or not math.isfinite(wait_ms):
            return True
        pressure = (wait_ms / spare_ms - PRESSURE_STARTS) / (PRESSURE_FULL - PRESSURE_STARTS)
        pressure = min(1.0, max(0.0, pressure * (WITHIN_QUOTA_PRESSURE if within_quota else 1.0)))
        if not pressure:
            return False
        max_cost: float = (
            MAX_COST_WITHOUT_PRESSURE * (MAX_COST_AT_FULL_PRESSURE / MAX_COST_WITHOUT_PRESSURE) ** pressure
        )
        return cost > max_cost * self.mean_cost.get(class_index, cost)
