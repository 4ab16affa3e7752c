"""What tests over sockets share: scenes with an end, clients that leave, a stand-in command channel."""

from __future__ import annotations

import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
import trio

from fordstair.core.ports import AttemptRequest, Call, Engine, QueryProgress
from fordstair.net.engines.endpoint import PooledConnection
from fordstair.program import Program as Coordination
from tests.standins import Client

ROWS = [b"a\tb\tc\nd\te\tf\n", {}]


def play(scene: Callable[[], Awaitable[None]], within_s: float = 60.0) -> None:
    """Run one scene, with an end to it in any case."""

    async def bounded() -> None:
        with trio.fail_after(within_s):
            await scene()

    trio.run(bounded)


class Nowhere:
    """A transport for engines that are only listed."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        raise AssertionError

    def close_connections(self, engine: Engine) -> None:
        pass


class Endless(Nowhere):
    """A transport whose attempts never end."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        return EndlessCall()


class EndlessCall:
    """One of its attempts."""

    async def start(self) -> QueryProgress:
        await trio.sleep_forever()
        raise AssertionError

    poll = start

    async def next_page(self) -> bytes | None:
        raise AssertionError

    async def abandon(self) -> bool:
        return True

    async def set_priority(self, priority: int) -> None:
        pass


async def ends(client: Client, within_s: float) -> bytes:
    """Read to the end of a connection that is closed without a reset; return what came."""
    got = b""
    with trio.fail_after(within_s):
        while chunk := await client.stream.receive_some(65536):
            got += chunk
    return got


def frame(number: int, *states: tuple[int, str, int], kind: int = 2) -> bytes:
    """A frame of changes: id, address and state of each engine."""
    records = b""
    for name, address, state in states:
        host, _, port = address.partition(":")
        parts = bytes(int(part) for part in host.split("."))
        records += struct.pack(">I4sHBBBHIQ", name, parts, int(port), state, 0, 0, 0, 1000, 0)
    return struct.pack(">IQB", 9 + len(records), number, kind) + records


class Channel:
    """A stand-in command channel; notes the numbers that a coordinator connects with."""

    def __init__(self) -> None:
        self.cursors: list[int] = []
        self.streams: list[trio.SocketStream] = []
        self.frames: list[bytes] = []
        self.beats = True
        self.lock = trio.Lock()  # a beat and a frame of the test must not be written at once

    async def serve(self, stream: trio.SocketStream) -> None:
        self.cursors.append(int.from_bytes(await stream.receive_some(8), "big"))
        self.streams.append(stream)
        try:
            for one in self.frames:
                async with self.lock:
                    await stream.send_all(one)
            while True:
                if self.beats:
                    async with self.lock:
                        await stream.send_all(frame(0, kind=0))
                await trio.sleep(0.2)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def tell(self, one: bytes) -> None:
        async with self.lock:
            await self.streams[-1].send_all(one)

    async def connected(self, times: int) -> None:
        while len(self.streams) < times:
            await trio.sleep(0.01)


@asynccontextmanager
async def channel() -> AsyncIterator[tuple[Channel, str]]:
    one = Channel()
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, one.serve, 0)
        yield one, f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()


async def until(true: Callable[[], object], within_s: float = 10.0) -> None:
    """Wait for a state, not for a time."""
    with trio.fail_after(within_s):
        while not true():
            await trio.sleep(0.002)


def cancels(client: Client, number: int) -> Awaitable[None]:
    return client.send([2, "cancelRequest", [number]])


class Gate:
    """Holds whoever comes to it until it is opened."""

    def __init__(self) -> None:
        self.open, self.held = trio.Event(), 0

    async def __call__(self) -> None:
        self.held += not self.open.is_set()
        await self.open.wait()


def hold_connects(one: Coordination) -> Gate:
    """Connections to engines come up once the gate is opened."""
    gate, connects = Gate(), one.pool.connector.connect

    async def late(endpoint: Any, timeout_ms: float) -> PooledConnection:
        await gate()
        return await connects(endpoint, timeout_ms)

    one.pool.connector.connect = late  # type: ignore[method-assign]
    return gate


def hold_reads(monkeypatch: pytest.MonkeyPatch, taken: bool) -> Gate:
    """What clients send is read once the gate is opened; or it is read before, and on its way until then.

    The second is what trio does as well: between a read that succeeds at once and its return others run.
    """
    gate, reads = Gate(), trio.SocketStream.receive_some

    async def held(stream: trio.SocketStream, most: int | None = None) -> bytes:
        if most != 65_536 or stream.socket.getsockname()[1] not in gate.ports:  # type: ignore[attr-defined]
            return await reads(stream, most)
        if taken:
            data = await reads(stream, most)
            with trio.move_on_after(10.0, shield=True):  # a test that has failed must end
                await gate()
            return data
        await gate()
        return await reads(stream, most)

    gate.ports = set[int]()  # type: ignore[attr-defined]
    monkeypatch.setattr(trio.SocketStream, "receive_some", held)
    return gate
