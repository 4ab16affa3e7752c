"""Accepts clients; a call that fails for a moment neither ends the listener nor is made without a pause."""

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

OPEN_TIMEOUT_MS = 10_000.0  # for a listening socket to be had at the start
MAX_ACCEPTS_PER_TURN = 512  # of the event loop
SERVED_PER_TURN = 16  # clients that are begun to be served in a turn

# Serves one client; the second argument is how long at most, in ms, it was connected before.
Serve = Callable[[trio.SocketStream, float], Awaitable[None]]


async def open_listeners(host: str, port: int, deadlines: Deadlines) -> list[trio.SocketListener]:
    """Open the listening sockets of an address; raise OSError where that does not pass in a moment."""
    until_ms = deadlines.clock() + OPEN_TIMEOUT_MS
    backoff = Backoff()
    while True:
        try:
            return await trio.open_tcp_listeners(port, host=host)
        except OSError as error:
            transient = error_scope(error, binding=True) is ErrorScope.TRANSIENT
            if not transient or deadlines.clock() > until_ms:
                raise
            log.warning("listen.failed", host=host, port=port, why=error)
            await deadlines.sleep(backoff.next_ms())


@dataclass(frozen=True, slots=True)
class AcceptedClient:
    """A client that is accepted, and not served yet."""

    stream: trio.SocketStream
    connected_after_ms: float  # of the monotonic clock

    def waited_ms(self, now_ms: float) -> float:
        """Return how long at most it has been connected."""
        return now_ms - self.connected_after_ms


class ClientListener:
    """One listening socket; each client is passed on with how long at most it waited for that.

    All that wait are accepted in one turn of the event loop, as far as there is room, and a few are begun to
    be served in each turn: many at once would keep those waiting that are served already.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        serve: Serve,
        max_clients: Callable[[], int],
        poll_watch: PollWatch,
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        self._sock = sock
        self._serve = serve
        self._max_clients = max_clients
        self._poll_watch = poll_watch
        self._deadlines = deadlines
        self._counters = counters
        self.open_connections = 0  # accepted here, and not closed yet
        self._accepted: deque[AcceptedClient] = deque()  # the first is served first
        self._failing = False  # the latest call to accept has failed
        self._connected_after_ms = deadlines.clock()  # whoever waits has connected after that

    async def run(self, clients: trio.Nursery) -> None:
        """Accept until cancelled, and close the socket; the clients' tasks outlive that."""
        backoff = Backoff()
        with self._sock:
            try:
                while True:
                    try:
                        await self._run_turn(clients)
                    except OSError as error:
                        if error_scope(error) is ErrorScope.PROGRAM:
                            raise
                        self._note_failure(error)
                        self._start_serving(clients, len(self._accepted))
                        await self._deadlines.sleep(backoff.next_ms())
                    else:
                        backoff = Backoff()
            finally:
                self._start_serving(clients, len(self._accepted))

    async def _run_turn(self, clients: trio.Nursery) -> None:
        """Accept who waits, and serve some of them; wait where nobody waits. Raise OSError."""
        nobody_waits = self._accept_waiting()
        self._start_serving(clients, min(SERVED_PER_TURN, len(self._accepted)))
        if nobody_waits and not self._accepted:
            await self._wait_for_client()
        else:
            await trio.lowlevel.checkpoint()

    def _accept_waiting(self) -> bool:
        """Accept who waits, as many as there is room for; return whether nobody is left.

        Where there is no room, one is accepted for which the front may shed another. Raise OSError where
        accept fails.
        """
        room = self._max_clients() - self.open_connections
        least = 0 if self._accepted else 1
        for _ in range(min(MAX_ACCEPTS_PER_TURN, max(least, room))):
            accepted = self._accept_now()
            if accepted is None:
                self._connected_after_ms = self._deadlines.clock()
                return True
            self._failing = False
            self.open_connections += 1
            self._accepted.append(AcceptedClient(trio.SocketStream(accepted), self._connected_after_ms))
        return False

    def _accept_now(self) -> trio.socket.SocketType | None:
        """Accept one client; return None where nobody waits. Raise OSError."""
        shared = socket.socket(fileno=self._sock.fileno())  # trio's own accept ends the turn
        try:
            shared.setblocking(False)
            accepted, _ = shared.accept()
        except BlockingIOError:
            return None
        finally:
            shared.detach()
        return trio.socket.from_stdlib_socket(accepted)

    async def _wait_for_client(self) -> None:
        """Wait until somebody has connected; a moment ago nobody had."""
        await trio.lowlevel.wait_readable(self._sock)
        delay_ms = self._poll_watch.max_delay_ms(self._connected_after_ms)
        self._connected_after_ms = max(self._connected_after_ms, self._deadlines.clock() - delay_ms)

    def _start_serving(self, clients: trio.Nursery, count: int) -> None:
        for _ in range(count):
            clients.start_soon(self._handle, self._accepted.popleft())

    def _note_failure(self, error: OSError) -> None:
        self._counters.add("accept.failures")
        if not self._failing:
            self._failing = True
            log.warning("accept.failed", why=error)

    async def _handle(self, client: AcceptedClient) -> None:
        try:
            await self._serve(client.stream, client.waited_ms(self._deadlines.clock()))
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(client.stream)
