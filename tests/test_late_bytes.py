"""Bytes that belong to a response, or to a copy of it, and come after its last byte."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from fordstair.net.engines.http_messages import HttpRequest
from fordstair.program import Program as CoordinatorProgram
from fordstair.runtime.clock import MonotonicMs, monotonic_now
from tests.scenes import run_with_timeout
from tests.standins import RawResponse, Response, RestEngine, Script, config, connect, engine, run_in_process

PAGES = [b"a\tb\tc\nd\te\tf\n", b"g\th\ti\nj\tk\tl\n", b"m\tn\to\n"]
LATEST_MS = 20.0  # late bytes come up to this much after the response
QUIET_MS = 30.0  # from then on none are waited for
Later = Callable[[], Awaitable[bytes]]


class SteppedClock:
    """A program's clock, which stands still until it is advanced."""

    def __init__(self, node: CoordinatorProgram) -> None:
        self.running = True
        self.now_ms: float = monotonic_now()
        node.deadlines.clock = lambda: MonotonicMs(self.now_ms)

    async def advance(self, span_ms: float) -> None:
        """Advance once the program has read what was sent before."""
        await trio.sleep(0.05)
        self.now_ms += span_ms

    async def run(self) -> None:
        """Let the time pass in steps while ``running`` is set, until cancelled."""
        while True:
            await trio.sleep(0.005)
            self.now_ms += 5.0 * self.running


def page(number: int, length: int | None = None) -> bytes:
    """Return the response with a page, its Content-Length being ``length`` if that is not None."""
    told = len(PAGES[number]) if length is None else length
    head = b"HTTP/1.1 200 OK\r\nX-Sheets: %d\r\nX-Sheet: %d\r\nContent-Length: %d\r\n\r\n"
    return head % (len(PAGES), number, told) + PAGES[number][:told]


def script(asked: list[str], faults: dict[str, RawResponse | bytes], pages: int) -> Script:
    """Serve ``pages`` pages; at the places that ``faults`` names, its response comes first, once."""

    async def answer(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | RawResponse | bytes:
        number = int(path[-1]) if method == "GET" else 0
        asked.append(f"GET {number}" if method == "GET" else method)
        if asked[-1] in faults and asked.count(asked[-1]) == 1:
            return faults[asked[-1]]
        if method == "POST" and "GET 0" in faults:
            return 202, {}, b""
        return 200, {"X-Sheets": str(pages), "X-Sheet": str(number)}, PAGES[number]

    return answer


@pytest.mark.parametrize("length", [0, PAGES[0].index(b"\n") + 1])
@pytest.mark.parametrize("place", ["POST", "GET 0"])
def test_a_page_whose_rest_comes_late_is_not_served_short(place: str, length: int) -> None:
    # Guards against a result served without its last rows, which come up to 20 ms after the rows told.
    async def scene() -> None:
        asked, faults = list[str](), dict[str, RawResponse | bytes]()
        clocks = list[SteppedClock]()
        serve = script(asked, faults, 1)

        async def stop_clock_and_answer(
            rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Response | RawResponse | bytes | None:
            response = await serve(rest_engine, method, path, headers, body)
            clocks[0].running = not isinstance(response, RawResponse)
            return response

        async def later() -> bytes:
            await clocks[0].advance(LATEST_MS)
            await trio.sleep(0.1)  # whatever is due by then has run
            clocks[0].running = True
            return PAGES[0][length:]

        faults[place] = RawResponse(page(0, length).replace(b"Sheets: 3", b"Sheets: 1"), later)
        async with (
            engine(stop_clock_and_answer) as rest_engine,
            run_in_process(config(rest_engine.address)) as node,
            trio.open_nursery() as nursery,
        ):
            client = await connect(node)
            clocks.append(SteppedClock(node))
            nursery.start_soon(clocks[0].run)
            number = await client.send_request("meter-load", limit="20000")
            assert await client.answer(number) == (None, [PAGES[0], {}])
            assert len(rest_engine.posts) == 1
            assert asked.count("GET 0") == (2 if place == "GET 0" else 1)
            nursery.cancel_scope.cancel()

    run_with_timeout(scene)


async def nothing() -> bytes:
    """Return no late bytes."""
    return b""


REST = PAGES[1][PAGES[1].index(b"\n") + 1 :]
SHORT = page(1, len(PAGES[1]) - len(REST))


@pytest.mark.parametrize(
    ("faults", "requests"),
    [
        pytest.param({}, 1, id="sound"),
        pytest.param({"GET 1": RawResponse(SHORT, nothing), "GET 2": REST + page(2)}, 2, id="rest"),
        pytest.param(
            {"GET 1": RawResponse(SHORT, nothing), "GET 2": page(2) + REST}, 2, id="rest at the end"
        ),
        pytest.param({"GET 2": page(1) + page(2)}, 2, id="copy"),
        pytest.param({"GET 1": page(1)}, 2, id="connection lost"),
    ],
)
def test_late_bytes_between_pages_put_all_pages_of_the_connection_in_doubt(
    faults: dict[str, RawResponse | bytes], requests: int
) -> None:
    # Guards against an earlier page served short, and a copy of it served twice, where its late bytes come
    # once the next page has been requested.
    async def scene() -> None:
        asked = list[str]()
        async with (
            engine(script(asked, faults, 3)) as rest_engine,
            run_in_process(config(rest_engine.address)) as node,
        ):
            client = await connect(node)
            answer = await client.answer(await client.send_request("meter-load", limit="20000"))
            assert answer == (None, [b"".join(PAGES), {}])
            assert asked.count("GET 1") == requests
            assert asked.count("POST") == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("copied", [False, True])
def test_a_connection_is_reused_only_once_no_copy_of_its_last_response_can_follow(copied: bool) -> None:
    # Guards against a late copy of a response being read as the response to the next request.
    copy_due = trio.Event()

    async def answer(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> RawResponse:
        async def later() -> bytes:
            await copy_due.wait()
            return page(0) if copied else b""

        return RawResponse(page(0), later)

    async def scene() -> None:
        async with engine(answer) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            clock = SteppedClock(node)
            pool, address = node.pool, rest_engine.address
            first = await pool.acquire(address)
            await first.exchange(HttpRequest("GET", "/o/1/0"))
            pool.release(first)
            second = await pool.acquire(address)
            assert second is not first
            await clock.advance(LATEST_MS)
            copy_due.set()
            await clock.advance(QUIET_MS - LATEST_MS)
            await trio.sleep(0.1)  # the rest of the connection has ended by then
            pool.release(second)  # never used: nothing can follow
            assert pool.connection_count == (1 if copied else 2)
            reused = {await pool.acquire(address), await pool.acquire(address)}
            assert second in reused
            assert (first in reused) is not copied

    run_with_timeout(scene)
