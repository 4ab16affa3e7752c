"""HTTP/1.1 calls to engines, one at a time per connection."""

from __future__ import annotations

import contextlib
import select
import socket
import ssl
import struct
from collections.abc import Mapping
from dataclasses import dataclass

import h11
import trio

READ_BYTES = 16_384
LARGEST_ANSWER = 1024 * 1024
_ABORT = struct.pack("ii", 1, 0)


class Broken(Exception):
    """The connection ended, or what came is no HTTP; what was sent may have arrived."""


# What reading and writing raise where Broken is meant.
_BREAKS = (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError, ssl.SSLError, ValueError)


def _broken(error: Exception) -> Broken:
    return Broken(str(error) or type(error).__name__)


@dataclass(slots=True)
class Answer:
    """One HTTP answer; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    def text(self, name: bytes, default: str = "") -> str:
        """Return one header as text."""
        return self.headers.get(name, default.encode()).decode("latin-1")


class Connection:
    """One connection to an engine."""

    def __init__(self, sock: trio.socket.SocketType, stream: trio.abc.Stream, host: str) -> None:
        self.sock, self.stream, self.host = sock, stream, host
        self.idle_since = 0.0
        self.whole = False  # whether all bytes of the current call are out
        self.spoilt = False  # something came that does not belong to a call: no further one may go out
        self._h11 = h11.Connection(h11.CLIENT)

    async def exchange(self, method: str, path: str, headers: list[tuple[str, str]], body: bytes) -> Answer:
        """Make one call; the caller bounds its time."""
        self.whole = False
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        fields = [("Host", self.host), *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            fields.append(("Content-Length", str(len(body))))
        try:
            out = self._h11.send(h11.Request(method=method, target=path, headers=fields)) or b""
            if body:
                out += self._h11.send(h11.Data(data=body)) or b""
            out += self._h11.send(h11.EndOfMessage()) or b""
            await self.stream.send_all(out)
            self.whole = True
            return await self._answer()
        except _BREAKS as error:
            raise _broken(error) from error

    async def rest(self) -> Answer:
        """Read the answer to a call whose caller was stopped while it waited, where ``awaits`` is true."""
        try:
            return await self._answer()
        except _BREAKS as error:
            raise _broken(error) from error

    @property
    def awaits(self) -> bool:
        """Whether a call has gone whole and nothing of its answer has been read."""
        return self.whole and self._h11.our_state is h11.DONE and self._h11.their_state is h11.SEND_RESPONSE

    async def _answer(self) -> Answer:
        status, headers, parts, size = 0, dict[bytes, bytes](), list[bytes](), 0
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self.stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Response):
                status, headers = event.status_code, dict(event.headers)
                if status != 204:
                    self._bound(headers)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > LARGEST_ANSWER:  # an engine gone wrong must not use up the memory here
                    raise Broken("the answer is too large")
            elif isinstance(event, h11.EndOfMessage):
                return Answer(status, headers, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise Broken("closed before an answer")

    @staticmethod
    def _bound(headers: Mapping[bytes, bytes]) -> None:
        """Guard against an answer that claims gigabytes, and one whose cut could not be told from its end."""
        length = headers.get(b"content-length")
        if length is not None and int(length) > LARGEST_ANSWER:
            raise Broken(f"the answer claims {int(length)} bytes")
        if length is None and b"transfer-encoding" not in headers:
            raise Broken("the answer does not say where it ends")

    @property
    def reusable(self) -> bool:
        """Whether a further call may go out on it; bytes or an end that came unasked say no.

        What h11 holds after an answer, a second copy say, would be read as the answer of the next call.
        """
        states = self._h11.our_state, self._h11.their_state
        between = states in ((h11.IDLE, h11.IDLE), (h11.DONE, h11.DONE))  # not used yet, or between two calls
        return between and not (self.spoilt or self._h11.trailing_data[0] or self.sock.is_readable())

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have come that are not read yet; an end or a reset, though readable too, says no."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN | select.POLLRDHUP)
        ended = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
        events = [event for _, event in poll.poll(0)]
        return any(event & select.POLLIN and not event & ended for event in events)

    def close(self) -> None:
        """Close at once, and drop what has not left yet: it must not reach whoever comes back there."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
        self.sock.close()

    def retire(self) -> None:
        """Close an idle connection in the ordinary way."""
        self.sock.close()
