"""When engines started, by the monotonic clock; discovery lists it as Unix time."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fordstair.runtime.clock import AnchoredClock, MonotonicMs, UnixMs, monotonic_now

# An announced start that is older than this by the wall clock shows the wall clock to be ahead, not the
# announcement to be late: then the engine counts as just started. An outage of discovery is shorter.
MAX_ANNOUNCEMENT_DELAY_MS = 60_000.0
LONG_PAST_MS = 0.0  # what the decision module reads as a start that is long past
EARLIEST_MS = MonotonicMs(1.0)


class StartTimes:
    """Turns each start into a moment of the monotonic clock once, and keeps to it.

    The wall clock is read when the program starts, and never again: a step while the program runs makes no
    cold engine look warm, and none cold for an hour. A clock that was ahead before the program started shows
    by announced starts that seem too old.

    In a list, nothing tells such a clock from engines that started long ago. The youngest engine of the list
    then counts as just started, and each other one as older by the difference of their starts, which the list
    itself tells. An engine that is warm by that is warm whatever the clock says.
    """

    def __init__(self, anchor: AnchoredClock, clock: Callable[[], MonotonicMs] = monotonic_now) -> None:
        self._anchor = anchor
        self._clock = clock
        self._known: dict[str, tuple[UnixMs, MonotonicMs]] = {}  # by engine: as listed, and as estimated
        self._latest_listed: UnixMs | None = None  # the latest start in any list

    def note_listed(self, starts: Iterable[UnixMs]) -> None:
        """Take in the starts of a list, before the moment of any of them is asked for."""
        for started in starts:
            if self._latest_listed is None or started > self._latest_listed:
                self._latest_listed = started

    def moment(self, engine: str, started: UnixMs | None, *, announced: bool) -> float:
        """Return the start of an engine in ms; ``announced`` says that discovery lists it as just started."""
        if started is None:
            return LONG_PAST_MS
        known = self._known.get(engine)
        if known is not None and known[0] == started:
            return known[1]
        estimate = self._estimate(started, announced=announced)
        self._known[engine] = (started, estimate)
        return estimate

    def forget(self, engine: str) -> None:
        """Drop what is known of an engine that is gone."""
        self._known.pop(engine, None)

    def _estimate(self, started: UnixMs, *, announced: bool) -> MonotonicMs:
        now = self._clock()
        moment = self._anchor.monotonic(started)
        if announced and now - moment > MAX_ANNOUNCEMENT_DELAY_MS:
            return now
        if not announced and self._latest_listed is not None:
            younger_by_ms = self._latest_listed.value - started.value
            moment = MonotonicMs(now - max(0.0, younger_by_ms))
        return max(EARLIEST_MS, min(now, moment))
