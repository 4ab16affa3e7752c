"""Sends the responses of one connection in the order in which they are queued."""

from __future__ import annotations

import trio

from fordstair.runtime.deadlines import Deadlines


class ResponseWriter:
    """The queue of responses that are still to be sent on one connection."""

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
        """The number of bytes that are queued and not being sent yet."""
        return len(self._unsent)

    @property
    def flushed(self) -> bool:
        """Whether every response has been sent."""
        return not (self._unsent or self._sending)

    def queue(self, data: bytes) -> None:
        """Queue a response, and wake the task that sends."""
        self._unsent += data
        self._changed.set()

    def wake(self) -> None:
        """Wake the task in ``wait_for_change`` without queueing a response."""
        self._changed.set()

    async def flush(self) -> int:
        """Send all queued responses; return 0, or the size of the batch that timed out.

        Everything that is queued when a send starts is one batch, with one timeout. The stream cannot be used
        after a timeout or a cancellation, since part of a batch may have been sent.
        """
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
        """Wait until a response is queued or ``wake`` is called."""
        self._changed = trio.Event()
        await self._changed.wait()

    async def wait_for_flush(self) -> None:
        """Wait until ``flush`` next completes."""
        self._flushed = trio.Event()
        await self._flushed.wait()
