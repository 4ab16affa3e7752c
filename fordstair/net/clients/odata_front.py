"""The OData 4.01 front over HTTP, with the classes, deadlines and single final answers of the RPC front."""

from __future__ import annotations

import ssl
from collections.abc import Callable

import trio

from fordstair.configuration.operator_options import OperatorOptions
from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.closing import linger
from fordstair.net.clients.odata_connection import ODataConnection
from fordstair.net.clients.odata_results import StoredResults
from fordstair.net.clients.read_delay import ReadDelay
from fordstair.net.clients.repeatable_requests import IdempotencyStore, LocalIdempotencyStore
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)


class ODataFront:
    """Serves HTTP connections, at most ``max_clients`` at a time.

    ``team_of`` returns the team of a peer by its identity, or None for a peer without one.
    """

    # The default until the configuration has been applied:
    max_clients = 64

    def __init__(
        self,
        coordinator: Coordinator,
        operator: OperatorOptions,
        team_of: Callable[[trio.abc.Stream], str | None] = lambda _: None,
    ) -> None:
        self.coordinator = coordinator
        self.operator = operator
        self.results = StoredResults(operator.max_results, operator.result_lifetime_ms, coordinator.deadlines)
        self.idempotency_store: IdempotencyStore = LocalIdempotencyStore(coordinator)
        self.team_of = team_of
        self.connections = 0

    async def serve(self, stream: trio.abc.Stream, read_delay: ReadDelay) -> None:
        """Serve one connection until it ends; an exception is logged and does not affect other connections.

        Without capacity the connection is closed. ``read_delay`` is updated by the stream, or by the stream
        below it.
        """
        if self.connections >= self.max_clients:
            self.coordinator.counters.add("odata.rejected")
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        self.coordinator.counters.add("odata.connections")
        try:
            await ODataConnection(self, stream, read_delay).run()
            await linger(stream, self.coordinator.deadlines)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, ssl.SSLError):
            pass
        except* Exception:
            log.exception("odata.internal_error")
        finally:
            self.connections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
