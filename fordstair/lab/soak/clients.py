"""Clients of a soak: open-loop requests, some cancelled, some written slowly, some left behind."""

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
BURST_CONNECT_TIMEOUT_S = 1.0  # where the listener's backlog is full
MAX_OPEN = 24  # requests on one connection
REUSE_SHARE = 0.9  # of the requests, on an open connection
GRACE_S = 3.0  # beyond the longest limit, for the last answers
TIGHT_SHARE = 0.05  # of the requests, with very little time left
TIGHT_S = 0.12
CANCEL_SHARE = 0.04  # of the requests, cancelled by their client
DISCONNECT_SHARE = 0.01  # of the requests, after which their client closes its connection
SLOW_SHARE = 0.04  # of the requests, written in two pieces with a pause between them
TEAM = "karri-energy"


class Connection:
    """One connection of a client."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.port = int(stream.socket.getsockname()[1])
        self.lock = trio.Lock()
        self.last = 0
        self.open: dict[int, RequestRecord] = {}
        self.requests: dict[int, RequestRecord] = {}
        self.over = False

    def begin(self, request: RequestRecord) -> tuple[int, bytes]:
        """Open a request here, before it is written: its answer may come at once; return id and message."""
        self.last += 1
        request.first = self.last == 1
        request.client_port = self.port
        request.sent_s = math.inf
        self.open[self.last] = request
        self.requests[self.last] = request
        fields = {
            "txn": request.txn,
            "limit": str(int(request.limit_s * 1e3)),
            "team": TEAM,
            "cpu": f"{request.cost_ms:.1f}",
            "need_mb": "16",
        }
        message = [0, self.last, request.class_name, [fields, request.statement]]
        return self.last, bytes(msgpack.packb(message))


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
        self._nursery: trio.Nursery  # while the run lasts
        self._until_s = -math.inf
        self._salt = self._random.getrandbits(32)
        self._number = 0

    def _now_s(self) -> float:
        return trio.current_time() - self._start_s

    async def run(self, until_s: float) -> None:
        """Send requests until that time, and wait for what is open."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._until_s = until_s
            while self._now_s() < until_s:
                await trio.sleep(self._random.expovariate(self._rate))
                if self._coordinator.ready:
                    nursery.start_soon(self._send, nursery)
            longest_s = max(kind.limit_s for kind in KINDS)
            with trio.move_on_after(longest_s + GRACE_S):
                while any(each.open for each in self._connections):
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    async def _send(self, nursery: trio.Nursery) -> None:
        if (connection := await self._connection(nursery)) is None:
            return
        request = self._draw_request()
        async with connection.lock:
            if connection.over:  # its end was noted while another request was written: nothing goes out on it
                return
            number, message = connection.begin(request)
            if not await self._write(connection, message):
                connection.open.pop(number, None)
                return  # it was not completely written: nobody owes it an answer
            request.sent_s = min(self._now_s(), *(at_s for at_s, _ in request.answers), request.closed_s)
            self._record.requests.append(request)
        await self._maybe_leave(connection, number, request)

    def _draw_request(self) -> RequestRecord:
        kind = self._random.choices(KINDS, [kind.share for kind in KINDS])[0]
        limit_s = TIGHT_S if self._random.random() < TIGHT_SHARE else kind.limit_s
        self._number += 1
        txn = f"{self._salt:08x}{self._number:08x}"
        work_ms = self._random.expovariate(1.0 / kind.mean_work_ms)
        request = RequestRecord(txn, kind.class_name, self._coordinator.name, self._now_s(), limit_s)
        request.statement = b"/* work=%.1f rows=2 */ SELECT a FROM t_%d.lines" % (work_ms, self._number % 5)
        request.cost_ms = work_ms + 1.0
        return request

    def burst(self, connections: int) -> None:
        """Open that many connections with a request each, one right after the other, while the run lasts."""
        if self._now_s() >= self._until_s:
            return
        for _ in range(connections):
            request = self._draw_request()
            try:
                sock = socket.create_connection((HOST, self._coordinator.port), BURST_CONNECT_TIMEOUT_S)
                connection = Connection(trio.SocketStream(trio.socket.from_stdlib_socket(sock)))
                number, message = connection.begin(request)
                sock.sendall(message)
            except OSError:
                return
            request.sent_s = self._now_s()
            self._record.requests.append(request)
            self._connections.append(connection)
            self._nursery.start_soon(self._read, connection)

    async def _write(self, connection: Connection, data: bytes) -> bool:
        try:
            if self._random.random() < SLOW_SHARE:
                cut = self._random.randrange(1, len(data))
                await connection.stream.send_all(data[:cut])
                await trio.sleep(self._random.uniform(0.05, 0.3))
                data = data[cut:]
            await connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _maybe_leave(self, connection: Connection, number: int, request: RequestRecord) -> None:
        """Cancel the request, or leave with all that is open on its connection, or do neither."""
        draw = self._random.random()
        if draw > CANCEL_SHARE + DISCONNECT_SHARE:
            return
        await trio.sleep(self._random.uniform(0.0, 0.3))
        if draw > CANCEL_SHARE:
            for each in connection.open.values():
                each.gone_s = self._now_s()
            connection.open.clear()
            self._drop(connection)
            await trio.aclose_forcefully(connection.stream)
        elif number in connection.open:
            async with connection.lock:
                if await self._write(connection, msgpack.packb([2, "cancelRequest", [number]])):
                    request.gone_s = self._now_s()
                    connection.open.pop(number, None)

    async def _connection(self, nursery: trio.Nursery) -> Connection | None:
        usable = [each for each in self._connections if len(each.open) < MAX_OPEN]
        if usable and self._random.random() < REUSE_SHARE:
            return self._random.choice(usable)
        if not self._coordinator.accepts:
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
                    self._take(connection, message, arrived_s)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        for request in connection.open.values():
            request.closed_s = self._now_s()
        connection.open.clear()
        self._drop(connection)

    def _take(self, connection: Connection, message: Any, arrived_s: float) -> None:
        _, number, error, result = message
        connection.open.pop(number, None)
        if (request := connection.requests.get(number)) is None:
            return
        how = "served" if error is None else "refused" if error[0] == "Overloaded" else "failed"
        if how == "served" and result[0].count(request.txn.encode()) != 2:
            how = "spoilt"
        if how == "refused":
            request.retry_after = error[1].get("later")
        request.answers.append((arrived_s, how))

    def _drop(self, connection: Connection) -> None:
        connection.over = True
        if connection in self._connections:
            self._connections.remove(connection)
