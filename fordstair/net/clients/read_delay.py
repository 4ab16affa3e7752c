"""Bounds how long a message waited to be read; its time limit is shortened by that much."""

from __future__ import annotations

import fcntl
import select
import sys
import termios

import trio

from fordstair.net.clients.poll_watch import PollWatch
from fordstair.runtime.deadlines import Deadlines

READ_BYTES = 65_536
_FIONREAD_RESULT_BYTES = 4  # FIONREAD writes an int, see tty_ioctl(4)
# Input from a gap of at most this length between two waits is treated as if it had arrived during the wait.
SHORT_GAP_MS = 20.0


async def wait_readable(stream: trio.SocketStream) -> None:
    """Wait until the stream has input or is at its end; raise trio.ClosedResourceError if closed locally."""
    if stream.socket.fileno() < 0:
        raise trio.ClosedResourceError
    await trio.lowlevel.wait_readable(stream.socket)


def unread_bytes(stream: trio.abc.Stream) -> int:
    """Return how many bytes can be read from a stream now; 0 if the system does not tell."""
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return 0
    count = bytearray(_FIONREAD_RESULT_BYTES)
    try:
        fcntl.ioctl(stream.socket.fileno(), termios.FIONREAD, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


def peer_has_closed(stream: trio.abc.Stream) -> bool:
    """Return whether the end of the peer's data, or a reset, has arrived, also behind data that is unread."""
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(stream.socket, select.POLLRDHUP)
    return bool(poll.poll(0))


class ReadDelay:
    """Estimates an upper bound on the delay between the arrival of input on one connection and its read.

    While the connection waits for input, the times of the event loop's polls bound the delay. Input that
    arrives between two waits may be as old as that gap. Input that arrived before the connection was served
    is at most ``accept_delay_ms`` older than this object.

    Attributes:
        last_delay_ms: the delay of the input that was read last.
        last_read_ms: when it was read.
    """

    def __init__(
        self, stream: trio.SocketStream, poll_watch: PollWatch, deadlines: Deadlines, accept_delay_ms: float
    ) -> None:
        self._stream = stream
        self._poll_watch = poll_watch
        self._deadlines = deadlines
        self._last_drained_ms = deadlines.clock()
        # Unread input arrived no earlier than this time:
        self._unwatched_since_ms = self._last_drained_ms - accept_delay_ms
        self._arrived_before_wait = False
        self._unread_bytes_at_wait_end = 0
        self.last_delay_ms = 0.0
        self.last_read_ms = self._last_drained_ms

    @property
    def peer_has_closed(self) -> bool:
        """Whether the end of the connection's input has arrived, though it may not be read yet."""
        return peer_has_closed(self._stream)

    def begin_wait(self) -> None:
        """Record that the connection is about to wait for input."""
        gap_ms = self._deadlines.clock() - self._unwatched_since_ms
        self._arrived_before_wait = gap_ms > SHORT_GAP_MS and self._stream.socket.is_readable()

    def note_readable(self) -> None:
        """Record that the wait is over; the caller reads in the same turn of the event loop."""
        now_ms = self.last_read_ms = self._deadlines.clock()
        self._unread_bytes_at_wait_end = unread_bytes(self._stream)
        if self._arrived_before_wait:
            self.last_delay_ms = now_ms - self._unwatched_since_ms
        else:
            self.last_delay_ms = self._poll_watch.max_delay_ms(self._last_drained_ms)
        # Input that the read leaves behind may have arrived as early as the input that it returns.
        self._unwatched_since_ms = now_ms - self.last_delay_ms

    def note_read(self, size: int) -> bool:
        """Record a read of ``size`` bytes; return whether it took all input there was when the wait ended."""
        drained = size >= self._unread_bytes_at_wait_end
        if drained:
            self.note_drained(self.last_read_ms)
        return drained

    def note_drained(self, now_ms: float) -> None:
        """Record that all input had been read at the given time."""
        self._last_drained_ms = now_ms
        self._unwatched_since_ms = now_ms


class TimedStream(trio.abc.HalfCloseableStream):
    """A client's stream that records the read delay of each read; below TLS this includes the handshake.

    Attributes:
        read_delay: the estimate for this stream, updated by each read.
    """

    def __init__(self, stream: trio.SocketStream, read_delay: ReadDelay) -> None:
        self.read_delay = read_delay
        self._stream = stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for input and return it; return no bytes at the end of the stream."""
        limit = max_bytes or READ_BYTES
        await trio.lowlevel.checkpoint_if_cancelled()
        self.read_delay.begin_wait()
        await wait_readable(self._stream)
        self.read_delay.note_readable()
        data = bytes(await self._stream.receive_some(limit))
        self.read_delay.note_read(len(data))
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all of the data."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending might not block."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Shut down the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
