"""How long at most a message had been here before it was read: that much of its time limit is over."""

from __future__ import annotations

import fcntl
import sys
import termios

import trio

from fordstair.net.clients.poll_watch import PollWatch
from fordstair.runtime.deadlines import Deadlines

READ_BYTES = 65_536  # at most at a time
_COUNT_BYTES = 4  # of the number that FIONREAD gives, see tty_ioctl(4)
SHORT_GAP_MS = 20.0  # between two waits of a connection: what came in it is not late


async def wait_readable(stream: trio.SocketStream) -> None:
    """Wait until bytes have come, or the end; raise trio.ClosedResourceError where it is closed here."""
    if stream.socket.fileno() < 0:
        raise trio.ClosedResourceError
    await trio.lowlevel.wait_readable(stream.socket)


def unread_bytes(stream: trio.abc.Stream) -> int:
    """Return how many bytes have come on a connection and are not read; 0 where the system does not say."""
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return 0
    count = bytearray(_COUNT_BYTES)
    try:
        fcntl.ioctl(stream.socket.fileno(), termios.FIONREAD, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


class ReadDelay:
    """Estimates the delay of what is read on one connection.

    While the connection waits for bytes, the event loop's polls tell how old they may be. What comes between
    two waits, while it is not read from, is as old as that gap; so is what came before it was accepted, which
    is at most ``accept_delay_ms`` ago.
    """

    def __init__(
        self, stream: trio.SocketStream, poll_watch: PollWatch, deadlines: Deadlines, accept_delay_ms: float
    ) -> None:
        self._stream = stream
        self._poll_watch = poll_watch
        self._deadlines = deadlines
        self._drained_ms = deadlines.clock()  # when all that had come was read
        self._unwatched_since_ms = self._drained_ms - accept_delay_ms
        self._came_unwatched = False  # what is read next was here before the wait for it
        self._unread_bytes = 0  # as the latest wait for bytes ended
        self.last_ms = 0.0  # of what was read last
        self.read_ms = self._drained_ms  # when that was read

    def begin_wait(self) -> None:
        """The connection is about to wait for bytes."""
        gap_ms = self._deadlines.clock() - self._unwatched_since_ms
        self._came_unwatched = gap_ms > SHORT_GAP_MS and self._stream.socket.is_readable()

    def note_readable(self) -> None:
        """The wait is over: bytes are read now, in this turn of the event loop."""
        now_ms = self.read_ms = self._deadlines.clock()
        self._unread_bytes = unread_bytes(self._stream)
        if self._came_unwatched:
            self.last_ms = now_ms - self._unwatched_since_ms
        else:
            self.last_ms = self._poll_watch.max_delay_ms(self._drained_ms)
        self._unwatched_since_ms = now_ms - self.last_ms  # the same holds for what is left behind

    def note_read(self, size: int) -> bool:
        """So many bytes were read; return whether that was all there was (a read may return less)."""
        drained = size >= self._unread_bytes
        if drained:
            self.note_drained(self.read_ms)
        return drained

    def note_drained(self, now_ms: float) -> None:
        """All that had come has been read."""
        self._drained_ms = now_ms
        self._unwatched_since_ms = now_ms


class TimedStream(trio.abc.HalfCloseableStream):
    """A client's connection, of which each read notes its delay; also below TLS, with its handshake.

    ``read_delay`` is that of what was read last.
    """

    def __init__(self, stream: trio.SocketStream, read_delay: ReadDelay) -> None:
        self.read_delay = read_delay
        self._stream = stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Read what comes next; nothing at the end."""
        most = max_bytes or READ_BYTES
        await trio.lowlevel.checkpoint_if_cancelled()
        self.read_delay.begin_wait()
        await wait_readable(self._stream)
        self.read_delay.note_readable()
        data = bytes(await self._stream.receive_some(most))
        self.read_delay.note_read(len(data))
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all of it."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until there may be room to send."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """End this side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
