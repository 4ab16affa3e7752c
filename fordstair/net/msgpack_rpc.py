"""The platform's front: MessagePack-RPC over TCP, kept thin."""

from __future__ import annotations

import logging
import math
from collections.abc import Sequence
from typing import Any

import msgpack
import trio

from fordstair.core.coordinator import Coordinator, Live
from fordstair.core.ports import Query
from fordstair.core.statements import table_group
from fordstair.net.messagepack import Incomplete, Malformed, read

log = logging.getLogger(__name__)

READ_BYTES = 65_536
OPEN_MOST = 32
LARGEST_STATEMENT = 256 * 1024
LARGEST_MESSAGE = 1024 * 1024
# A client that does not read its answers is not read from either, so that its answers cannot pile up.
UNSENT_MOST = 2 * 1024 * 1024
REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2


class BadRequest(Exception):
    """A request that cannot be used; the text says why."""


def read_query(method: str, params: Any, coordinator: Coordinator) -> Query:
    """Read a request's fields and statement; raise BadRequest, naming what cannot be used."""
    if method not in coordinator.classes:
        raise BadRequest(f"unknown class {method[:40]!r}")
    if not isinstance(params, list) or len(params) != 2 or not isinstance(params[0], dict):
        raise BadRequest("params must be a map and a body")
    fields, body = params
    if not isinstance(body, memoryview) or len(body) > LARGEST_STATEMENT:
        raise BadRequest(f"the body must be at most {LARGEST_STATEMENT} bytes")
    txn, team = _text(fields, b"txn"), _text(fields, b"team")
    if len(txn) != 16 or not all(digit in "0123456789abcdefABCDEF" for digit in txn):
        raise BadRequest("txn must be 16 hex digits")
    if team not in coordinator.tenants:
        raise BadRequest(f"unknown team {team[:40]!r}")
    statement = bytes(body)  # the copy outlives the read buffer
    return Query(txn, method, coordinator.classes[method], coordinator.tenants[team],
                 _number(fields, b"limit"), statement, table_group(statement.decode("utf-8", "replace")),
                 _number(fields, b"cpu", 0.0), _number(fields, b"need_mb", 0.0))


def _text(fields: dict[Any, Any], name: bytes) -> str:
    value = fields.get(name)
    if not isinstance(value, memoryview):
        raise BadRequest(f"{name.decode()} is missing")
    try:
        return str(value, "utf-8")
    except UnicodeDecodeError:
        raise BadRequest(f"{name.decode()} is not UTF-8") from None


def _number(fields: dict[Any, Any], name: bytes, default: float | None = None) -> float:
    if default is not None and name not in fields:
        return default
    try:
        value = float(_text(fields, name))
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0.0:
        raise BadRequest(f"{name.decode()} is no number")
    return value


class RpcReply:
    """Answers one message."""

    def __init__(self, client: RpcClient, number: int) -> None:
        self.client, self.number = client, number

    def served(self, pages: Sequence[bytes]) -> None:
        """Answer with all rows."""
        self.client.answer(self.number, None, [b"".join(pages), {}])

    def refused(self, later_ms: float) -> None:
        """Answer that a retry is harmless, and when to make it."""
        fields = {"later": str(math.ceil(later_ms))} if later_ms > 0.0 else {}
        self.client.answer(self.number, ["Overloaded", fields], None)

    def failed(self, reason: str) -> None:
        """Answer with an error that promises nothing."""
        self.client.answer(self.number, ["Internal", {"reason": reason}], None)


