"""When bytes arrived at a socket, by the kernel: a process that is late to read them does not change that."""

from __future__ import annotations

import socket
import struct

import trio

_TCP_INFO_BYTES = 64
_LAST_DATA_RECEIVED = struct.Struct("=52xI8x")  # tcpi_last_data_recv of struct tcp_info, linux/tcp.h


def data_age_s(stream: trio.SocketStream) -> float:
    """Return how long ago, in seconds, data last arrived on a TCP connection.

    The kernel counts in its clock ticks, of 1 to 10 ms. Raise OSError where the socket is closed.
    """
    info = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    (age_ms,) = _LAST_DATA_RECEIVED.unpack(info)
    return float(age_ms) / 1e3
