"""Client requests on the platform's RPC front and their answers."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
import trio

from tests.scenes import ROWS, read_to_end, run_with_timeout
from tests.standins import (
    SETTINGS,
    Response,
    RestEngine,
    config,
    engine,
    never_finish,
    program,
    serve_at_once,
)

# Maps the effect names of a site file to those of the platform's settings.
EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
SITES = [
    tomllib.loads((Path(__file__).parent.parent / f"deploy/sites/{name}.toml").read_text())
    for name in ("quay-freight", "tram-fares")
]
CLASSES: list[dict[str, Any]] = [spec for site in SITES for spec in site["class"]]


def platform_settings(*classes: dict[str, Any]) -> dict[str, Any]:
    """Return settings with the given classes of a site file."""
    categories = [
        {
            "name": spec["name"],
            "effect": EFFECTS[spec["effect"]],
            "promiseMs": spec["aim_ms"],
            "giveUpMs": spec["deadline_ms"],
            "group": spec.get("group", "all"),
            "memorySpanMs": spec.get("window_ms", 0),
        }
        for spec in classes
    ]
    extra = {name: value for name, value in SETTINGS["extra"].items() if name not in ("loads", "parallelism")}
    return SETTINGS | {"categories": categories, "extra": extra}


def test_a_query_reaches_the_engine_unchanged_and_returns_all_pages() -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            await client.send([0, 1, "alive", [{}]])
            assert await client.answer(1) == (None, [True, {}])
            client.last_id = 1
            assert await client.answer(await client.send_request(txn="9b1f03aa5c7e2d41")) == (None, ROWS)
            headers, body = one.posts[0]
            assert headers["x-txn"] == "9b1f03aa5c7e2d41"
            assert headers["x-lane"] == "lookup"
            assert 2000 < int(headers["x-limit-ms"]) <= 3000
            assert body == b"SELECT a FROM sales_17.orders"
            assert await node.stop() == 0
            assert any("answered.served.lookup=1" in line for line in node.log)

    run_with_timeout(scene)


async def full_at_first(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | bytes | None:
    """Answer 503 to the first attempt of each query and serve the second."""
    if method == "POST" and len(one.posts) % 2:
        return 503, {"X-Unrun": "1"}, b""
    return await serve_at_once(one, method, path, headers, body)


@pytest.mark.parametrize("spec", CLASSES, ids=lambda spec: spec["name"])
def test_each_field_reaches_the_engine_unchanged_in_the_classes_of_the_site_files(
    spec: dict[str, Any],
) -> None:
    # Guards against a field that is dropped or changed before the engine, in the first attempt or in a retry.
    txn = "9B1f03aa5c7e2d41"
    key = '55CF3773/28d8 d2bd;4c"63=~0a,\\x'
    item = 'meter "7", b\\c'
    statement = b"SELECT '\xc3\xa9\xff\x00' FROM sales_17.orders -- \r\n"

    async def scene() -> None:
        configuration = config(settings=platform_settings(*CLASSES))
        async with (
            engine(full_at_first) as one,
            program(config(one.address, settings=configuration["settings"])) as node,
        ):
            client = await node.client()
            request_id = await client.send_request(
                spec["name"], body=statement, txn=txn, unique=key, item=item, limit="1500"
            )
            assert await client.answer(request_id) == (None, ROWS)
            assert len(one.posts) == 2
            for headers, body in one.posts:
                assert headers["x-txn"] == txn
                assert headers["x-lane"] == spec["name"]
                assert headers.get("x-dedupe") == (key if spec["effect"] == "keyed" else None)
                assert headers["x-name"] == item
                assert body == statement

    run_with_timeout(scene)


@pytest.mark.parametrize("key", ["", "a\r\nX-Lane: b", "\u00e9"])
def test_an_ordering_key_that_cannot_be_forwarded_is_rejected_and_named(key: str) -> None:
    # Guards against an engine that receives another order than the client meant, and an injected header.
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            error, _ = await client.answer(await client.send_request(item=key))
            assert error[0] == "Invalid"
            assert "item" in error[1]["reason"]
            assert not one.posts

    run_with_timeout(scene)


@pytest.mark.parametrize("key", [None, "", " a", "a ", "a\r\nX-Lane: b", "\u00e9", "a" * 257])
def test_a_class_with_idempotency_keys_requires_one_that_can_be_forwarded(key: str | None) -> None:
    # Guards against a repeated load that its engine cannot detect, and against header injection.
    spec = next(spec for spec in CLASSES if spec["effect"] == "keyed")

    async def scene() -> None:
        async with engine() as one, program(config(one.address, settings=platform_settings(spec))) as node:
            client = await node.client()
            fields = {} if key is None else {"unique": key}
            error, _ = await client.answer(await client.send_request(spec["name"], **fields))
            assert error[0] == "Invalid"
            assert "unique" in error[1]["reason"]
            assert not one.posts

    run_with_timeout(scene)


def test_an_invalid_request_is_answered_and_other_clients_are_unaffected() -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client, other = await node.client(), await node.client()
            bad = [
                await client.send_request("nonsense"),
                await client.send_request(limit="soon"),
                await client.send_request(txn="xyz"),
                await client.send_request(team="nobody"),
                await client.send_request(body=7),
                await client.send_request(cpu="1e3"),
                await client.send_request(need_mb="nan"),
                await client.send_request(cpu="-1"),
                await client.send_request(limit=""),
            ]
            for request_id in bad:
                error, _ = await client.answer(request_id)
                assert error[0] == "Invalid"
            await client.stream.send_all(b"\x94\x00\x63\xc1\xc1")
            error, _ = await client.answer(0x63)
            assert error[0] == "Invalid"
            assert await other.answer(await other.send_request()) == (None, ROWS)

    run_with_timeout(scene)


def test_a_site_without_teams_serves_requests_of_any_team_or_none() -> None:
    async def scene() -> None:
        settings = {name: value for name, value in SETTINGS.items() if name != "projects"}
        async with engine() as one, program(config(one.address, settings=settings)) as node:
            client = await node.client()
            assert await client.answer(await client.send_request(team="whoever")) == (None, ROWS)
            client.last_id += 1
            fields = {"txn": f"{client.last_id:016x}", "limit": "3000"}  # The request names no team.
            await client.send([0, client.last_id, "lookup", [fields, b"SELECT a FROM sales_17.orders"]])
            assert await client.answer(client.last_id) == (None, ROWS)

    run_with_timeout(scene)


def test_request_ids_must_increase_and_an_open_txn_must_be_unique() -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, program(config(one.address)) as node:
            client, other = await node.client(), await node.client()
            await client.send_request(limit="5000", txn="00000000000000AA")
            while not one.posts:  # The program may read the two connections in either order.
                await trio.sleep(0.01)
            again = await other.send_request(limit="5000", txn="00000000000000aa", body=b"SELECT 2")
            assert (await other.answer(again))[0][0] == "Invalid"
            await client.send([0, 2, "nonsense", [{}, b""]])
            assert (await client.answer(2))[0][0] == "Invalid"
            # Id 2 is already answered, so a second answer would be a fault.
            await client.send([0, 2, "lookup", [{}, b""]])
            assert b"Invalid" not in await read_to_end(client, 5.0)

    run_with_timeout(scene)


def test_the_33rd_open_request_is_rejected_and_the_others_continue() -> None:
    async def scene() -> None:
        # There are enough engines for the decision module to admit all requests.
        async with engine(never_finish) as one, program(config(*[one.address] * 16)) as node:
            client = await node.client()
            request_ids = [await client.send_request("meter-load", limit="5000") for _ in range(33)]
            assert (await client.answer(request_ids[-1]))[0][0] == "Invalid"
            for request_id in request_ids[:-1]:
                assert (await client.answer(request_id))[0][0] in ("Internal", "Overloaded")

    run_with_timeout(scene)
