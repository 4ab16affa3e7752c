"""Tests of the soak's fake engines: which requests they start, and when bytes count as received."""

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
def test_a_restarted_engine_starts_no_query_that_its_old_process_has_read(silent: bool) -> None:
    # Guards against a query that the engine starts after its restart, in parallel with the next attempt: the
    # reset lets the coordinator retry elsewhere.
    async def scene() -> None:
        one = FakeEngine("s-1", Machine(8.0))
        if silent:
            one.go_silent()
        else:  # restart between the read and the start of the query
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


def test_an_engine_that_resets_a_connection_between_two_reads_continues_with_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a wait for bytes on a closed socket, whose exception would end the whole soak.
    async def scene() -> None:
        one = FakeEngine("s-1", Machine(8.0))
        resets = iter([True])
        receive_some = trio.SocketStream.receive_some

        async def receive_then_reset(stream: trio.SocketStream, max_bytes: int | None = None) -> bytes:
            data = await receive_some(stream, max_bytes)
            if max_bytes and next(resets, False):  # only the engine passes a maximum
                one.reset_connections()
            return data

        monkeypatch.setattr(trio.SocketStream, "receive_some", receive_then_reset)
        async with trio.open_nursery() as nursery:
            host, _, port = (await nursery.start(one.serve)).partition(":")
            for piece in (POST[:20], POST):  # the first connection is reset with its message half read
                async with await trio.open_tcp_stream(host, int(port)) as client:
                    await client.send_all(piece)
                    with suppress(trio.BrokenResourceError):
                        await client.receive_some()
            assert one.started["0f"] == 1
            nursery.cancel_scope.cancel()

    run_with_timeout(scene)


def test_an_attempt_is_timed_by_its_arrival_even_if_the_soak_reads_it_late() -> None:
    # Guards against false violations from the soak's own lag: limits that seem too long, or late sends.
    lag_s = 0.3

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
                time.sleep(lag_s)  # noqa: ASYNC251 - blocks the event loop on purpose
                await until(lambda: record.attempts)
            nursery.cancel_scope.cancel()
        assert record.attempts[0].received_s + one._start_s - sent_s < lag_s / 3

    run_with_timeout(scene)
