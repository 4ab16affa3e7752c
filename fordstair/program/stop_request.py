"""The request to stop: who waits for it, and the earliest moment at which it may have been made."""

from __future__ import annotations

import trio


class StopRequest:
    """Made by SIGTERM, SIGINT or the console; the first one counts, and a further one changes nothing."""

    def __init__(self) -> None:
        self.earliest_ms = 0.0  # at which it may have been made, by the monotonic clock; 0: not made yet
        self._made = trio.Event()

    def make(self, earliest_ms: float) -> None:
        """Ask the program to stop; it was not asked before ``earliest_ms`` of the monotonic clock."""
        if not self._made.is_set():
            self.earliest_ms = earliest_ms
            self._made.set()

    async def wait(self) -> None:
        """Wait until the program is asked to stop."""
        await self._made.wait()
