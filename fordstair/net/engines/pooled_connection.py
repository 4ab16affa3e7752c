"""A connection that belongs to the pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fordstair.net.engines.http11_connection import HTTP11Connection

if TYPE_CHECKING:
    from fordstair.net.engines.endpoint import Endpoint


class PooledConnection(HTTP11Connection):
    """A connection that goes back to the endpoint it was opened to."""

    def __init__(self, sock: trio.socket.SocketType, stream: trio.abc.Stream, endpoint: Endpoint) -> None:
        super().__init__(sock, stream, endpoint.address)
        self.endpoint = endpoint
