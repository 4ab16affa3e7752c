"""Engines that fail, stop responding or send malformed responses, and what that proves about a query."""

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


def test_a_query_past_its_time_limit_is_answered_in_time_and_deleted_at_its_engine() -> None:
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            start = time.monotonic()
            error, _ = await client.answer(await client.send_request("meter-load", limit="900"))
            assert error[0] == "Internal"
            assert time.monotonic() - start < 10.0
            while not rest_engine.deleted:
                await trio.sleep(0.01)
            assert len(rest_engine.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize(
    ("class_name", "posts", "word"), [("meter-load", 1, "Internal"), ("lookup", 4, "Overloaded")]
)
def test_a_broken_connection_does_not_prove_that_a_load_never_ran(
    class_name: str, posts: int, word: str
) -> None:
    async def scene() -> None:
        async with engine(break_connection) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            error, _ = await client.answer(await client.send_request(class_name))
            assert error[0] == word
            assert 1 <= len(rest_engine.posts) <= posts

    run_with_timeout(scene)


def test_a_load_is_retried_if_the_engine_says_that_it_never_ran() -> None:
    async def full_once(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, str], bytes] | None:
        if len(rest_engine.posts) == 1 and method == "POST":
            return 503, {"X-Unrun": "1"}, b""
        return await serve_at_once(rest_engine, method, path, headers, body)

    async def scene() -> None:
        async with engine(full_once) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)
            assert len(rest_engine.posts) == 2

    run_with_timeout(scene)


PAGE = b"a\tb\tc\n"


GOOD_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Sheets: 2\r\nContent-Length: 6\r\n\r\n" + PAGE


