"""Running means, ratios, and counts over a sliding window."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import OrderedDict, deque

# Bounds of the weight of one sample in a pooled mean, which grows with the time since the previous sample.
MIN_POOLED_STEP = 0.02
MAX_POOLED_STEP = 0.15
MAX_WEIGHTED_STEP = 0.5
POOLED_MEAN_SPAN_MS = 2_000.0


def is_usable(value: float) -> bool:
    """Return whether a value can be learned from: it is finite and not negative."""
    return math.isfinite(value) and value >= 0.0


class RunningMean:
    """An exponentially weighted mean, which is exact for its first ``1 / step`` samples."""

    __slots__ = ("count", "step", "value")

    def __init__(self, step: float, value: float = 0.0, count: int = 0) -> None:
        self.value = value
        self.count = count
        self.step = step

    def add(self, sample: float) -> None:
        """Add one sample."""
        self.count += 1
        self.value += (sample - self.value) * max(self.step, 1.0 / self.count)


class PooledMean(RunningMean):
    """A running mean over all engines, which covers a span of time rather than a number of samples."""

    __slots__ = ("updated_at",)

    def __init__(self) -> None:
        super().__init__(MIN_POOLED_STEP)
        self.updated_at = 0.0

    def add_at(self, now: float, sample: float, weight: float = 1.0) -> None:
        """Add one sample at a time in ms; it counts by the square root of its weight."""
        step = min(MAX_POOLED_STEP, max(MIN_POOLED_STEP, (now - self.updated_at) / POOLED_MEAN_SPAN_MS))
        self.step = min(MAX_WEIGHTED_STEP, step * math.sqrt(weight))
        self.updated_at = now
        self.add(sample)


class BoundedMeans:
    """Running means by request class and table group; the least recently updated is evicted first."""

    __slots__ = ("means", "size", "step")

    def __init__(self, size: int, step: float) -> None:
        self.size = size
        self.step = step
        self.means: OrderedDict[tuple[int, float], RunningMean] = OrderedDict()

    def get(self, key: tuple[int, float]) -> RunningMean | None:
        """Return the mean of a class and table group, or None if it is not cached."""
        return self.means.get(key)

    def add(self, key: tuple[int, float], sample: float) -> None:
        """Add one sample to the mean of a class and table group."""
        self.means.setdefault(key, RunningMean(self.step)).add(sample)
        self.means.move_to_end(key)
        if len(self.means) > self.size:
            self.means.popitem(last=False)


class EstimateRatio:
    """Ratio of actual value to estimate: its mean, and its mean deviation from that."""

    __slots__ = ("largest", "mean", "spread")

    def __init__(self, step: float, largest: float) -> None:
        self.mean = RunningMean(step, 1.0)
        self.spread = RunningMean(step)
        self.largest = largest

    def add(self, actual: float, estimate: float) -> None:
        """Add one pair of positive values, with the ratio capped at ``largest``; ignore any other pair."""
        if actual > 0.0 and estimate > 0.0:
            ratio = min(self.largest, actual / estimate)
            self.spread.add(abs(ratio - self.mean.value))
            self.mean.add(ratio)


class SlidingWindowCounter:
    """Counts events in a sliding window."""

    __slots__ = ("span_ms", "times")

    def __init__(self, span_ms: float) -> None:
        self.times: deque[float] = deque()
        self.span_ms = span_ms

    def add(self, now: float) -> None:
        """Count one event now; drop those older than the window."""
        self.times.append(now)
        while self.times[0] < now - self.span_ms:
            self.times.popleft()

    def count_since(self, start: float) -> int:
        """Return the number of events at or after a time."""
        return len(self.times) - bisect_left(self.times, start)
