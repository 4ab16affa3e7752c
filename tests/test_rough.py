"""Rough days: answers that come spoilt or cut, restarts of engines, new configurations."""

from __future__ import annotations

import signal

import pytest
import trio
import ujson

from tests.standins import Answered, Program, RestEngine, at_once, config, engine, never, program
from tests.test_failings import channel, frame
from tests.test_platform import ROWS, play

PAGE = b"a\tb\tc\n"
GOOD = b"HTTP/1.1 200 OK\r\nX-Sheets: 2\r\nContent-Length: 6\r\n\r\n" + PAGE


def spoils(first: bytes | None, where: str) -> tuple[list[str], object]:
    """An engine that spoils its first answer to such a call, and serves all others."""
    spoilt: list[str] = []

    async def script(one: RestEngine, method: str, path: str, headers: dict[str, str],
                     body: bytes) -> Answered | bytes | None:
        if f"{method} {path}".startswith(where) and not spoilt:
            spoilt.append(path)
            return first
        if method == "GET" and path.endswith("/0"):  # after a good end it gives that answer again
            return 200, {"X-Sheets": "2"}, PAGE
        return await at_once(one, method, path, headers, body)

    return spoilt, script


@pytest.mark.parametrize("where", ["POST", "GET /o/0000000000000001/1"])
@pytest.mark.parametrize("first", [
    None, b"\x00\xffnoise\r\n\r\n", b"HTTP/1.1 200 OK\r\n" + b"X-Noise: 1\r\n" * 3_000,
    GOOD[:-2], GOOD.replace(b": 6", b": 3000000000") + b"x" * 9_000,
    GOOD.replace(b": 6", b": 4"), GOOD.replace(b"Content-Length: 6\r\n", b""),
    GOOD.replace(PAGE, b"a\xff\x00\tb\n"), GOOD.replace(b"X-Sheets: 2", b"X-Sheets: 0")])
def test_a_load_whose_answer_is_spoilt_is_asked_for_by_its_id(first: bytes | None, where: str) -> None:
    async def scene() -> None:
        spoilt, script = spoils(first, where)
        async with engine(script) as one, program(config(one.address)) as node:  # type: ignore[arg-type]
            client = await node.client()
            assert await client.answer(await client.ask("meter-load", limit="20000")) == (None, ROWS)
            assert spoilt and len(one.posts) == 1

    play(scene)


@pytest.mark.parametrize("more", [
    GOOD, b"noise", b"HTTP/1.1 200 OK\r\nX-Sheet: 1\r\nContent-Length: 6\r\n\r\nz\tz\tz\n"])
def test_a_good_answer_with_surplus_is_good_and_its_surplus_answers_no_other_call(more: bytes) -> None:
    async def scene() -> None:
        first = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + GOOD + more
        spoilt, script = spoils(first, "POST")
        async with engine(script) as one, program(config(one.address)) as node:  # type: ignore[arg-type]
            client = await node.client()
            assert await client.answer(await client.ask("meter-load")) == (None, ROWS)
            assert spoilt and not one.calls["after raw bytes"]
            assert one.calls["POST"] == one.calls["GET"] == 1

    play(scene)


def test_what_may_still_run_is_given_up_before_a_second_attempt() -> None:
    order: list[str] = []

    async def loses(one: RestEngine, method: str, path: str, headers: dict[str, str],
                    body: bytes) -> Answered | bytes | None:
        order.append(method)
        if method != "DELETE" and len(one.posts) == 1:
            return None
        return await at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(loses) as one, program(config(one.address)) as node:
            client = await node.client()
            assert await client.answer(await client.ask()) == (None, ROWS)
            second = order.index("POST", 1)
            assert "DELETE" in order[:second] and order.count("POST") == 2

    play(scene)


async def reload(node: Program, text: str, times: int) -> None:
    """Replace the configuration, send SIGHUP, and wait for the line that says what became of it."""
    node.path.write_text(text)
    node.process.send_signal(signal.SIGHUP)
    while sum("configuration" in line for line in node.log) < times:
        await trio.sleep(0.01)


def test_sighup_moves_the_channel_keeps_its_engines_and_refuses_a_bad_file() -> None:
    async def scene() -> None:
        async with (engine() as one, engine() as two, channel() as (old, before), channel() as (new, after),
                    program(config(one.address, channel=before)) as node):
            await old.connected(1)
            client = await node.client()
            await reload(node, "{", 1)
            await reload(node, ujson.dumps(config(one.address, channel="nowhere")), 2)
            assert await client.answer(await client.ask()) == (None, ROWS) and len(old.cursors) == 1
            await old.tell(frame(2, (7, two.address, 0)))
            await trio.sleep(0.1)
            await reload(node, ujson.dumps(config(one.address, channel=after)), 3)
            await new.connected(1)
            assert new.cursors == [2]
            await new.tell(frame(3, (0, one.address, 1)))
            await trio.sleep(0.1)
            already = len(one.posts)
            for _ in range(4):
                assert await client.answer(await client.ask()) == (None, ROWS)
            assert len(two.posts) >= 4 and len(one.posts) == already
            assert sum(line.startswith("ERROR") for line in node.log) == 2
            assert await node.stop() == 0

    play(scene)


def test_a_whole_list_under_the_number_at_hand_holds() -> None:
    async def scene() -> None:
        async with (engine(never) as one, engine() as two, channel() as (commands, where),
                    program(config(one.address, channel=where)) as node):
            await commands.connected(1)
            await commands.tell(frame(1, (7, two.address, 0), kind=1))
            await trio.sleep(0.1)
            client = await node.client()
            assert await client.answer(await client.ask()) == (None, ROWS)
            assert not one.posts

    play(scene)
