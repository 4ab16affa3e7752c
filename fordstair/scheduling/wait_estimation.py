"""Building blocks of the wait forecast: a fluid model of the queues, calibrated with observed waits.

The model treats the queues as fluids that drain at the measured release rate, each team by its weight
(generalised processor sharing). Two running quantiles of the ratio of observed to forecast wait correct its
error: the median for the likely wait, an upper one for the wait that is promised at most.
A shift of the release rate is detected when a fast and a slow mean differ by SHIFT_RATIO for
MIN_SHIFT_DURATION_MS. The slow mean is then set to the fast one and the learned errors are discounted, so
that a doubling of traffic is not averaged away.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

FAST_TIME_CONSTANT_MS = 500.0
SLOW_TIME_CONSTANT_MS = 5_000.0
# The release rate has shifted once the ratio of the two means is at least this, for at least this long.
SHIFT_RATIO = 1.35
MIN_SHIFT_DURATION_MS = 400.0
RATE_SAMPLE_INTERVAL_MS = 50.0
INFLOW_TIME_CONSTANT_MS = 2_000.0
MIN_RATE = 1e-9  # work per millisecond
MIN_WORK = 1e-9  # thread-milliseconds; amounts up to this count as zero

# The quantiles are of the logarithm of the ratio of observed to forecast wait.
QUANTILE_STEP = 0.04
FAST_QUANTILE_STEP = 0.25
FAST_LEARNING_OUTCOMES = 30  # outcomes learned with the larger step
ERROR_FACTOR_AFTER_SHIFT = 0.5  # factor on the errors learned before the shift
MAX_LOG_CORRECTION = 2.5
LIKELY_QUANTILE = 0.5
AT_MOST_QUANTILE = 0.9
INITIAL_AT_MOST_LOG = 0.3
AT_MOST_MARGIN_MS = 1.0
# Outcomes whose forecast and wait are both shorter are not learned from.
MIN_LEARNED_WAIT_MS = 20.0
# Shorter forecasts and waits are raised to this before they are compared.
MIN_COMPARED_WAIT_MS = 5.0


def fluid_work(ahead: float, own: int, costs: Mapping[int, float], weights: Mapping[int, float]) -> float:
    """Return the work that all flows have done once ``ahead`` of flow ``own`` is done, sharing by weight.

    ``costs`` is the waiting work of each flow, ``own`` included. A flow that runs dry leaves its share of the
    rate to the others.
    """
    left = {flow: cost for flow, cost in costs.items() if cost > 0.0 and flow != own}
    done = 0.0
    own_left = max(0.0, ahead)
    for flow in sorted(left, key=lambda each: left[each] / weights[each]):
        total_weight = weights[own] + sum(weights[each] for each in left)
        virtual = min(own_left / weights[own], left[flow] / weights[flow])
        done += virtual * total_weight
        own_left -= virtual * weights[own]
        for each in left:
            left[each] -= virtual * weights[each]
        if own_left <= MIN_WORK:
            return done
        del left[flow]
    return done + own_left


@dataclass(slots=True)
class Inflow:
    """Exponentially decaying mean of the work that arrives in one flow, per millisecond."""

    time_constant_ms: float = INFLOW_TIME_CONSTANT_MS
    rate: float = 0.0
    updated_ms: float = 0.0

    def add(self, now_ms: float, work: float) -> None:
        """Add one arrival."""
        self.rate = self.at(now_ms) + work / self.time_constant_ms
        self.updated_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Return the rate, decayed to the given time."""
        return self.rate * math.exp(-max(0.0, now_ms - self.updated_ms) / self.time_constant_ms)


@dataclass(slots=True)
class RunningQuantile:
    """A running quantile of samples, moved up or down by a step for each sample."""

    quantile: float
    value: float = 0.0

    def add(self, sample: float, step: float) -> None:
        """Move the quantile by one sample; it stays within MAX_LOG_CORRECTION of 0."""
        self.value += step * (self.quantile if sample > self.value else self.quantile - 1.0)
        self.value = min(MAX_LOG_CORRECTION, max(-MAX_LOG_CORRECTION, self.value))


