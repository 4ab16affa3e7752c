"""How long a request will wait: the parts of a fluid forecast, calibrated on how forecasts came out.

The forecast takes the queues as fluids that drain at the measured rate of release, each team by its weight
(generalised processor sharing). What it leaves out is corrected by two running quantiles of the ratio of the
wait that came to the wait that was forecast: the middle one for the estimate, the upper one for the promise.
A change of the rate is detected when a fast and a slow mean differ by SHIFT_RATIO for SHIFT_MS: then the slow
mean is reset to the fast one, and the errors learned are dropped, so that a doubling of traffic is not
averaged away.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

FAST_MEMORY_MS = 500.0
SLOW_MEMORY_MS = 5_000.0
SHIFT_RATIO = 1.35  # of the two means, from which the rate counts as another one
SHIFT_MS = 400.0  # for how long, before it does
RATE_SAMPLE_MS = 50.0
INFLOW_MEMORY_MS = 2_000.0
MIN_RATE = 1e-9  # work per millisecond
MIN_WORK = 1e-9  # thread-milliseconds: less is none

QUANTILE_STEP = 0.04  # of its logarithm
QUANTILE_STEP_AFTER_SHIFT = 0.25
OUTCOMES_AFTER_SHIFT = 30  # that are heeded more
ERROR_WEIGHT_AFTER_SHIFT = 0.5  # of what was learned before
MAX_LOG_CORRECTION = 2.5
LIKELY_QUANTILE = 0.5
AT_MOST_QUANTILE = 0.9
AT_MOST_START = 0.3  # in its logarithm
AT_MOST_MARGIN_MS = 1.0
SHORT_WAIT_MS = 20.0  # forecasts and waits under it teach nothing
SHORTEST_WAIT_MS = 5.0  # of those that are compared


def fluid_work(ahead: float, own: int, costs: Mapping[int, float], weights: Mapping[int, float]) -> float:
    """Return the work done by all when ``ahead`` of flow ``own`` is done, as fluids that share by weight.

    ``costs`` is what waits in each flow, ``own`` included; flows that run dry leave their part to the others.
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
    """Work that comes into one flow a millisecond, as a mean that forgets."""

    memory_ms: float = INFLOW_MEMORY_MS
    rate: float = 0.0
    updated_ms: float = 0.0

    def add(self, now_ms: float, work: float) -> None:
        """Take one arrival in."""
        self.rate = self.at(now_ms) + work / self.memory_ms
        self.updated_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Return the rate as it is now."""
        return self.rate * math.exp(-max(0.0, now_ms - self.updated_ms) / self.memory_ms)


@dataclass(slots=True)
class RunningQuantile:
    """A running quantile of what is shown to it, by steps up and down in proportion."""

    quantile: float
    value: float = 0.0

    def add(self, sample: float, step: float) -> None:
        """Show one value."""
        self.value += step * (self.quantile if sample > self.value else self.quantile - 1.0)
        self.value = min(MAX_LOG_CORRECTION, max(-MAX_LOG_CORRECTION, self.value))


@dataclass(slots=True)
class ReleaseRate:
    """Work released a millisecond, while something waits: fast and slow, and whether they have parted."""

    fast: float = 0.0
    slow: float = 0.0
    parted_since_ms: float = math.inf
    shifts: int = 0
    _work: float = 0.0
    _since_ms: float = 0.0

    def add(self, now_ms: float, work: float, busy: bool) -> bool:
        """Note work released now; ``busy``: something waited. Return whether the rate has shifted."""
        if not busy:
            self._restart(now_ms)
            return False
        self._work += work
        elapsed_ms = now_ms - self._since_ms
        if elapsed_ms < 0.0 or not self._since_ms:
            self._restart(now_ms)
            return False
        if elapsed_ms < RATE_SAMPLE_MS:
            return False
        sample = self._work / elapsed_ms
        self._restart(now_ms)
        if not self.fast:
            self.fast = self.slow = sample
            return False
        self.fast += (sample - self.fast) * (1.0 - math.exp(-elapsed_ms / FAST_MEMORY_MS))
        self.slow += (sample - self.slow) * (1.0 - math.exp(-elapsed_ms / SLOW_MEMORY_MS))
        return self._shifted(now_ms)

    def value(self, least: float) -> float:
        """Return the rate to forecast with."""
        return max(least, self.slow)

    def _restart(self, now_ms: float) -> None:
        self._work = 0.0
        self._since_ms = now_ms

    def _shifted(self, now_ms: float) -> bool:
        """Whether the two means have been apart for long enough; the slow one then follows the fast one."""
        ratio = max(self.fast, MIN_RATE) / max(self.slow, MIN_RATE)
        if 1.0 / SHIFT_RATIO < ratio < SHIFT_RATIO:
            self.parted_since_ms = math.inf
            return False
        self.parted_since_ms = min(self.parted_since_ms, now_ms)
        if now_ms - self.parted_since_ms < SHIFT_MS:
            return False
        self.slow = self.fast
        self.parted_since_ms = math.inf
        self.shifts += 1
        return True


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """An estimate, in milliseconds: the middle, and what nine in ten stay under."""

    likely_ms: float
    at_most_ms: float


@dataclass(slots=True)
class ForecastCalibration:
    """How waits compared with their forecasts, by class, in logarithms."""

    likely: dict[int, RunningQuantile] = field(default_factory=dict)
    at_most: dict[int, RunningQuantile] = field(default_factory=dict)
    outcomes_after_shift: int = 0  # still to be heeded more

    def correct(self, class_index: int, forecast_ms: float) -> WaitEstimate:
        """Return the estimate for a raw forecast."""
        likely_ms = forecast_ms * math.exp(self._likely(class_index).value)
        at_most_ms = forecast_ms * math.exp(self._at_most(class_index).value)
        return WaitEstimate(likely_ms, max(likely_ms, at_most_ms) + AT_MOST_MARGIN_MS)

    def learn(self, class_index: int, forecast_ms: float, waited_ms: float) -> None:
        """Take in how long a request waited, against its raw forecast at admission."""
        if forecast_ms < SHORT_WAIT_MS and waited_ms < SHORT_WAIT_MS:
            return
        error = math.log(max(SHORTEST_WAIT_MS, waited_ms) / max(SHORTEST_WAIT_MS, forecast_ms))
        step = QUANTILE_STEP_AFTER_SHIFT if self.outcomes_after_shift else QUANTILE_STEP
        self.outcomes_after_shift = max(0, self.outcomes_after_shift - 1)
        self._likely(class_index).add(error, step)
        self._at_most(class_index).add(error, step)

    def rate_shifted(self) -> None:
        """The rate is another one: errors learned before tell less."""
        self.outcomes_after_shift = OUTCOMES_AFTER_SHIFT
        for quantile in (*self.likely.values(), *self.at_most.values()):
            quantile.value *= ERROR_WEIGHT_AFTER_SHIFT

    def _likely(self, class_index: int) -> RunningQuantile:
        return self.likely.setdefault(class_index, RunningQuantile(LIKELY_QUANTILE))

    def _at_most(self, class_index: int) -> RunningQuantile:
        return self.at_most.setdefault(class_index, RunningQuantile(AT_MOST_QUANTILE, AT_MOST_START))
