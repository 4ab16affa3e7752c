"""Accepts clients at the fronts' addresses until the program drains."""

from __future__ import annotations

from collections.abc import Callable

import trio

from fordstair.configuration.errors import ConfigError
from fordstair.net.clients.listener import ClientHandler, ClientListener, open_listeners
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog("fordstair")


class FrontAcceptor:
    """Listens at the fronts' addresses and accepts their clients."""

    def __init__(
        self, program_name: str, poll_watch: PollWatch, deadlines: Deadlines, counters: Counters
    ) -> None:
        self.listeners: list[trio.SocketListener] = []
        self._client_listeners: list[ClientListener] = []
        self._program_name = program_name
        self._poll_watch = poll_watch
        self._deadlines = deadlines
        self._counters = counters

    @property
    def open_connections(self) -> int:
        """The number of open client connections, including those that are not served yet."""
        return sum(listener.open_connections for listener in self._client_listeners)

    async def run(
        self,
        front: str,
        address: tuple[str, int],
        serve: ClientHandler,
        max_clients: Callable[[], int],
        scope: trio.CancelScope,
    ) -> None:
        """Accept clients until the scope is cancelled; connections already accepted outlive it.

        ``max_clients`` returns the limit on the front's open connections. Raise ConfigError naming the front
        if its address cannot be bound.
        """
        async with trio.open_nursery() as clients:
            with scope:
                listeners = await self._open(front, *address)
                self.listeners += listeners
                host, port = listeners[0].socket.getsockname()[:2]
                log.info("listening", name=self._program_name, front=front, host=host, port=port)
                async with trio.open_nursery() as accepting:
                    for listener in listeners:
                        accepting.start_soon(
                            self._add_client_listener(listener, serve, max_clients).run, clients
                        )

    async def _open(self, front: str, host: str, port: int) -> list[trio.SocketListener]:
        try:
            return await open_listeners(host, port, self._deadlines)
        except OSError as error:
            raise ConfigError(f"{front}: {host}:{port}: {error}") from None

    def _add_client_listener(
        self, opened: trio.SocketListener, serve: ClientHandler, max_clients: Callable[[], int]
    ) -> ClientListener:
        listener = ClientListener(
            opened.socket, serve, max_clients, self._poll_watch, self._deadlines, self._counters
        )
        self._client_listeners.append(listener)
        return listener
