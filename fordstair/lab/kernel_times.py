"""Reads from the kernel when bytes arrived at a socket, however late the process reads them."""

from __future__ import annotations

import socket
import struct

import trio

_TCP_INFO_BYTES = 64
# The field tcpi_last_data_recv of struct tcp_info, linux/tcp.h.
_LAST_DATA_RECEIVED = struct.Struct("=52xI8x")


def data_age_s(stream: trio.SocketStream) -> float:
    """Return the time since data last arrived on a TCP connection, in seconds.

    The kernel's resolution is one clock tick, 1 to 10 ms. Raises OSError if the socket is closed.
    """
    info = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    (age_ms,) = _LAST_DATA_RECEIVED.unpack(info)
    return float(age_ms) / 1e3
