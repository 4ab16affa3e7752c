"""One attempt over HTTP, whatever the engine's protocol: started once, then polled until it ends."""

from __future__ import annotations

import contextlib
import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar, TypeVar

import trio

from fordstair.core.ports import AttemptFailedError, AttemptRequest, Engine, QueryProgress
from fordstair.decisions.events import Status
from fordstair.net.engines.delivery import Delivery
from fordstair.net.engines.endpoint import PooledConnection
from fordstair.net.engines.errors import (
    ConnectError,
    ConnectRefusedError,
    ConnectTimeoutError,
    ExchangeError,
    ProtocolError,
)
from fordstair.net.engines.http_messages import Headers, HttpRequest, HttpResponse
from fordstair.net.engines.pool import ConnectionPool
from fordstair.runtime.deadlines import Deadlines

# An engine answers a poll within 250 ms, and must be polled every 2 s: a silent exchange is given up early
# enough for another on a fresh connection.
RESPONSE_TIMEOUT_MS = 800.0
CANCELLED_POLL_TIMEOUT_MS = 300.0  # for the response to a poll that nobody waits for any more
MAX_BROKEN_RESPONSES = 6  # in a row, before the query counts as lost with its engine
OVERTAKE_MARGIN_MS = 20.0  # a request on another connection must not overtake the POST
SIDE_REQUEST_TIMEOUT_MS = 600.0
CONNECT_RETRY_MS = 50.0  # a connect that fails at once must not spin

ResultT = TypeVar("ResultT")


class HttpTransport:
    """Carries attempts over a pool of connections."""

    def __init__(
        self, pool: ConnectionPool, deadlines: Deadlines, load_report_fields: tuple[str, ...]
    ) -> None:
        self.pool = pool
        self.deadlines = deadlines
        self.load_report_fields = load_report_fields

    def close_connections(self, engine: Engine) -> None:
        """Close idle connections to an engine."""
        self.pool.evict(engine.address)


