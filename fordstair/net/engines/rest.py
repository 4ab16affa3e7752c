"""Attempts in the platform's engine protocol: a query is started by POST and polled under its id."""

from __future__ import annotations

from typing import ClassVar

from fordstair.core.ports import AttemptRequest, Call, QueryProgress
from fordstair.decisions.events import Status
from fordstair.net.engines import rest_wire
from fordstair.net.engines.call import (
    CONTROL_REQUEST_TIMEOUT_MS,
    RESPONSE_TIMEOUT_MS,
    HttpCall,
    HttpTransport,
    check_size,
)
from fordstair.net.engines.connection_policies import LATE_BYTES_TIMEOUT_MS
from fordstair.net.engines.endpoint import PooledConnection
from fordstair.net.engines.errors import ConnectError, ExchangeError, ProtocolError
from fordstair.net.engines.http_messages import STATUS_ACCEPTED, STATUS_OK, HttpRequest, HttpResponse
from fordstair.net.engines.page_length import PageLengthPolicy

MIN_PAGES_FOR_SEQUENCE = 3  # A single page after the first takes one wait in either way.


class RestTransport(HttpTransport):
    """Carries attempts to the platform's engines."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        """Prepare one attempt."""
        return RestCall(self, attempt_request)


class RestCall(HttpCall):
    """One attempt."""

    pages_are_self_delimiting: ClassVar[bool] = False  # rows of text

    def __init__(self, transport: HttpTransport, attempt_request: AttemptRequest) -> None:
        super().__init__(transport, attempt_request)
        self._page_count = 0
        self._page_number = 0
        self._length_policy = PageLengthPolicy()

    @property
    def path(self) -> str:
        """The path of the query's resource."""
        return rest_wire.query_path(self.attempt_request.query.transaction_id)

    @property
    def poll_path(self) -> str:
        """The path of page 0, which reports the end or a note; without news the response takes 250 ms."""
        return rest_wire.page_path(self.attempt_request.query.transaction_id, 0)

    def start_request(self, limit_ms: int) -> HttpRequest:
        """Return the POST of the query."""
        return rest_wire.start_request(self.attempt_request.query, limit_ms, self.attempt_request.priority)

    async def poll(self) -> QueryProgress:
        """Poll once late bytes can no longer follow the last response: its connection can then be reused."""
        await self.deadlines.sleep(LATE_BYTES_TIMEOUT_MS)
        return await super().poll()

    async def remaining_pages(self, max_bytes: int) -> list[bytes]:
        """Fetch the pages after the first on one connection; if one is in doubt, fetch each by itself."""
        if self._page_count > 1:
            expected_bytes = (self._page_count - 1) * rest_wire.MAX_PAGE_BYTES
            await self.attempt_request.reserve_result(min(max_bytes, expected_bytes))
        if self._page_count >= MIN_PAGES_FOR_SEQUENCE:
            pages = await self._pages_in_sequence(max_bytes)
            if pages is not None:
                return pages
        return await super().remaining_pages(max_bytes)

    async def next_page(self) -> bytes | None:
        """Fetch the next page by itself; None after the last one."""
        self._page_number += 1
        if self._page_number >= self._page_count:
            return None
        self._length_policy = PageLengthPolicy()
        path = rest_wire.page_path(self.attempt_request.query.transaction_id, self._page_number)
        rows = await self.get(path, self._read_page)
        await self._reserve_excess(rows)
        return rows

    async def set_priority(self, priority: int) -> None:
        """PUT a new priority, best effort: one that does not arrive does no harm."""
        if self.delivery.sent and not self.delivery.ended:
            with self.deadlines.limit_for(CONTROL_REQUEST_TIMEOUT_MS):
                await self.send_control_request("PUT", str(priority).encode())

    def read_progress(self, response: HttpResponse) -> QueryProgress:
        """Parse progress: 202 is still running, 200 is page 0, any other status is a failure."""
        report = rest_wire.load_report(response, self.load_report_fields)
        if response.status == STATUS_ACCEPTED:
            return QueryProgress(True, note=rest_wire.note(response), load_report=report)
        if response.status != STATUS_OK:
            status = rest_wire.failure_status(response, response.status)
            raise self.ended_error(status, f"status {response.status}", report)
        rows = rest_wire.complete_rows(response.body)
        self._page_count = rest_wire.page_count(response)
        self._check_length(response)
        self.delivery.ended = True
        return QueryProgress(False, rows, load_report=report)

    async def _pages_in_sequence(self, max_bytes: int) -> list[bytes] | None:
        """Fetch the pages after the first, with one wait for late bytes at their end.

        A page tells its number, so that no late copy of another one is taken for it, and late rows of a page
        cannot be parsed as the response with the next. Return None if any page has to be fetched again.
        """
        pages = list[bytes]()
        connection = None
        with self.deadlines.limit_for(RESPONSE_TIMEOUT_MS):
            try:
                connection = await self.pool.acquire(self.address)
                for number in range(1, self._page_count):
                    pages.append(await self._exchange_page(connection, number))
                    await self._reserve_excess(pages[-1])
                    check_size(pages, max_bytes)
                return None if await self.receive_late_bytes(connection) else pages
            except (ConnectError, ExchangeError):
                return None
            finally:
                if connection is not None:
                    self.pool.release(connection)
        return None

    async def _exchange_page(self, connection: PooledConnection, number: int) -> bytes:
        """GET a page; raise ExchangeError unless its response is sound and nothing has followed it yet."""
        path = rest_wire.page_path(self.attempt_request.query.transaction_id, number)
        response = await connection.exchange(HttpRequest("GET", path))
        if response.status != STATUS_OK or response.has_trailers or connection.surplus:
            raise ProtocolError("the page cannot be read in sequence")
        return rest_wire.page_rows(response, number)

    async def _reserve_excess(self, rows: bytes) -> None:
        """Reserve what a page has over the size that was reserved for it."""
        if len(rows) > rest_wire.MAX_PAGE_BYTES:
            await self.attempt_request.reserve_result(len(rows) - rest_wire.MAX_PAGE_BYTES)

    def _read_page(self, response: HttpResponse) -> bytes:
        if response.status != STATUS_OK:
            raise self.ended_error(Status.ERROR, f"page {self._page_number}: status {response.status}")
        rows = rest_wire.page_rows(response, self._page_number)
        self._check_length(response)
        return rows

    def _check_length(self, response: HttpResponse) -> None:
        """Raise ProtocolError if rows of the page may have followed the response."""
        doubtful = response.surplus or response.has_trailers
        if doubtful and self._length_policy.may_be_truncated(response):
            self.pool.counters.add("engine.pages_in_doubt")
            raise ProtocolError("rows may be missing: the response was followed by what may be rows")