class RpcClient:
    """One client's connection."""

    def __init__(self, stream: trio.SocketStream, coordinator: Coordinator) -> None:
        self.stream, self.coordinator = stream, coordinator
        self.open: dict[int, Live] = {}
        self.closing = False  # nothing more is read; it ends once all open requests are answered
        self._unsent = bytearray()
        self._stir = trio.Event()

    @property
    def idle(self) -> bool:
        """Whether no request is open and every answer has left."""
        return not self.open and not self._unsent

    async def run(self) -> None:
        """Serve the connection to its end; requests still open then have lost their client."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, nursery.cancel_scope)
                await self._read()
                self.close()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            for live in list(self.open.values()):
                self.coordinator.leave(live)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)

    def close(self) -> None:
        """End the connection once nothing is open on it."""
        self.closing = True
        self._stir.set()

    def answer(self, number: int, error: object, result: object) -> None:
        """Queue an answer; the writer sends it at once."""
        self.open.pop(number, None)
        self._unsent += msgpack.packb([RESPONSE, number, error, result], use_bin_type=True)
        self._stir.set()

    async def _write(self, scope: trio.CancelScope) -> None:
        while True:
            while self._unsent:
                out, self._unsent = self._unsent, bytearray()
                await self.stream.send_all(out)
            if self.closing and not self.open:
                scope.cancel()
            self._stir = trio.Event()
            await self._stir.wait()

    async def _read(self) -> None:
        buffer, needed = b"", 1
        while not self.closing:
            while len(self._unsent) > UNSENT_MOST:
                await self.coordinator.deadlines.sleep(10.0)
            chunk = await self.stream.receive_some(READ_BYTES)
            if not chunk:
                # The client has gone, or has shut its side: what is open is answered if it can be.
                return
            buffer = buffer + chunk if buffer else bytes(chunk)
            if len(buffer) < needed:  # what is still incomplete is not read anew with every piece
                continue
            view, at, needed = memoryview(buffer), 0, 1
            try:
                while at < len(view):
                    message, end = read(view, at)
                    self._take(message)
                    at = end
            except Incomplete as rest:
                needed = rest.needed - at
                if needed > LARGEST_MESSAGE:
                    return self._refuse_rest(view[at:], "the message is too large")
            except Malformed as error:
                return self._refuse_rest(view[at:], str(error))
            buffer = buffer[at:]

    def _refuse_rest(self, view: memoryview, why: str) -> None:
        """Answer a message that cannot be read, if its id can; the bytes after it have lost their frame."""
        self.coordinator.counters.add("client.malformed")
        try:
            kind, at = read(view, 1)
            number, _ = read(view, at)
        except (Incomplete, Malformed):
            return
        if view[0] == 0x94 and kind == REQUEST and _is_id(number) and number not in self.open:
            self.answer(number, ["Invalid", {"reason": why}], None)

    def _take(self, message: Any) -> None:
        number: int
        method: memoryview
        match message:
            case [0, int(number), memoryview() as method, params] if _is_id(number):
                self._request(number, str(method, "utf-8", "replace"), params)
            case [0, int(number), *_] if _is_id(number) and number not in self.open:
                self.answer(number, ["Invalid", {"reason": "not a request"}], None)
            case [2, memoryview() as method, [int(number)]] if method == b"cancelRequest":
                if (live := self.open.pop(number, None)) is not None:
                    self.coordinator.leave(live)
            case [2, memoryview(), _]:
                pass  # a notification that is not known here asks for nothing
            case _:
                raise Malformed("neither a request nor a notification")

    def _request(self, number: int, method: str, params: Any) -> None:
        if number in self.open:  # two answers under one id could not be told apart
            raise Malformed("an id that is still open")
        if method == "alive":
            self.answer(number, None, [not self.coordinator.draining, {}])
            return
        try:
            if len(self.open) >= OPEN_MOST:
                raise BadRequest(f"over {OPEN_MOST} requests are open")
            query = read_query(method, params, self.coordinator)
        except BadRequest as error:
            self.coordinator.counters.add("client.invalid")
            self.answer(number, ["Invalid", {"reason": str(error)}], None)
            return
        self.open[number] = self.coordinator.take(query, RpcReply(self, number))


def _is_id(number: object) -> bool:
    return isinstance(number, int) and not isinstance(number, bool) and 0 <= number < 2**32


class RpcFront:
    """Accepts clients, at most as many as the limit on sockets leaves them."""

    clients_most = 64  # until the configuration has been applied

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.clients: set[RpcClient] = set()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection; a fault in it ends no other."""
        if len(self.clients) >= self.clients_most:
            self.coordinator.counters.add("client.turned_away")
            await stream.aclose()
            return
        client = RpcClient(stream, self.coordinator)
        self.clients.add(client)
        self.coordinator.counters.add("client.connections")
        try:
            await client.run()
        except Exception:
            log.exception("a client's connection broke")
        finally:
            self.clients.discard(client)
