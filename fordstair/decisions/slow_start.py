"""Slow start: the capacity of an engine that has just started, and how often this coordinator sends to it.

An engine that is warming up collapses under more than ``overload factor x present capacity`` of work in a
window. This budget limits the work of all coordinators together, which do not know of each other's attempts.
"""

from __future__ import annotations

import math

from fordstair.decisions.cost_model import CostModel
from fordstair.decisions.settings import Settings
from fordstair.decisions.statistics import MIN_POOLED_STEP, RunningMean
from fordstair.decisions.tracked_engine import TrackedEngine
from fordstair.decisions.tracked_request import TrackedRequest

# A request is light if it costs at most this share of an engine's budget at its start.
LIGHT_BUDGET_SHARE = 0.08
MIN_LIGHT_WORK_SHARE = 0.1
# At or above this warm-up factor, requests of any cost may be sent to an engine.
ANY_COST_WARM_UP_FACTOR = 0.6
USABLE_BUDGET_SHARE = 1.0
# Share of an engine's cores that is busy at its capacity.
BUSY_CORES_AT_CAPACITY = 0.85
# Margin in standard deviations: the attempts of independent coordinators vary by the root of their number.
SCATTER_SIGMAS = 2.0


class SlowStart:
    """Decides which requests may be sent to engines that are warming up, and with which probability."""

    def __init__(self, settings: Settings, cost_model: CostModel) -> None:
        self._settings = settings
        self._cost_model = cost_model
        # The mean over all requests, in which those that are not light count as 0.
        self._light_cost = RunningMean(MIN_POOLED_STEP)
        kinds = settings.cores_by_kind
        mean_cores = sum(kinds) / max(1, len(kinds))
        self._max_light_cost = (
            LIGHT_BUDGET_SHARE
            * settings.slow_start_overload_factor
            * settings.slow_start_initial_capacity
            * mean_cores
            * settings.slow_start_window_ms
        )

    def record_arrival(self, cost: float) -> None:
        """Learn the light share of arriving work from a request's cost in thread-milliseconds."""
        self._light_cost.add(cost if cost <= self._max_light_cost else 0.0)

    def warm_up_factor(self, now: float, engine: TrackedEngine) -> float:
        """Return a lower bound of the share of its full capacity that an engine has: 1 once it is warm.

        Engines do not report their true ramp, so capacity is assumed to rise with the square of time. An
        engine that accepted no connection counts as started at that time, since a process that was not
        running is cold when it is back.
        """
        settings = self._settings
        started_at = min(now, max(engine.entry.started_ms, engine.unreachable_at))
        if not started_at > 0.0 or now - started_at >= settings.slow_start_ms:
            return 1.0
        initial = settings.slow_start_initial_capacity
        return initial + (1.0 - initial) * ((now - started_at) / settings.slow_start_ms) ** 2

    def send_probability(
        self,
        request: TrackedRequest,
        engine: TrackedEngine,
        warm_up_factor: float,
        fleet_cores: float,
        *,
        all_warming_up: bool,
    ) -> float:
        """Return the maximum probability with which a request may be sent to an engine that is warming up.

        Asked at each draw, for each such engine. At this probability, the attempts of all coordinators
        together, including their variation, fit the engine's budget. Light requests vary less, so that more
        work fits: while there are warm engines, only light requests warm an engine up, and others get 0 until
        its warm-up factor is high enough.
        """
        settings = self._settings
        if not all_warming_up and request.cost <= self._max_light_cost:
            largest_cost = self._max_light_cost
            light_share = self._light_cost.value / max(1.0, self._cost_model.typical_cost.value)
            work_share = max(MIN_LIGHT_WORK_SHARE, light_share)
        elif all_warming_up or warm_up_factor >= ANY_COST_WARM_UP_FACTOR:
            largest_cost = self._cost_model.largest_class_mean()
            work_share = 1.0
        else:
            return 0.0
        overload = settings.slow_start_overload_factor * warm_up_factor * USABLE_BUDGET_SHARE
        budget = overload * BUSY_CORES_AT_CAPACITY * engine.cores * settings.slow_start_window_ms
        variance = SCATTER_SIGMAS**2 * largest_cost / max(1.0, budget)
        usable_overload = overload * (math.sqrt(variance + 4.0) - math.sqrt(variance)) ** 2 / 4.0
        return usable_overload * engine.cores / max(1.0, fleet_cores) / work_share
