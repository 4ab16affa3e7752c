"""How long at most a message had been here before it was read: that much of its time limit is over."""

from __future__ import annotations

import trio

from fordstair.net.clients.poll_watch import PollWatch
from fordstair.runtime.deadlines import Deadlines

# A connection that was accepted as soon has not brought a message that is late.
USUAL_ACCEPT_DELAY_MS = 20.0


class ReadDelay:
    """Estimates the delay of what is read on one connection.

    ``accept_delay_ms`` says how long at most the connection was there before it was accepted.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        poll_watch: PollWatch,
        deadlines: Deadlines,
        accept_delay_ms: float,
    ) -> None:
        self._poll_watch = poll_watch
        self._deadlines = deadlines
        self._connected_ms = deadlines.clock() - accept_delay_ms  # at the earliest
        self._drained_ms = deadlines.clock()  # when all that had come was read
        # Whether its first message was there as it was accepted; checked only where that was late.
        self._came_with_connection = accept_delay_ms > USUAL_ACCEPT_DELAY_MS and sock.is_readable()
        self.last_ms = 0.0  # of what was read last

    def note_readable(self) -> None:
        """Bytes are about to be read."""
        if self._came_with_connection:
            self.last_ms = self._deadlines.clock() - self._connected_ms
            self._came_with_connection = False
        else:
            self.last_ms = self._poll_watch.max_delay_ms(self._drained_ms)

    def note_drained(self, now_ms: float) -> None:
        """All that had come has been read."""
        self._drained_ms = now_ms
