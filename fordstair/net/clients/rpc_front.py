"""The platform's front: admits client connections, and sheds idle ones to make room for new ones."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.client_limits import (
    ADMISSION_RETRY_MS,
    MAX_ADMISSION_WAIT_MS,
    MAX_SHED_PER_TURN,
    MAX_WAITING_CLIENTS,
    NEW_CONNECTION_GRACE_IF_SHORT_MS,
    RPC_CONNECTION_BYTES,
    RPC_MAX_STATEMENT_BYTES,
    SHED_ORDER_VALID_MS,
    ShedRank,
    shed_rank,
)
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_pacer import ReadPacer
from fordstair.net.clients.rpc_connection import RpcConnection
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.memory_budget import MemoryUse, Reservation

log = EventLog(__name__)


@dataclass(slots=True)
class ShedCandidate:
    """A connection that was idle when the shed order was built.

    Attributes:
        rank: its rank at that time.
        last_activity_ms: its last activity at that time; it may be shed only if there was none since.
    """

    connection: RpcConnection
    rank: ShedRank
    last_activity_ms: float


class RpcFront:
    """Serves client connections, at most ``max_clients`` at a time.

    Attributes:
        max_clients: the sockets that the process's limit leaves for clients.
        max_statement_bytes: the limit on the size of one statement.
        clients: the connections that are being served.
        closing: whether ``close`` has been called.
    """

    # Defaults until the configuration has been applied:
    max_clients = 64
    max_statement_bytes = RPC_MAX_STATEMENT_BYTES

    def __init__(self, coordinator: Coordinator, poll_watch: PollWatch | None = None) -> None:
        self.coordinator = coordinator
        self.poll_watch = poll_watch or PollWatch()
        self.clients: set[RpcConnection] = set()
        self.closing = False
        self._read_pacer = ReadPacer()
        self._waiting_clients = 0
        self._shed_order: deque[ShedCandidate] = deque()
        self._shed_order_built_ms = 0.0
        self._shed_order_keeps_active = False

    @property
    def capacity(self) -> int:
        """The number of connections that may be open, with a few for which others can be shed."""
        free_bytes = self.coordinator.memory.free_bytes(MemoryUse.CONNECTIONS)
        free_places = min(self.max_clients, len(self.clients) + free_bytes // RPC_CONNECTION_BYTES)
        return free_places + min(MAX_SHED_PER_TURN, len(self._shed_order))

    def close(self) -> None:
        """Close every connection as ``RpcConnection.close`` does, including those that are served later."""
        self.closing = True
        for client in self.clients:
            client.close()

    async def serve(self, stream: trio.SocketStream, accept_delay_ms: float = 0.0) -> None:
        """Serve one connection until it ends; an exception is logged and does not affect other connections.

        Without capacity, an idle connection is shed for it; if there is none for a while, it is closed.
        ``accept_delay_ms`` is an upper bound on how long it had been connected before this call.
        """
        try:
            with Reservation(self.coordinator.memory, MemoryUse.CONNECTIONS) as reservation:
                waited_ms = await self._wait_for_place(reservation)
                if waited_ms is None:
                    self.coordinator.counters.add("client.rejected")
                    await trio.aclose_forcefully(stream)
                    return
                connection = RpcConnection(
                    stream,
                    self.coordinator,
                    self.max_statement_bytes,
                    self.poll_watch,
                    accept_delay_ms + waited_ms,
                    self._read_pacer,
                )
                await self._serve(connection)
        except Exception:
            log.exception("client.internal_error")

    async def _wait_for_place(self, reservation: Reservation) -> float | None:
        """Admit a new connection and return for how many ms it has waited, or return None without a place.

        It waits only a little: the connections of a crowd can be shed once they have had time to ask.
        """
        began_ms = now_ms = self.coordinator.deadlines.clock()
        while not self._admit(reservation):
            if self._waiting_clients >= MAX_WAITING_CLIENTS or now_ms > began_ms + MAX_ADMISSION_WAIT_MS:
                return None
            self._waiting_clients += 1
            try:
                await self.coordinator.deadlines.sleep(ADMISSION_RETRY_MS)
            finally:
                self._waiting_clients -= 1
            now_ms = self.coordinator.deadlines.clock()
        return now_ms - began_ms

    def _admit(self, reservation: Reservation) -> bool:
        """Reserve the memory of a new connection, if need be that of an idle one that is shed for it."""
        has_room = reservation.try_resize(RPC_CONNECTION_BYTES)
        if len(self.clients) < self.max_clients and has_room:
            return True
        if not self._shed_one(keep_active=not has_room):
            return False
        reservation.charge(RPC_CONNECTION_BYTES)  # the task of the one that was shed is about to end
        return True

    async def _serve(self, client: RpcConnection) -> None:
        self.clients.add(client)
        client.closing = self.closing
        self.coordinator.counters.add("client.connections")
        try:
            await client.run()
        finally:
            self.clients.discard(client)

    def _shed_one(self, *, keep_active: bool = False) -> bool:
        """Shed one idle connection, one in use last if ``keep_active``; return False if there is none."""
        now_ms = self.coordinator.deadlines.clock()
        outdated = now_ms > self._shed_order_built_ms + SHED_ORDER_VALID_MS
        if not self._shed_order or outdated or keep_active != self._shed_order_keeps_active:
            self._build_shed_order(now_ms, keep_active=keep_active)
        while self._shed_order:
            candidate = self._shed_order.popleft()
            if self._may_shed(candidate):
                self.coordinator.counters.add("client.shed")
                self.clients.discard(candidate.connection)
                candidate.connection.abort()
                return True
        return False

    def _build_shed_order(self, now_ms: float, *, keep_active: bool) -> None:
        candidates = [
            ShedCandidate(client, _rank(client, now_ms, keep_active=keep_active), client.last_activity_ms)
            for client in self.clients
            if client.idle or (keep_active and _never_served(client, now_ms))
        ]
        candidates.sort(key=lambda candidate: (candidate.rank, candidate.last_activity_ms))
        self._shed_order = deque(candidates)
        self._shed_order_built_ms = now_ms
        self._shed_order_keeps_active = keep_active

    def _may_shed(self, candidate: ShedCandidate) -> bool:
        """Return whether the candidate is still open and idle, and has no unread input.

        Where memory is short, one that was never served may be in a message or have unread input.
        """
        client = candidate.connection
        if client not in self.clients:
            return False
        if self._shed_order_keeps_active and _never_served(client, self.coordinator.deadlines.clock()):
            return True
        return (
            client.idle
            and client.last_activity_ms == candidate.last_activity_ms
            and (client.half_closed or not client.has_unread_input)
        )


def _never_served(client: RpcConnection, now_ms: float) -> bool:
    """Return whether a client has had time for a request and none was let in; what it sent is answered.

    One whose first input waits to be read may have sent a request.
    """
    is_new = client.connected_ms > now_ms - NEW_CONNECTION_GRACE_IF_SHORT_MS
    if is_new or client.was_admitted or not client.quiescent:
        return False
    return client.was_read or not client.has_unread_input


def _rank(client: RpcConnection, now_ms: float, *, keep_active: bool) -> ShedRank:
    never_served = keep_active and not client.was_admitted  # its refusals are no activity of its own
    return shed_rank(
        has_requested=client.has_requested and not never_served,
        last_activity_ms=client.connected_ms if never_served else client.last_activity_ms,
        now_ms=now_ms,
        keep_active=keep_active,
    )
