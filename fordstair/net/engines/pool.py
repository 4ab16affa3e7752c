"""The pool of connections to engines: bounded in all, and kept open between calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import trio

from fordstair.net.engines.connection_policies import (
    IDLE_CLOSE_MARGIN_MS,
    IdleConnectionPolicy,
    LateConnectPolicy,
)
from fordstair.net.engines.connector import CheckPeer, Connector, TlsContextOf
from fordstair.net.engines.endpoint import ConnectionWaiter, Endpoint, PooledConnection
from fordstair.net.engines.errors import ConnectError, ConnectTimeoutError
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines


class ConnectionPool:
    """Connections to engines, at most ``max_connections`` in all."""

    # Until the configuration has been applied:
    max_connections = 64
    connect_timeout_ms = 250.0  # that a call waits for a new connection
    idle_timeout_ms = 30_000.0  # after which engines close an idle connection

    def __init__(
        self,
        deadlines: Deadlines,
        counters: Counters,
        *,
        tls: TlsContextOf = lambda _: None,
        accept: CheckPeer = lambda *_: None,
    ) -> None:
        self.deadlines = deadlines
        self.counters = counters
        self.connector = Connector(deadlines, counters, tls, accept)
        self.unreached: Callable[[str, float], None] = lambda address, after_ms: None
        self._idle_policy = IdleConnectionPolicy()
        self._late_policy = LateConnectPolicy()
        self._endpoints: dict[str, Endpoint] = {}
        self._waiting: deque[ConnectionWaiter] = deque()  # for capacity
        self._late: dict[ConnectionWaiter, trio.CancelScope] = {}  # connects for no call, the oldest first
        self._open = 0
        self._nursery: trio.Nursery | None = None

    @property
    def open(self) -> int:
        """Connections that are open or connecting now."""
        return self._open

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Hold the tasks that connect, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self.close_expired()
            task_status.started()
            await trio.sleep_forever()

    def resize(self, max_connections: int) -> None:
        """Allow that many connections from now on; those over it end with their calls."""
        self.max_connections = max_connections
        while self._waiting:
            self._waiting.popleft().changed.set()

    async def acquire(self, address: str, *, fresh: bool = False) -> PooledConnection:
        """Return a connection for one call; raise ConnectError where none comes up in time.

        The first one that is free is taken, be it the call's own connect or one given back by another call.
        What comes up too late for its call is kept for the next. ``fresh``: only a new one will do.
        """
        endpoint = self._endpoints.get(address) or Endpoint(address)
        if not fresh and (connection := self._take_idle(endpoint)) is not None:
            return connection
        self._endpoints[address] = endpoint
        waiter = ConnectionWaiter(endpoint, fresh)
        endpoint.waiters.append(waiter)
        try:
            await self._wait_for_connection(waiter)
        except BaseException:  # its request is over; a connection that was given to it meanwhile is not lost
            if waiter.connection is not None:
                self.release(waiter.connection)
            raise
        finally:
            endpoint.waiters.remove(waiter)
            if waiter.connecting is not None:
                self._detach_connect(waiter, waiter.connecting)
            self._wake_next()  # capacity that was meant for it, and is not taken
            self._drop_if_unused(endpoint)
        if waiter.connection is None:
            raise waiter.failure or ConnectTimeoutError(
                f"{address}: no connection within {self.connect_timeout_ms:.0f} ms"
            )
        return waiter.connection

    def release(self, connection: PooledConnection) -> None:
        """Take a connection back after its call, whatever became of the call."""
        endpoint = connection.endpoint
        if not connection.reusable:
            connection.abort()
            self._count_closed(endpoint)
        elif self._open > self.max_connections or endpoint.evicted:
            self._close(connection)
        else:
            self._hand_over(connection)

    def evict(self, address: str) -> None:
        """Close the connections to a process that has gone; those in use are closed once their calls end."""
        endpoint = self._endpoints.pop(address, None)
        if endpoint is None:
            return
        endpoint.evicted = True
        while endpoint.idle:
            self._close(endpoint.idle.pop())

    def close_expired(self) -> None:
        """Close what has been idle for long; sets its own next deadline."""
        for endpoint in list(self._endpoints.values()):
            while endpoint.idle and self._expired(endpoint.idle[0]):
                self._close(endpoint.idle.pop(0))
        self.deadlines.after(IDLE_CLOSE_MARGIN_MS, self.close_expired)

    def _expired(self, connection: PooledConnection) -> bool:
        now_ms = self.deadlines.clock()
        return self._idle_policy.expired(connection.idle_since_ms, now_ms, self.idle_timeout_ms)

    def _take_idle(self, endpoint: Endpoint) -> PooledConnection | None:
        while endpoint.idle:
            connection = endpoint.idle.pop()
            if not self._expired(connection) and connection.reusable:
                return connection
            self._close(connection)
        return None

    def _hand_over(self, connection: PooledConnection) -> None:
        """Give a free connection to the call that has waited longest for that endpoint, or keep it idle."""
        endpoint = connection.endpoint
        for waiter in endpoint.waiters:
            if waiter.connection is None and not waiter.fresh:
                waiter.connection = connection
                waiter.changed.set()
                return
        connection.idle_since_ms = self.deadlines.clock()
        endpoint.idle.append(connection)
        if self._waiting:  # a call waits for capacity: an idle connection is the first to go
            self._free_capacity()

    async def _wait_for_connection(self, waiter: ConnectionWaiter) -> None:
        """Wait for capacity, then for the waiter's own connect, unless another call gives one back first."""
        await self._wait_for_capacity(waiter)
        if waiter.connection is not None:
            return
        assert self._nursery is not None, "the pool is not running"
        waiter.changed = trio.Event()
        waiter.connecting = trio.CancelScope()
        self._open += 1
        waiter.endpoint.open += 1
        self._nursery.start_soon(self._establish, waiter, waiter.connecting)
        with self.deadlines.limit_for(self.connect_timeout_ms):
            await waiter.changed.wait()

    async def _wait_for_capacity(self, waiter: ConnectionWaiter) -> None:
        """Wait until one more may be opened, or another call's connection has come free."""
        while waiter.connection is None and self._open >= self.max_connections and not self._free_capacity():
            waiter.changed = trio.Event()
            self._waiting.append(waiter)
            try:
                await waiter.changed.wait()
            finally:
                if waiter in self._waiting:
                    self._waiting.remove(waiter)

    def _free_capacity(self) -> bool:
        """Close an idle connection; where there is none, cancel a late connect, which takes a moment.

        Return whether there is capacity at once.
        """
        for endpoint in self._endpoints.values():
            if endpoint.idle:
                self._close(endpoint.idle.pop(0))
                return True
        if self._late:
            self._late.pop(next(iter(self._late))).cancel()
        return False

    def _close(self, connection: PooledConnection) -> None:
        connection.close()
        self._count_closed(connection.endpoint)

    def _count_closed(self, endpoint: Endpoint) -> None:
        self._open -= 1
        endpoint.open -= 1
        self._drop_if_unused(endpoint)
        self._wake_next()

    def _wake_next(self) -> None:
        if self._waiting and self._open < self.max_connections:
            self._waiting.popleft().changed.set()

    def _drop_if_unused(self, endpoint: Endpoint) -> None:
        in_use = endpoint.open or endpoint.waiters
        if not in_use and self._endpoints.get(endpoint.address) is endpoint:
            del self._endpoints[endpoint.address]

    def _detach_connect(self, waiter: ConnectionWaiter, connecting: trio.CancelScope) -> None:
        """Decide on a connect whose call no longer waits for it."""
        late_connects = sum(each.endpoint is waiter.endpoint for each in self._late)
        if self._late_policy.keep_connecting(late_connects):
            self._late[waiter] = connecting
        else:
            connecting.cancel()

    async def _establish(self, waiter: ConnectionWaiter, connecting: trio.CancelScope) -> None:
        """Connect; give the connection to the call that it was begun for, or to whoever has use for it."""
        endpoint = waiter.endpoint
        connection = None
        timeout_ms = self._late_policy.timeout_ms(self.connect_timeout_ms)
        with connecting:
            try:
                connection = await self.connector.connect(endpoint, timeout_ms)
            except ConnectError as error:
                waiter.failure = error
                if isinstance(error, ConnectTimeoutError) and not endpoint.evicted:
                    self.unreached(endpoint.address, timeout_ms)
        waiter.connecting = None
        self._late.pop(waiter, None)
        if connection is None:
            waiter.changed.set()
            self._count_closed(endpoint)
        else:
            self.counters.add("engine.connections")
            self._deliver(waiter, connection)

    def _deliver(self, waiter: ConnectionWaiter, connection: PooledConnection) -> None:
        if waiter in connection.endpoint.waiters and waiter.connection is None:
            waiter.connection = connection
            waiter.changed.set()
        else:
            self.counters.add("engine.connections_late")
            self.release(connection)
