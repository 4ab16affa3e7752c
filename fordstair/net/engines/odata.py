"""Attempts at engines that speak OData 4.01: an action, its status monitor, and next links."""

from __future__ import annotations

from typing import ClassVar

from fordstair.core.ports import AttemptRequest, Call, QueryProgress
from fordstair.decisions.events import Status
from fordstair.net.engines import odata_wire, rest_wire
from fordstair.net.engines.call import HttpCall, HttpTransport
from fordstair.net.engines.http_messages import STATUS_ACCEPTED, STATUS_OK, Headers, HttpRequest, HttpResponse


class ODataTransport(HttpTransport):
    """Carries attempts to engines that speak OData."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        """Prepare one attempt."""
        return ODataCall(self, attempt_request)


class ODataCall(HttpCall):
    """One attempt: POST the action with respond-async, poll its status monitor, follow its next links."""

    poll_headers: ClassVar[Headers] = odata_wire.VERSION_HEADERS
    pages_are_self_delimiting: ClassVar[bool] = True  # JSON documents

    def __init__(self, transport: HttpTransport, attempt_request: AttemptRequest) -> None:
        super().__init__(transport, attempt_request)
        self._monitor_path = ""
        self._next_path = ""
        self._poll_interval_ms = odata_wire.DEFAULT_POLL_INTERVAL_MS

    @property
    def path(self) -> str:
        """The path of the status monitor; empty until the engine has named it."""
        return self._monitor_path

    def start_request(self, limit_ms: int) -> HttpRequest:
        """Return the POST of the action."""
        return odata_wire.start_request(self.attempt_request.query, limit_ms, self.attempt_request.priority)

    async def poll(self) -> QueryProgress:
        """Poll the status monitor, after the interval that the engine asked for."""
        await self.deadlines.sleep(self._poll_interval_ms)
        return await super().poll()

    async def next_page(self) -> bytes | None:
        """Follow the next link; None if there is none."""
        if not self._next_path:
            return None
        rows = await self.get(self._next_path, self._read_page)
        await self.attempt_request.reserve_result(len(rows))
        return rows

    async def set_priority(self, priority: int) -> None:
        """Do nothing: OData cannot change the priority of a running query."""

    def read_progress(self, response: HttpResponse) -> QueryProgress:
        """Parse progress: 202 names the monitor, a result is the first page, anything else is a failure."""
        report = rest_wire.load_report(response, self.load_report_fields)
        if response.status == STATUS_ACCEPTED:
            self._record_monitor(response)
            return QueryProgress(True, load_report=report)
        if not odata_wire.result_succeeded(response):
            http_status = odata_wire.result_status(response)
            status = rest_wire.failure_status(response, http_status)
            raise self.ended_error(status, f"status {http_status}", report)
        rows = self._read_rows(response)
        self.delivery.ended = True
        return QueryProgress(False, rows, load_report=report)

    def _record_monitor(self, response: HttpResponse) -> None:
        try:
            named_path = odata_wire.same_host_path(self.address, odata_wire.monitor_link(response))
        except odata_wire.ForeignLinkError as error:
            raise self.ended_error(Status.ERROR, str(error)) from error
        self._monitor_path = named_path or self._monitor_path
        if not self._monitor_path:
            raise self.ended_error(Status.ERROR, "202 without a status monitor")
        self._poll_interval_ms = odata_wire.poll_interval_ms(response)

    def _read_page(self, response: HttpResponse) -> bytes:
        if response.status != STATUS_OK:
            raise self.ended_error(Status.ERROR, f"next page: status {response.status}")
        return self._read_rows(response)

    def _read_rows(self, response: HttpResponse) -> bytes:
        try:
            page = odata_wire.read_page(self.address, response.body)
        except odata_wire.ForeignLinkError as error:
            raise self.ended_error(Status.ERROR, str(error)) from error
        self._next_path = page.next_path
        return page.rows
