"""One small test for each way in which engines, the command channel and clients fail."""

from __future__ import annotations

import os
import signal
import struct
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
import ujson

from fordstair.core.ports import AttemptRequest, Engine, Query
from fordstair.decisions.engine_list import EngineEntry
from fordstair.net.engines.errors import ConnectError
from fordstair.net.engines.pooled_connection import PooledConnection
from fordstair.net.engines.rest import RestTransport
from fordstair.runtime.deadlines import Deadlines
from tests.standins import ROOT, Answered, RestEngine, at_once, config, engine, never, program
from tests.test_platform import ROWS, play


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


def test_the_channel_is_followed_and_taken_up_again_from_the_last_number() -> None:
    async def scene() -> None:
        async with (
            engine() as one,
            engine() as two,
            channel() as (commands, where),
            program(config(one.address, channel=where)) as node,
        ):
            await commands.connected(1)
            await commands.tell(frame(2, (0, one.address, 1), (7, two.address, 0)))
            client = await node.client()
            await trio.sleep(0.1)
            for _ in range(6):
                assert await client.answer(await client.ask()) == (None, ROWS)
            assert not one.posts
            assert len(two.posts) == 6
            await commands.streams[-1].aclose()
            await commands.connected(2)
            commands.beats = False  # a dead connection gives no sign but its silence
            await commands.connected(3)
            assert commands.cursors == [1, 2, 2]

    play(scene)


def test_a_channel_that_breaks_inside_a_frame_or_tells_nonsense_loses_nothing() -> None:
    async def scene() -> None:
        async with engine() as one, channel() as (commands, where), program(config(channel=where)) as node:
            await commands.connected(1)
            whole = frame(2, (7, one.address, 0))
            await commands.tell(whole[:20])
            await commands.streams[-1].aclose()
            await commands.connected(2)
            await commands.tell(b"\xff" * 40)
            commands.frames = [whole, whole]  # told twice, as after a reconnection
            await commands.connected(3)
            client = await node.client()
            await trio.sleep(0.1)
            assert await client.answer(await client.ask()) == (None, ROWS)
            assert commands.cursors == [1, 1, 1]

    play(scene)


def test_an_engine_that_took_anothers_address_is_a_new_one() -> None:
    async def scene() -> None:
        async with (
            engine(never) as one,
            channel() as (commands, where),
            program(config(one.address, channel=where)) as node,
        ):
            await commands.connected(1)
            client = await node.client()
            number = await client.ask("meter-load", limit="1200")
            while not one.posts:
                await trio.sleep(0.01)
            await commands.tell(frame(2, (0, one.address, 2), (9, one.address, 0)))
            assert (await client.answer(number))[0][0] == "Internal"
            assert len(one.posts) == 1

    play(scene)


@pytest.mark.parametrize(("class_name", "word"), [("lookup", "Overloaded"), ("meter-load", "Internal")])
def test_a_machine_that_accepts_and_says_nothing_holds_no_call(class_name: str, word: str) -> None:
    async def silent(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | None:
        await trio.sleep_forever()
        raise AssertionError

    async def scene() -> None:
        async with engine(silent) as one, program(config(one.address)) as node:
            client = await node.client()
            assert (await client.answer(await client.ask(class_name, limit="2500")))[0][0] == word
            assert one.calls["POST"] == 1 or class_name == "lookup"
            assert one.calls["GET"] >= 1 or class_name == "lookup"  # it is asked again, on other connections

    play(scene)


@pytest.mark.parametrize(("class_name", "posts"), [("lookup", 2), ("meter-load", 1)])
def test_a_lost_page_is_an_error_of_a_query_that_may_have_run(class_name: str, posts: int) -> None:
    async def loses(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | None:
        if path.endswith("/1") and len(one.posts) == 1:
            return 500, {}, b""
        return await at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(loses) as one, program(config(one.address)) as node:
            client = await node.client()
            error, result = await client.answer(await client.ask(class_name))
            assert len(one.posts) == posts
            assert result == ROWS if class_name == "lookup" else error[0] == "Internal"

    play(scene)


@pytest.mark.parametrize(
    "answer", [(200, {"X-Sheets": "many"}, b""), (200, {}, b"x"), (418, {}, b""), (503, {}, b"")]
)
def test_an_answer_that_cannot_be_read_ends_only_its_attempt(answer: Answered) -> None:
    async def odd(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | None:
        return answer if len(one.posts) == 1 else await at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(odd) as one, program(config(one.address)) as node:
            client = await node.client()
            assert (await client.answer(await client.ask("meter-load")))[0][0] == "Internal"
            assert await client.answer(await client.ask("meter-load")) == (None, ROWS)

    play(scene)


def test_a_refused_connection_proves_that_a_load_never_ran() -> None:
    async def scene() -> None:
        async with engine() as one, program(config("127.0.0.1:1", one.address)) as node:
            client = await node.client()
            for _ in range(6):
                assert await client.answer(await client.ask("meter-load")) == (None, ROWS)
            assert len(one.posts) == 6

    play(scene)


def test_a_connect_that_fails_at_once_is_not_tried_without_a_pause() -> None:
    class Unreachable:
        tries = 0

        async def acquire(self, address: str, *, fresh: bool = False) -> PooledConnection:
            self.tries += 1
            raise ConnectError("no route")

    async def scene() -> None:
        pool, deadlines = Unreachable(), Deadlines()
        engine = Engine(EngineEntry("s-1"), "10.0.0.1:1")
        attempt_request = AttemptRequest(Query("0" * 16, "lookup", 0, 0, 1000.0, b""), engine, 1, 1000.0)
        call = RestTransport(pool, deadlines, ()).call(attempt_request)  # type: ignore[arg-type]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            with trio.move_on_after(0.3):
                await call.poll()
            nursery.cancel_scope.cancel()
        assert 1 <= pool.tries <= 8

    play(scene)


def test_a_cancelled_request_gets_no_answer_and_leaves_its_engine() -> None:
    async def scene() -> None:
        async with engine(never) as one, program(config(one.address)) as node:
            client = await node.client()
            number = await client.ask()
            while not one.posts:
                await trio.sleep(0.01)
            await client.send([2, "cancelRequest", [number]])
            while not one.deleted:
                await trio.sleep(0.01)
            await client.send([0, 99, "alive", [{}]])
            await client.answer(99)
            assert list(client.answers) == [99]

    play(scene)


def test_the_33rd_open_request_fails_and_the_others_go_on() -> None:
    async def scene() -> None:
        # so many engines that the module lets all of them in
        async with engine(never) as one, program(config(*[one.address] * 16)) as node:
            client = await node.client()
            numbers = [await client.ask("meter-load", limit="5000") for _ in range(33)]
            assert (await client.answer(numbers[-1]))[0][0] == "Invalid"
            for number in numbers[:-1]:
                assert (await client.answer(number))[0][0] in ("Internal", "Overloaded")

    play(scene)


def test_sigusr1_prints_the_counters() -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            await client.answer(await client.ask())
            node.process.send_signal(signal.SIGUSR1)
            while not any("taken.lookup=1" in line and "sent.lookup=1" in line for line in node.log):
                await trio.sleep(0.01)

    play(scene)


@pytest.mark.parametrize("text", ["{", "[]", ujson.dumps(config() | {"listen": "nowhere"})])
def test_a_bad_configuration_is_one_line_and_exit_2(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "fordstair"],
        env=os.environ | {"RELAY_CONFIG": str(path)},
        cwd=ROOT,
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
