"""Clients of a soak: open-loop requests, of which some are cancelled, written in pieces or abandoned."""

from __future__ import annotations

import math
import socket
from random import Random
from typing import Any

import msgpack
import trio

from fordstair.lab.kernel_times import data_age_s
from fordstair.lab.soak.coordinators import HOST, SoakCoordinator
from fordstair.lab.soak.records import RequestRecord, SoakRecord
from fordstair.lab.soak.request_kinds import KINDS

READ_BYTES = 65_536
BURST_CONNECT_TIMEOUT_S = 1.0  # reached if the listener's backlog is full
MAX_OPEN_REQUESTS = 24  # requests on one connection
REUSE_SHARE = 0.9  # of the requests: those sent on an open connection
FINAL_ANSWER_GRACE_S = 3.0  # beyond the longest time limit
SHORT_LIMIT_SHARE = 0.05  # of the requests
SHORT_LIMIT_S = 0.12
CANCEL_SHARE = 0.04  # of the requests
DISCONNECT_SHARE = 0.01  # of the requests: the client closes its connection after sending them
SPLIT_WRITE_SHARE = 0.04  # of the requests: written in two pieces with a pause between them
TEAM = "karri-energy"


class Connection:
    """One connection of a client.

    Attributes:
        pending: The requests without an answer, by their number on this connection.
        requests: All requests, by their number.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.port = int(stream.socket.getsockname()[1])
        self.lock = trio.Lock()
        self.last_number = 0
        self.pending: dict[int, RequestRecord] = {}
        self.requests: dict[int, RequestRecord] = {}
        self.closed = False

    def add_request(self, request: RequestRecord) -> tuple[int, bytes]:
        """Register a request, and return its number and its message.

        Call it before the message is written, because the answer may arrive immediately.
        """
        self.last_number += 1
        request.first = self.last_number == 1
        request.client_port = self.port
        request.sent_s = math.inf
        self.pending[self.last_number] = request
        self.requests[self.last_number] = request
        fields = {
            "txn": request.txn,
            "limit": str(int(request.limit_s * 1e3)),
            "team": TEAM,
            "cpu": f"{request.estimated_cost_ms:.1f}",
            "need_mb": "16",
        }
        message = [0, self.last_number, request.class_name, [fields, request.statement]]
        return self.last_number, bytes(msgpack.packb(message))


class Clients:
    """All clients of one coordinator."""

    def __init__(
        self,
        coordinator: SoakCoordinator,
        record: SoakRecord,
        seed: int,
        rate_per_s: float,
        start_s: float,
    ) -> None:
        self._coordinator = coordinator
        self._record = record
        self._rate = rate_per_s
        self._random = Random(seed)
        self._start_s = start_s
        self._connections: list[Connection] = []
        self._nursery: trio.Nursery  # set by run()
        self._end_s = -math.inf
        self._txn_prefix = self._random.getrandbits(32)
        self._request_count = 0

    def _now_s(self) -> float:
        return trio.current_time() - self._start_s

    async def run(self, until_s: float) -> None:
        """Send requests until ``until_s``, then wait for the answers that are pending."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._end_s = until_s
            while self._now_s() < until_s:
                await trio.sleep(self._random.expovariate(self._rate))
                if self._coordinator.ready:
                    nursery.start_soon(self._send, nursery)
            longest_limit_s = max(kind.limit_s for kind in KINDS)
            with trio.move_on_after(longest_limit_s + FINAL_ANSWER_GRACE_S):
                while any(each.pending for each in self._connections):
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    async def _send(self, nursery: trio.Nursery) -> None:
        if (connection := await self._choose_connection(nursery)) is None:
            return
        request = self._draw_request()
        async with connection.lock:
            if connection.closed:  # while this task waited for the lock
                return
            number, message = connection.add_request(request)
            if not await self._write(connection, message):
                connection.pending.pop(number, None)
                return  # a request that was not written completely is owed no answer
            request.sent_s = min(self._now_s(), *(at_s for at_s, _ in request.answers), request.closed_s)
            self._record.requests.append(request)
        await self._maybe_cancel_or_disconnect(connection, number, request)

    def _draw_request(self) -> RequestRecord:
        kind = self._random.choices(KINDS, [kind.share for kind in KINDS])[0]
        limit_s = SHORT_LIMIT_S if self._random.random() < SHORT_LIMIT_SHARE else kind.limit_s
        self._request_count += 1
        txn = f"{self._txn_prefix:08x}{self._request_count:08x}"
        work_ms = self._random.expovariate(1.0 / kind.mean_work_ms)
        request = RequestRecord(txn, kind.class_name, self._coordinator.name, self._now_s(), limit_s)
        request.statement = b"/* work=%.1f rows=2 */ SELECT a FROM t_%d.lines" % (
            work_ms,
            self._request_count % 5,
        )
        request.estimated_cost_ms = work_ms + 1.0
        return request

    def burst(self, connections: int) -> None:
        """Open connections in quick succession and send one request on each.

        Do nothing once the time to send requests is over.
        """
        if self._now_s() >= self._end_s:
            return
        for _ in range(connections):
            request = self._draw_request()
            try:
                sock = socket.create_connection((HOST, self._coordinator.port), BURST_CONNECT_TIMEOUT_S)
                connection = Connection(trio.SocketStream(trio.socket.from_stdlib_socket(sock)))
                number, message = connection.add_request(request)
                sock.sendall(message)
            except OSError:
                return
            request.sent_s = self._now_s()
            self._record.requests.append(request)
            self._connections.append(connection)
            self._nursery.start_soon(self._read, connection)

    async def _write(self, connection: Connection, data: bytes) -> bool:
        try:
            if self._random.random() < SPLIT_WRITE_SHARE:
                split_at = self._random.randrange(1, len(data))
                await connection.stream.send_all(data[:split_at])
                await trio.sleep(self._random.uniform(0.05, 0.3))
                data = data[split_at:]
            await connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _maybe_cancel_or_disconnect(
        self, connection: Connection, number: int, request: RequestRecord
    ) -> None:
        """Cancel the request, close its connection with everything pending on it, or do neither."""
        draw = self._random.random()
        if draw > CANCEL_SHARE + DISCONNECT_SHARE:
            return
        await trio.sleep(self._random.uniform(0.0, 0.3))
        if draw > CANCEL_SHARE:
            for each in connection.pending.values():
                each.abandoned_s = self._now_s()
            connection.pending.clear()
            self._remove(connection)
            await trio.aclose_forcefully(connection.stream)
        elif number in connection.pending:
            async with connection.lock:
                if await self._write(connection, msgpack.packb([2, "cancelRequest", [number]])):
                    request.abandoned_s = self._now_s()
                    connection.pending.pop(number, None)

    async def _choose_connection(self, nursery: trio.Nursery) -> Connection | None:
        usable = [each for each in self._connections if len(each.pending) < MAX_OPEN_REQUESTS]
        if usable and self._random.random() < REUSE_SHARE:
            return self._random.choice(usable)
        if not self._coordinator.accepts_connections:
            return self._random.choice(usable) if usable else None
        try:
            stream = await trio.open_tcp_stream(HOST, self._coordinator.port)
        except OSError:
            return None
        connection = Connection(stream)
        self._connections.append(connection)
        nursery.start_soon(self._read, connection)
        return connection

    async def _read(self, connection: Connection) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while chunk := await connection.stream.receive_some(READ_BYTES):
                arrived_s = self._now_s() - data_age_s(connection.stream)
                unpacker.feed(chunk)
                for message in unpacker:
                    self._handle_response(connection, message, arrived_s)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        for request in connection.pending.values():
            request.closed_s = self._now_s()
        connection.pending.clear()
        self._remove(connection)

    def _handle_response(self, connection: Connection, message: Any, arrived_s: float) -> None:
        _, number, error, result = message
        connection.pending.pop(number, None)
        if (request := connection.requests.get(number)) is None:
            return
        outcome = "served" if error is None else "refused" if error[0] == "Overloaded" else "failed"
        if outcome == "served" and result[0].count(request.txn.encode()) != 2:
            outcome = "spoilt"
        if outcome == "refused":
            request.retry_after = error[1].get("later")
        request.answers.append((arrived_s, outcome))

    def _remove(self, connection: Connection) -> None:
        connection.closed = True
        if connection in self._connections:
            self._connections.remove(connection)
