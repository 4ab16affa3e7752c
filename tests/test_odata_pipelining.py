"""OData requests that a client sends at once on one connection."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from fordstair.net.clients.client_limits import ODATA_MAX_BODY_BYTES
from tests.scenes import run_with_timeout, until
from tests.standins import Response, RestEngine, engine, never_finish
from tests.test_odata import odata_program

REQUEST_BYTES = 14_000
COUNT = 2 * ODATA_MAX_BODY_BYTES // REQUEST_BYTES


def read_request(number: int) -> bytes:
    """Return a GET whose filter names its number, and is long."""
    condition = "%20or%20".join(f"account%20eq%20'{number:04d}-{n}'" for n in range(REQUEST_BYTES // 30))
    return f"GET /odata/Settlements?$filter={condition} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


async def name_the_number(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    """Answer with the number in the statement."""
    if method == "POST":
        return 200, {"X-Sheets": "1"}, b"number-%s\tp\t1\n" % body.split(b"'")[1][:4]
    return 204, {}, b""


@pytest.mark.parametrize("count", [3, COUNT])
def test_requests_sent_at_once_are_answered_in_order(count: int, tmp_path: Path) -> None:
    # Guards against requests lost, or answered with another's rows: input read ahead was dropped.
    async def scene() -> None:
        async with engine(name_the_number) as one, odata_program(tmp_path, one) as node:
            stream = await trio.open_tcp_stream("127.0.0.1", node.ports["odata"])
            received = b""
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.send_all, b"".join(map(read_request, range(count))))
                while received.count(b"number-") < count:
                    chunk = await stream.receive_some(65_536)
                    assert chunk
                    received += chunk
            numbers = [int(part[:4]) for part in received.split(b"number-")[1:]]
            assert numbers == list(range(count))

    run_with_timeout(scene)


def test_a_client_that_leaves_behind_much_unread_input_is_noticed(tmp_path: Path) -> None:
    # Guards against requests sent on after their client has closed: the connection is not read any further.
    async def scene() -> None:
        async with engine(never_finish) as one, odata_program(tmp_path, one) as node:
            stream = await trio.open_tcp_stream("127.0.0.1", node.ports["odata"])
            with trio.move_on_after(2.0):  # as much as the buffers take
                await stream.send_all(read_request(0) * 24)
            await until(lambda: one.posts)
            await stream.aclose()
            await until(lambda: one.deleted, within_s=2.0)
            await trio.sleep(0.3)
            assert len(one.posts) == 1

    run_with_timeout(scene)
