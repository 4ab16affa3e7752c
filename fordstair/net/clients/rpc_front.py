"""The platform's front: its clients' connections, and which of them is shed where there is no capacity."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.client_limits import (
    RPC_MAX_STATEMENT_BYTES,
    SHED_ORDER_VALID_MS,
    ShedRank,
    shed_rank,
)
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.rpc_connection import RpcConnection
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)


@dataclass(slots=True)
class ShedCandidate:
    """A connection that was idle as the order of shedding was made."""

    connection: RpcConnection
    rank: ShedRank
    last_activity_ms: float


class RpcFront:
    """Accepts clients, at most as many as the limit on sockets leaves them."""

    # Until the configuration has been applied:
    max_clients = 64
    max_statement_bytes = RPC_MAX_STATEMENT_BYTES

    def __init__(self, coordinator: Coordinator, poll_watch: PollWatch | None = None) -> None:
        self.coordinator = coordinator
        self.poll_watch = poll_watch or PollWatch()
        self.clients: set[RpcConnection] = set()
        self.closing = False
        self._shed_order: deque[ShedCandidate] = deque()  # the first to be shed first
        self._shed_order_made_ms = 0.0

    def close(self) -> None:
        """End every connection as ``RpcConnection.close`` says, also one accepted and not served yet."""
        self.closing = True
        for client in self.clients:
            client.close()

    async def serve(self, stream: trio.SocketStream, accept_delay_ms: float = 0.0) -> None:
        """Serve one connection; a fault in it, or in shedding another for it, ends no other.

        ``accept_delay_ms`` says how long at most it was there before it was accepted.
        """
        try:
            if len(self.clients) >= self.max_clients and not self._shed_one():
                self.coordinator.counters.add("client.rejected")
                await trio.aclose_forcefully(stream)
                return
            connection = RpcConnection(
                stream, self.coordinator, self.max_statement_bytes, self.poll_watch, accept_delay_ms
            )
            await self._serve(connection)
        except Exception:
            log.exception("client.internal_error")

    async def _serve(self, client: RpcConnection) -> None:
        self.clients.add(client)
        client.closing = self.closing
        self.coordinator.counters.add("client.connections")
        try:
            await client.run()
        finally:
            self.clients.discard(client)

    def _shed_one(self) -> bool:
        """Shed one connection with nothing open on it, if there is one."""
        now_ms = self.coordinator.deadlines.clock()
        if not self._shed_order or now_ms > self._shed_order_made_ms + SHED_ORDER_VALID_MS:
            self._make_shed_order(now_ms)
        while self._shed_order:
            candidate = self._shed_order.popleft()
            if self._may_shed(candidate):
                self.coordinator.counters.add("client.shed")
                self.clients.discard(candidate.connection)
                candidate.connection.shed()
                return True
        return False

    def _make_shed_order(self, now_ms: float) -> None:
        candidates = [
            ShedCandidate(client, self._rank(client, now_ms), client.last_activity_ms)
            for client in self.clients
            if client.idle
        ]
        candidates.sort(key=lambda each: (each.rank, each.last_activity_ms))
        self._shed_order = deque(candidates)
        self._shed_order_made_ms = now_ms

    @staticmethod
    def _rank(client: RpcConnection, now_ms: float) -> ShedRank:
        return shed_rank(
            has_requested=client.has_requested, last_activity_ms=client.last_activity_ms, now_ms=now_ms
        )

    def _may_shed(self, candidate: ShedCandidate) -> bool:
        """Whether it is still idle, and nothing has come on it that is not read."""
        client = candidate.connection
        return (
            client in self.clients
            and client.idle
            and client.last_activity_ms == candidate.last_activity_ms
            and (client.half_closed or not client.unread_bytes)
        )
