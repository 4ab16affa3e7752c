"""Connections to engines: bounded all together, and kept open between calls."""

from __future__ import annotations

import socket
import ssl
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from fordstair.net.engines.http_client import Connection
from fordstair.net.system_errors import Backoff, Scope, refused, scope_of
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines

IDLE_MARGIN_MS = 1_000.0  # closed here before the engine closes it: a POST must not cross such a close
# A connection that its call no longer waits for may come up yet, and serve the next: a SYN that was lost goes
# out again after 1 s (RFC 6298), and once more 2 s later. So many of them may be on their way to an endpoint.
LATE_MS, LATE_MOST = 3_000.0, 2


class ConnectFailed(Exception):
    """No connection came up: nothing was sent."""

    def __init__(self, why: str, *, refused: bool = False, late: bool = False) -> None:
        super().__init__(why)
        self.refused = refused  # nobody listens there: its process has gone
        self.late = late  # it was not there in time, and may come up yet


@dataclass(slots=True, eq=False)
class Endpoint:
    """What is open to the process at an address, until another process may have taken that over."""

    address: str
    idle: list[PooledConnection] = field(default_factory=list)
    waiters: deque[Waiter] = field(default_factory=deque)
    open: int = 0  # connections idle, in use and coming up
    forgotten: bool = False


class PooledConnection(Connection):
    """A connection that goes back to where it was opened to."""

    def __init__(self, sock: trio.socket.SocketType, stream: trio.abc.Stream, endpoint: Endpoint) -> None:
        super().__init__(sock, stream, endpoint.address)
        self.endpoint = endpoint


@dataclass(slots=True, eq=False)
class Waiter:
    """A call that waits for a connection: for its own to come up, or for one that another call gives back."""

    endpoint: Endpoint
    fresh: bool  # only its own will do
    stir: trio.Event = field(default_factory=trio.Event)
    connecting: trio.CancelScope | None = None  # while its own comes up
    connection: PooledConnection | None = None
    failure: ConnectFailed | None = None


