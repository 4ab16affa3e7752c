"""When engines started, by the monotonic clock; discovery tells it as Unix time."""

from __future__ import annotations

from collections.abc import Callable

from fordstair.runtime.clock import AnchoredClock, MonotonicMs, UnixMs, monotonic_now

# News of a start that is older than this by the wall clock shows the wall clock to be ahead, not the news
# to be late: then the engine counts as just started. A long outage of discovery holds news back for less.
NEWS_LATE_MOST_MS = 60_000.0
LONG_PAST_MS = 0.0  # what the module reads as a start that is long past
EARLIEST_MS = MonotonicMs(1.0)


class StartTimes:
    """Turns each start into a moment of the monotonic clock once, and keeps to it.

    The wall clock is looked at when the program starts, and never again: a step while the program runs
    makes no cold engine look warm, and none cold for an hour. A clock that was ahead before the program
    started shows by news of starts that seem too old.
    """

    def __init__(self, anchor: AnchoredClock, clock: Callable[[], MonotonicMs] = monotonic_now) -> None:
        self._anchor, self._clock = anchor, clock
        self._known: dict[str, tuple[UnixMs, float]] = {}

    def moment(self, engine: str, started: UnixMs | None, *, announced: bool) -> float:
        """Return the start of an engine; ``announced`` says that discovery tells of it just now."""
        if started is None:
            return LONG_PAST_MS
        told, moment = self._known.get(engine, (None, 0.0))
        if told != started:
            moment = self._estimate(started, announced)
            self._known[engine] = started, moment
        return moment

    def forget(self, engine: str) -> None:
        """Drop what is known of an engine that is gone."""
        self._known.pop(engine, None)

    def _estimate(self, started: UnixMs, announced: bool) -> MonotonicMs:
        now, moment = self._clock(), self._anchor.monotonic(started)
        if announced and now - moment > NEWS_LATE_MOST_MS:
            return now
        return max(EARLIEST_MS, min(now, moment))