def script_first_response(first: bytes | None, where: str) -> tuple[list[str], object]:
    """Return a script that sends ``first`` as its first response to such a call, and a list of its path."""
    sent_first: list[str] = []

    async def script(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        if f"{method} {path}".startswith(where) and not sent_first:
            sent_first.append(path)
            return first
        # The engine repeats its response to a query that has ended.
        if method == "GET" and path.endswith("/0"):
            return 200, {"X-Sheets": "2"}, PAGE
        return await serve_at_once(rest_engine, method, path, headers, body)

    return sent_first, script


@pytest.mark.parametrize("where", ["POST", "GET /o/0000000000000001/1"])
@pytest.mark.parametrize(
    "first",
    [
        None,
        b"\x00\xffnoise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Noise: 1\r\n" * 3_000,
        GOOD_RESPONSE[:-2],
        GOOD_RESPONSE.replace(b": 6", b": 3000000000") + b"x" * 9_000,
        GOOD_RESPONSE.replace(b": 6", b": 4"),
        GOOD_RESPONSE.replace(b"Content-Length: 6\r\n", b""),
        GOOD_RESPONSE.replace(PAGE, b"a\xff\x00\tb\n"),
        GOOD_RESPONSE.replace(b"X-Sheets: 2", b"X-Sheets: 0"),
    ],
)
def test_a_load_with_a_malformed_response_is_polled_by_its_id(first: bytes | None, where: str) -> None:
    async def scene() -> None:
        sent_first, script = script_first_response(first, where)
        async with engine(script) as rest_engine, program(config(rest_engine.address)) as node:  # type: ignore[arg-type]
            client = await node.client()
            assert await client.answer(await client.send_request("meter-load", limit="20000")) == (None, ROWS)
            assert sent_first
            assert len(rest_engine.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize(
    ("more", "gets_of_page_0"),
    [
        (GOOD_RESPONSE, 0),
        (b"noise", 1),  # It may be the beginning of a row.
        (b"HTTP/1.1 200 OK\r\nX-Sheet: 1\r\nContent-Length: 6\r\n\r\nz\tz\tz\n", 0),
    ],
)
def test_surplus_bytes_after_a_valid_response_are_not_taken_for_the_response_to_another_call(
    more: bytes, gets_of_page_0: int
) -> None:
    async def scene() -> None:
        first = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + GOOD_RESPONSE + more
        sent_first, script = script_first_response(first, "POST")
        async with engine(script) as rest_engine, program(config(rest_engine.address)) as node:  # type: ignore[arg-type]
            client = await node.client()
            assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)
            assert sent_first
            assert not rest_engine.calls["after raw bytes"]
            assert rest_engine.calls["POST"] == 1
            assert rest_engine.calls["GET"] == 1 + gets_of_page_0

    run_with_timeout(scene)


def test_an_attempt_that_may_still_run_is_deleted_before_a_retry() -> None:
    order: list[str] = []

    async def fails_first(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        order.append(method)
        if method != "DELETE" and len(rest_engine.posts) == 1:
            return None
        return await serve_at_once(rest_engine, method, path, headers, body)

    async def scene() -> None:
        async with engine(fails_first) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            second = order.index("POST", 1)
            assert "DELETE" in order[:second]
            assert order.count("POST") == 2

    run_with_timeout(scene)


@pytest.mark.parametrize("first", [(202, {}, b""), None])
def test_an_attempt_that_may_still_run_on_an_unreachable_engine_is_not_retried(
    first: Response | None,
) -> None:
    # Guards against a retry while the first attempt may still run: the engine has accepted the query, or has
    # reset the connection of the POST, and does not respond after that.
    posts: list[str] = []

    async def unreachable_after_post(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        if method == "POST":
            posts.append(rest_engine.address)
            if len(posts) == 1:
                return first
        elif rest_engine.address == posts[0]:
            await trio.sleep_forever()
        return await serve_at_once(rest_engine, method, path, headers, body)

    async def scene() -> None:
        async with (
            engine(unreachable_after_post) as first_engine,
            engine(unreachable_after_post) as second_engine,
            program(config(first_engine.address, second_engine.address)) as node,
        ):
            client = await node.client()
            error, _ = await client.answer(await client.send_request(limit="5000"))
            assert error[0] == "Overloaded"
            assert len(posts) == 1
            assert "DELETE" in first_engine.calls | second_engine.calls

    run_with_timeout(scene)


@pytest.mark.parametrize(("class_name", "word"), [("lookup", "Overloaded"), ("meter-load", "Internal")])
def test_an_engine_that_accepts_connections_and_never_responds_holds_no_call(
    class_name: str, word: str
) -> None:
    async def silent(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | None:
        await trio.sleep_forever()
        raise AssertionError

    async def scene() -> None:
        async with engine(silent) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            assert (await client.answer(await client.send_request(class_name, limit="2500")))[0][0] == word
            assert rest_engine.calls["POST"] == 1 or class_name == "lookup"
            # A load is polled, on other connections.
            assert rest_engine.calls["GET"] >= 1 or class_name == "lookup"

    run_with_timeout(scene)


@pytest.mark.parametrize(("class_name", "posts"), [("lookup", 2), ("meter-load", 1)])
def test_a_failed_page_read_counts_as_an_error_of_a_query_that_may_have_run(
    class_name: str, posts: int
) -> None:
    async def fails_first(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | None:
        if path.endswith("/1") and len(rest_engine.posts) == 1:
            return 500, {}, b""
        return await serve_at_once(rest_engine, method, path, headers, body)

    async def scene() -> None:
        async with engine(fails_first) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            error, result = await client.answer(await client.send_request(class_name))
            assert len(rest_engine.posts) == posts
            assert result == ROWS if class_name == "lookup" else error[0] == "Internal"

    run_with_timeout(scene)


@pytest.mark.parametrize(
    "answer", [(200, {"X-Sheets": "many"}, b""), (200, {}, b"x"), (418, {}, b""), (503, {}, b"")]
)
def test_an_unexpected_response_ends_only_its_attempt(answer: Response) -> None:
    async def answers_first(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | None:
        return (
            answer
            if len(rest_engine.posts) == 1
            else await serve_at_once(rest_engine, method, path, headers, body)
        )

    async def scene() -> None:
        async with engine(answers_first) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            assert (await client.answer(await client.send_request("meter-load")))[0][0] == "Internal"
            assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)

    run_with_timeout(scene)


def test_a_refused_connection_proves_that_a_load_never_ran() -> None:
    async def scene() -> None:
        async with engine() as rest_engine, program(config("127.0.0.1:1", rest_engine.address)) as node:
            client = await node.client()
            for _ in range(6):
                assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)
            assert len(rest_engine.posts) == 6

    run_with_timeout(scene)
