"""The engine list: the command channel, its address, and engines that are added and removed."""

from __future__ import annotations

import signal
from collections import Counter

import pytest
import trio
import ujson

from fordstair.configuration.platform import parse
from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from tests.scenes import ROWS, UnusedTransport, channel, frame, run_with_timeout, until
from tests.standins import (
    Program,
    Response,
    RestEngine,
    config,
    connect,
    engine,
    never_finish,
    program,
    run_in_process,
    serve_at_once,
)


def test_engines_that_are_gone_are_removed() -> None:
    async def scene() -> None:
        coordinator = Coordinator(
            parse(config()).settings, 1, {"rest": UnusedTransport()}, Deadlines(), Counters()
        )
        for number in range(20):
            coordinator.update_engines(
                ListUpdateKind.DELTA, [Engine(EngineEntry(f"s-{number}"), "127.0.0.1:1")]
            )
            gone = EngineEntry(f"s-{number - 1}", EngineState.GONE)
            coordinator.update_engines(ListUpdateKind.DELTA, [Engine(gone, "127.0.0.1:1")])
        assert list(coordinator.engines) == list(coordinator.gateway.engines) == ["s-19"]

    run_with_timeout(scene)


async def reload(node: Program, text: str, expected_lines: int) -> None:
    """Replace the configuration, send SIGHUP, and wait until this many log lines name a configuration."""
    node.path.write_text(text)
    node.process.send_signal(signal.SIGHUP)
    while sum("configuration" in line for line in node.log) < expected_lines:
        await trio.sleep(0.01)


def test_a_drain_received_during_a_stop_applies_to_requests_received_during_it() -> None:
    # Guards against a request that is sent to an engine although the command to drain it has been unread for
    # longer than allowed.
    async def scene() -> None:
        async with (
            engine() as rest_engine,
            channel() as (discovery, address),
            program(config(rest_engine.address, channel=address)) as node,
        ):
            await discovery.wait_connected(1)
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            node.process.send_signal(signal.SIGSTOP)
            waiting = [await client.send_request() for _ in range(20)]
            await discovery.send(frame(2, (0, rest_engine.address, 1)))
            await trio.sleep(1.2)
            node.process.send_signal(signal.SIGCONT)
            for number in waiting:
                error, _ = await client.answer(number)
                assert error[0] == "Overloaded"
            assert len(rest_engine.posts) == 1

    run_with_timeout(scene)


def test_sighup_moves_the_channel_keeps_its_engines_and_rejects_an_invalid_file() -> None:
    async def scene() -> None:
        async with (
            engine() as first_engine,
            engine() as second_engine,
            channel() as (old, before),
            channel() as (new, after),
            program(config(first_engine.address, channel=before)) as node,
        ):
            await old.wait_connected(1)
            client = await node.client()
            await reload(node, "{", 1)
            await reload(node, ujson.dumps(config(first_engine.address, channel="nowhere")), 2)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert len(old.cursors) == 1
            await old.send(frame(2, (7, second_engine.address, 0)))
            await trio.sleep(0.1)
            await reload(node, ujson.dumps(config(first_engine.address, channel=after)), 3)
            await new.wait_connected(1)
            assert new.cursors == [2]
            await new.send(frame(3, (0, first_engine.address, 1)))
            await trio.sleep(0.1)
            posts_before = len(first_engine.posts)
            for _ in range(4):
                assert await client.answer(await client.send_request()) == (None, ROWS)
            assert len(second_engine.posts) >= 4
            assert len(first_engine.posts) == posts_before
            assert sum(line.startswith("ERROR") for line in node.log) == 2
            assert await node.stop() == 0

    run_with_timeout(scene)


