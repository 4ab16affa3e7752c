"""The program on the platform's protocols, over sockets, against stand-ins."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import pytest
import trio

from tests.standins import SETTINGS, RestEngine, at_once, breaks, config, engine, never, program

ROWS = [b"a\tb\tc\nd\te\tf\n", {}]


def play(scene: Callable[[], Awaitable[None]], within_s: float = 60.0) -> None:
    """Run one scene, with an end to it in any case."""

    async def bounded() -> None:
        with trio.fail_after(within_s):
            await scene()

    trio.run(bounded)


def test_a_query_is_served_with_all_its_pages_and_unchanged_on_its_way() -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            await client.send([0, 1, "alive", [{}]])
            assert await client.answer(1) == (None, [True, {}])
            client.last = 1
            assert await client.answer(await client.ask(txn="9b1f03aa5c7e2d41")) == (None, ROWS)
            headers, body = one.posts[0]
            assert headers["x-txn"] == "9b1f03aa5c7e2d41"
            assert headers["x-lane"] == "lookup"
            assert 2000 < int(headers["x-limit-ms"]) <= 3000
            assert body == b"SELECT a FROM sales_17.orders"
            assert await node.stop() == 0
            assert any("answered.served.lookup=1" in line for line in node.log)

    play(scene)


def test_answers_come_before_the_client_gives_up_and_the_query_is_dropped() -> None:
    async def scene() -> None:
        async with engine(never) as one, program(config(one.address)) as node:
            client = await node.client()
            start = time.monotonic()
            error, _ = await client.answer(await client.ask("meter-load", limit="900"))
            assert error[0] == "Internal"
            assert time.monotonic() - start < 10.0
            while not one.deleted:
                await trio.sleep(0.01)
            assert len(one.posts) == 1

    play(scene)


@pytest.mark.parametrize(
    ("class_name", "posts", "word"), [("meter-load", 1, "Internal"), ("lookup", 4, "Overloaded")]
)
def test_a_broken_connection_proves_nothing(class_name: str, posts: int, word: str) -> None:
    async def scene() -> None:
        async with engine(breaks) as one, program(config(one.address)) as node:
            client = await node.client()
            error, _ = await client.answer(await client.ask(class_name))
            assert error[0] == word
            assert 1 <= len(one.posts) <= posts

    play(scene)


def test_a_load_goes_out_again_where_it_never_ran() -> None:
    async def full_once(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, str], bytes] | None:
        if len(one.posts) == 1 and method == "POST":
            return 503, {"X-Unrun": "1"}, b""
        return await at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(full_once) as one, program(config(one.address)) as node:
            client = await node.client()
            assert await client.answer(await client.ask("meter-load")) == (None, ROWS)
            assert len(one.posts) == 2

    play(scene)


def test_what_cannot_be_used_is_answered_and_harms_nobody_else() -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client, other = await node.client(), await node.client()
            bad = [
                await client.ask("nonsense"),
                await client.ask(limit="soon"),
                await client.ask(txn="xyz"),
                await client.ask(team="nobody"),
                await client.ask(body=7),
                await client.ask(cpu="1e3"),
                await client.ask(need_mb="nan"),
                await client.ask(cpu="-1"),
                await client.ask(limit=""),
            ]
            for number in bad:
                error, _ = await client.answer(number)
                assert error[0] == "Invalid"
            await client.stream.send_all(b"\x94\x00\x63\xc1\xc1")
            error, _ = await client.answer(0x63)
            assert error[0] == "Invalid"
            assert await other.answer(await other.ask()) == (None, ROWS)

    play(scene)


def test_a_site_without_teams_serves_whatever_team_is_named() -> None:
    async def scene() -> None:
        told = {name: value for name, value in SETTINGS.items() if name != "projects"}
        async with engine() as one, program(config(one.address, settings=told)) as node:
            client = await node.client()
            assert await client.answer(await client.ask(team="whoever")) == (None, ROWS)
            client.last += 1
            fields = {"txn": f"{client.last:016x}", "limit": "3000"}  # and where none is named
            await client.send([0, client.last, "lookup", [fields, b"SELECT a FROM sales_17.orders"]])
            assert await client.answer(client.last) == (None, ROWS)

    play(scene)


def test_sigterm_answers_what_is_open_and_takes_more_for_a_while() -> None:
    async def scene() -> None:
        async with engine(never) as one, program(config(one.address)) as node:
            client = await node.client()
            first = await client.ask(limit="60000")
            while not one.posts:
                await trio.sleep(0.01)
            start = time.monotonic()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.stop)
                await trio.sleep(0.1)
                late = await (other := await node.client()).ask(limit="60000", txn="f" * 16)
                assert (await client.answer(first))[0][0] == "Overloaded"
                assert (await other.answer(late))[0][0] == "Overloaded"
            assert time.monotonic() - start < 15.0
            assert node.process.returncode == 0

    play(scene)