class Pool:
    """Connections to engines, all together at most ``size``."""

    size, connect_ms, idle_ms = 64, 250.0, 30_000.0  # until the configuration has been applied

    def __init__(
        self,
        deadlines: Deadlines,
        counters: Counters,
        *,
        tls: Callable[[str], ssl.SSLContext | None] = lambda _: None,
        accept: Callable[[str, trio.SSLStream[trio.SocketStream]], None] = lambda *_: None,
    ) -> None:
        self.deadlines, self.counters = deadlines, counters
        self._tls, self._accept = tls, accept
        self._endpoints: dict[str, Endpoint] = {}
        self._waiting: deque[Waiter] = deque()  # for room
        self._late: dict[Waiter, trio.CancelScope] = {}  # what comes up for nobody, the oldest first
        self._open = 0
        self._nursery: trio.Nursery | None = None
        self.unreached: Callable[[str, float], None] = lambda address, after_ms: None

    @property
    def open(self) -> int:
        """Connections that are open or coming up now."""
        return self._open

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Hold the connections that are coming up, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self.tidy()
            task_status.started()
            await trio.sleep_forever()

    def resize(self, size: int) -> None:
        """Allow that many connections from now on; those over it end with their calls."""
        self.size = size
        while self._waiting:
            self._waiting.popleft().stir.set()

    async def acquire(self, address: str, *, fresh: bool = False) -> PooledConnection:
        """Return a connection for one call; raise ConnectFailed where none comes up in time.

        The first one that is free is taken, be it the one begun for this call or one given back by another.
        What comes up too late for its call is kept for the next.
        """
        assert self._nursery is not None, "the pool is not running"
        endpoint = self._endpoints.get(address) or Endpoint(address)
        if not fresh and (connection := self._reuse(endpoint)) is not None:
            return connection
        self._endpoints[address] = endpoint
        waiter = Waiter(endpoint, fresh)
        endpoint.waiters.append(waiter)
        try:
            await self._room(waiter)
            if waiter.connection is None:
                waiter.stir, waiter.connecting = trio.Event(), trio.CancelScope()
                self._open, endpoint.open = self._open + 1, endpoint.open + 1
                self._nursery.start_soon(self._bring_up, waiter, waiter.connecting)
                with self.deadlines.limit_for(self.connect_ms):
                    await waiter.stir.wait()
        except BaseException:  # its request is over; a connection that was given to it meanwhile is not lost
            if waiter.connection is not None:
                self.release(waiter.connection)
            raise
        finally:
            endpoint.waiters.remove(waiter)
            if waiter.connecting is not None:
                self._go_on_late(waiter, waiter.connecting)
            self._wake()  # room that was meant for it, and is not taken
            self._settle(endpoint)
        if waiter.connection is None:
            raise waiter.failure or ConnectFailed(
                f"{address}: no connection within {self.connect_ms:.0f} ms", late=True
            )
        return waiter.connection

    def release(self, connection: PooledConnection) -> None:
        """Take a connection back after its call, whatever became of the call."""
        endpoint = connection.endpoint
        if not connection.reusable:
            connection.close()
            self._free(endpoint)
        elif self._open > self.size or endpoint.forgotten:
            connection.retire()
            self._free(endpoint)
        else:
            self._keep(connection)

    def forget(self, address: str) -> None:
        """Its process has gone: close the connections to an address, those in use once their calls end."""
        if (endpoint := self._endpoints.pop(address, None)) is not None:
            endpoint.forgotten = True
            while endpoint.idle:
                self._retire(endpoint.idle.pop())

    def tidy(self) -> None:
        """Close what has been idle for long; sets its own next deadline."""
        edge = self._edge()
        for endpoint in list(self._endpoints.values()):
            while endpoint.idle and endpoint.idle[0].idle_since < edge:
                self._retire(endpoint.idle.pop(0))
        self.deadlines.after(IDLE_MARGIN_MS, self.tidy)

    @property
    def _patience_ms(self) -> float:
        return max(LATE_MS, self.connect_ms)

    def _edge(self) -> float:
        """What has been idle since before that may be closed by its engine any moment."""
        return self.deadlines.clock() - max(0.5 * self.idle_ms, self.idle_ms - IDLE_MARGIN_MS)

    def _reuse(self, endpoint: Endpoint) -> PooledConnection | None:
        edge = self._edge()
        while endpoint.idle:
            connection = endpoint.idle.pop()
            if connection.idle_since >= edge and connection.reusable:
                return connection
            self._retire(connection)
        return None

    def _keep(self, connection: PooledConnection) -> None:
        """Give a connection that is free to the call that has waited longest there, or keep it idle."""
        endpoint = connection.endpoint
        for waiter in endpoint.waiters:
            if waiter.connection is None and not waiter.fresh:
                waiter.connection = connection
                waiter.stir.set()
                return
        connection.idle_since = self.deadlines.clock()
        endpoint.idle.append(connection)
        if self._waiting:  # somebody waits for room: an idle connection is the first to go
            self._make_room()

    async def _room(self, waiter: Waiter) -> None:
        """Wait until one more may be opened, or another call's connection has come free."""
        while waiter.connection is None and self._open >= self.size and not self._make_room():
            waiter.stir = trio.Event()
            self._waiting.append(waiter)
            try:
                await waiter.stir.wait()
            finally:
                if waiter in self._waiting:
                    self._waiting.remove(waiter)

    def _make_room(self) -> bool:
        """Close an idle connection; where there is none, one that comes up late, which takes a moment."""
        for endpoint in self._endpoints.values():
            if endpoint.idle:
                self._retire(endpoint.idle.pop(0))
                return True
        for waiter, connecting in self._late.items():
            del self._late[waiter]
            connecting.cancel()
            break
        return False

    def _retire(self, connection: PooledConnection) -> None:
        connection.retire()
        self._free(connection.endpoint)

    def _free(self, endpoint: Endpoint) -> None:
        self._open, endpoint.open = self._open - 1, endpoint.open - 1
        self._settle(endpoint)
        self._wake()

    def _wake(self) -> None:
        if self._waiting and self._open < self.size:
            self._waiting.popleft().stir.set()

    def _settle(self, endpoint: Endpoint) -> None:
        """Let go of an endpoint to which nothing is open any more."""
        if not (endpoint.open or endpoint.waiters) and self._endpoints.get(endpoint.address) is endpoint:
            del self._endpoints[endpoint.address]

    def _go_on_late(self, waiter: Waiter, connecting: trio.CancelScope) -> None:
        """Its call waits no longer: the connection begun for it may come up yet, where few others do."""
        if sum(each.endpoint is waiter.endpoint for each in self._late) < LATE_MOST:
            self._late[waiter] = connecting
        else:
            connecting.cancel()

    async def _bring_up(self, waiter: Waiter, connecting: trio.CancelScope) -> None:
        """Connect; give the connection to the call that it was begun for, or to whoever has use for it."""
        endpoint, connection = waiter.endpoint, None
        with connecting:
            try:
                connection = await self._connect(endpoint)
            except ConnectFailed as error:
                waiter.failure = error
                if error.late and not endpoint.forgotten:
                    self.unreached(endpoint.address, self._patience_ms)
        waiter.connecting = None
        self._late.pop(waiter, None)
        if connection is None:
            waiter.stir.set()
            return self._free(endpoint)
        self.counters.add("engine.connections")
        if waiter in endpoint.waiters and waiter.connection is None:
            waiter.connection = connection
            waiter.stir.set()
        else:
            self.counters.add("engine.connections_late")
            self.release(connection)

    async def _connect(self, endpoint: Endpoint) -> PooledConnection:
        """Connect; what fails here for a moment is tried again, and tells nothing of the engine."""
        until_ms, backoff = self.deadlines.clock() + self._patience_ms, Backoff()
        while True:
            try:
                return await self._connect_once(endpoint, until_ms)
            except (trio.BrokenResourceError, ssl.SSLError) as error:
                raise ConnectFailed(f"{endpoint.address}: {error}") from error
            except OSError as error:
                pause_ms = backoff.pause_ms()
                transient = scope_of(error) is Scope.TRANSIENT
                if not transient or self.deadlines.clock() + pause_ms >= until_ms:
                    raise ConnectFailed(
                        f"{endpoint.address}: {error}", refused=refused(error), late=transient
                    ) from error
                self.counters.add("engine.connect_retries")
                await self.deadlines.sleep(pause_ms)

    async def _connect_once(self, endpoint: Endpoint, until_ms: float) -> PooledConnection:
        address = endpoint.address
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = trio.socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream: trio.abc.Stream | None = None
            # A machine that vanished never answers a connect.
            with self.deadlines.limit(until_ms):
                await sock.connect((host.strip("[]"), int(port)))
                plain = trio.SocketStream(sock)
                if (context := self._tls(address)) is None:
                    stream = plain
                else:
                    secured = trio.SSLStream(plain, context, https_compatible=True)
                    await secured.do_handshake()
                    self._accept(address, secured)
                    stream = secured
            if stream is None:
                raise ConnectFailed(f"{address}: no connection within {self._patience_ms:.0f} ms", late=True)
            return PooledConnection(sock, stream, endpoint)
        except BaseException:
            sock.close()
            raise
