"""One HTTP/1.1 connection to the OData front."""

from __future__ import annotations

import h11
import trio

from fordstair.net.clients.client_limits import (
    ODATA_CLOSE_CHECK_MS,
    ODATA_IDLE_TIMEOUT_MS,
    ODATA_MAX_BODY_BYTES,
    ODATA_MAX_HEAD_LINES,
    ODATA_REQUEST_TIMEOUT_MS,
    ODATA_WRITE_TIMEOUT_MS,
    SMALL_MESSAGE_BYTES_IF_SCARCE,
)
from fordstair.net.clients.head_lines import HeadLineCounter
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_input import ODataInput
from fordstair.net.clients.odata_messages import ODataRequest, Response, error_response
from fordstair.net.clients.odata_router import ODataRouter
from fordstair.net.clients.odata_services import ODataServices
from fordstair.net.clients.odata_statements import StatementRunner
from fordstair.net.clients.read_delay import ReadDelay
from fordstair.runtime.memory_budget import MemoryUse, Reservation

_NO_CONTENT = 204


class ODataConnection:
    """Reads and answers the requests of one connection, one at a time."""

    def __init__(self, services: ODataServices, stream: trio.abc.Stream, read_delay: ReadDelay) -> None:
        self._stream = stream
        self._coordinator = services.coordinator
        self._deadlines = services.coordinator.deadlines
        self._http = h11.Connection(h11.SERVER)
        self._read_delay = read_delay
        self._has_requested = False
        self._read_ahead = b""  # input that was read during an answer and exceeds what h11 may hold
        self.connected_ms = self._deadlines.clock()
        self._input = ODataInput(services.coordinator.memory)
        self._response_memory = Reservation(services.coordinator.memory, MemoryUse.ANSWERS)
        self._read_ahead_memory = Reservation(services.coordinator.memory, MemoryUse.INPUT)
        self._scope = trio.CancelScope()
        self._statements = StatementRunner(services.coordinator, self._response_memory)
        self._router = ODataRouter(services, stream, self._statements)

    @property
    def has_requested(self) -> bool:
        """Whether a whole request has come."""
        return self._has_requested

    def abort(self) -> None:
        """End the connection at once."""
        self._scope.cancel()

    async def run(self) -> None:
        """Answer requests until the connection ends."""
        try:
            with self._scope:
                while await self._serve_next_request():
                    self._http.start_next_cycle()
        finally:
            self._input.release()
            self._read_ahead_memory.release()
            self._response_memory.release()

    async def _serve_next_request(self) -> bool:
        """Read and answer a request; return whether another may follow. An answered request is not kept."""
        request = await self._next_request()
        if request is None:
            return False
        await self._answer(request)
        self._release_request()
        return self._may_reuse and not self._statements.disconnected

    def _release_request(self) -> None:
        """Give back the memory of an answered request; keep that of those which came meanwhile."""
        self._input.hold(len(self._http.trailing_data[0]) + len(self._read_ahead))
        self._read_ahead_memory.release()
        self._response_memory.release()

    @property
    def _may_reuse(self) -> bool:
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _next_request(self) -> ODataRequest | None:
        """Return the next request; None if the connection ends or the request does not arrive in time."""
        try:
            if not self._http.trailing_data[0] and not await self._wait_for_request():
                return None
            with self._deadlines.limit_for(ODATA_REQUEST_TIMEOUT_MS):
                return await self._read_request()
            self._coordinator.counters.add("odata.idle_timeout")
        except ODataError as error:
            await self._refuse(error)
        except h11.RemoteProtocolError as error:
            if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await self._refuse(ODataError(error.error_status_hint, "BadRequest", str(error)))
        return None

    async def _wait_for_request(self) -> bool:
        """Wait until a request begins or the connection ends; return False on a timeout."""
        timeout_ms = ODATA_IDLE_TIMEOUT_MS if self._has_requested else ODATA_REQUEST_TIMEOUT_MS
        with self._deadlines.limit_for(timeout_ms) as limit:
            self._http.receive_data(await self._read())
        if limit.cancelled_caught:
            self._coordinator.counters.add("odata.idle_timeout")
        return not limit.cancelled_caught

    async def _read_request(self) -> ODataRequest | None:
        """Read a whole request; return None if the connection ends first or the request is too large."""
        head: h11.Request | None = None
        body = bytearray()
        head_lines = HeadLineCounter()
        head_lines.add(bytes(self._http.trailing_data[0]))
        while True:
            self._input.reserve(len(body) + len(self._http.trailing_data[0]))
            if head_lines.lines > ODATA_MAX_HEAD_LINES:
                await self._refuse(ODataError(431, "TooLarge", "the head has too many fields"))
                return None
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                head_lines.add(await self._receive())
            elif isinstance(event, h11.Request):
                head = event
                self._input.reserve_body(dict(event.headers))
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > ODATA_MAX_BODY_BYTES:
                    await self._refuse(ODataError(413, "TooLarge", "the body is too large"))
                    return None
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self._has_requested = True
                return _to_request(head, bytes(body))
            else:
                return None

    async def _refuse(self, error: ODataError) -> None:
        """Answer a request that is not read to its end; the connection ends after that."""
        await self._send(error_response(error), close=True)

    async def _receive(self) -> bytes:
        """Read the next input, hand it to h11 and return it."""
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._http.send(interim) or b"")
        data = await self._read()
        self._http.receive_data(data)
        return data

    async def _read(self) -> bytes:
        """Return the input that was read ahead, or read the next; the stream records its read delay."""
        if self._read_ahead:
            data = self._read_ahead
            self._read_ahead = b""
            return data
        return bytes(await self._stream.receive_some(self._input.read_limit))

    async def _answer(self, request: ODataRequest) -> None:
        """Answer one request, and stop if the client disconnects meanwhile."""
        self._statements.begin_request(self._read_delay.last_read_ms - self._read_delay.last_delay_ms)
        try:
            self._input.reserve_parsed(request.body)
        except ODataError as error:
            await self._send(error_response(error))
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_end)
            response = await self._router.respond(request)
            nursery.cancel_scope.cancel()
        if not self._statements.disconnected:
            await self._send(response)

    async def _watch_for_end(self) -> None:
        """Watch for the client to disconnect; requests that it sends early are buffered in h11."""
        while True:
            try:
                data = await self._read()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._statements.disconnect()
                return
            if not self._may_read_ahead(len(self._http.trailing_data[0]) + len(data)):
                self._read_ahead = data
                await self._wait_for_close()
                self._statements.disconnect()
                return
            self._http.receive_data(data)

    def _may_read_ahead(self, size: int) -> bool:
        """Reserve ``size`` bytes of later requests, held during an answer; return False without room."""
        if size <= SMALL_MESSAGE_BYTES_IF_SCARCE:
            return True
        return size <= ODATA_MAX_BODY_BYTES and self._read_ahead_memory.try_resize(size)

    async def _wait_for_close(self) -> None:
        """Wait until the client has closed, without reading: the rest is read after this request."""
        while not self._read_delay.peer_has_closed:
            await self._deadlines.sleep(ODATA_CLOSE_CHECK_MS)

    async def _send(self, response: Response, *, close: bool = False) -> None:
        """Send a response; raise trio.BrokenResourceError if the client does not read it in time."""
        encoded = self._encode(response, close=close or self._coordinator.draining)
        self._response_memory.charge(len(encoded))
        with self._deadlines.limit_for(ODATA_WRITE_TIMEOUT_MS) as limit:
            await self._stream.send_all(encoded)
        if limit.cancelled_caught:
            self._coordinator.counters.add("odata.write_stalled")
            raise trio.BrokenResourceError("the client did not read its response in time")

    def _encode(self, response: Response, *, close: bool) -> bytes:
        headers = [("OData-Version", "4.01"), *response.headers.items()]
        if response.status != _NO_CONTENT:
            headers.append(("Content-Length", str(len(response.body))))
        if response.body and "Content-Type" not in response.headers:
            headers.append(("Content-Type", "application/json"))
        if close:
            headers.append(("Connection", "close"))
        encoded = self._http.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            encoded += self._http.send(h11.Data(data=response.body)) or b""
        return encoded + (self._http.send(h11.EndOfMessage()) or b"")


def _to_request(head: h11.Request, body: bytes) -> ODataRequest:
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    return ODataRequest(head.method.decode(), head.target.decode("latin-1"), headers, body)
