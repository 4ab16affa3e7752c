"""Closes client connections without losing the last response; both fronts use it."""

from __future__ import annotations

import contextlib
import socket

import trio

from fordstair.runtime.deadlines import Deadlines

READ_BYTES = 65_536
# Limits the wait for the client to close its side after the last response.
LINGER_MS = 1_000.0


def half_close(stream: trio.abc.Stream) -> None:
    """Shut down the sending side, without a checkpoint between the caller's last check and the shutdown."""
    if isinstance(stream, trio.SocketStream):
        with contextlib.suppress(OSError):  # the client may have closed or reset the connection already
            stream.socket.shutdown(socket.SHUT_WR)


async def linger(stream: trio.abc.Stream, deadlines: Deadlines) -> None:
    """Half-close, then read and discard input until the client closes its side, for at most LINGER_MS.

    Closing with unread input would send a reset, which can destroy the response that has just been sent.
    """
    if isinstance(stream, trio.abc.HalfCloseableStream):
        half_close(stream)
        with deadlines.limit_for(LINGER_MS):
            await stream.send_eof()
            while await stream.receive_some(READ_BYTES):
                pass
