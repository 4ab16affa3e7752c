"""The request to stop the program, with the earliest moment at which it may have been made."""

from __future__ import annotations

import trio


class StopRequest:
    """Made by SIGTERM, SIGINT or the console; only the first call of ``make`` has an effect.

    Attributes:
        earliest_ms: The earliest moment at which the stop may have been requested, by the monotonic clock;
            0 until it is requested.
    """

    def __init__(self) -> None:
        self.earliest_ms = 0.0
        self._made = trio.Event()

    def make(self, earliest_ms: float) -> None:
        """Request the stop, which was not requested before ``earliest_ms`` of the monotonic clock."""
        if not self._made.is_set():
            self.earliest_ms = earliest_ms
            self._made.set()

    async def wait(self) -> None:
        """Wait until the stop is requested."""
        await self._made.wait()
