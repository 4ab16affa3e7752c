"""Conversion of the engines' start times, which discovery lists as Unix time, to monotonic time."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from fordstair.runtime.clock import MonotonicMs, UnixMs, monotonic_now

# An announcement that seems to arrive later than this means that the clock that dates the starts was stepped;
# the engine then counts as just started. Outages of discovery are shorter than this.
MAX_ANNOUNCEMENT_DELAY_MS = 60_000.0
LONG_PAST_START_MS = 0.0  # read by the decision module as long past
EARLIEST_START_MS = MonotonicMs(1.0)


class StartTimes:
    """Estimates the monotonic start time of each engine once, and keeps the estimate.

    The wall clock is not read, because it may be wrong. A listed engine has already started, so each listed
    start gives an upper bound for the offset of the monotonic clock from discovery's times. The lowest bound
    exceeds the true offset by the delay of the promptest update so far, so no engine appears older than it
    is: the youngest engine of the first list counts as just started, as does an engine announced before any
    other.
    """

    def __init__(self, clock: Callable[[], MonotonicMs] = monotonic_now) -> None:
        self._clock = clock
        self._estimates: dict[str, tuple[UnixMs, MonotonicMs]] = {}  # by engine id: listed, estimated
        self._max_offset_ms = math.inf  # upper bound of monotonic time minus discovery's time

    def record_listed(self, starts: Iterable[UnixMs]) -> None:
        """Record the starts of a list; call it before ``monotonic_start`` for any of them."""
        now_ms = self._clock()
        for started in starts:
            self._max_offset_ms = min(self._max_offset_ms, now_ms - started.value)

    def monotonic_start(self, engine_id: str, started: UnixMs | None, *, announced: bool) -> float:
        """Return the start of an engine in monotonic ms.

        Args:
            engine_id: the engine's id.
            started: the start as discovery lists it; None if it is long past.
            announced: whether discovery announces the engine as just started.
        """
        if started is None:
            return LONG_PAST_START_MS
        known = self._estimates.get(engine_id)
        if known is not None and known[0] == started:
            return known[1]
        self.record_listed([started])
        estimate = self._estimate(started, announced=announced)
        self._estimates[engine_id] = (started, estimate)
        return estimate

    def forget(self, engine_id: str) -> None:
        """Remove the estimate of an engine that has gone."""
        self._estimates.pop(engine_id, None)

    def _estimate(self, started: UnixMs, *, announced: bool) -> MonotonicMs:
        now = self._clock()
        estimate = MonotonicMs(started.value + self._max_offset_ms)
        if announced and now - estimate > MAX_ANNOUNCEMENT_DELAY_MS:
            return now
        return max(EARLIEST_START_MS, estimate)
