"""How long a request will wait: a fluid forecast of the queues, calibrated on how forecasts came out.

The forecast takes the queues as fluids that drain at the measured rate of release, each team by its weight
(generalised processor sharing). What it leaves out is corrected by two running quantiles of the ratio of the
wait that came to the wait that was forecast: the middle one for the estimate, the upper one for the promise.
A change of the rate itself is noticed by a fast and a slow mean that part: then the slow one, and what was
learned of errors, starts again from the fast one, so that a doubling of traffic is not averaged away.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

FAST_MS, SLOW_MS = 500.0, 5_000.0  # memories of the two means
PART = 1.35  # how far they may part before the rate counts as another one
PART_MS = 400.0  # for how long, before it does
INFLOW_MS = 2_000.0  # memory of what comes in
STEP, STEP_SHIFTED = 0.04, 0.25  # of a quantile, in its logarithm: usual, and just after a shift
MOST = 2.5  # the logarithm of the largest correction


def fluid(ahead: float, own: int, costs: Mapping[int, float], weights: Mapping[int, float]) -> float:
    """Return the work done by all when ``ahead`` of flow ``own`` is done, as fluids that share by weight.

    ``costs`` is what waits in each flow, ``own`` included; flows that run dry leave their part to the others.
    """
    left = {flow: cost for flow, cost in costs.items() if cost > 0.0 and flow != own}
    done, mine = 0.0, max(0.0, ahead)
    for flow in sorted(left, key=lambda each: left[each] / weights[each]):
        total = weights[own] + sum(weights[each] for each in left)
        virtual = min(mine / weights[own], left[flow] / weights[flow])
        done += virtual * total
        mine -= virtual * weights[own]
        for each in left:
            left[each] -= virtual * weights[each]
        if mine <= 1e-9:
            return done
        del left[flow]
    return done + mine


@dataclass(frozen=True, slots=True)
class Cap:
    """This coordinator's share of one of the fleet's budgets of threads, as it binds one request."""

    threads: int  # that may be out: 0 for none just now
    out: int
    hold_ms: float  # for which each of those is held, on average
    by_team: bool  # only requests of its own team compete for it
    by_class: bool  # only those of its own class
    moves_ms: float  # in which a share comes to where it is wanted

    def wait_ms(self, threads: int, own: float, team: float, all_of: float) -> float:
        """Return how long a request of so many threads waits behind that work, in thread-milliseconds.

        ``own`` is the work of its own class that goes before it, ``team`` that of its team and ``all_of``
        that of all teams: what competes for this share drains at the rate of the share.
        """
        work = own if self.by_class else team if self.by_team else all_of
        over = max(0, self.out + threads - self.threads)
        slot_ms = over / max(1, self.out) * self.hold_ms
        if self.threads < threads:
            return self.moves_ms + work / threads + slot_ms
        return work / self.threads + slot_ms


@dataclass(frozen=True, slots=True)
class Meter:
    """This coordinator's share of a budget of requests a second: until one that comes has its turn."""

    ms: float

    def wait_ms(self, threads: int, own: float, team: float, all_of: float) -> float:
        """Return that time: whoever came before is in it already."""
        return self.ms


@dataclass(slots=True)
class Inflow:
    """Work that comes into one flow a millisecond, as a mean that forgets."""

    memory_ms: float = INFLOW_MS
    value: float = 0.0
    at_ms: float = 0.0

    def add(self, now_ms: float, work: float) -> None:
        """Take one arrival in."""
        self.value = self.at(now_ms) + work / self.memory_ms
        self.at_ms = now_ms

    def at(self, now_ms: float) -> float:
        """The rate as it is now."""
        return self.value * math.exp(-max(0.0, now_ms - self.at_ms) / self.memory_ms)


@dataclass(slots=True)
class Quantile:
    """A running quantile of what is shown to it, by steps up and down in proportion."""

    part: float
    value: float = 0.0

    def add(self, x: float, step: float) -> None:
        """Show one value."""
        self.value += step * (self.part if x > self.value else self.part - 1.0)
        self.value = min(MOST, max(-MOST, self.value))


@dataclass(slots=True)
class Rate:
    """Work released a millisecond, while something waits: fast and slow, and whether they have parted."""

    fast: float = 0.0
    slow: float = 0.0
    at_ms: float = 0.0
    parted_ms: float = math.inf  # since when they part
    shifts: int = 0
    _work: float = 0.0
    _since_ms: float = 0.0

    def add(self, now_ms: float, work: float, busy: bool) -> bool:
        """Note work released now; ``busy``: something waited. Whether the rate has shifted."""
        if not busy:
            self.at_ms, self._work, self._since_ms = now_ms, 0.0, now_ms
            return False
        self._work += work
        elapsed = now_ms - self._since_ms
        if elapsed < 0.0 or not self._since_ms:
            self._since_ms, self._work = now_ms, 0.0
            return False
        if elapsed < 50.0:
            return False
        seen, self._work, self._since_ms = self._work / elapsed, 0.0, now_ms
        if not self.fast:
            self.fast = self.slow = seen
            return False
        self.fast += (seen - self.fast) * (1.0 - math.exp(-elapsed / FAST_MS))
        self.slow += (seen - self.slow) * (1.0 - math.exp(-elapsed / SLOW_MS))
        apart = max(self.fast, 1e-9) / max(self.slow, 1e-9)
        if 1.0 / PART < apart < PART:
            self.parted_ms = math.inf
            return False
        self.parted_ms = min(self.parted_ms, now_ms)
        if now_ms - self.parted_ms < PART_MS:
            return False
        self.slow, self.parted_ms, self.shifts = self.fast, math.inf, self.shifts + 1
        return True

    def value(self, least: float) -> float:
        """The rate to forecast with."""
        return max(least, self.slow)


@dataclass(frozen=True, slots=True)
class Wait:
    """An estimate, in milliseconds: the middle, and what nine in ten stay under."""

    likely_ms: float
    at_most_ms: float


@dataclass(slots=True)
class Calibration:
    """What forecasts turned out to be worth, by class."""

    middle: dict[int, Quantile] = field(default_factory=dict)
    upper: dict[int, Quantile] = field(default_factory=dict)
    fresh: int = 0  # outcomes still to be heeded more, after a shift

    def correct(self, class_index: int, forecast_ms: float) -> Wait:
        """Return the estimate for a raw forecast."""
        middle = self.middle.setdefault(class_index, Quantile(0.5))
        upper = self.upper.setdefault(class_index, Quantile(0.9, 0.3))
        likely = forecast_ms * math.exp(middle.value)
        return Wait(likely, max(likely, forecast_ms * math.exp(upper.value)) + 1.0)

    def learn(self, class_index: int, forecast_ms: float, came_ms: float) -> None:
        """Take in how long a request waited, against its raw forecast at admission."""
        if forecast_ms < 20.0 and came_ms < 20.0:
            return
        error = math.log(max(5.0, came_ms) / max(5.0, forecast_ms))
        step = STEP_SHIFTED if self.fresh else STEP
        self.fresh = max(0, self.fresh - 1)
        self.middle.setdefault(class_index, Quantile(0.5)).add(error, step)
        self.upper.setdefault(class_index, Quantile(0.9, 0.3)).add(error, step)

    def shifted(self) -> None:
        """The rate is another one: errors learned before tell less."""
        self.fresh = 30
        for quantile in (*self.middle.values(), *self.upper.values()):
            quantile.value *= 0.5
