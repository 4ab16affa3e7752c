"""How connections of clients end, whichever front they came to."""

from __future__ import annotations

import contextlib
import socket

import trio

from fordstair.runtime.deadlines import Deadlines

READ_BYTES = 65_536
LINGER_MS = 1_000.0  # for what still comes after the last answer


def half_close(stream: trio.abc.Stream) -> None:
    """Half-close now, with nothing else run between the caller's last check and the shutdown."""
    if isinstance(stream, trio.SocketStream):
        with contextlib.suppress(OSError):  # its client was faster
            stream.socket.shutdown(socket.SHUT_WR)


async def linger(stream: trio.abc.Stream, deadlines: Deadlines) -> None:
    """Half-close, and read on for a while.

    Closing with input unread would send a reset, which can destroy the answer that has just left.
    """
    if isinstance(stream, trio.abc.HalfCloseableStream):
        half_close(stream)
        with deadlines.limit_for(LINGER_MS):
            await stream.send_eof()
            while await stream.receive_some(READ_BYTES):
                pass
