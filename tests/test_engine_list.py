"""The engine list: the command channel, its address, and engines that come and go."""

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


def test_engines_that_have_gone_are_forgotten() -> None:
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


async def reload(node: Program, text: str, times: int) -> None:
    """Replace the configuration, send SIGHUP, and wait for the line that says what became of it."""
    node.path.write_text(text)
    node.process.send_signal(signal.SIGHUP)
    while sum("configuration" in line for line in node.log) < times:
        await trio.sleep(0.01)


def test_a_drain_told_in_a_pause_holds_for_a_request_that_came_in_it() -> None:
    # Guards against a request that overtakes a drain which has lain unread for longer than it may.
    async def scene() -> None:
        async with (
            engine() as one,
            channel() as (discovery, address),
            program(config(one.address, channel=address)) as node,
        ):
            await discovery.wait_connected(1)
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            node.process.send_signal(signal.SIGSTOP)
            waiting = [await client.send_request() for _ in range(20)]
            await discovery.send(frame(2, (0, one.address, 1)))
            await trio.sleep(1.2)
            node.process.send_signal(signal.SIGCONT)
            for number in waiting:
                error, _ = await client.answer(number)
                assert error[0] == "Overloaded"
            assert len(one.posts) == 1

    run_with_timeout(scene)


def test_sighup_moves_the_channel_keeps_its_engines_and_refuses_a_bad_file() -> None:
    async def scene() -> None:
        async with (
            engine() as one,
            engine() as two,
            channel() as (old, before),
            channel() as (new, after),
            program(config(one.address, channel=before)) as node,
        ):
            await old.wait_connected(1)
            client = await node.client()
            await reload(node, "{", 1)
            await reload(node, ujson.dumps(config(one.address, channel="nowhere")), 2)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert len(old.cursors) == 1
            await old.send(frame(2, (7, two.address, 0)))
            await trio.sleep(0.1)
            await reload(node, ujson.dumps(config(one.address, channel=after)), 3)
            await new.wait_connected(1)
            assert new.cursors == [2]
            await new.send(frame(3, (0, one.address, 1)))
            await trio.sleep(0.1)
            already = len(one.posts)
            for _ in range(4):
                assert await client.answer(await client.send_request()) == (None, ROWS)
            assert len(two.posts) >= 4
            assert len(one.posts) == already
            assert sum(line.startswith("ERROR") for line in node.log) == 2
            assert await node.stop() == 0

    run_with_timeout(scene)


