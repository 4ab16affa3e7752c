"""Heads of OData requests: their lines are counted as they arrive, and bounded before they are parsed."""

from __future__ import annotations

from pathlib import Path

import trio
from hypothesis import example, given
from hypothesis import strategies as st

from fordstair.net.clients.client_limits import ODATA_MAX_HEAD_LINES
from fordstair.net.clients.head_lines import HeadLineCounter
from tests.scenes import run_with_timeout
from tests.standins import engine
from tests.test_odata import five_rows, odata_program

START = b"POST /odata/Readings HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n"
SHORT_FIELDS = b"a:\r\n" * 3_900
CLIENTS = 60
MAX_GROWTH_BYTES = 20 * 2**20


@given(st.integers(0, 5), st.lists(st.integers(1, 9)), st.sampled_from([b"\r\n", b"\n"]))
@example(2, [5, 1, 1, 1], b"\r\n")
@example(2, [5, 1, 1, 1], b"\n")
def test_the_lines_of_a_head_are_counted_however_it_is_cut(
    fields: int, sizes: list[int], line_end: bytes
) -> None:
    # Guards against sound clients refused because what is behind a head, also a body, counts as its lines.
    rest = line_end.join([b"GET /", *[b"a:"] * fields, b"", b"GET / HTTP/1.1", b"", b"", b"", b""])
    counter = HeadLineCounter()
    for size in sizes:
        counter.add(rest[:size])
        rest = rest[size:]
    counter.add(rest)
    assert counter.lines == 1 + fields


def test_clients_that_send_very_many_short_fields_take_little_memory(tmp_path: Path) -> None:
    # Guards against a process over its memory limit: parsed, a short field takes a hundred times its bytes.
    async def scene() -> None:
        async with engine(five_rows) as one, odata_program(tmp_path, one) as node:
            before = peak_memory_bytes(node.process.pid)
            streams = [await trio.open_tcp_stream("127.0.0.1", node.ports["odata"]) for _ in range(CLIENTS)]
            for stream in streams:
                await stream.send_all(START + SHORT_FIELDS)
                await stream.send_all(b"\r\n" + bytes(1_000))  # and most of the body never comes
            with trio.fail_after(3.0):  # less than the program waits for a body
                for stream in streams:
                    assert b" 431 " in await stream.receive_some(4_096)
            assert peak_memory_bytes(node.process.pid) - before < MAX_GROWTH_BYTES

    run_with_timeout(scene)


def test_a_head_with_as_many_lines_as_allowed_is_served(tmp_path: Path) -> None:
    # Guards against sound clients refused: also one that sends many requests at once.
    fields = b"a:\r\n" * (ODATA_MAX_HEAD_LINES - 2)
    request = b"GET /odata/$metadata HTTP/1.1\r\nHost: a\r\n" + fields + b"\r\n"

    async def scene() -> None:
        async with engine(five_rows) as one, odata_program(tmp_path, one) as node:
            stream = await trio.open_tcp_stream("127.0.0.1", node.ports["odata"])
            await stream.send_all(request * 5)
            received = b""
            while received.count(b"HTTP/1.1 200 ") < 5:
                chunk = await stream.receive_some(65_536)
                assert chunk
                received += chunk

    run_with_timeout(scene)


def peak_memory_bytes(pid: int) -> int:
    """Return the most memory that a process has had resident."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:"))
