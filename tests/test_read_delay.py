"""Estimates of how long input waited on its connection before it was read."""

from __future__ import annotations

import socket

import pytest
import trio

from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_delay import SHORT_GAP_MS, ReadDelay, TimedStream
from fordstair.runtime.deadlines import Deadlines


@pytest.mark.parametrize("gap_ms", [SHORT_GAP_MS - 1.0, 800.0])
@pytest.mark.parametrize("gap", ["before it is accepted", "while it is not read from"])
def test_input_that_arrives_between_waits_may_be_as_old_as_the_gap(gap: str, gap_ms: float) -> None:
    # Guards against trusting a poll after a pause that did not cover a connection which was not waiting yet.
    now_ms = [10_000.0]

    async def scene() -> None:
        ours, peer = socket.socketpair()
        with peer:
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
            accepted_late = gap == "before it is accepted"
            delay = ReadDelay(
                stream, PollWatch(), Deadlines(lambda: now_ms[0]), gap_ms if accepted_late else 0.0
            )
            if not accepted_late:
                delay.begin_wait()
                now_ms[0] += 5_000.0  # The connection waits and no input arrives.
                peer.send(b"first")
                delay.note_readable()
                assert delay.last_delay_ms == 0.0
                assert await stream.receive_some(100) == b"first"
                delay.note_drained(now_ms[0])
                now_ms[0] += gap_ms
            peer.send(b"second")
            delay.begin_wait()
            delay.note_readable()
            assert delay.last_delay_ms == (gap_ms if gap_ms > SHORT_GAP_MS else 0.0)
            now_ms[0] += 30.0
            delay.begin_wait()  # The rest of the input is older still.
            delay.note_readable()
            assert delay.last_delay_ms == (gap_ms + 30.0 if gap_ms > SHORT_GAP_MS else 30.0)
            await stream.aclose()

    trio.run(scene)


def test_input_that_a_partial_read_leaves_is_as_old_as_the_input_it_returned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a partial read that counts as having read all available input.
    now_ms = [10_000.0]
    receive_some = trio.SocketStream.receive_some

    async def one_byte(stream: trio.SocketStream, most: int | None = None) -> bytes:
        data = await receive_some(stream, 1)
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
            assert delay.last_delay_ms <= 30.0  # All earlier input had been read.
            await stream.aclose()

    monkeypatch.setattr(trio.SocketStream, "receive_some", one_byte)
    trio.run(scene)
