"""The OData 4.01 front over HTTP, with the classes, deadlines and single final answers of the RPC front."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import trio

from fordstair.configuration.operator_options import OperatorOptions
from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.client_limits import (
    MAX_SHED_PER_TURN,
    NEW_CONNECTION_GRACE_IF_SHORT_MS,
    NEW_CONNECTION_GRACE_MS,
    ODATA_CONNECTION_BYTES,
    ODATA_TLS_BYTES,
)
from fordstair.net.clients.closing import linger
from fordstair.net.clients.odata_connection import ODataConnection
from fordstair.net.clients.odata_results import StoredResults
from fordstair.net.clients.read_delay import ReadDelay, TimedStream
from fordstair.net.clients.repeatable_requests import IdempotencyStore, LocalIdempotencyStore
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.memory_budget import MemoryUse, Reservation

log = EventLog(__name__)

Secure = Callable[[TimedStream], Awaitable[trio.abc.Stream | None]]


class ODataFront:
    """Serves HTTP connections, at most ``max_clients`` at a time, and as far as there is memory for them.

    ``team_of`` returns the team of a peer by its identity, or None for a peer without one. ``secure`` does
    the TLS handshake with a client, and returns None if that fails; without it clients use plain TCP.
    """

    # The default until the configuration has been applied:
    max_clients = 64

    def __init__(
        self,
        coordinator: Coordinator,
        operator: OperatorOptions,
        team_of: Callable[[trio.abc.Stream], str | None] = lambda _: None,
        secure: Secure | None = None,
    ) -> None:
        self.coordinator = coordinator
        self.operator = operator
        self.results = StoredResults(
            operator.max_results, operator.result_lifetime_ms, coordinator.deadlines, coordinator.memory
        )
        self.idempotency_store: IdempotencyStore = LocalIdempotencyStore(coordinator)
        self.team_of = team_of
        self.connections = 0
        self._secure = secure
        self._connection_bytes = ODATA_CONNECTION_BYTES + (0 if secure is None else ODATA_TLS_BYTES)
        self._served: dict[ODataConnection, None] = {}  # in the order in which they came

    @property
    def capacity(self) -> int:
        """The number of connections that may be open, with a few for which others can be shed."""
        free_bytes = self.coordinator.memory.free_bytes(MemoryUse.CONNECTIONS)
        free_places = min(self.max_clients, self.connections + free_bytes // self._connection_bytes)
        silent = sum(not connection.has_requested for connection in self._served)
        return free_places + min(MAX_SHED_PER_TURN, silent)

    async def serve_client(self, stream: TimedStream, read_delay: ReadDelay) -> None:
        """Serve one client as ``serve`` does, after the TLS handshake if there is one."""
        if self._secure is None:
            await self.serve(stream, read_delay)
            return
        with self._admitted() as admitted:
            if not admitted:
                await trio.aclose_forcefully(stream)
            elif (secured := await self._secure(stream)) is not None:
                await self._serve(secured, read_delay)

    async def serve(self, stream: trio.abc.Stream, read_delay: ReadDelay) -> None:
        """Serve one connection until it ends; an exception is logged and does not affect other connections.

        Without capacity, the oldest connection that has sent no request is shed for it; if there is none, the
        new one is closed. ``read_delay`` is updated by the stream, or by the stream below it.
        """
        with self._admitted() as admitted:
            if admitted:
                await self._serve(stream, read_delay)
            else:
                await trio.aclose_forcefully(stream)

    async def _serve(self, stream: trio.abc.Stream, read_delay: ReadDelay) -> None:
        connection = ODataConnection(self, stream, read_delay)
        self._served[connection] = None
        try:
            await connection.run()
            await linger(stream, self.coordinator.deadlines)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* Exception:
            log.exception("odata.internal_error")
        finally:
            self._served.pop(connection, None)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    @contextmanager
    def _admitted(self) -> Iterator[bool]:
        """Hold a connection's place and memory during the block; yield False if there is none."""
        with Reservation(self.coordinator.memory, MemoryUse.CONNECTIONS) as reservation:
            if not self._admit(reservation):
                self.coordinator.counters.add("odata.rejected")
                yield False
                return
            self.connections += 1
            self.coordinator.counters.add("odata.connections")
            try:
                yield True
            finally:
                self.connections -= 1

    def _admit(self, reservation: Reservation) -> bool:
        has_room = reservation.try_resize(self._connection_bytes)
        if self.connections < self.max_clients and has_room:
            return True
        grace_ms = NEW_CONNECTION_GRACE_MS if has_room else NEW_CONNECTION_GRACE_IF_SHORT_MS
        if not self._shed_one(grace_ms):
            return False
        reservation.charge(self._connection_bytes)  # the task of the one that was shed is about to end
        return True

    def _shed_one(self, grace_ms: float) -> bool:
        """Shed the oldest connection that has sent no whole request in ``grace_ms``; return False if none."""
        latest_ms = self.coordinator.deadlines.clock() - grace_ms
        for connection in self._served:
            if connection.connected_ms > latest_ms:
                return False
            if not connection.has_requested:
                self.coordinator.counters.add("odata.shed")
                del self._served[connection]
                connection.abort()
                return True
        return False
