"""Sends a connection's responses in the order in which they are queued."""

from __future__ import annotations

import trio

from fordstair.runtime.deadlines import Deadlines


class ResponseWriter:
    """What is still to be sent on one connection."""

    def __init__(self, stream: trio.abc.SendStream, deadlines: Deadlines, write_timeout_ms: float) -> None:
        self._stream = stream
        self._deadlines = deadlines
        self._write_timeout_ms = write_timeout_ms
        self._unsent = bytearray()
        self._sending = False
        self._changed = trio.Event()
        self._flushed = trio.Event()

    @property
    def unsent_bytes(self) -> int:
        """What is queued and not being sent yet."""
        return len(self._unsent)

    @property
    def flushed(self) -> bool:
        """Whether every response has left."""
        return not (self._unsent or self._sending)

    def queue(self, data: bytes) -> None:
        """Queue a response; it is sent at once."""
        self._unsent += data
        self._changed.set()

    def wake(self) -> None:
        """Have ``wait_for_change`` return, though nothing is queued."""
        self._changed.set()

    async def flush(self) -> int:
        """Send all that is queued; return how many bytes could not leave in time, 0 where all did."""
        while self._unsent:
            data = self._unsent
            self._unsent = bytearray()
            self._sending = True
            with self._deadlines.limit_for(self._write_timeout_ms) as limit:
                await self._stream.send_all(data)
            if limit.cancelled_caught:
                return len(data)
        self._sending = False
        self._flushed.set()
        return 0

    async def wait_for_change(self) -> None:
        """Wait until something is queued, or ``wake`` is called."""
        self._changed = trio.Event()
        await self._changed.wait()

    async def wait_for_flush(self) -> None:
        """Wait until ``flush`` next returns with all sent."""
        self._flushed = trio.Event()
        await self._flushed.wait()
