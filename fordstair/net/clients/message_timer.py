"""Times the first message of a connection, and the rest of each message that has begun."""

from __future__ import annotations

from collections.abc import Callable

from fordstair.net.clients.client_limits import RPC_MESSAGE_TIMEOUT_MS, RPC_MESSAGE_TIMEOUT_RETRY_MS
from fordstair.runtime.deadlines import DeadlineHandle, Deadlines


class MessageTimer:
    """One timeout, for the message in progress.

    ``end_if_timed_out`` is called after RPC_MESSAGE_TIMEOUT_MS with the time at which they began; it ends the
    connection and returns True, or returns False to be called again a little later.

    Attributes:
        began_ms: when the incomplete message began; 0 if there is none.
    """

    def __init__(self, deadlines: Deadlines, end_if_timed_out: Callable[[float], bool]) -> None:
        self.began_ms = 0.0
        self._deadlines = deadlines
        self._end_if_timed_out = end_if_timed_out
        self._handle: DeadlineHandle | None = None

    def start(self, ms: float = RPC_MESSAGE_TIMEOUT_MS) -> None:
        """Start the timeout."""
        self._handle = self._deadlines.after(ms, self._check)

    def stop(self) -> None:
        """Stop the timeout: the message is complete, or the connection has ended."""
        self.began_ms = 0.0
        if self._handle is not None:
            self._deadlines.cancel(self._handle)
            self._handle = None

    def begin_message(self, now_ms: float) -> None:
        """Record that a message has begun, and time it."""
        self.began_ms = now_ms
        if self._handle is None:
            self.start()

    def _check(self) -> None:
        self._handle = None
        if not self._end_if_timed_out(self._deadlines.clock() - RPC_MESSAGE_TIMEOUT_MS):
            self.start(RPC_MESSAGE_TIMEOUT_RETRY_MS)
