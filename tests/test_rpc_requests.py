"""Requests of clients on the platform's front: what is answered, and with what."""

from __future__ import annotations

import trio

from tests.scenes import ROWS, ends, play
from tests.standins import SETTINGS, config, engine, never, program


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


def test_ids_count_up_and_a_txn_is_open_once() -> None:
    async def scene() -> None:
        async with engine(never) as one, program(config(one.address)) as node:
            client, other = await node.client(), await node.client()
            await client.ask(limit="5000", txn="00000000000000AA")
            while not one.posts:  # of two connections either may be read first
                await trio.sleep(0.01)
            again = await other.ask(limit="5000", txn="00000000000000aa", body=b"SELECT 2")
            assert (await other.answer(again))[0][0] == "Invalid"
            await client.send([0, 2, "nonsense", [{}, b""]])
            assert (await client.answer(2))[0][0] == "Invalid"
            await client.send([0, 2, "lookup", [{}, b""]])  # answered already: a second answer would be wrong
            assert b"Invalid" not in await ends(client, 5.0)

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
