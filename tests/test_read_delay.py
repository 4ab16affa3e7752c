"""How long a message may have lain unread on its connection."""

from __future__ import annotations

import socket

import pytest
import trio

from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_delay import SHORT_GAP_MS, ReadDelay, TimedStream
from fordstair.runtime.deadlines import Deadlines


@pytest.mark.parametrize("gap_ms", [SHORT_GAP_MS - 1.0, 800.0])
@pytest.mark.parametrize("gap", ["before it is accepted", "while it is not read from"])
def test_what_comes_while_nobody_waits_for_it_is_as_old_as_that_gap(gap: str, gap_ms: float) -> None:
    # Guards against a poll after a pause that saw nothing of a connection which did not wait yet.
    now = [10_000.0]

    async def scene() -> None:
        ours, peer = socket.socketpair()
        with peer:
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
            accepted_late = gap == "before it is accepted"
            delay = ReadDelay(
                stream, PollWatch(), Deadlines(lambda: now[0]), gap_ms if accepted_late else 0.0
            )
            if not accepted_late:
                delay.begin_wait()
                now[0] += 5_000.0  # it waits, and nothing comes
                peer.send(b"first")
                delay.note_readable()
                assert delay.last_delay_ms == 0.0
                assert await stream.receive_some(100) == b"first"
                delay.note_drained(now[0])
                now[0] += gap_ms
            peer.send(b"second")
            delay.begin_wait()
            delay.note_readable()
            assert delay.last_delay_ms == (gap_ms if gap_ms > SHORT_GAP_MS else 0.0)
            now[0] += 30.0
            delay.begin_wait()  # the rest of what came is older still
            delay.note_readable()
            assert delay.last_delay_ms == (gap_ms + 30.0 if gap_ms > SHORT_GAP_MS else 30.0)
            await stream.aclose()

    trio.run(scene)


def test_what_a_short_read_leaves_behind_is_as_old_as_what_it_took(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a read that returns less than there is, and counts as having read all there was.
    now_ms = [10_000.0]
    reads = trio.SocketStream.receive_some

    async def one_byte(stream: trio.SocketStream, most: int | None = None) -> bytes:
        data = await reads(stream, 1)
        now_ms[0] += 30.0
        return data

    async def scene() -> None:
        ours, peer = socket.socketpair()
        with peer:
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
            delay = ReadDelay(stream, PollWatch(), Deadlines(lambda: now_ms[0]), 0.0)
            timed = TimedStream(stream, delay)
            peer.send(b"request")
            for number in range(7):
                assert len(await timed.receive_some()) == 1
                assert delay.last_delay_ms == 30.0 * number
            peer.send(b"n")
            await timed.receive_some()
            assert delay.last_delay_ms <= 30.0  # all had been read before
            await stream.aclose()

    monkeypatch.setattr(trio.SocketStream, "receive_some", one_byte)
    trio.run(scene)
