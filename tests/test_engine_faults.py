"""Engines that break, fall silent or answer with nonsense, and what that proves of a query."""

from __future__ import annotations

import time

import pytest
import trio

from tests.scenes import ROWS, run_with_timeout
from tests.standins import (
    Response,
    RestEngine,
    break_connection,
    config,
    engine,
    never_finish,
    program,
    serve_at_once,
)


def test_answers_come_before_the_client_gives_up_and_the_query_is_dropped() -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, program(config(one.address)) as node:
            client = await node.client()
            start = time.monotonic()
            error, _ = await client.answer(await client.send_request("meter-load", limit="900"))
            assert error[0] == "Internal"
            assert time.monotonic() - start < 10.0
            while not one.deleted:
                await trio.sleep(0.01)
            assert len(one.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize(
    ("class_name", "posts", "word"), [("meter-load", 1, "Internal"), ("lookup", 4, "Overloaded")]
)
def test_a_broken_connection_proves_nothing(class_name: str, posts: int, word: str) -> None:
    async def scene() -> None:
        async with engine(break_connection) as one, program(config(one.address)) as node:
            client = await node.client()
            error, _ = await client.answer(await client.send_request(class_name))
            assert error[0] == word
            assert 1 <= len(one.posts) <= posts

    run_with_timeout(scene)


def test_a_load_goes_out_again_where_it_never_ran() -> None:
    async def full_once(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, str], bytes] | None:
        if len(one.posts) == 1 and method == "POST":
            return 503, {"X-Unrun": "1"}, b""
        return await serve_at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(full_once) as one, program(config(one.address)) as node:
            client = await node.client()
            assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)
            assert len(one.posts) == 2

    run_with_timeout(scene)


PAGE = b"a\tb\tc\n"


GOOD = b"HTTP/1.1 200 OK\r\nX-Sheets: 2\r\nContent-Length: 6\r\n\r\n" + PAGE