def test_each_request_gets_one_answer_while_the_channel_moves_and_the_program_ends() -> None:
    # Guards against requests, on open connections and new ones, that are lost or answered twice while the
    # channel moves or the program ends.
    async def serves_slowly(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        await trio.sleep(0.03 if method == "POST" else 0.0)
        return await serve_at_once(rest_engine, method, path, headers, body)

    async def scene() -> None:
        asked, ended = Counter[str](), trio.Event()

        async def ask(node: Program, number: int) -> None:
            client, requests = await node.client(), list[int]()
            while not ended.is_set():
                requests.append(
                    await client.send_request(txn=f"{number:08x}{len(requests):08x}", limit="20000")
                )
                await trio.sleep(0.02)
            for request_id in requests:
                # This raises at a second answer, and at a connection that ends without one.
                error, result = await client.answer(request_id)
                assert result == ROWS or error[0] == "Overloaded"
                asked["served" if result == ROWS else "refused"] += 1

        async with (
            engine(serves_slowly) as first_engine,
            engine(serves_slowly) as second_engine,
            channel() as (old, before),
            channel() as (new, after),
            program(config(first_engine.address, second_engine.address, channel=before)) as node,
        ):
            await old.wait_connected(1)
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(ask, node, number)
                await trio.sleep(0.5)
                await reload(
                    node, ujson.dumps(config(first_engine.address, second_engine.address, channel=after)), 1
                )
                await new.wait_connected(1)
                await trio.sleep(0.3)
                node.process.send_signal(signal.SIGTERM)
                await trio.sleep(0.1)
                nursery.start_soon(ask, node, 9)  # new connections are still accepted for a while
                await trio.sleep(0.1)
                ended.set()
            assert await node.process.wait() == 0
        assert asked["served"] > 100, asked
        assert asked["refused"] < 0.1 * asked.total(), asked
        assert (
            len({headers["x-txn"] for headers, _ in (*first_engine.posts, *second_engine.posts)})
            >= asked["served"]
        )

    run_with_timeout(scene)


def test_a_full_list_with_the_current_number_is_applied() -> None:
    async def scene() -> None:
        async with (
            engine(never_finish) as first_engine,
            engine() as second_engine,
            channel() as (commands, channel_address),
            program(config(first_engine.address, channel=channel_address)) as node,
        ):
            await commands.wait_connected(1)
            await commands.send(frame(1, (7, second_engine.address, 0), kind=1))
            await trio.sleep(0.1)
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert not first_engine.posts

    run_with_timeout(scene)


def test_the_channel_is_followed_and_resumed_from_the_last_number() -> None:
    async def scene() -> None:
        async with (
            engine() as first_engine,
            engine() as second_engine,
            channel() as (commands, channel_address),
            program(config(first_engine.address, channel=channel_address)) as node,
        ):
            await commands.wait_connected(1)
            await commands.send(frame(2, (0, first_engine.address, 1), (7, second_engine.address, 0)))
            client = await node.client()
            await trio.sleep(0.1)
            for _ in range(6):
                assert await client.answer(await client.send_request()) == (None, ROWS)
            assert not first_engine.posts
            assert len(second_engine.posts) == 6
            await commands.streams[-1].aclose()
            await commands.wait_connected(2)
            commands.heartbeats = False  # a dead connection shows only by missing heartbeats
            await commands.wait_connected(3)
            assert commands.cursors == [1, 2, 2]

    run_with_timeout(scene)


def test_a_channel_that_breaks_inside_a_frame_or_sends_garbage_loses_no_update() -> None:
    async def scene() -> None:
        async with (
            engine() as rest_engine,
            channel() as (commands, channel_address),
            program(config(channel=channel_address)) as node,
        ):
            await commands.wait_connected(1)
            update = frame(2, (7, rest_engine.address, 0))
            await commands.send(update[:20])
            await commands.streams[-1].aclose()
            await commands.wait_connected(2)
            await commands.send(b"\xff" * 40)
            commands.frames = [update, update]  # sent twice, as after a reconnection
            await commands.wait_connected(3)
            client = await node.client()
            await trio.sleep(0.1)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert commands.cursors == [1, 1, 1]

    run_with_timeout(scene)


def test_an_engine_at_the_address_of_a_removed_one_is_a_new_engine() -> None:
    async def scene() -> None:
        async with (
            engine(never_finish) as rest_engine,
            channel() as (commands, channel_address),
            program(config(rest_engine.address, channel=channel_address)) as node,
        ):
            await commands.wait_connected(1)
            client = await node.client()
            number = await client.send_request("meter-load", limit="1200")
            while not rest_engine.posts:
                await trio.sleep(0.01)
            await commands.send(frame(2, (0, rest_engine.address, 2), (9, rest_engine.address, 0)))
            assert (await client.answer(number))[0][0] == "Internal"
            assert len(rest_engine.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("kind", [1, 2])
def test_a_query_on_an_engine_removed_from_the_list_is_answered_by_that_engine(kind: int) -> None:
    async def scene() -> None:
        done = trio.Event()

        async def serves_when_done(
            rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Response | bytes | None:
            if method == "GET" and path.endswith("/0") and done.is_set():
                return 200, {"X-Sheets": "2"}, b"a\tb\tc\n"
            if method == "GET" and path.endswith("/1"):
                return await serve_at_once(rest_engine, method, path, headers, body)
            return await never_finish(rest_engine, method, path, headers, body)

        async with (
            engine(serves_when_done) as first_engine,
            engine() as second_engine,
            channel() as (commands, channel_address),
            run_in_process(config(first_engine.address, channel=channel_address)) as node,
        ):
            client = await connect(node)
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: first_engine.posts)
            await commands.wait_connected(1)
            await commands.send(
                frame(2, (7, second_engine.address, 0), kind=1)
                if kind == 1
                else frame(2, (0, first_engine.address, 2), (7, second_engine.address, 0))
            )
            await until(lambda: list(node.coordinator.engines) == ["s-00000007"])
            assert await client.answer(await client.send_request()) == (None, ROWS)  # new work goes elsewhere
            done.set()
            assert await client.answer(number) == (None, ROWS)
            assert len(first_engine.posts) == 1
            gateway = node.coordinator.gateway
            assert not gateway.attempts
            assert not gateway.requests

    run_with_timeout(scene)
