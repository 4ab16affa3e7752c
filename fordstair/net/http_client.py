"""HTTP/1.1 calls to engines, one at a time per connection, from a bounded pool."""

from __future__ import annotations

import contextlib
import socket
import ssl
import struct
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import h11
import trio

from fordstair.core.counters import Counters
from fordstair.core.deadlines import Deadlines

READ_BYTES = 16_384
LARGEST_ANSWER = 1024 * 1024
IDLE_MARGIN_MS = 1_000.0  # closed here before the engine closes it: a POST must not cross such a close
_ABORT = struct.pack("ii", 1, 0)


class ConnectFailed(Exception):
    """No connection came up: nothing was sent."""


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
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        return done and not (self.spoilt or self._h11.trailing_data[0] or self.sock.is_readable())

    def close(self) -> None:
        """Close at once, and drop what has not left yet: it must not reach whoever comes back there."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
        self.sock.close()

    def retire(self) -> None:
        """Close an idle connection in the ordinary way."""
        self.sock.close()


class Pool:
    """Connections to engines, all together at most ``size``."""

    size, connect_ms, idle_ms = 64, 250.0, 30_000.0  # until the configuration has been applied

    def __init__(self, deadlines: Deadlines, counters: Counters, *,
                 tls: Callable[[str], ssl.SSLContext | None] = lambda _: None,
                 accept: Callable[[str, trio.SSLStream[trio.SocketStream]], None] = lambda *_: None) -> None:
        self.deadlines, self.counters = deadlines, counters
        self._tls, self._accept = tls, accept
        self._idle: dict[str, list[Connection]] = {}
        self._waiting: deque[trio.Event] = deque()
        self._open = 0

    @property
    def open(self) -> int:
        """Connections that are open now."""
        return self._open

    def resize(self, size: int) -> None:
        """Allow that many connections from now on; those over it end with their calls."""
        self.size = size
        for turn in self._waiting:
            turn.set()

    async def acquire(self, address: str, *, fresh: bool = False) -> Connection:
        """Return a connection for one call; raise ConnectFailed where none comes up."""
        if not fresh and (connection := self._reuse(address)) is not None:
            return connection
        await self._slot()
        try:
            return await self._connect(address)
        except BaseException:
            self._free()
            raise

    def release(self, connection: Connection, address: str) -> None:
        """Take a connection back after its call, whatever became of the call."""
        if connection.reusable and self._open <= self.size:
            connection.idle_since = self.deadlines.clock()
            self._idle.setdefault(address, []).append(connection)
            if self._waiting:  # somebody waits for room: an idle connection is the first to go
                self._drop_idle()
        else:
            connection.close()
            self._free()

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.retire()
            self._free()

    def tidy(self) -> None:
        """Close what has been idle for long; sets its own next deadline."""
        edge = self.deadlines.clock() - max(IDLE_MARGIN_MS, self.idle_ms - IDLE_MARGIN_MS)
        for address, connections in list(self._idle.items()):
            while connections and connections[0].idle_since < edge:
                connections.pop(0).retire()
                self._free()
            if not connections:
                del self._idle[address]
        self.deadlines.add(self.deadlines.clock() + IDLE_MARGIN_MS, self.tidy)

    def _reuse(self, address: str) -> Connection | None:
        edge = self.deadlines.clock() - max(IDLE_MARGIN_MS, self.idle_ms - IDLE_MARGIN_MS)
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            if connection.idle_since >= edge and connection.reusable:
                return connection
            connection.retire()
            self._free()
        return None

    async def _slot(self) -> None:
        while self._open >= self.size and not self._drop_idle():
            turn = trio.Event()
            self._waiting.append(turn)
            try:
                await turn.wait()
            finally:
                if turn in self._waiting:
                    self._waiting.remove(turn)
        self._open += 1

    def _drop_idle(self) -> bool:
        for connections in self._idle.values():
            if connections:
                connections.pop(0).retire()
                self._free()
                return True
        return False

    def _free(self) -> None:
        self._open -= 1
        if self._waiting:
            self._waiting.popleft().set()

    async def _connect(self, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = trio.socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream: trio.abc.Stream | None = None
            # A machine that vanished never answers a connect: the limit keeps it from holding the call.
            with self.deadlines.limit(self.deadlines.clock() + self.connect_ms):
                await sock.connect((host.strip("[]"), int(port)))
                plain = trio.SocketStream(sock)
                if (context := self._tls(address)) is None:
                    stream = plain
                else:
                    secured = trio.SSLStream(plain, context, https_compatible=True)
                    await secured.do_handshake()
                    self._accept(address, secured)
                    stream = secured
            if stream is None:
                raise ConnectFailed(f"{address}: no connection within {self.connect_ms:.0f} ms")
            self.counters.add("engine.connections")
            return Connection(sock, stream, address)
        except (OSError, trio.BrokenResourceError, ssl.SSLError) as error:
            sock.close()
            raise ConnectFailed(f"{address}: {error}") from error
        except BaseException:
            sock.close()
            raise
