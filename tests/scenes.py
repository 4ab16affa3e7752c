"""Helpers of the tests over sockets: time limits, barriers, transports, and a fake command channel."""

from __future__ import annotations

import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
import trio

from fordstair.core.ports import AttemptRequest, Call, Engine, QueryProgress
from fordstair.net.engines.endpoint import PooledConnection
from fordstair.program import Program as CoordinatorProgram
from tests.standins import Client

ROWS = [b"a\tb\tc\nd\te\tf\n", {}]


def run_with_timeout(scenario: Callable[[], Awaitable[None]], within_s: float = 60.0) -> None:
    """Run a scenario; fail it after ``within_s``."""

    async def bounded() -> None:
        with trio.fail_after(within_s):
            await scenario()

    trio.run(bounded)


class UnusedTransport:
    """A transport for engines that get no attempt."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        raise AssertionError

    def close_connections(self, engine: Engine) -> None:
        pass


class EndlessTransport(UnusedTransport):
    """A transport whose attempts never end."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        return EndlessCall()


class EndlessCall:
    """An attempt of EndlessTransport."""

    async def start(self) -> QueryProgress:
        await trio.sleep_forever()
        raise AssertionError

    poll = start

    async def remaining_pages(self, max_bytes: int) -> list[bytes]:
        raise AssertionError

    async def abandon(self) -> bool:
        return True

    async def set_priority(self, priority: int) -> None:
        pass


async def read_to_end(client: Client, within_s: float) -> bytes:
    """Read until the coordinator closes the connection without a reset; return the data."""
    data = b""
    with trio.fail_after(within_s):
        while chunk := await client.stream.receive_some(65536):
            data += chunk
    return data


def frame(number: int, *states: tuple[int, str, int], kind: int = 2) -> bytes:
    """Return a frame of changes, from the id, address and state of each engine."""
    records = b""
    for name, address, state in states:
        host, _, port = address.partition(":")
        parts = bytes(int(part) for part in host.split("."))
        records += struct.pack(">I4sHBBBHIQ", name, parts, int(port), state, 0, 0, 0, 1000, 0)
    return struct.pack(">IQB", 9 + len(records), number, kind) + records


class Channel:
    """A fake command channel.

    Attributes:
        cursors: The cursor that the coordinator sent on each connection.
        frames: Sent at the start of each connection.
        heartbeats: Whether heartbeats are sent.
        lock: Keeps the bytes of a heartbeat and of a frame apart.
    """

    def __init__(self) -> None:
        self.cursors: list[int] = []
        self.streams: list[trio.SocketStream] = []
        self.frames: list[bytes] = []
        self.heartbeats = True
        self.lock = trio.Lock()

    async def serve(self, stream: trio.SocketStream) -> None:
        self.cursors.append(int.from_bytes(await stream.receive_some(8), "big"))
        self.streams.append(stream)
        try:
            for data in self.frames:
                async with self.lock:
                    await stream.send_all(data)
            while True:
                if self.heartbeats:
                    async with self.lock:
                        await stream.send_all(frame(0, kind=0))
                await trio.sleep(0.2)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def send(self, data: bytes) -> None:
        async with self.lock:
            await self.streams[-1].send_all(data)

    async def wait_connected(self, times: int) -> None:
        while len(self.streams) < times:
            await trio.sleep(0.01)


@asynccontextmanager
async def channel() -> AsyncIterator[tuple[Channel, str]]:
    one = Channel()
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, one.serve, 0)
        yield one, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()


async def until(condition: Callable[[], object], within_s: float = 10.0) -> None:
    """Wait until a condition holds; fail after ``within_s``."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.002)


def send_cancel(client: Client, number: int) -> Awaitable[None]:
    return client.send([2, "cancelRequest", [number]])


class Gate:
    """Blocks its callers until it is open; ``held`` counts those that had to wait."""

    def __init__(self) -> None:
        self.open, self.held = trio.Event(), 0

    async def __call__(self) -> None:
        self.held += not self.open.is_set()
        await self.open.wait()


def hold_connects(program: CoordinatorProgram) -> Gate:
    """Delay new connections to engines until the gate is open."""
    gate, connect = Gate(), program.pool.connector.connect

    async def connect_late(endpoint: Any, timeout_ms: float) -> PooledConnection:
        await gate()
        return await connect(endpoint, timeout_ms)

    program.pool.connector.connect = connect_late  # type: ignore[method-assign]
    return gate


def hold_reads(monkeypatch: pytest.MonkeyPatch, taken: bool) -> Gate:
    """Delay the reads from clients until the gate is open; with ``taken``, delay them after the data is read.

    Only reads from connections to the ports in ``gate.ports`` are delayed. The delay after a read also occurs
    in trio: other tasks run between a read that succeeds at once and its return.
    """
    gate, receive_some = Gate(), trio.SocketStream.receive_some

    async def receive_late(stream: trio.SocketStream, max_bytes: int | None = None) -> bytes:
        if stream.socket.getsockname()[1] not in gate.ports:  # type: ignore[attr-defined]
            return await receive_some(stream, max_bytes)
        if taken:
            data = await receive_some(stream, max_bytes)
            with trio.move_on_after(10.0, shield=True):  # A failed test must still end.
                await gate()
            return data
        await gate()
        return await receive_some(stream, max_bytes)

    gate.ports = set[int]()  # type: ignore[attr-defined]
    monkeypatch.setattr(trio.SocketStream, "receive_some", receive_late)
    return gate
