"""The pool of connections to engines: bounded in total, with connections kept open between calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

import trio

from fordstair.net.engines.connection_policies import (
    ENGINE_CONNECTION_BYTES,
    IDLE_CLOSE_MARGIN_MS,
    LATE_BYTES_TIMEOUT_MS,
    IdleConnectionPolicy,
    LateConnectPolicy,
)
from fordstair.net.engines.connector import CheckPeer, Connector, TlsContextOf
from fordstair.net.engines.endpoint import ConnectionWaiter, Endpoint, PooledConnection
from fordstair.net.engines.errors import ConnectError, ConnectTimeoutError
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse


class ConnectionPool:
    """Connections to engines, at most ``max_connections`` in total.

    Attributes:
        max_connections: the bound on connections that are open or connecting.
        connect_timeout_ms: how long a call waits for a new connection.
        idle_timeout_ms: after which engines close an idle connection.
        on_connect_timeout: called with the address and the timeout in ms when a connect has timed out.
    """

    # These values apply until the configuration has been applied.
    max_connections = 64
    connect_timeout_ms = 250.0
    idle_timeout_ms = 30_000.0

    def __init__(
        self,
        deadlines: Deadlines,
        counters: Counters,
        *,
        tls_context_of: TlsContextOf = lambda _: None,
        check_peer: CheckPeer = lambda *_: None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.deadlines = deadlines
        self.counters = counters
        self.memory = memory or MemoryBudget()
        self.connector = Connector(deadlines, counters, tls_context_of, check_peer, self.memory)
        self.on_connect_timeout: Callable[[str, float], None] = lambda address, after_ms: None
        self._idle_policy = IdleConnectionPolicy()
        self._late_policy = LateConnectPolicy()
        self._endpoints: dict[str, Endpoint] = {}
        self._capacity_waiters: deque[ConnectionWaiter] = deque()
        # Connects for which no call waits any more, the oldest first.
        self._late_connects: dict[ConnectionWaiter, trio.CancelScope] = {}
        self._connection_count = 0
        self._nursery: trio.Nursery | None = None

    @property
    def connection_count(self) -> int:
        """The number of connections that are open or connecting."""
        return self._connection_count

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Start the sweeps of idle connections, then run the connect tasks until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self.close_expired()
            task_status.started()
            await trio.sleep_forever()

    def resize(self, max_connections: int) -> None:
        """Change the bound; connections in excess of it are closed once their calls end."""
        self.max_connections = max_connections
        while self._capacity_waiters:
            self._capacity_waiters.popleft().changed.set()

    async def acquire(self, address: str, *, fresh: bool = False) -> PooledConnection:
        """Return a connection for one call; raise ConnectError if none is available in time.

        The first available one is used: the call's own connect, or a connection that another call releases. A
        connection that is established too late for its call is kept for the next. ``fresh``: only a new
        connection is used.

        If cancelled, a connection that has been assigned to the call is released.
        """
        endpoint = self._endpoints.get(address) or Endpoint(address)
        if not fresh and (connection := self._take_idle(endpoint)) is not None:
            return connection
        self._endpoints[address] = endpoint
        waiter = ConnectionWaiter(endpoint, fresh)
        endpoint.waiters.append(waiter)
        try:
            await self._wait_for_connection(waiter)
        except BaseException:  # Cancelled: a connection that was assigned meanwhile must not leak.
            if waiter.connection is not None:
                self.release(waiter.connection)
            raise
        finally:
            endpoint.waiters.remove(waiter)
            if waiter.connect_scope is not None:
                self._detach_connect(waiter, waiter.connect_scope)
            # Passes on a wake-up for capacity that this call does not use.
            self._wake_capacity_waiter()
            self._drop_if_unused(endpoint)
        if waiter.connection is None:
            raise waiter.failure or ConnectTimeoutError(
                f"{address}: no connection within {self.connect_timeout_ms:.0f} ms"
            )
        return waiter.connection

    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool after its call, however the call ended.

        It carries another request once nothing can follow its last response any more: a late copy of that
        response would be read as the response to the next request.
        """
        endpoint = connection.endpoint
        connection.release_response()
        if not connection.reusable:
            connection.abort()
            self._count_closed(endpoint)
        elif self._connection_count > self.max_connections or endpoint.evicted:
            self._close(connection)
        elif not connection.quiet:
            endpoint.resting.add(connection)
            self.deadlines.after(LATE_BYTES_TIMEOUT_MS, partial(self._end_rest, connection))
        else:
            self._reassign(connection)

    def evict(self, address: str) -> None:
        """Close the connections to a process that has gone; those in use are closed once their calls end."""
        endpoint = self._endpoints.pop(address, None)
        if endpoint is None:
            return
        endpoint.evicted = True
        while endpoint.idle:
            self._close(endpoint.idle.pop())
        while endpoint.resting:
            self._close(endpoint.resting.pop())

    def close_expired(self) -> None:
        """Close expired idle connections, and schedule the next sweep."""
        for endpoint in list(self._endpoints.values()):
            while endpoint.idle and self._is_expired(endpoint.idle[0]):
                self._close(endpoint.idle.pop(0))
        self.deadlines.after(IDLE_CLOSE_MARGIN_MS, self.close_expired)

    @property
    def _has_capacity(self) -> bool:
        """Whether one more connection may be opened."""
        has_memory = self.memory.free_bytes(MemoryUse.ENGINE_CONNECTIONS) >= ENGINE_CONNECTION_BYTES
        return has_memory and self._connection_count < self.max_connections

    def _is_expired(self, connection: PooledConnection) -> bool:
        now_ms = self.deadlines.clock()
        return self._idle_policy.is_expired(connection.idle_since_ms, now_ms, self.idle_timeout_ms)

    def _take_idle(self, endpoint: Endpoint) -> PooledConnection | None:
        while endpoint.idle:
            connection = endpoint.idle.pop()
            if not self._is_expired(connection) and connection.reusable:
                return connection
            self._close(connection)
        return None

    def _end_rest(self, connection: PooledConnection) -> None:
        """Release a connection once no late bytes can follow; do nothing if it has been closed meanwhile."""
        if connection not in connection.endpoint.resting:
            return
        connection.endpoint.resting.remove(connection)
        connection.quiet = True
        self.release(connection)

    def _reassign(self, connection: PooledConnection) -> None:
        """Assign a free connection to the call that has waited longest for its endpoint, or keep it idle."""
        endpoint = connection.endpoint
        for waiter in endpoint.waiters:
            if waiter.connection is None and not waiter.fresh_only:
                waiter.connection = connection
                waiter.changed.set()
                return
        connection.idle_since_ms = self.deadlines.clock()
        endpoint.idle.append(connection)
        # Calls that wait for capacity take precedence over idle connections.
        if self._capacity_waiters:
            self._free_capacity()

    async def _wait_for_connection(self, waiter: ConnectionWaiter) -> None:
        """Wait for capacity, then for the waiter's own connect, unless a connection is released first."""
        await self._wait_for_capacity(waiter)
        if waiter.connection is not None:
            return
        assert self._nursery is not None, "the pool is not running"
        waiter.changed = trio.Event()
        waiter.connect_scope = trio.CancelScope()
        self._connection_count += 1
        self.memory.charge(MemoryUse.ENGINE_CONNECTIONS, ENGINE_CONNECTION_BYTES)
        waiter.endpoint.connection_count += 1
        self._nursery.start_soon(self._establish, waiter, waiter.connect_scope)
        with self.deadlines.limit_for(self.connect_timeout_ms):
            await waiter.changed.wait()

    async def _wait_for_capacity(self, waiter: ConnectionWaiter) -> None:
        """Wait until one more connection may be opened, or a released one has been assigned."""
        while waiter.connection is None and not self._has_capacity and not self._free_capacity():
            waiter.changed = trio.Event()
            self._capacity_waiters.append(waiter)
            try:
                await waiter.changed.wait()
            finally:
                if waiter in self._capacity_waiters:
                    self._capacity_waiters.remove(waiter)

    def _free_capacity(self) -> bool:
        """Close an idle connection; if there is none, cancel a late connect, which frees capacity later.

        Return whether there is capacity at once.
        """
        for endpoint in self._endpoints.values():
            if endpoint.idle:
                self._close(endpoint.idle.pop(0))
                return True
        if self._late_connects:
            self._late_connects.pop(next(iter(self._late_connects))).cancel()
        return False

    def _close(self, connection: PooledConnection) -> None:
        connection.close()
        self._count_closed(connection.endpoint)

    def _count_closed(self, endpoint: Endpoint) -> None:
        self._connection_count -= 1
        self.memory.release(MemoryUse.ENGINE_CONNECTIONS, ENGINE_CONNECTION_BYTES)
        endpoint.connection_count -= 1
        self._drop_if_unused(endpoint)
        self._wake_capacity_waiter()

    def _wake_capacity_waiter(self) -> None:
        if self._capacity_waiters and self._has_capacity:
            self._capacity_waiters.popleft().changed.set()

    def _drop_if_unused(self, endpoint: Endpoint) -> None:
        in_use = endpoint.connection_count or endpoint.waiters
        if not in_use and self._endpoints.get(endpoint.address) is endpoint:
            del self._endpoints[endpoint.address]

    def _detach_connect(self, waiter: ConnectionWaiter, connect_scope: trio.CancelScope) -> None:
        """Continue or cancel a connect for which its call no longer waits."""
        late_connects = sum(each.endpoint is waiter.endpoint for each in self._late_connects)
        if self._late_policy.keep_connecting(late_connects):
            self._late_connects[waiter] = connect_scope
        else:
            connect_scope.cancel()

    async def _establish(self, waiter: ConnectionWaiter, connect_scope: trio.CancelScope) -> None:
        """Connect; assign the connection to the call that started it, or else release it to the pool."""
        endpoint = waiter.endpoint
        connection = None
        timeout_ms = self._late_policy.timeout_ms(self.connect_timeout_ms)
        with connect_scope:
            try:
                connection = await self.connector.connect(endpoint, timeout_ms)
            except ConnectError as error:
                waiter.failure = error
                if isinstance(error, ConnectTimeoutError) and not endpoint.evicted:
                    self.on_connect_timeout(endpoint.address, timeout_ms)
        waiter.connect_scope = None
        self._late_connects.pop(waiter, None)
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