def test_a_moved_channel_and_a_planned_end_under_traffic_lose_no_request_and_answer_none_twice() -> None:
    """Requests go out all the while, on open connections and new ones; each gets one whole answer."""

    async def takes_a_while(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        await trio.sleep(0.03 if method == "POST" else 0.0)
        return await serve_at_once(one, method, path, headers, body)

    async def scene() -> None:
        asked, ended = Counter[str](), trio.Event()

        async def ask(node: Program, number: int) -> None:
            client, mine = await node.client(), list[int]()
            while not ended.is_set():
                mine.append(await client.send_request(txn=f"{number:08x}{len(mine):08x}", limit="20000"))
                await trio.sleep(0.02)
            for one in mine:  # a second answer to any, or an end without one, is an error there
                error, result = await client.answer(one)
                assert result == ROWS or error[0] == "Overloaded"
                asked["served" if result == ROWS else "refused"] += 1

        async with (
            engine(takes_a_while) as one,
            engine(takes_a_while) as two,
            channel() as (old, before),
            channel() as (new, after),
            program(config(one.address, two.address, channel=before)) as node,
        ):
            await old.wait_connected(1)
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(ask, node, number)
                await trio.sleep(0.5)
                await reload(node, ujson.dumps(config(one.address, two.address, channel=after)), 1)
                await new.wait_connected(1)
                await trio.sleep(0.3)
                node.process.send_signal(signal.SIGTERM)
                await trio.sleep(0.1)
                nursery.start_soon(ask, node, 9)  # connections still come for a while
                await trio.sleep(0.1)
                ended.set()
            assert await node.process.wait() == 0
        assert asked["served"] > 100, asked
        assert asked["refused"] < 0.1 * asked.total(), asked
        assert len({headers["x-txn"] for headers, _ in (*one.posts, *two.posts)}) >= asked["served"]

    run_with_timeout(scene)


def test_a_whole_list_under_the_number_at_hand_holds() -> None:
    async def scene() -> None:
        async with (
            engine(never_finish) as one,
            engine() as two,
            channel() as (commands, where),
            program(config(one.address, channel=where)) as node,
        ):
            await commands.wait_connected(1)
            await commands.send(frame(1, (7, two.address, 0), kind=1))
            await trio.sleep(0.1)
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert not one.posts

    run_with_timeout(scene)


def test_the_channel_is_followed_and_taken_up_again_from_the_last_number() -> None:
    async def scene() -> None:
        async with (
            engine() as one,
            engine() as two,
            channel() as (commands, where),
            program(config(one.address, channel=where)) as node,
        ):
            await commands.wait_connected(1)
            await commands.send(frame(2, (0, one.address, 1), (7, two.address, 0)))
            client = await node.client()
            await trio.sleep(0.1)
            for _ in range(6):
                assert await client.answer(await client.send_request()) == (None, ROWS)
            assert not one.posts
            assert len(two.posts) == 6
            await commands.streams[-1].aclose()
            await commands.wait_connected(2)
            commands.heartbeats = False  # a dead connection gives no sign but its silence
            await commands.wait_connected(3)
            assert commands.cursors == [1, 2, 2]

    run_with_timeout(scene)


def test_a_channel_that_breaks_inside_a_frame_or_tells_nonsense_loses_nothing() -> None:
    async def scene() -> None:
        async with engine() as one, channel() as (commands, where), program(config(channel=where)) as node:
            await commands.wait_connected(1)
            whole = frame(2, (7, one.address, 0))
            await commands.send(whole[:20])
            await commands.streams[-1].aclose()
            await commands.wait_connected(2)
            await commands.send(b"\xff" * 40)
            commands.frames = [whole, whole]  # told twice, as after a reconnection
            await commands.wait_connected(3)
            client = await node.client()
            await trio.sleep(0.1)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert commands.cursors == [1, 1, 1]

    run_with_timeout(scene)


def test_an_engine_that_took_anothers_address_is_a_new_one() -> None:
    async def scene() -> None:
        async with (
            engine(never_finish) as one,
            channel() as (commands, where),
            program(config(one.address, channel=where)) as node,
        ):
            await commands.wait_connected(1)
            client = await node.client()
            number = await client.send_request("meter-load", limit="1200")
            while not one.posts:
                await trio.sleep(0.01)
            await commands.send(frame(2, (0, one.address, 2), (9, one.address, 0)))
            assert (await client.answer(number))[0][0] == "Internal"
            assert len(one.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("kind", [1, 2])
def test_work_on_an_engine_that_the_list_drops_is_answered_from_there(kind: int) -> None:
    async def scene() -> None:
        done = trio.Event()

        async def later(
            one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Response | bytes | None:
            if method == "GET" and path.endswith("/0") and done.is_set():
                return 200, {"X-Sheets": "2"}, b"a\tb\tc\n"
            if method == "GET" and path.endswith("/1"):
                return await serve_at_once(one, method, path, headers, body)
            return await never_finish(one, method, path, headers, body)

        async with (
            engine(later) as one,
            engine() as two,
            channel() as (commands, where),
            run_in_process(config(one.address, channel=where)) as node,
        ):
            client = await connect(node)
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: one.posts)
            await commands.wait_connected(1)
            await commands.send(
                frame(2, (7, two.address, 0), kind=1)
                if kind == 1
                else frame(2, (0, one.address, 2), (7, two.address, 0))
            )
            await until(lambda: list(node.coordinator.engines) == ["s-00000007"])
            assert await client.answer(await client.send_request()) == (None, ROWS)  # new work goes elsewhere
            done.set()
            assert await client.answer(number) == (None, ROWS)
            assert len(one.posts) == 1
            module = node.coordinator.gateway
            assert not module.attempts
            assert not module.requests

    run_with_timeout(scene)
