"""The pool's state for one engine's address: its connections, and the calls that wait for one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import trio

from fordstair.net.engines.errors import ConnectError
from fordstair.net.engines.http11_connection import HTTP11Connection
from fordstair.runtime.memory_budget import MemoryBudget


@dataclass(slots=True, eq=False)
class Endpoint:
    """The connections to the process at an address, until another process may have taken over the address.

    Attributes:
        address: host:port.
        idle: idle connections, the longest idle first.
        resting: connections whose last response may still be followed by late bytes.
        waiters: calls that wait for a connection, in the order of their arrival.
        connection_count: connections that are idle, resting, in use or connecting.
        evicted: whether another process may have taken over; connections are then closed when released.
    """

    address: str
    idle: list[PooledConnection] = field(default_factory=list)
    resting: set[PooledConnection] = field(default_factory=set)
    waiters: deque[ConnectionWaiter] = field(default_factory=deque)
    connection_count: int = 0
    evicted: bool = False


class PooledConnection(HTTP11Connection):
    """A connection that is released to the endpoint for which it was opened."""

    def __init__(
        self,
        sock: trio.socket.SocketType,
        stream: trio.abc.Stream,
        endpoint: Endpoint,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__(sock, stream, endpoint.address, memory)
        self.endpoint = endpoint


@dataclass(slots=True, eq=False)
class ConnectionWaiter:
    """A call that waits for a connection: its own connect, or one that another call releases.

    Attributes:
        endpoint: the endpoint to which it needs a connection.
        fresh_only: whether only a new connection will do.
        changed: set when a connection was assigned, its own connect has ended, or there may be capacity.
        connect_scope: cancels its own connect; None while there is none.
        connection: the connection that was assigned to it.
        failure: why its own connect failed.
    """

    endpoint: Endpoint
    fresh_only: bool
    changed: trio.Event = field(default_factory=trio.Event)
    connect_scope: trio.CancelScope | None = None
    connection: PooledConnection | None = None
    failure: ConnectError | None = None
