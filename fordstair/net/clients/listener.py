"""Accepts clients; a call that fails for a moment neither ends the listener nor is made without a pause."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.system_errors import Backoff, ErrorScope, error_scope
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

OPEN_TIMEOUT_MS = 10_000.0  # for a listening socket to be had at the start

# Serves one client; the second argument is how long at most, in ms, it was connected before it was accepted.
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


class ClientListener:
    """One listening socket; each client is passed on with how long at most it waited for that."""

    def __init__(
        self,
        sock: trio.socket.SocketType,
        serve: Serve,
        poll_watch: PollWatch,
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        self._sock = sock
        self._serve = serve
        self._poll_watch = poll_watch
        self._deadlines = deadlines
        self._counters = counters
        self.open_connections = 0  # accepted here, and not closed yet
        self._failing_since_ms: float | None = None  # accept has failed, and some may wait since then

    async def run(self, clients: trio.Nursery) -> None:
        """Accept until cancelled, and close the socket; the clients' tasks outlive that."""
        backoff = Backoff()
        with self._sock:
            while True:
                try:
                    sock, _ = await self._sock.accept()
                except OSError as error:
                    if error_scope(error) is ErrorScope.PROGRAM:
                        raise
                    self._note_failure(error)
                    await self._deadlines.sleep(backoff.next_ms())
                    continue
                backoff = Backoff()
                self.open_connections += 1
                clients.start_soon(self._handle, trio.SocketStream(sock), self._accept_delay_ms())

    def _note_failure(self, error: OSError) -> None:
        self._counters.add("accept.failures")
        if self._failing_since_ms is None:
            self._failing_since_ms = self._deadlines.clock()
            log.warning("accept.failed", why=error)

    def _accept_delay_ms(self) -> float:
        """Return for how long at most the client just accepted was connected before."""
        delay_ms = self._poll_watch.max_delay_ms()
        if self._failing_since_ms is None:
            return delay_ms
        delay_ms = max(delay_ms, self._deadlines.clock() - self._failing_since_ms)
        if not self._sock.is_readable():  # the last of those that came meanwhile
            self._failing_since_ms = None
        return delay_ms

    async def _handle(self, stream: trio.SocketStream, accept_delay_ms: float) -> None:
        try:
            await self._serve(stream, accept_delay_ms)
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)
