"""One attempt over HTTP, independent of the engine's protocol: started once, then polled until it ends."""

from __future__ import annotations

import contextlib
import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar, TypeVar

import trio

from fordstair.core.ports import AttemptFailedError, AttemptRequest, Engine, QueryProgress
from fordstair.decisions.events import Status
from fordstair.net.engines.connection_policies import LATE_BYTES_TIMEOUT_MS
from fordstair.net.engines.delivery import Delivery
from fordstair.net.engines.endpoint import PooledConnection
from fordstair.net.engines.errors import (
    ConnectError,
    ConnectRefusedError,
    ConnectTimeoutError,
    ExchangeError,
    ProtocolError,
)
from fordstair.net.engines.http_messages import STATUS_OK, Headers, HttpRequest, HttpResponse
from fordstair.net.engines.pool import ConnectionPool
from fordstair.runtime.deadlines import Deadlines

# An engine answers a poll within 250 ms, and must be polled every 2 s: an exchange without a response times
# out early enough for another on a fresh connection.
RESPONSE_TIMEOUT_MS = 800.0
# Bounds the wait for the response to a cancelled poll, after which its connection can be reused.
CANCELLED_POLL_TIMEOUT_MS = 300.0
# After this many in a row, the query counts as lost together with its engine.
MAX_CONSECUTIVE_BROKEN_RESPONSES = 6
# Delays a request on another connection, so that it does not overtake the POST.
OVERTAKE_MARGIN_MS = 20.0
CONTROL_REQUEST_TIMEOUT_MS = 600.0
# Bounds the wait for the rest of a line that has followed a response: engines send a page in one piece.
SURPLUS_LINE_TIMEOUT_MS = 20.0
# Prevents a busy loop when connects fail immediately.
CONNECT_RETRY_DELAY_MS = 50.0

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
        """Close the connections to an engine; those in use are closed once their calls end."""
        self.pool.evict(engine.address)


