"""A UDP socket for messages between peers; errors that concern a single peer are counted, not raised."""

from __future__ import annotations

import errno
import socket
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import trio

RECEIVE_BUFFER_BYTES = 1 << 20  # holds the datagrams that arrive while this process is busy
_PEER_ERRORS = (
    errno.ECONNREFUSED,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EPERM,
    errno.EAGAIN,
    errno.ENOBUFS,
    errno.EINVAL,
    errno.EADDRNOTAVAIL,
)


class UdpEndpoint:
    """A bound socket.

    Attributes:
        counts: ``unreachable`` counts the sends that failed and the delivery errors reported to the socket.
    """

    def __init__(self, sock: trio.socket.SocketType, max_datagram_bytes: int) -> None:
        self.counts: Counter[str] = Counter()
        self._sock = sock
        self._receive_bytes = max_datagram_bytes + 1  # makes an oversized datagram detectable

    @property
    def bound(self) -> tuple[str, int]:
        """The host and port that the socket is bound to."""
        host, port = self._sock.getsockname()[:2]
        return host, port

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and its sender's address; raise OSError if the socket itself fails."""
        while True:
            try:
                datagram, source = await self._sock.recvfrom(self._receive_bytes)
            except OSError as error:  # the kernel also reports the refusal of an earlier datagram here
                if error.errno not in _PEER_ERRORS:
                    raise
                self.counts["unreachable"] += 1
                continue
            return datagram, address_text(source)

    async def send(self, datagrams: Iterable[tuple[str, bytes]]) -> None:
        """Send each datagram to its address, ``host:port``; count those that cannot be sent."""
        for address, datagram in datagrams:
            host, _, port = address.rpartition(":")
            try:
                await self._sock.sendto(datagram, (host.strip("[]"), int(port)))
            except (OSError, ValueError):
                self.counts["unreachable"] += 1


@asynccontextmanager
async def open_udp_endpoint(bind: tuple[str, int], max_datagram_bytes: int) -> AsyncIterator[UdpEndpoint]:
    """Bind a socket to a host and port; raise OSError if that fails."""
    family = socket.AF_INET6 if ":" in bind[0] else socket.AF_INET
    with trio.socket.socket(family, socket.SOCK_DGRAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await sock.bind(bind)
        yield UdpEndpoint(sock, max_datagram_bytes)


def address_text(address: tuple[str, int]) -> str:
    """Format a socket address as ``host:port``, with brackets around an IPv6 address."""
    host, port = address[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
