"""The soak's own stand-ins: what they take up, and when they say that bytes have come."""

from __future__ import annotations

import socket
import time
from contextlib import suppress

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from fordstair.lab.engine import FakeEngine
from fordstair.lab.machine import Machine
from fordstair.lab.soak.engines import WatchedEngine
from fordstair.lab.soak.records import SoakRecord
from tests.scenes import run_with_timeout, until

FIELDS = b"Host: a\r\nX-Txn: 0f\r\nX-Lane: lookup\r\nX-Limit-Ms: 900\r\nContent-Length: 1\r\n\r\n"
POST = b"POST /o HTTP/1.1\r\n" + FIELDS + b"x"


@pytest.mark.parametrize("silent", [False, True])
def test_an_engine_that_restarts_takes_up_nothing_that_its_old_process_had_read(silent: bool) -> None:
    # Guards against a query that begins beside the next attempt, which the reset rightly sent elsewhere.
    async def scene() -> None:
        one = FakeEngine("s-1", Machine(8.0))
        if silent:
            one.go_silent()
        else:  # between the read and the take-up
            one.on_request = lambda *_: one.restart_cold()  # type: ignore[method-assign]
        async with trio.open_nursery() as nursery:
            address = await nursery.start(one.serve)
            host, _, port = address.partition(":")
            async with await trio.open_tcp_stream(host, int(port)) as client:
                await client.send_all(POST)
                await until(lambda: one.counts["read.POST"])
                if silent:
                    one.restart_cold()
                await wait_all_tasks_blocked()
                assert not one.started
            nursery.cancel_scope.cancel()

    run_with_timeout(scene)


def test_an_engine_that_resets_a_connection_between_two_reads_goes_on_with_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a wait for bytes on a socket that is closed, which ends the whole soak.
    async def scene() -> None:
        one = FakeEngine("s-1", Machine(8.0))
        resets = iter([True])
        reads = trio.SocketStream.receive_some

        async def resets_after(stream: trio.SocketStream, most: int | None = None) -> bytes:
            data = await reads(stream, most)
            if most and next(resets, False):  # the engine names how much it reads, its client does not
                one.reset_connections()
            return data

        monkeypatch.setattr(trio.SocketStream, "receive_some", resets_after)
        async with trio.open_nursery() as nursery:
            host, _, port = (await nursery.start(one.serve)).partition(":")
            for piece in (POST[:20], POST):  # the first one is reset with its message half read
                async with await trio.open_tcp_stream(host, int(port)) as client:
                    await client.send_all(piece)
                    with suppress(trio.BrokenResourceError):
                        await client.receive_some()
            assert one.started["0f"] == 1
            nursery.cancel_scope.cancel()

    run_with_timeout(scene)


def test_an_attempt_is_dated_by_its_arrival_though_the_soak_is_late_to_read_it() -> None:
    # Guards against limits that seem too long, and sends that seem late, where it is the judge that is late.
    late_s = 0.3

    async def scene() -> None:
        record = SoakRecord()
        one = WatchedEngine("s-1", record, trio.current_time())
        async with trio.open_nursery() as nursery:
            address = await nursery.start(one.serve)
            host, _, port = address.partition(":")
            with socket.create_connection((host, int(port))) as client:
                await wait_all_tasks_blocked()
                sent_s = trio.current_time()
                client.sendall(POST)
                time.sleep(late_s)  # noqa: ASYNC251 - the whole soak stands still: that is what is tested
                await until(lambda: record.attempts)
            nursery.cancel_scope.cancel()
        assert record.attempts[0].read_s + one._start_s - sent_s < late_s / 3

    run_with_timeout(scene)
