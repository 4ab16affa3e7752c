"""When engines started, by the monotonic clock; discovery lists it as Unix time."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from fordstair.runtime.clock import MonotonicMs, UnixMs, monotonic_now

# An announcement that seems later than this shows that the clock which dates starts was stepped: then the
# engine counts as just started. An outage of discovery is shorter.
MAX_ANNOUNCEMENT_DELAY_MS = 60_000.0
LONG_PAST_MS = 0.0  # what the decision module reads as a start that is long past
EARLIEST_MS = MonotonicMs(1.0)


class StartTimes:
    """Turns each start into a moment of the monotonic clock once, and keeps to it.

    The wall clock is not read here: it may be wrong. An engine that is listed has started before: each
    start that is seen bounds by how much the monotonic clock is ahead of its times. The least of these
    bounds is right up to the delay of the promptest news so far. No engine looks older than it is by it: the
    youngest of the first list counts as just started, as does one that is announced before any other.
    """

    def __init__(self, clock: Callable[[], MonotonicMs] = monotonic_now) -> None:
        self._clock = clock
        self._known: dict[str, tuple[UnixMs, MonotonicMs]] = {}  # by engine: as listed, and as estimated
        self._max_offset_ms = math.inf  # of the monotonic clock, ahead of the times that discovery lists

    def note_listed(self, starts: Iterable[UnixMs]) -> None:
        """Take in the starts of a list, before the moment of any of them is asked for."""
        now_ms = self._clock()
        for started in starts:
            self._max_offset_ms = min(self._max_offset_ms, now_ms - started.value)

    def moment(self, engine: str, started: UnixMs | None, *, announced: bool) -> float:
        """Return the start of an engine in ms; ``announced`` says that discovery lists it as just started."""
        if started is None:
            return LONG_PAST_MS
        known = self._known.get(engine)
        if known is not None and known[0] == started:
            return known[1]
        self.note_listed([started])
        estimate = self._estimate(started, announced=announced)
        self._known[engine] = (started, estimate)
        return estimate

    def forget(self, engine: str) -> None:
        """Drop what is known of an engine that is gone."""
        self._known.pop(engine, None)

    def _estimate(self, started: UnixMs, *, announced: bool) -> MonotonicMs:
        now = self._clock()
        moment = MonotonicMs(started.value + self._max_offset_ms)
        if announced and now - moment > MAX_ANNOUNCEMENT_DELAY_MS:
            return now
        return max(EARLIEST_MS, moment)