@dataclass(slots=True)
class ReleaseRate:
    """Work released per millisecond while requests wait, as a fast and a slow mean.

    Attributes:
        diverged_since_ms: Since when the two means have differed by SHIFT_RATIO; infinite if they do not.
        shifts: Number of shifts detected.
    """

    fast: float = 0.0
    slow: float = 0.0
    diverged_since_ms: float = math.inf
    shifts: int = 0
    _work: float = 0.0
    _since_ms: float = 0.0

    def add(self, now_ms: float, work: float, busy: bool) -> bool:
        """Add work released now, and return True if the rate has shifted.

        ``busy`` says that requests were waiting; work released without a backlog is not a sample of the rate.
        """
        if not busy:
            self._restart(now_ms)
            return False
        self._work += work
        elapsed_ms = now_ms - self._since_ms
        if elapsed_ms < 0.0 or not self._since_ms:
            self._restart(now_ms)
            return False
        if elapsed_ms < RATE_SAMPLE_INTERVAL_MS:
            return False
        sample = self._work / elapsed_ms
        self._restart(now_ms)
        if not self.fast:
            self.fast = self.slow = sample
            return False
        self.fast += (sample - self.fast) * (1.0 - math.exp(-elapsed_ms / FAST_TIME_CONSTANT_MS))
        self.slow += (sample - self.slow) * (1.0 - math.exp(-elapsed_ms / SLOW_TIME_CONSTANT_MS))
        return self._detect_shift(now_ms)

    def forecast_rate(self, min_rate: float) -> float:
        """Return the rate to forecast with, which is at least ``min_rate``."""
        return max(min_rate, self.slow)

    def _restart(self, now_ms: float) -> None:
        self._work = 0.0
        self._since_ms = now_ms

    def _detect_shift(self, now_ms: float) -> bool:
        """Return True if the means have differed for long enough; then also set the slow mean to the fast."""
        ratio = max(self.fast, MIN_RATE) / max(self.slow, MIN_RATE)
        if 1.0 / SHIFT_RATIO < ratio < SHIFT_RATIO:
            self.diverged_since_ms = math.inf
            return False
        self.diverged_since_ms = min(self.diverged_since_ms, now_ms)
        if now_ms - self.diverged_since_ms < MIN_SHIFT_DURATION_MS:
            return False
        self.slow = self.fast
        self.diverged_since_ms = math.inf
        self.shifts += 1
        return True


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """An estimated wait: the median, and a bound that nine in ten waits stay under."""

    likely_ms: float
    at_most_ms: float


@dataclass(slots=True)
class ForecastCalibration:
    """Learns the error of forecasts by class, as quantiles of the logarithm of the ratio of wait to forecast.

    Attributes:
        fast_learning_outcomes_left: Outcomes that are yet to be learned with the larger step.
    """

    likely: dict[int, RunningQuantile] = field(default_factory=dict)
    at_most: dict[int, RunningQuantile] = field(default_factory=dict)
    fast_learning_outcomes_left: int = 0

    def correct(self, class_index: int, forecast_ms: float) -> WaitEstimate:
        """Return the calibrated estimate for a raw forecast."""
        likely_ms = forecast_ms * math.exp(self._likely_quantile(class_index).value)
        at_most_ms = forecast_ms * math.exp(self._at_most_quantile(class_index).value)
        return WaitEstimate(likely_ms, max(likely_ms, at_most_ms) + AT_MOST_MARGIN_MS)

    def learn(self, class_index: int, forecast_ms: float, waited_ms: float) -> None:
        """Learn from the wait of a request and its raw forecast at admission."""
        if forecast_ms < MIN_LEARNED_WAIT_MS and waited_ms < MIN_LEARNED_WAIT_MS:
            return
        error = math.log(max(MIN_COMPARED_WAIT_MS, waited_ms) / max(MIN_COMPARED_WAIT_MS, forecast_ms))
        step = FAST_QUANTILE_STEP if self.fast_learning_outcomes_left else QUANTILE_STEP
        self.fast_learning_outcomes_left = max(0, self.fast_learning_outcomes_left - 1)
        self._likely_quantile(class_index).add(error, step)
        self._at_most_quantile(class_index).add(error, step)

    def discount_errors(self) -> None:
        """Discount the errors learned before a shift of the rate, and learn faster for a while."""
        self.fast_learning_outcomes_left = FAST_LEARNING_OUTCOMES
        for quantile in (*self.likely.values(), *self.at_most.values()):
            quantile.value *= ERROR_FACTOR_AFTER_SHIFT

    def _likely_quantile(self, class_index: int) -> RunningQuantile:
        return self.likely.setdefault(class_index, RunningQuantile(LIKELY_QUANTILE))

    def _at_most_quantile(self, class_index: int) -> RunningQuantile:
        return self.at_most.setdefault(class_index, RunningQuantile(AT_MOST_QUANTILE, INITIAL_AT_MOST_LOG))
