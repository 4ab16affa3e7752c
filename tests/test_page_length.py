"""Pages whose response tells too small a length, and good pages with more bytes behind them."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import trio
import ujson
from hypothesis import example, given
from hypothesis import strategies as st
from trio.testing import wait_all_tasks_blocked

from fordstair.net.engines import http11_connection, odata_wire
from fordstair.net.engines.errors import ProtocolError
from fordstair.net.engines.http11_connection import HTTP11Connection
from fordstair.net.engines.http_messages import HttpRequest, HttpResponse
from fordstair.net.engines.page_length import PageLengthPolicy
from tests.scenes import run_with_timeout
from tests.standins import (
    RawResponse,
    Response,
    RestEngine,
    Script,
    config,
    connect,
    engine,
    program,
    run_in_process,
)
from tests.test_odata import odata_program, odata_script

PAGES = [b"a\tb\tc\nd\te\tf\n", b"09:15\th\ti\n10:30\tk\tl\n"]  # The latter are valid trailers, too.
ROWS = [b"".join(PAGES), {}]
HEAD = b"HTTP/1.1 200 OK\r\nX-Sheets: 2\r\nX-Sheet: %d\r\n"
COPY = b"HTTP/1.1 200 OK\r\nX-Sheets: 2\r\nContent-Length: 0\r\n\r\n"
Encode = Callable[[int], bytes]


def told(page: int, length: int, more: bytes = b"") -> bytes:
    """Return the response with page ``page``, its Content-Length being ``length``, and ``more`` behind it."""
    return HEAD % page + b"Content-Length: %d\r\n\r\n" % length + PAGES[page] + more


def followed(page: int, more: bytes) -> bytes:
    """Return the response with page ``page``, its length being right, and ``more`` behind it."""
    return told(page, len(PAGES[page]), more)


def chunked(page: int, *chunks: bytes) -> bytes:
    """Return the response with page ``page`` in these chunks."""
    encoded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return HEAD % page + b"Transfer-Encoding: chunked\r\n\r\n" + encoded


SHORT: dict[str, Encode] = {
    "one row": lambda page: told(page, PAGES[page].index(b"\n") + 1),
    "no row, 1xx in front, noise": lambda page: b"HTTP/1.1 100 Continue\r\n\r\n" + told(page, 0, b"\x00\xff"),
    "no row, second copy": lambda page: told(page, 0, COPY),
    "last chunk too early": lambda page: chunked(page, b"", PAGES[page], b""),
    "chunk of size 0": lambda page: chunked(page, b"").replace(b"0\r\n", b"0\r\n%s\r\n0\r\n" % PAGES[page]),
    "chunk of size 0, then nothing": lambda page: chunked(page, b"").replace(
        b"0\r\n", b"0\r\n" + PAGES[page]
    ),
}
# What follows a good page, and how often the page is then requested again.
MORE = {
    COPY: 0,
    b"\r\n": 0,
    b"\x00\xffnoise\r\n": 0,
    b"0\r\n\r\n": 0,
    b"a\tb\tc\td": 0,
    b"noise": 1,
    b"\x00": 1,
}
CASES = [pytest.param(encode, 1, id=name) for name, encode in SHORT.items()]
CASES += [pytest.param(partial(followed, more=more), n, id=repr(more)) for more, n in MORE.items()]


def script(place: str, encode: Encode, times: int, asked: list[str]) -> Script:
    """Serve two pages; the first ``times`` responses at ``place`` are the bytes of ``encode(page)``."""

    async def answer(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes:
        page = int(path[-1]) if method == "GET" else 0
        asked.append(f"GET {page}" if method == "GET" else method)
        if asked[-1] in place and asked.count(asked[-1]) <= times:
            return encode(page)
        if method != "GET" and place == "GET 0":
            return 202, {}, b""
        return 200, {"X-Sheets": "2", "X-Sheet": str(page)}, PAGES[page]

    return answer


async def answer_to_load(engine_script: Script) -> tuple[tuple[Any, Any], int]:
    """Send one load to a coordinator with one engine; return its answer, and the number of POSTs."""
    async with engine(engine_script) as rest_engine, program(config(rest_engine.address)) as node:
        client = await node.client()
        return await client.answer(await client.send_request("meter-load", limit="20000")), len(
            rest_engine.posts
        )


@pytest.mark.parametrize("place", ["POST", "GET 0", "GET 1"])
@pytest.mark.parametrize(("encode", "requested_again"), CASES)
def test_a_page_with_surplus_is_requested_again_if_rows_may_be_missing(
    encode: Encode, requested_again: int, place: str
) -> None:
    # Guards against a result served without its last rows, and against good pages that fail or cost more.
    async def scene() -> None:
        asked = list[str]()
        assert await answer_to_load(script(place, encode, 1, asked)) == ((None, ROWS), 1)
        once = ["POST", "GET 0", "GET 1"] if place == "GET 0" else ["POST", "GET 1"]
        again = ["GET 1" if place == "GET 1" else "GET 0"] * requested_again
        assert sorted(asked) == sorted(once + again)

    run_with_timeout(scene)


@pytest.mark.parametrize("place", ["POST GET 0", "GET 1"])
@pytest.mark.parametrize(
    ("more", "served"), [(COPY, True), (b"noise", True), (b"0\r\n\r\n", True), (None, False)]
)
def test_an_engine_whose_pages_always_have_surplus(more: bytes | None, served: bool, place: str) -> None:
    # Guards against repeats that agree being taken for proof, and against constant noise being held for rows.
    encode = SHORT["one row"] if more is None else partial(followed, more=more)

    async def scene() -> None:
        (error, rows), posts = await answer_to_load(script(place, encode, 99, []))
        assert rows == ROWS if served else error[0] == "Internal"
        assert posts == 1

    run_with_timeout(scene)


def test_surplus_that_is_still_in_the_socket_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against rows that are overlooked because they come in a later segment than the response.
    async def scene() -> None:
        async with (
            engine(script("GET 1", SHORT["one row"], 1, asked := list[str]())) as rest_engine,
            run_in_process(config(rest_engine.address)) as node,
        ):
            client = await connect(node)
            short = SHORT["one row"](1)
            monkeypatch.setattr(http11_connection, "READ_BYTES", len(short) - len(PAGES[1]) + 10)
            assert await client.answer(await client.send_request("meter-load")) == (None, ROWS)
            assert asked.count("GET 1") == 2

    run_with_timeout(scene)


def test_a_line_of_surplus_that_comes_in_pieces_is_received_whole() -> None:
    # Guards against the beginning of a row being compared as if it were all that follows a page.
    async def scene() -> None:
        ours, theirs = trio.socket.socketpair()
        connection = HTTP11Connection(ours, trio.SocketStream(ours), "engine")
        await theirs.send(HEAD % 0 + b"Content-Length: 0\r\n\r\na\tb")
        await connection.exchange(HttpRequest("GET", "/o/1/0"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.receive_surplus_line)
            await wait_all_tasks_blocked()
            await theirs.send(b"\tc\nd")
        assert connection.surplus == b"a\tb\tc\nd"

    run_with_timeout(scene)


columns = st.text(alphabet=st.characters(exclude_characters="\t\n", codec="utf-8"))


@given(st.tuples(columns, columns, columns).map("\t".join), st.lists(st.binary(max_size=9), min_size=3))
@example("0\t\t", [b""] * 3)
def test_the_rest_of_a_page_is_never_taken_for_noise(row: str, further_bytes: list[bytes]) -> None:
    rest = row.encode() + b"\n"
    policy = PageLengthPolicy()
    for more in further_bytes:
        assert policy.may_be_truncated(HttpResponse(200, {}, PAGES[0], surplus=rest + more))


ODATA_PAGE = ujson.dumps({"value": [{"x": "a", "y": "}]", "z": 1}], "@odata.nextLink": "page?n=2"}).encode()


@given(st.integers(0, len(ODATA_PAGE) - 1))
def test_no_part_of_an_odata_page_is_a_page(length: int) -> None:
    with pytest.raises(ProtocolError):
        odata_wire.read_page("127.0.0.1:1", ODATA_PAGE[:length])


@pytest.mark.parametrize("place", ["POST", "GET monitor", "GET page"])
@pytest.mark.parametrize("cut", [0, 1])
def test_an_odata_page_with_surplus_is_requested_again_only_if_it_is_cut(cut: int, place: str) -> None:
    asked, serve = list[str](), odata_script(0)

    async def answer(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | RawResponse | bytes | None:
        asked.append(method if method == "POST" else f"{method} {'page' if 'page' in path else 'monitor'}")
        response = await serve(one, method, path, headers, body)
        if asked[-1] != place or asked.count(place) > 1 or not isinstance(response, tuple):
            return response
        text = response[2] or b'{"value":[]}'
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%snoise" % (len(text) - cut, text)

    async def scene(folder: Path) -> None:
        async with engine(answer) as one, odata_program(folder, one, odata=(0,)) as node:
            client = await node.client()
            error, rows = await client.answer(await client.send_request("meter-load", limit="20000"))
            assert asked.count("POST") == 1
            if place == "POST":  # Nothing names a path at which the query could be asked for again.
                assert error[0] == "Internal" if cut else rows == [b"", {}]
            else:
                assert rows == [b"a\tb\tc\nd\te\tf\n", {}]
                assert asked.count(place) == 1 + cut

    with tempfile.TemporaryDirectory() as folder:
        run_with_timeout(lambda: scene(Path(folder)))
