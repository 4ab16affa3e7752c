"""Accepts client connections; after a transient failure of accept it backs off and tries again."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.system_errors import Backoff, ErrorScope, error_scope
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

BIND_TIMEOUT_MS = 10_000.0
# A turn is one pass of the event loop:
MAX_ACCEPTS_PER_TURN = 512
MAX_HANDLERS_STARTED_PER_TURN = 16

# Serves one client; the second argument is an upper bound, in ms, on how long it had been connected by then.
ClientHandler = Callable[[trio.SocketStream, float], Awaitable[None]]


async def open_listeners(host: str, port: int, deadlines: Deadlines) -> list[trio.SocketListener]:
    """Open the listening sockets of an address, retrying transient errors; raise OSError for any other.

    A transient error that lasts beyond BIND_TIMEOUT_MS is raised as well.
    """
    deadline_ms = deadlines.clock() + BIND_TIMEOUT_MS
    backoff = Backoff()
    while True:
        try:
            return await trio.open_tcp_listeners(port, host=host)
        except OSError as error:
            transient = error_scope(error, binding=True) is ErrorScope.TRANSIENT
            if not transient or deadlines.clock() > deadline_ms:
                raise
            log.warning("listen.failed", host=host, port=port, why=error)
            await deadlines.sleep(backoff.next_ms())


@dataclass(frozen=True, slots=True)
class AcceptedClient:
    """A client that has been accepted and whose handler has not started yet.

    Attributes:
        stream: the client's connection.
        connected_after_ms: a time on the monotonic clock before which it had not connected.
    """

    stream: trio.SocketStream
    connected_after_ms: float

    def max_wait_ms(self, now_ms: float) -> float:
        """Return an upper bound on how long the client has been connected."""
        return now_ms - self.connected_after_ms


class ClientListener:
    """Accepts the clients of one listening socket, and starts a handler for each.

    Each turn of the event loop accepts the whole backlog, as far as there is capacity, but starts only a few
    handlers: starting many at once would delay the clients that are already being served.

    Attributes:
        open_connections: the connections that were accepted here and are not closed yet.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        handler: ClientHandler,
        max_clients: Callable[[], int],
        poll_watch: PollWatch,
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._max_clients = max_clients
        self._poll_watch = poll_watch
        self._deadlines = deadlines
        self._counters = counters
        self.open_connections = 0
        self._accepted: deque[AcceptedClient] = deque()
        self._last_accept_failed = False
        # No client in the backlog had connected by then:
        self._connected_after_ms = deadlines.clock()

    async def run(self, clients: trio.Nursery) -> None:
        """Accept clients until cancelled, then close the socket.

        The handlers run in the nursery ``clients`` and are not cancelled along with this call. Clients that
        were accepted before the cancellation are served too. Raise OSError if accept fails for good.
        """
        backoff = Backoff()
        with self._sock:
            try:
                while True:
                    try:
                        await self._run_turn(clients)
                    except OSError as error:
                        if error_scope(error) is ErrorScope.PROGRAM:
                            raise
                        self._record_accept_failure(error)
                        self._start_handlers(clients, len(self._accepted))
                        await self._deadlines.sleep(backoff.next_ms())
                    else:
                        backoff = Backoff()
            finally:
                self._start_handlers(clients, len(self._accepted))

    async def _run_turn(self, clients: trio.Nursery) -> None:
        """Accept the backlog and start some handlers; wait if nothing is left to do. Raise OSError."""
        backlog_empty = self._accept_backlog()
        self._start_handlers(clients, min(MAX_HANDLERS_STARTED_PER_TURN, len(self._accepted)))
        if backlog_empty and not self._accepted:
            await self._wait_for_client()
        else:
            await trio.lowlevel.checkpoint()

    def _accept_backlog(self) -> bool:
        """Accept the backlog as far as there is capacity; return whether it is empty now.

        Without capacity one client is accepted all the same, since the front may shed another for it. Raise
        OSError if accept fails.
        """
        capacity = self._max_clients() - self.open_connections
        min_accepts = 0 if self._accepted else 1
        for _ in range(min(MAX_ACCEPTS_PER_TURN, max(min_accepts, capacity))):
            accepted = self._try_accept()
            if accepted is None:
                self._connected_after_ms = self._deadlines.clock()
                return True
            self._last_accept_failed = False
            self.open_connections += 1
            self._accepted.append(AcceptedClient(trio.SocketStream(accepted), self._connected_after_ms))
        return False

    def _try_accept(self) -> trio.socket.SocketType | None:
        """Accept one client; return None if the backlog is empty. Raise OSError.

        It calls the plain socket's accept, since trio's is a checkpoint and would end the turn.
        """
        plain_socket = socket.socket(fileno=self._sock.fileno())
        try:
            plain_socket.setblocking(False)
            accepted, _ = plain_socket.accept()
        except BlockingIOError:
            return None
        finally:
            plain_socket.detach()
        return trio.socket.from_stdlib_socket(accepted)

    async def _wait_for_client(self) -> None:
        """Wait until a client has connected; the backlog was empty when it was last checked."""
        await trio.lowlevel.wait_readable(self._sock)
        delay_ms = self._poll_watch.max_delay_ms(self._connected_after_ms)
        self._connected_after_ms = max(self._connected_after_ms, self._deadlines.clock() - delay_ms)

    def _start_handlers(self, clients: trio.Nursery, count: int) -> None:
        for _ in range(count):
            clients.start_soon(self._handle, self._accepted.popleft())

    def _record_accept_failure(self, error: OSError) -> None:
        self._counters.add("accept.failures")
        if not self._last_accept_failed:
            self._last_accept_failed = True
            log.warning("accept.failed", why=error)

    async def _handle(self, client: AcceptedClient) -> None:
        try:
            await self._handler(client.stream, client.max_wait_ms(self._deadlines.clock()))
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(client.stream)
