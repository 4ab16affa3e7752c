"""The pool's policies: late bytes, reuse of idle connections, late connects, and connect retries."""

from __future__ import annotations

from fordstair.net.system_errors import Backoff, ErrorScope, error_scope

# Bytes that belong to a response, or to a copy of it, may follow its last byte for this long.
LATE_BYTES_TIMEOUT_MS = 30.0
# The memory that a connection takes, with its part of a request and of a response.
ENGINE_CONNECTION_BYTES = 12 * 1024
# What a connection may hold of a response in any case; a request has room for its first page.
SMALL_RESPONSE_BYTES = 8 * 1024
# An idle connection is closed here before the engine closes it: a POST must not cross such a close.
IDLE_CLOSE_MARGIN_MS = 1_000.0
# Lower bound on how long an idle connection is kept, as a fraction of the engines' idle timeout. It applies
# where that timeout is hardly longer than the margin.
MIN_IDLE_FACTOR = 0.5
# A lost SYN is sent again after 1 s (RFC 6298), and once more 2 s later.
LATE_CONNECT_TIMEOUT_MS = 3_000.0
MAX_LATE_CONNECTS_PER_ENDPOINT = 2


class IdleConnectionPolicy:
    """Asked before an idle connection is reused, and for the oldest ones in each sweep.

    An expired connection is closed; any other may carry the next request.
    """

    def is_expired(self, idle_since_ms: float, now_ms: float, idle_timeout_ms: float) -> bool:
        """Return whether the engine, which closes after ``idle_timeout_ms``, may close it at any moment."""
        kept_ms = max(MIN_IDLE_FACTOR * idle_timeout_ms, idle_timeout_ms - IDLE_CLOSE_MARGIN_MS)
        return idle_since_ms < now_ms - kept_ms


class LateConnectPolicy:
    """Asked when a call stops waiting for its own connect.

    A connect that continues serves a later call; any other is cancelled.
    """

    def keep_connecting(self, late_connects: int) -> bool:
        """Return whether it continues, given the number of late connects in flight to the same endpoint."""
        return late_connects < MAX_LATE_CONNECTS_PER_ENDPOINT

    def timeout_ms(self, connect_timeout_ms: float) -> float:
        """Return the timeout of a connect, whether or not a call still waits for it."""
        return max(LATE_CONNECT_TIMEOUT_MS, connect_timeout_ms)


class ConnectRetryPolicy:
    """Asked after each failed connect(2) for one connection."""

    def __init__(self, until_ms: float) -> None:
        self._until_ms = until_ms
        self._backoff = Backoff()

    def retry_delay_ms(self, error: OSError, now_ms: float) -> float | None:
        """Return the delay before the next connect(2); None if there is none.

        A transient error says nothing about the engine, and is retried until the deadline.
        """
        pause_ms = self._backoff.next_ms()
        if error_scope(error) is ErrorScope.TRANSIENT and now_ms + pause_ms < self._until_ms:
            return pause_ms
        return None
