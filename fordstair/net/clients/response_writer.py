"""Sends the responses of one connection in the order in which they are queued."""

from __future__ import annotations

import trio

from fordstair.runtime.deadlines import DeadlineHandle, Deadlines
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation

# A client that does not read holds memory that others wait for.
WRITE_TIMEOUT_IF_SCARCE_MS = 1_000.0
SCARCE_CHECK_MS = 100.0


class ResponseWriter:
    """The queue of responses that are still to be sent on one connection.

    Answers get through whether there is memory or not: they take the place of requests that had reserved it.
    """

    def __init__(
        self,
        stream: trio.abc.SendStream,
        deadlines: Deadlines,
        write_timeout_ms: float,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._stream = stream
        self._memory = memory or MemoryBudget()
        self._reservation = Reservation(self._memory, MemoryUse.ANSWERS)
        self._deadlines = deadlines
        self._write_timeout_ms = write_timeout_ms
        self._unsent = bytearray()
        self._sending = False
        self._send_check: DeadlineHandle = (0.0, 0)
        self._changed = trio.Event()
        self._flushed = trio.Event()

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that are queued or being sent."""
        return self._reservation.size

    @property
    def flushed(self) -> bool:
        """Whether every response has been sent."""
        return not (self._unsent or self._sending)

    def queue(self, data: bytes) -> None:
        """Queue a response, and wake the task that sends."""
        self._unsent += data
        self._reservation.charge(self._reservation.size + len(data))
        self._changed.set()

    def wake(self) -> None:
        """Wake the task in ``wait_for_change`` without queueing a response."""
        self._changed.set()

    async def flush(self) -> int:
        """Send all queued responses; return 0, or the size of the batch that timed out.

        Everything that is queued when a send starts is one batch, with one timeout. The stream cannot be used
        after a timeout or a cancellation, since part of a batch may have been sent. While memory is scarce,
        the timeout is WRITE_TIMEOUT_IF_SCARCE_MS.
        """
        while self._unsent:
            data = self._unsent
            self._unsent = bytearray()
            self._sending = True
            with trio.CancelScope() as scope:
                self._begin_send(scope)
                try:
                    await self._stream.send_all(data)
                finally:
                    self._deadlines.cancel(self._send_check)
            if scope.cancelled_caught:
                return len(data)
            self._reservation.charge(len(self._unsent))
        self._sending = False
        self._flushed.set()
        return 0

    def _begin_send(self, scope: trio.CancelScope) -> None:
        """Cancel the scope once a send has timed out."""
        began_ms = self._deadlines.clock()

        def check() -> None:
            timed_out = self._deadlines.clock() >= began_ms + self._write_timeout_ms
            if timed_out or self._memory.scarce:
                scope.cancel()
            else:
                self._send_check = self._deadlines.after(SCARCE_CHECK_MS, check)

        self._send_check = self._deadlines.after(
            min(WRITE_TIMEOUT_IF_SCARCE_MS, self._write_timeout_ms), check
        )

    def discard(self) -> None:
        """Drop what is not sent: the connection has ended."""
        self._unsent = bytearray()
        self._reservation.release()

    async def wait_for_change(self) -> None:
        """Wait until a response is queued or ``wake`` is called."""
        self._changed = trio.Event()
        await self._changed.wait()

    async def wait_for_flush(self) -> None:
        """Wait until ``flush`` next completes."""
        self._flushed = trio.Event()
        await self._flushed.wait()
