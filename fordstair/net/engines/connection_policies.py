"""The pool's decisions, one question each: reuse, late connects, and retries of a connect."""

from __future__ import annotations

from fordstair.net.system_errors import Backoff, ErrorScope, error_scope

# An idle connection is closed here before the engine closes it: a POST must not cross such a close.
IDLE_CLOSE_MARGIN_MS = 1_000.0
MIN_IDLE_FACTOR = 0.5  # of the engines' idle timeout, where that is hardly longer than the margin
# A lost SYN goes out again after 1 s (RFC 6298), and once more 2 s later.
LATE_CONNECT_TIMEOUT_MS = 3_000.0
MAX_LATE_CONNECTS = 2  # to one endpoint


class IdleConnectionPolicy:
    """Asked before an idle connection is reused, and at each sweep of the idle ones.

    A connection that has expired is closed; any other may carry the next request.
    """

    def expired(self, idle_since_ms: float, now_ms: float, idle_timeout_ms: float) -> bool:
        """Whether the engine, which closes after ``idle_timeout_ms``, may close it at any moment."""
        kept_ms = max(MIN_IDLE_FACTOR * idle_timeout_ms, idle_timeout_ms - IDLE_CLOSE_MARGIN_MS)
        return idle_since_ms < now_ms - kept_ms


class LateConnectPolicy:
    """Asked when a call stops waiting for its own connect.

    A connect that goes on serves a later call; one that does not is cancelled.
    """

    def keep_connecting(self, late_connects: int) -> bool:
        """Whether it goes on, with ``late_connects`` others on their way to the same endpoint."""
        return late_connects < MAX_LATE_CONNECTS

    def timeout_ms(self, connect_timeout_ms: float) -> float:
        """Return how long a connect may take in all, whether or not a call waits for it."""
        return max(LATE_CONNECT_TIMEOUT_MS, connect_timeout_ms)


class ConnectRetryPolicy:
    """Asked after each failed connect(2) of one connection, in its order."""

    def __init__(self, until_ms: float) -> None:
        self._until_ms = until_ms
        self._backoff = Backoff()

    def retry_after_ms(self, error: OSError, now_ms: float) -> float | None:
        """Return the pause before the next try; None where the connect is given up.

        An error that may pass in a moment tells nothing of the engine, and is retried while there is time.
        """
        pause_ms = self._backoff.next_ms()
        if error_scope(error) is ErrorScope.TRANSIENT and now_ms + pause_ms < self._until_ms:
            return pause_ms
        return None