class HttpCall(ABC):
    """One attempt; the protocol says what is written and how responses read."""

    poll_headers: ClassVar[Headers] = ()

    def __init__(self, transport: HttpTransport, attempt_request: AttemptRequest) -> None:
        self.pool = transport.pool
        self.deadlines = transport.deadlines
        self.load_report_fields = transport.load_report_fields
        self.attempt_request = attempt_request
        self.address = attempt_request.engine.address
        self.delivery = Delivery()
        self._awaiting_response: PooledConnection | None = None  # where a cancelled poll's response will come

    @abstractmethod
    def start_request(self, limit_ms: int) -> HttpRequest:
        """Return the request that starts the query."""

    @abstractmethod
    def read_progress(self, response: HttpResponse) -> QueryProgress:
        """Read the response to the start or to a poll; raise what ``end`` returns when the query has failed.

        What cannot be the response to this request raises ProtocolError.
        """

    @property
    @abstractmethod
    def path(self) -> str:
        """Where the query is polled and deleted; empty while that is not known."""

    @property
    def poll_path(self) -> str:
        """Where its progress is."""
        return self.path

    async def start(self) -> QueryProgress:
        """POST the query, once; where no response follows, poll. Raise AttemptFailedError."""
        until_ms = self.deadlines.clock() + self.attempt_request.timeout_ms
        connection = await self._connect()
        failure = "silence"
        try:
            # While the connection came up, the engine may have begun to drain, or been replaced.
            if not await self.attempt_request.may_send():
                raise self.ended_error(Status.NOT_STARTED, "the engine takes nothing new")
            request = self.start_request(max(1, math.ceil(until_ms - self.deadlines.clock())))
            self.delivery.send_started_ms = self.deadlines.clock()
            with self.deadlines.limit(self.delivery.send_started_ms + RESPONSE_TIMEOUT_MS):
                response = await connection.exchange(request)
                self.delivery.read_or_lost = True
                return _read_or_desynchronize(connection, response, self.read_progress)
        except ExchangeError as error:
            failure = str(error)
        finally:
            self._note_sent(connection)
            # An exchange that was cancelled closes its connection at once: a machine that was cut off and
            # comes back would read the POST from it, and run the query beside the next attempt.
            self.pool.release(connection)
        return await self._recover(failure)

    async def poll(self) -> QueryProgress:
        """Poll until there is a response; a silent machine is polled until the attempt is given up."""
        return await self.get(self.poll_path, self.read_progress)

    async def abandon(self) -> bool:
        """DELETE the query if its POST went out completely; bounded, since the machine may be silent.

        Return whether nothing begins or runs on at the engine from now on.
        """
        connection = self._awaiting_response
        self._awaiting_response = None
        try:
            may_run = self.delivery.sent and not self.delivery.ended
            if may_run and self.path and not await self._delete(connection):
                return False
            return self.delivery.cannot_begin_later(self.deadlines.clock())
        finally:
            if connection is not None:
                self.pool.release(connection)

    async def side_request(self, method: str, body: bytes = b"") -> None:
        """Make a request whose response tells nothing, on another connection than the one that polls.

        A connection that breaks, or does not come up, says nothing of the request's having arrived: it is
        made again until it is answered or its process has gone. The caller bounds the time.
        """
        request = HttpRequest(method, self.path, body=body)
        while True:
            connection = None
            try:
                connection = await self.pool.acquire(self.address)
                await connection.exchange(request)
            except ConnectRefusedError:
                return
            except ConnectError:
                await self.deadlines.sleep(CONNECT_RETRY_MS)
            except ExchangeError:
                await self.deadlines.sleep(OVERTAKE_MARGIN_MS)
            else:
                return
            finally:
                if connection is not None:
                    self.pool.release(connection)

    async def get(self, path: str, read: Callable[[HttpResponse], ResultT]) -> ResultT:
        """GET until there is a response that can be read.

        A response that is broken, cut or missing proves nothing about the query, which the engine keeps under
        its id: it is requested again on a fresh connection.
        """
        broken_responses = 0
        fresh = False
        while True:
            connection = None
            try:
                with self.deadlines.limit_for(RESPONSE_TIMEOUT_MS) as response_limit:
                    connection = await self.pool.acquire(self.address, fresh=fresh)
                    response = await self._exchange_get(connection, path, response_limit)
                    return _read_or_desynchronize(connection, response, read)
            except ConnectRefusedError as error:
                self.delivery.read_or_lost = True  # its process has gone: it never reads the POST
                raise self.ended_error(Status.RESET, str(error)) from error
            except ConnectError:
                await self.deadlines.sleep(CONNECT_RETRY_MS)
            except ExchangeError as error:
                broken_responses += 1
                self.pool.counters.add("engine.broken_responses")
                if broken_responses >= MAX_BROKEN_RESPONSES:
                    raise AttemptFailedError(Status.RESET, str(error)) from error
            finally:
                if connection is not None and connection is not self._awaiting_response:
                    self.pool.release(connection)
            fresh = True

    def ended_error(self, status: Status, why: str, report: tuple[float, ...] = ()) -> AttemptFailedError:
        """Note that nothing runs any more; return the error to raise."""
        self.delivery.ended = True
        return AttemptFailedError(status, why, report)

    async def _connect(self) -> PooledConnection:
        try:
            return await self.pool.acquire(self.address)
        except ConnectError as error:
            failure = self.ended_error(Status.CONNECT_FAILED, str(error))
            failure.reachable = isinstance(error, ConnectRefusedError)
            failure.may_connect_late = isinstance(error, ConnectTimeoutError)
            raise failure from error

    def _note_sent(self, connection: PooledConnection) -> None:
        if connection.request_sent:
            self.delivery.sent_ms = self.deadlines.clock()
            # A response that has come and is not read yet: then it is this program that is late.
            self.delivery.read_or_lost = self.delivery.read_or_lost or connection.has_unread_bytes

    async def _recover(self, failure: str) -> QueryProgress:
        """Go on after a POST without a response.

        The query may run: a second POST would run another beside it, and its end, which the engine reports
        under its id, would be lost.
        """
        if not self.delivery.sent:  # nothing runs; for a load that is no proof yet
            raise self.ended_error(Status.RESET, f"the engine does not read: {failure}")
        if not self.path:
            raise AttemptFailedError(Status.RESET, f"the engine did not say where to poll: {failure}")
        self.pool.counters.add("engine.polled_after_reset")
        await self.deadlines.sleep(OVERTAKE_MARGIN_MS)
        try:
            return await self.get(self.poll_path, self.read_progress)
        except AttemptFailedError as error:
            if not self.delivery.poll_again_after(error.status):
                raise
        self.delivery.ended = False
        await self.deadlines.sleep(OVERTAKE_MARGIN_MS)
        return await self.get(self.poll_path, self.read_progress)

    async def _delete(self, connection: PooledConnection | None) -> bool:
        """DELETE the query; return whether the engine has taken that.

        ``connection`` awaits the response to a cancelled poll: with its query gone the engine has nothing to
        wait for, and the connection can be used again.
        """
        with trio.CancelScope(shield=True), self.deadlines.limit_for(SIDE_REQUEST_TIMEOUT_MS) as limit:
            await self.deadlines.sleep(self.delivery.sent_ms + OVERTAKE_MARGIN_MS - self.deadlines.clock())
            await self.side_request("DELETE")
            if connection is not None:
                with contextlib.suppress(ExchangeError), self.deadlines.limit_for(CANCELLED_POLL_TIMEOUT_MS):
                    await connection.receive_response()
        if limit.cancelled_caught:
            # Behind a network partition the query runs on until it is not polled for too long, however surely
            # the engine had read it.
            self.pool.counters.add("engine.cancels_unacknowledged")
        return not limit.cancelled_caught

    async def _exchange_get(
        self, connection: PooledConnection, path: str, response_limit: trio.CancelScope
    ) -> HttpResponse:
        """Make a GET; where it is cancelled before its response, if not by the limit, keep the connection.

        Closing it would cost the next query a handshake: with many engines and few requests to each, there is
        seldom another connection at hand. A GET that is read late starts nothing.
        """
        try:
            response = await connection.exchange(HttpRequest("GET", path, self.poll_headers))
        except trio.Cancelled:
            if connection.awaiting_response and not response_limit.cancel_called:
                self._awaiting_response = connection
            raise
        self.delivery.note_poll_status(response.status)
        return response


def _read_or_desynchronize(
    connection: PooledConnection, response: HttpResponse, read: Callable[[HttpResponse], ResultT]
) -> ResultT:
    """Read a response; after a ProtocolError its connection is not used again."""
    try:
        return read(response)
    except ProtocolError:
        connection.desynchronized = True
        raise
