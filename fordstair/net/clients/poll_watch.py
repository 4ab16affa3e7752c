"""Bounds how long input may have waited for the event loop: the process may have been paused or busy."""

from __future__ import annotations

import math

import trio

from fordstair.runtime.clock import monotonic_now

# The event loop wakes at least this often. An I/O wait longer than STALLED_POLL_MS therefore means that the
# process did not run, and input that is readable after it may have arrived as early as its beginning.
WAKE_INTERVAL_S = 0.06
STALLED_POLL_MS = 80.0


class PollWatch(trio.abc.Instrument):
    """Records when the event loop last polled for I/O.

    Its estimates are valid only while ``run`` is running; otherwise they assume no delay.
    """

    def __init__(self) -> None:
        self._running = False
        # The latest I/O wait:
        self._wait_began_ms = monotonic_now()
        self._wait_ended_ms = self._wait_began_ms
        # The latest poll that certainly saw all readable input, and the latest such poll before the latest
        # wait. A wait that was interrupted by a pause of the process may end without a poll.
        self._complete_poll_ms = self._wait_began_ms
        self._previous_poll_ms = self._wait_began_ms

    def before_io_wait(self, timeout: float) -> None:
        """Record the beginning of an I/O wait."""
        self._wait_began_ms = monotonic_now()

    def after_io_wait(self, timeout: float) -> None:
        """Record the end of an I/O wait; a stalled one does not count as a complete poll."""
        self._wait_ended_ms = monotonic_now()
        self._previous_poll_ms = self._complete_poll_ms
        if not self._stalled:
            self._complete_poll_ms = self._wait_ended_ms

    def max_delay_ms(self, drained_ms: float = -math.inf) -> float:
        """Return an upper bound on how long the input that is readable now has been readable.

        ``drained_ms`` is when all input of the connection had last been read. The latest I/O wait is not
        counted unless it stalled: input that arrives during a wait ends it.
        """
        if not self._running:
            return 0.0
        since_ms = max(drained_ms, self._previous_poll_ms)
        ordinary_wait_ms = 0.0 if self._stalled else self._wait_ended_ms - self._wait_began_ms
        return max(0.0, monotonic_now() - since_ms - ordinary_wait_ms)

    def earliest_arrival_ms(self) -> float:
        """Return the earliest time at which a signal whose handler is running now may have been sent.

        A running process handles a signal at once, even during an I/O wait. So the signal was sent after the
        loop was last seen running; that was just now, unless the process has been paused since.
        """
        now_ms = monotonic_now()
        if not self._running:
            return now_ms
        seen_running_ms = max(self._wait_began_ms, self._wait_ended_ms)
        return seen_running_ms if now_ms - seen_running_ms > STALLED_POLL_MS else now_ms

    async def run(self) -> None:
        """Watch the event loop, and wake it every WAKE_INTERVAL_S, until cancelled."""
        self._reset()
        self._running = True
        trio.lowlevel.add_instrument(self)
        try:
            while True:  # noqa: ASYNC110 - this bounds the loop's waits; there is no event to wait for
                await trio.sleep(WAKE_INTERVAL_S)
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