class HttpCall(ABC):
    """One attempt; a subclass builds the requests and parses the responses of its protocol."""

    poll_headers: ClassVar[Headers] = ()
    # Whether a page that is cut off cannot be parsed, whatever the length of its response.
    pages_are_self_delimiting: ClassVar[bool]

    def __init__(self, transport: HttpTransport, attempt_request: AttemptRequest) -> None:
        self.pool = transport.pool
        self.deadlines = transport.deadlines
        self.load_report_fields = transport.load_report_fields
        self.attempt_request = attempt_request
        self.address = attempt_request.engine.address
        self.delivery = Delivery()
        # The connection on which the response to a cancelled poll is still outstanding.
        self._cancelled_poll_connection: PooledConnection | None = None

    @abstractmethod
    def start_request(self, limit_ms: int) -> HttpRequest:
        """Return the request that starts the query."""

    @abstractmethod
    def read_progress(self, response: HttpResponse) -> QueryProgress:
        """Parse the response to the start request or to a poll.

        Raise the error that ``ended_error`` returns if the query has failed, and ProtocolError if this cannot
        be the response to the request.
        """

    @abstractmethod
    async def next_page(self) -> bytes | None:
        """Fetch the next page; None after the last one. A lost page is an error of a query that has run."""

    @property
    @abstractmethod
    def path(self) -> str:
        """The path at which the query is polled and deleted; empty until it is known."""

    @property
    def poll_path(self) -> str:
        """The path that is polled for the query's progress."""
        return self.path

    async def start(self) -> QueryProgress:
        """POST the query, once; if no response follows, poll. Raise AttemptFailedError."""
        until_ms = self.deadlines.clock() + self.attempt_request.timeout_ms
        connection = await self._connect()
        failure = "silence"
        response = None
        try:
            # The engine may have begun to drain, or been replaced, during the connect.
            if not await self.attempt_request.may_send():
                raise self.ended_error(Status.NOT_STARTED, "the engine takes nothing new")
            request = self.start_request(max(1, math.ceil(until_ms - self.deadlines.clock())))
            self.delivery.send_started_ms = self.deadlines.clock()
            with self.deadlines.limit(self.delivery.send_started_ms + RESPONSE_TIMEOUT_MS):
                response = await connection.exchange(request)
                self.delivery.read_or_lost = True
            if response is not None:
                return await self._read(connection, response, self.read_progress)
        except ExchangeError as error:
            failure = str(error)
        finally:
            self._record_sent(connection)
            # The connection of a cancelled exchange is closed at once. Otherwise a host that was cut off
            # could read the POST from it later, and run the query in parallel with the next attempt.
            self.pool.release(connection)
        return await self._recover(failure)

    async def remaining_pages(self, max_bytes: int) -> list[bytes]:
        """Fetch the pages after the first, one after the other; raise AttemptFailedError."""
        pages = list[bytes]()
        while (rows := await self.next_page()) is not None:
            pages.append(rows)
            check_size(pages, max_bytes)
        return pages

    async def poll(self) -> QueryProgress:
        """Poll until there is a response; an unresponsive host is polled until the call is cancelled."""
        return await self.get(self.poll_path, self.read_progress)

    async def abandon(self) -> bool:
        """DELETE the query if its POST was sent completely; bounded in time, as the host may not respond.

        Return True if the query can neither start nor keep running at the engine from now on.
        """
        connection = self._cancelled_poll_connection
        self._cancelled_poll_connection = None
        try:
            may_run = self.delivery.sent and not self.delivery.ended
            if may_run and self.path and not await self._delete(connection):
                return False
            return self.delivery.cannot_begin_later(self.deadlines.clock())
        finally:
            if connection is not None:
                self.pool.release(connection)

    async def send_control_request(self, method: str, body: bytes = b"") -> None:
        """Send a request and ignore its response, on another connection than the one that polls.

        A connection that breaks or cannot be established does not show whether the request arrived: it is
        repeated until there is a response or the engine's process has gone. The caller bounds the time.
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
                await self.deadlines.sleep(CONNECT_RETRY_DELAY_MS)
            except ExchangeError:
                await self.deadlines.sleep(OVERTAKE_MARGIN_MS)
            else:
                return
            finally:
                if connection is not None:
                    self.pool.release(connection)

    async def get(self, path: str, read: Callable[[HttpResponse], ResultT]) -> ResultT:
        """GET until there is a response that can be parsed.

        A response that is broken, truncated or missing proves nothing about the query, which the engine keeps
        under its ID: the GET is repeated on a fresh connection.
        """
        broken_responses = 0
        fresh = False
        while True:
            connection = response = None
            try:
                with self.deadlines.limit_for(RESPONSE_TIMEOUT_MS) as response_limit:
                    connection = await self.pool.acquire(self.address, fresh=fresh)
                    response = await self._exchange_get(connection, path, response_limit)
                if connection is not None and response is not None:
                    return await self._read(connection, response, read)
            except ConnectRefusedError as error:
                # The engine's process has gone and can no longer read the POST.
                self.delivery.read_or_lost = True
                raise self.ended_error(Status.RESET, str(error)) from error
            except ConnectError:
                await self.deadlines.sleep(CONNECT_RETRY_DELAY_MS)
            except ExchangeError as error:
                broken_responses += 1
                self.pool.counters.add("engine.broken_responses")
                if broken_responses >= MAX_CONSECUTIVE_BROKEN_RESPONSES:
                    raise AttemptFailedError(Status.RESET, str(error)) from error
            finally:
                if connection is not None and connection is not self._cancelled_poll_connection:
                    self.pool.release(connection)
            fresh = True

    async def receive_late_bytes(self, connection: PooledConnection) -> bytes:
        """Wait until nothing can follow the last response, and return the bytes that have followed.

        They hold at least their first line, unless the rest of it does not come in time. If the wait is
        cancelled, the connection is not quiet.
        """
        if not connection.surplus:
            with self.deadlines.limit_for(LATE_BYTES_TIMEOUT_MS):
                await connection.receive_surplus_line()
        if connection.may_have_surplus:
            with self.deadlines.limit_for(SURPLUS_LINE_TIMEOUT_MS):
                await connection.receive_surplus_line()
        else:
            connection.quiet = True
        return connection.surplus

    def ended_error(self, status: Status, why: str, report: tuple[float, ...] = ()) -> AttemptFailedError:
        """Record that nothing runs at the engine any more; return the error to raise."""
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

    def _record_sent(self, connection: PooledConnection) -> None:
        if connection.request_sent:
            self.delivery.sent_ms = self.deadlines.clock()
            # An unread response shows that the engine has read the POST, and that this program is late.
            self.delivery.read_or_lost = self.delivery.read_or_lost or connection.has_unread_bytes

    async def _recover(self, failure: str) -> QueryProgress:
        """Continue after a POST without a response.

        The query may be running: a second POST would run another one in parallel, and the end of the first,
        which the engine reports under its ID, would be lost.
        """
        if not self.delivery.sent:
            # Nothing runs, but the status RESET is no proof of that for a load.
            raise self.ended_error(Status.RESET, f"the POST was not sent completely: {failure}")
        if not self.path:
            raise AttemptFailedError(Status.RESET, f"no path to poll was received: {failure}")
        self.pool.counters.add("engine.polled_after_reset")
        await self.deadlines.sleep(OVERTAKE_MARGIN_MS)
        try:
            return await self.get(self.poll_path, self.read_progress)
        except AttemptFailedError as error:
            if not self.delivery.should_poll_again(error.status):
                raise
        self.delivery.ended = False
        await self.deadlines.sleep(OVERTAKE_MARGIN_MS)
        return await self.get(self.poll_path, self.read_progress)

    async def _delete(self, connection: PooledConnection | None) -> bool:
        """DELETE the query; return False on timeout.

        ``connection`` awaits the response to a cancelled poll: once the query is deleted, the engine has no
        reason to delay that response, after which the connection can be reused.
        """
        with trio.CancelScope(shield=True), self.deadlines.limit_for(CONTROL_REQUEST_TIMEOUT_MS) as limit:
            await self.deadlines.sleep(self.delivery.sent_ms + OVERTAKE_MARGIN_MS - self.deadlines.clock())
            await self.send_control_request("DELETE")
            if connection is not None:
                with contextlib.suppress(ExchangeError), self.deadlines.limit_for(CANCELLED_POLL_TIMEOUT_MS):
                    await connection.receive_response()
        if limit.cancelled_caught:
            # Behind a network partition the query runs until it has not been polled for too long, even where
            # the engine is known to have read it.
            self.pool.counters.add("engine.cancels_unacknowledged")
        return not limit.cancelled_caught

    async def _exchange_get(
        self, connection: PooledConnection, path: str, response_limit: trio.CancelScope
    ) -> HttpResponse:
        """Send a GET; if it is cancelled before its response, other than by the limit, keep the connection.

        Closing it would cost the next query a handshake: with many engines and few requests to each, there is
        seldom another idle connection. A GET that the engine reads late starts nothing.
        """
        try:
            response = await connection.exchange(HttpRequest("GET", path, self.poll_headers))
        except trio.Cancelled:
            if connection.awaiting_response and not response_limit.cancel_called:
                self._cancelled_poll_connection = connection
            raise
        self.delivery.record_poll_status(response.status)
        return response

    async def _read(
        self,
        connection: PooledConnection,
        response: HttpResponse,
        read: Callable[[HttpResponse], ResultT],
    ) -> ResultT:
        """Parse a response; one with rows is parsed once nothing can follow it, and with what has followed.

        After a ProtocolError the connection is not reused.
        """
        if response.status == STATUS_OK and not self.pages_are_self_delimiting:
            self.attempt_request.query_finished()
            response.surplus = await self.receive_late_bytes(connection)
        try:
            return read(response)
        except ProtocolError:
            connection.desynchronized = True
            raise


def check_size(pages: list[bytes], max_bytes: int) -> None:
    """Raise AttemptFailedError if the pages exceed ``max_bytes`` together."""
    if sum(map(len, pages)) > max_bytes:
        raise AttemptFailedError(Status.ERROR, "the result exceeds the limit on its size")
