"""How long bytes may have waited here before they were read: the program may have been paused, or busy."""

from __future__ import annotations

import math

import trio

from fordstair.runtime.clock import monotonic_now

# While it waits for bytes the program wakes up so often. A wait that took clearly longer was not one for
# bytes alone: the program did not run, and whatever has come may have come at its beginning.
TICK_S = 0.06
STALLED_POLL_MS = 80.0


class PollWatch(trio.abc.Instrument):
    """Notes when the event loop last polled for bytes."""

    def __init__(self) -> None:
        self._running = False
        # The latest wait for bytes:
        self._wait_began_ms = monotonic_now()
        self._wait_ended_ms = self._wait_began_ms
        # The latest poll that surely saw all there was, and the one before the latest wait. A wait that was
        # interrupted by a pause of the process may end without a poll.
        self._complete_poll_ms = self._wait_began_ms
        self._previous_poll_ms = self._wait_began_ms

    def before_io_wait(self, timeout: float) -> None:
        """The loop begins to wait for bytes."""
        self._wait_began_ms = monotonic_now()

    def after_io_wait(self, timeout: float) -> None:
        """It has found some, or something else is due."""
        self._wait_ended_ms = monotonic_now()
        self._previous_poll_ms = self._complete_poll_ms
        if not self._stalled:
            self._complete_poll_ms = self._wait_ended_ms

    def max_delay_ms(self, drained_ms: float = -math.inf) -> float:
        """Return for how long at most what is readable now has been so.

        ``drained_ms`` is when all that had come was read. An ordinary wait for bytes does not count.
        """
        if not self._running:
            return 0.0
        since_ms = max(drained_ms, self._previous_poll_ms)
        ordinary_wait_ms = 0.0 if self._stalled else self._wait_ended_ms - self._wait_began_ms
        return max(0.0, monotonic_now() - since_ms - ordinary_wait_ms)

    def earliest_arrival_ms(self) -> float:
        """Return the earliest moment at which a signal whose handler runs now may have been sent.

        A running program handles a signal at once, also in its wait for bytes. So a signal came after the
        loop was last seen running; that was just now, unless the program has been paused since.
        """
        now_ms = monotonic_now()
        if not self._running:
            return now_ms
        seen_running_ms = max(self._wait_began_ms, self._wait_ended_ms)
        return seen_running_ms if now_ms - seen_running_ms > STALLED_POLL_MS else now_ms

    async def run(self) -> None:
        """Watch the loop, and keep it ticking, until cancelled."""
        self._reset()
        self._running = True
        trio.lowlevel.add_instrument(self)
        try:
            while True:  # noqa: ASYNC110 - bounds the loop's waits; there is no event
                await trio.sleep(TICK_S)
        finally:
            self._running = False
            trio.lowlevel.remove_instrument(self)

    def _reset(self) -> None:
        now_ms = monotonic_now()
        self._wait_began_ms = now_ms
        self._wait_ended_ms = now_ms
        self._complete_poll_ms = now_ms
        self._previous_poll_ms = now_ms

    @property
    def _stalled(self) -> bool:
        return self._wait_ended_ms - self._wait_began_ms > STALLED_POLL_MS
