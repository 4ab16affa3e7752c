"""The second front: OData 4.01 over HTTP, with the same classes, deadlines and single final answers."""

from __future__ import annotations

import ssl
from collections.abc import Callable

import trio

from fordstair.configuration.operator_options import Operator
from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.closing import linger
from fordstair.net.clients.odata_connection import ODataConnection
from fordstair.net.clients.odata_results import StoredResults
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_delay import ReadDelay
from fordstair.net.clients.repeatable_requests import IdempotencyStore, LocalIdempotencyStore
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)


class ODataFront:
    """Serves HTTP connections; ``team_of`` returns the team of a peer's identity, None for one without."""

    max_clients = 64  # until the configuration has been applied

    def __init__(
        self,
        coordinator: Coordinator,
        operator: Operator,
        poll_watch: PollWatch,
        team_of: Callable[[trio.abc.Stream], str | None] = lambda _: None,
    ) -> None:
        self.coordinator = coordinator
        self.operator = operator
        self.poll_watch = poll_watch
        self.results = StoredResults(operator.max_results, operator.result_lifetime_ms, coordinator.deadlines)
        self.idempotency_store: IdempotencyStore = LocalIdempotencyStore(coordinator)
        self.team_of = team_of
        self.connections = 0

    async def serve(
        self, stream: trio.abc.Stream, transport: trio.SocketStream, accept_delay_ms: float = 0.0
    ) -> None:
        """Serve one connection, over a transport that it may have secured; a fault in it ends no other.

        ``accept_delay_ms`` says how long at most its first request may have waited for it to be accepted.
        """
        if self.connections >= self.max_clients:
            self.coordinator.counters.add("odata.rejected")
            await trio.aclose_forcefully(stream)
            return
        self.connections += 1
        self.coordinator.counters.add("odata.connections")
        try:
            read_delay = ReadDelay(transport, self.poll_watch, self.coordinator.deadlines, accept_delay_ms)
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
