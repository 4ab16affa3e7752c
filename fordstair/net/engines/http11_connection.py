"""An HTTP/1.1 connection to an engine: one exchange at a time."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections.abc import Mapping

import h11
import trio

from fordstair.net.engines.connection_policies import SMALL_RESPONSE_BYTES
from fordstair.net.engines.error_mapping import (
    EXCHANGE_ERRORS,
    LOST_CONNECTION_ERRORS,
    map_exchange_error,
)
from fordstair.net.engines.errors import ConnectionLostError, ProtocolError
from fordstair.net.engines.http_messages import STATUS_NO_CONTENT, HttpRequest, HttpResponse
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation

READ_BYTES = 16_384
MAX_RESPONSE_BYTES = 1024 * 1024
_LINGER_ZERO = struct.pack("ii", 1, 0)  # close(2) drops unsent bytes and resets the connection


class HTTP11Connection:
    """One connection to an engine.

    Attributes:
        idle_since_ms: when it last became idle.
        request_sent: whether all bytes of the current request have been sent.
        desynchronized: whether something was received that answers no request; no further one may be sent.
        quiet: whether nothing can follow the last response any more: true of a new connection, and once
            LATE_BYTES_TIMEOUT_MS have passed since that response.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        stream: trio.abc.Stream,
        host: str,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.sock = sock
        self.stream = stream
        self.host = host
        self.idle_since_ms = 0.0
        self.request_sent = False
        self.desynchronized = False
        self.quiet = True
        self._h11 = h11.Connection(h11.CLIENT)
        self._response_memory = Reservation(memory or MemoryBudget(), MemoryUse.ANSWERS)

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        """Send a request and receive its response; the caller bounds the time. Raise ExchangeError."""
        self.request_sent = False
        self.quiet = False
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        try:
            await self.stream.send_all(self._encode(request))
            self.request_sent = True
            return await self._receive()
        except EXCHANGE_ERRORS as error:
            raise map_exchange_error(error) from error

    async def receive_response(self) -> HttpResponse:
        """Receive the response to an exchange that was cancelled while ``awaiting_response``."""
        try:
            return await self._receive()
        except EXCHANGE_ERRORS as error:
            raise map_exchange_error(error) from error

    @property
    def awaiting_response(self) -> bool:
        """Return whether a request was sent completely and nothing of its response has been read."""
        sent = self.request_sent and self._h11.our_state is h11.DONE
        return sent and self._h11.their_state is h11.SEND_RESPONSE

    @property
    def reusable(self) -> bool:
        """Return whether a further request may be sent; unsolicited bytes or an end of stream rule it out.

        What h11 holds after a response, for example a duplicate of it, would be read as the response to the
        next request.
        """
        states = (self._h11.our_state, self._h11.their_state)
        between_requests = states in ((h11.IDLE, h11.IDLE), (h11.DONE, h11.DONE))
        unsolicited = self.desynchronized or self.may_have_surplus
        return between_requests and not unsolicited

    @property
    def surplus(self) -> bytes:
        """The bytes received after the response."""
        return self._h11.trailing_data[0]

    @property
    def may_have_surplus(self) -> bool:
        """Return whether bytes have followed the response, or the stream has ended."""
        return bool(self.surplus) or self.sock.is_readable()

    async def receive_surplus_line(self) -> None:
        """Receive until ``surplus`` holds a whole line, is too long for one, or the stream ends.

        The caller bounds the time. If cancelled, what was received so far is kept.
        """
        with contextlib.suppress(*LOST_CONNECTION_ERRORS):
            while b"\n" not in self.surplus and len(self.surplus) < READ_BYTES:
                received = await self.stream.receive_some(READ_BYTES)
                if not received:
                    return
                self._h11.receive_data(received)

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether received bytes are unread; False after an end of stream or a reset.

        Both make the socket readable as well.
        """
        poll = select.poll()
        poll.register(self.sock, select.POLLIN | select.POLLRDHUP)
        ended = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
        events = [event for _, event in poll.poll(0)]
        return any(event & select.POLLIN and not event & ended for event in events)

    def abort(self) -> None:
        """Close at once and drop unsent bytes: they must not reach a process that returns at the address."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        self.sock.close()

    def close(self) -> None:
        """Close an idle connection normally, without a forced reset."""
        self.sock.close()

    def release_response(self) -> None:
        """Give back the memory of the last response, whose caller has parsed it."""
        self._response_memory.release()

    def _reserve(self, size: int) -> None:
        """Reserve the memory of a response so far; raise ProtocolError if there is no room."""
        if size > SMALL_RESPONSE_BYTES and not self._response_memory.try_resize(size):
            raise ProtocolError(f"no room for a response of more than {self._response_memory.size} bytes")

    def _encode(self, request: HttpRequest) -> bytes:
        headers = [("Host", self.host), *request.headers]
        if request.has_content_length:
            headers.append(("Content-Length", str(len(request.body))))
        head = h11.Request(method=request.method, target=request.path, headers=headers)
        encoded = self._h11.send(head) or b""
        if request.body:
            encoded += self._h11.send(h11.Data(data=request.body)) or b""
        return encoded + (self._h11.send(h11.EndOfMessage()) or b"")

    async def _receive(self) -> HttpResponse:
        response = HttpResponse(0, {}, b"")
        parts = list[bytes]()
        size = unparsed_bytes = 0
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                data = await self.stream.receive_some(READ_BYTES)
                unparsed_bytes += len(data)
                self._reserve(size + unparsed_bytes)
                self._h11.receive_data(data)
            elif isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers = dict(event.headers)
                if response.status != STATUS_NO_CONTENT:
                    _check_length(response.headers)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                unparsed_bytes = 0
                if size > MAX_RESPONSE_BYTES:  # Bounds the memory that a faulty engine can use.
                    raise ProtocolError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                response.body = b"".join(parts)
                response.has_trailers = bool(event.headers)
                return response
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("connection closed before a complete response")


def _check_length(headers: Mapping[bytes, bytes]) -> None:
    """Reject a response that announces gigabytes, and one whose truncation could not be detected."""
    length = headers.get(b"content-length")
    if length is not None and int(length) > MAX_RESPONSE_BYTES:
        raise ProtocolError(f"response too large: Content-Length {int(length)}")
    if length is None and b"transfer-encoding" not in headers:
        raise ProtocolError("response has neither Content-Length nor Transfer-Encoding")
