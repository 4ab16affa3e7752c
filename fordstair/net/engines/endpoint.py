"""What the pool knows of one engine's address: its connections, and who waits for one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import trio

from fordstair.net.engines.errors import ConnectError
from fordstair.net.engines.http11_connection import HTTP11Connection


@dataclass(slots=True, eq=False)
class Endpoint:
    """The connections to the process at an address, until another process may have taken that over."""

    address: str  # host:port
    idle: list[PooledConnection] = field(default_factory=list)  # the longest idle first
    waiters: deque[ConnectionWaiter] = field(default_factory=deque)
    open: int = 0  # connections idle, in use and connecting
    evicted: bool = False


class PooledConnection(HTTP11Connection):
    """A connection that goes back to the endpoint it was opened to."""

    def __init__(self, sock: trio.socket.SocketType, stream: trio.abc.Stream, endpoint: Endpoint) -> None:
        super().__init__(sock, stream, endpoint.address)
        self.endpoint = endpoint


@dataclass(slots=True, eq=False)
class ConnectionWaiter:
    """A call that waits for a connection: its own connect, or one that another call gives back."""

    endpoint: Endpoint
    fresh: bool  # only its own connect will do
    changed: trio.Event = field(default_factory=trio.Event)
    connecting: trio.CancelScope | None = None  # while its own connect runs
    connection: PooledConnection | None = None
    failure: ConnectError | None = None
