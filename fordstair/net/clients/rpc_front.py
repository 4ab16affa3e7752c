"""The platform's front: its clients' connections, and which of them goes where there is no room."""

from __future__ import annotations

from collections import deque

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.rpc_connection import RpcClient
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

LARGEST_STATEMENT = 256 * 1024
GREET_MS = 300.0  # for a new connection, while there are others to shed
SORT_MS = 50.0  # an order of whom to shed holds for so long: a flood of connections must not cost a sort each


class RpcFront:
    """Accepts clients, at most as many as the limit on sockets leaves them."""

    clients_most, largest_statement = 64, LARGEST_STATEMENT  # until the configuration has been applied

    def __init__(self, coordinator: Coordinator, poll_watch: PollWatch | None = None) -> None:
        self.coordinator, self.poll_watch = coordinator, poll_watch or PollWatch()
        self.clients: set[RpcClient] = set()
        self.closing = False
        self._next_to_go: deque[tuple[int, float, RpcClient]] = deque()  # the first to be shed first
        self._sorted_ms = 0.0

    def close(self) -> None:
        """End every connection as ``RpcClient.close`` says, also one that is accepted and not served yet."""
        self.closing = True
        for client in self.clients:
            client.close()

    async def serve(self, stream: trio.SocketStream, waited_ms: float = 0.0) -> None:
        """Serve one connection; a fault in it, or in making room for it, ends no other.

        ``waited_ms`` says how long at most it was there before it was accepted.
        """
        try:
            if len(self.clients) >= self.clients_most and not self._make_room():
                self.coordinator.counters.add("client.turned_away")
                return await trio.aclose_forcefully(stream)
            await self._serve(
                RpcClient(stream, self.coordinator, self.largest_statement, self.poll_watch, waited_ms)
            )
        except Exception:
            log.exception("client.broke")

    async def _serve(self, client: RpcClient) -> None:
        self.clients.add(client)
        client.closing = self.closing
        self.coordinator.counters.add("client.connections")
        try:
            await client.run()
        finally:
            self.clients.discard(client)

    def _make_room(self) -> bool:
        """Shed one connection with nothing open on it.

        Who connects and says nothing goes first, then who has been silent longest since asking: clients that
        ask once and hold their connection must not keep others out. A new connection has some time to ask.
        """
        now = self.coordinator.deadlines.clock()
        if not self._next_to_go or now > self._sorted_ms + SORT_MS:
            young_ms = now - GREET_MS
            idle = [
                (1 if client.asked else 2 if client.since_ms > young_ms else 0, client.since_ms, client)
                for client in self.clients
                if client.idle
            ]
            self._next_to_go, self._sorted_ms = deque(sorted(idle, key=lambda each: each[:2])), now
        while self._next_to_go:
            _, since_ms, client = self._next_to_go.popleft()
            if (
                client in self.clients
                and client.idle
                and client.since_ms == since_ms
                and (client.lingering or not client.unread)
            ):
                self.coordinator.counters.add("client.shed")
                self.clients.discard(client)
                client.shed()
                return True
        return False
