"""Opens connections to engines: TCP, and TLS where the address requires it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

import trio

from fordstair.net.engines.connection_policies import ConnectRetryPolicy
from fordstair.net.engines.endpoint import Endpoint, PooledConnection
from fordstair.net.engines.error_mapping import map_connect_error
from fordstair.net.engines.errors import ConnectTimeoutError
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.memory_budget import MemoryBudget

if TYPE_CHECKING:
    import ssl

TlsContextOf: TypeAlias = "Callable[[str], ssl.SSLContext | None]"
CheckPeer: TypeAlias = Callable[[str, trio.SSLStream[trio.SocketStream]], None]


class Connector:
    """Connects to endpoints.

    ``tls_context_of`` returns the context for an address, None for plain TCP; ``check_peer`` raises
    ssl.SSLError if the peer of a finished handshake is not an engine.
    """

    def __init__(
        self,
        deadlines: Deadlines,
        counters: Counters,
        tls_context_of: TlsContextOf,
        check_peer: CheckPeer,
        memory: MemoryBudget,
    ) -> None:
        self._deadlines = deadlines
        self._counters = counters
        self._tls_context_of = tls_context_of
        self._check_peer = check_peer
        self._memory = memory

    async def connect(self, endpoint: Endpoint, timeout_ms: float) -> PooledConnection:
        """Open a connection, retrying transient errors until the timeout; raise ConnectError."""
        until_ms = self._deadlines.clock() + timeout_ms
        retries = ConnectRetryPolicy(until_ms)
        while True:
            try:
                return await self._connect_once(endpoint, until_ms, timeout_ms)
            except trio.BrokenResourceError as error:
                raise map_connect_error(endpoint.address, error) from error
            except OSError as error:
                delay_ms = retries.retry_delay_ms(error, self._deadlines.clock())
                if delay_ms is None:
                    raise map_connect_error(endpoint.address, error) from error
                self._counters.add("engine.connect_retries")
                await self._deadlines.sleep(delay_ms)

    async def _connect_once(self, endpoint: Endpoint, until_ms: float, timeout_ms: float) -> PooledConnection:
        host, _, port = endpoint.address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = trio.socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = await self._open_stream(sock, (host.strip("[]"), int(port)), endpoint.address, until_ms)
        except BaseException:
            sock.close()
            raise
        if stream is None:
            sock.close()
            raise ConnectTimeoutError(f"{endpoint.address}: no connection within {timeout_ms:.0f} ms")
        return PooledConnection(sock, stream, endpoint, self._memory)

    async def _open_stream(
        self, sock: trio.socket.SocketType, peer: tuple[str, int], address: str, until_ms: float
    ) -> trio.abc.Stream | None:
        """Connect a socket, with TLS if required; return None on timeout, as when the host is down."""
        with self._deadlines.limit(until_ms):
            await sock.connect(peer)
            return await self._secure(address, trio.SocketStream(sock))
        return None

    async def _secure(self, address: str, plain: trio.SocketStream) -> trio.abc.Stream:
        """Perform the TLS handshake and check the peer if the address requires TLS."""
        context = self._tls_context_of(address)
        if context is None:
            return plain
        from ssl import SSLError  # saves memory where no address requires TLS

        secured = trio.SSLStream(plain, context, https_compatible=True)
        await secured.do_handshake()
        try:
            self._check_peer(address, secured)
        except SSLError as error:
            raise trio.BrokenResourceError(str(error)) from error
        return secured
