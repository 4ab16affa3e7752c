"""A stand-in client: MessagePack-RPC over one connection, as the platform's protocol page describes it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field
from typing import Any

import msgpack

MAX_OPEN = 32
LATE_S = 0.5  # an answer later than this after its time is lost


@dataclass
class Request:
    """One request, and what came of it: ``served``, ``refused``, ``failed``, ``lost`` or ``crossed``."""

    txn: str
    lane: str
    rows: int
    limit_s: float
    sent_s: float
    coordinator: int
    outcome: str = ""
    answered_s: float = 0.0
    body: bytes = b""
    answers: int = 0
    done: asyncio.Event = field(default_factory=asyncio.Event)


class Client:
    """One connection to a coordinator."""

    def __init__(self, host: str, port: int, coordinator: int, rng: random.Random) -> None:
        self.host, self.port, self.coordinator = host, port, coordinator
        self.rng = rng
        self.open: dict[int, Request] = {}
        self.closed = False
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._last_id = 0
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter
        self._task: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Connect, and begin to read."""
        self._reader, self._writer = await asyncio.open_connection(self.host, self.port)
        self._task = asyncio.create_task(self._read())

    async def alive(self, within_s: float = 3.0) -> bool:
        """Ask whether the coordinator takes requests; False without an answer in time."""
        self._last_id += 1
        number = self._last_id
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        self._writer.write(msgpack.packb([0, number, "alive", [{}]]))
        try:
            return bool((await asyncio.wait_for(future, within_s))[0])
        except (TimeoutError, ConnectionError):
            return False

    def send(self, request: Request, team: str, statement: bytes, work_ms: int) -> int:
        """Send a request; its time counts from now."""
        self._last_id += 1
        number = self._last_id
        fields = {
            "txn": request.txn,
            "limit": str(int(request.limit_s * 1000)),
            "team": team,
            "cpu": f"{work_ms * self.rng.uniform(0.7, 1.4):.1f}",
            "need_mb": "96",
        }
        request.sent_s = time.monotonic()
        self.open[number] = request
        self._writer.write(msgpack.packb([0, number, request.lane, [fields, statement]]))
        return number

    def cancel(self, number: int) -> None:
        """Stop waiting for a request."""
        self.open.pop(number, None)
        with contextlib.suppress(ConnectionError):
            self._writer.write(msgpack.packb([2, "cancelRequest", [number]]))

    def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()
        self._writer.transport.abort()

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(ConnectionError):
            while chunk := await self._reader.read(65536):
                unpacker.feed(chunk)
                for _, number, error, result in unpacker:
                    self._answered(number, error, result)
        self.closed = True
        for request in self.open.values():
            request.outcome = request.outcome or "closed"
            request.answered_s = time.monotonic()
            request.done.set()
        for future in self._calls.values():
            if not future.done():
                future.set_exception(ConnectionError("closed"))

    def _answered(self, number: int, error: Any, result: Any) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            if not call.done():
                call.set_result(result)
            return
        request = self.open.pop(number, None)
        if request is None:
            return
        request.answers += 1
        request.answered_s = time.monotonic()
        if error is None:
            request.outcome, request.body = "served", result[0]
        else:
            request.outcome = "refused" if error[0] == "Overloaded" else "failed"
        request.done.set()
