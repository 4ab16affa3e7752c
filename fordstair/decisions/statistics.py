"""Running means, ratios and counts over a sliding window: plain arithmetic that decides nothing."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import OrderedDict, deque

# Weight of one sample in a pooled mean: by the time since the last one, within these bounds.
MIN_POOLED_STEP = 0.02
MAX_POOLED_STEP = 0.15
MAX_WEIGHTED_STEP = 0.5
POOLED_MEAN_SPAN_MS = 2_000.0


def is_usable(value: float) -> bool:
    """Whether a figure can be learned from: finite and not negative."""
    return math.isfinite(value) and value >= 0.0


class RunningMean:
    """A mean that forgets old samples exponentially; exact for its first ``1 / step`` samples."""

    __slots__ = ("count", "step", "value")

    def __init__(self, step: float, value: float = 0.0, count: int = 0) -> None:
        self.value = value
        self.count = count
        self.step = step

    def add(self, sample: float) -> None:
        """Take one sample in."""
        self.count += 1
        self.value += (sample - self.value) * max(self.step, 1.0 / self.count)


class PooledMean(RunningMean):
    """A running mean over all engines, whose memory is a span of time rather than a number of samples."""

    __slots__ = ("updated_at",)

    def __init__(self) -> None:
        super().__init__(MIN_POOLED_STEP)
        self.updated_at = 0.0

    def add_at(self, now: float, sample: float, weight: float = 1.0) -> None:
        """Take one sample in at a time in ms; a heavier one counts by the root of its weight."""
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

    def get(self, pair: tuple[int, float]) -> RunningMean | None:
        """Return the mean of a pair, if it is cached."""
        return self.means.get(pair)

    def add(self, pair: tuple[int, float], sample: float) -> None:
        """Take one sample in for the pair."""
        self.means.setdefault(pair, RunningMean(self.step)).add(sample)
        self.means.move_to_end(pair)
        if len(self.means) > self.size:
            self.means.popitem(last=False)


class EstimateRatio:
    """Actual value over estimate: its mean, and the mean distance from it."""

    __slots__ = ("largest", "mean", "spread")

    def __init__(self, step: float, largest: float) -> None:
        self.mean = RunningMean(step, 1.0)
        self.spread = RunningMean(step)
        self.largest = largest

    def add(self, actual: float, estimate: float) -> None:
        """Take one pair in; an extreme one counts as the largest ratio allowed."""
        if actual > 0.0 and estimate > 0.0:
            ratio = min(self.largest, actual / estimate)
            self.spread.add(abs(ratio - self.mean.value))
            self.mean.add(ratio)


class SlidingWindowCounter:
    """Counts events within a sliding span of time."""

    __slots__ = ("span_ms", "times")

    def __init__(self, span_ms: float) -> None:
        self.times: deque[float] = deque()
        self.span_ms = span_ms

    def add(self, now: float) -> None:
        """Count one event now; those older than the span are forgotten."""
        self.times.append(now)
        while self.times[0] < now - self.span_ms:
            self.times.popleft()

    def count_since(self, start: float) -> int:
        """Return how many events happened at or after that time."""
        return len(self.times) - bisect_left(self.times, start)