def spoils(first: bytes | None, where: str) -> tuple[list[str], object]:
    """An engine that spoils its first answer to such a call, and serves all others."""
    spoilt: list[str] = []

    async def script(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        if f"{method} {path}".startswith(where) and not spoilt:
            spoilt.append(path)
            return first
        if method == "GET" and path.endswith("/0"):  # after a good end it gives that answer again
            return 200, {"X-Sheets": "2"}, PAGE
        return await serve_at_once(one, method, path, headers, body)

    return spoilt, script


@pytest.mark.parametrize("where", ["POST", "GET /o/0000000000000001/1"])
@pytest.mark.parametrize(
    "first",
    [
        None,
        b"\x00\xffnoise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Noise: 1\r\n" * 3_000,
        GOOD[:-2],
        GOOD.replace(b": 6", b": 3000000000") + b"x" * 9_000,
        GOOD.replace(b": 6", b": 4"),
        GOOD.replace(b"Content-Length: 6\r\n", b""),
        GOOD.replace(PAGE, b"a\xff\x00\tb\n"),
        GOOD.replace(b"X-Sheets: 2", b"X-Sheets: 0"),
    ],
)
def test_a_load_whose_answer_is_spoilt_is_asked_for_by_its_id(first: bytes | None, where: str) -> None:
    async def scene() -> None:
        spoilt, script = spoils(first, where)
        async with engine(script) as one, program(config(one.address)) as node:  # type: ignore[arg-type]
            client = await node.client()
            assert await client.answer(await client.send_request("meter-load", limit="20000")) == (None, ROWS)
            assert spoilt
            assert len(one.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize(
    "more", [GOOD, b"noise", b"HTTP/1.1 200 OK\r\nX-Sheet: 1\r\nContent-Length: 6\r\n\r\nz\tz\tz\n"]
)
def test_a_good_answer_with_surplus_is_good_and_its_surplus_answers_no_other_call(more: bytes) -> None:
    async def scene() -> None:
        first = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + GOOD + more
        spoilt, script = spoils(first, "POST")
        async with engine(script) as one, program(config(one.address)) as node:  # type: ignore[arg-type]
            client = await node.client()
            assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)
            assert spoilt
            assert not one.calls["after raw bytes"]
            assert one.calls["POST"] == one.calls["GET"] == 1

    run_with_timeout(scene)


def test_what_may_still_run_is_given_up_before_a_second_attempt() -> None:
    order: list[str] = []

    async def loses(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        order.append(method)
        if method != "DELETE" and len(one.posts) == 1:
            return None
        return await serve_at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(loses) as one, program(config(one.address)) as node:
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            second = order.index("POST", 1)
            assert "DELETE" in order[:second]
            assert order.count("POST") == 2

    run_with_timeout(scene)


@pytest.mark.parametrize("first", [(202, {}, b""), None])
def test_what_may_still_run_behind_a_cut_is_followed_by_no_other_attempt(first: Response | None) -> None:
    """The engine has the query, or reset the POST's connection; then nothing of the machine is heard."""
    posts: list[str] = []

    async def cut_off(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        if method == "POST":
            posts.append(one.address)
            if len(posts) == 1:
                return first
        elif one.address == posts[0]:
            await trio.sleep_forever()
        return await serve_at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with (
            engine(cut_off) as one,
            engine(cut_off) as two,
            program(config(one.address, two.address)) as node,
        ):
            client = await node.client()
            error, _ = await client.answer(await client.send_request(limit="5000"))
            assert error[0] == "Overloaded"
            assert len(posts) == 1
            assert "DELETE" in one.calls | two.calls

    run_with_timeout(scene)


@pytest.mark.parametrize(("class_name", "word"), [("lookup", "Overloaded"), ("meter-load", "Internal")])
def test_a_machine_that_accepts_and_says_nothing_holds_no_call(class_name: str, word: str) -> None:
    async def silent(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | None:
        await trio.sleep_forever()
        raise AssertionError

    async def scene() -> None:
        async with engine(silent) as one, program(config(one.address)) as node:
            client = await node.client()
            assert (await client.answer(await client.send_request(class_name, limit="2500")))[0][0] == word
            assert one.calls["POST"] == 1 or class_name == "lookup"
            assert one.calls["GET"] >= 1 or class_name == "lookup"  # it is asked again, on other connections

    run_with_timeout(scene)


@pytest.mark.parametrize(("class_name", "posts"), [("lookup", 2), ("meter-load", 1)])
def test_a_lost_page_is_an_error_of_a_query_that_may_have_run(class_name: str, posts: int) -> None:
    async def loses(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | None:
        if path.endswith("/1") and len(one.posts) == 1:
            return 500, {}, b""
        return await serve_at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(loses) as one, program(config(one.address)) as node:
            client = await node.client()
            error, result = await client.answer(await client.send_request(class_name))
            assert len(one.posts) == posts
            assert result == ROWS if class_name == "lookup" else error[0] == "Internal"

    run_with_timeout(scene)


@pytest.mark.parametrize(
    "answer", [(200, {"X-Sheets": "many"}, b""), (200, {}, b"x"), (418, {}, b""), (503, {}, b"")]
)
def test_an_answer_that_cannot_be_read_ends_only_its_attempt(answer: Response) -> None:
    async def odd(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | None:
        return answer if len(one.posts) == 1 else await serve_at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(odd) as one, program(config(one.address)) as node:
            client = await node.client()
            assert (await client.answer(await client.send_request("meter-load")))[0][0] == "Internal"
            assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)

    run_with_timeout(scene)


def test_a_refused_connection_proves_that_a_load_never_ran() -> None:
    async def scene() -> None:
        async with engine() as one, program(config("127.0.0.1:1", one.address)) as node:
            client = await node.client()
            for _ in range(6):
                assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)
            assert len(one.posts) == 6

    run_with_timeout(scene)
