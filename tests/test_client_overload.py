"""Clients that send much at once: others are served, and nothing is sent on once the sender has left."""

from __future__ import annotations

import time

import msgpack
import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from fordstair.core import live_request
from fordstair.core.arrival_pacer import ARRIVALS_PER_TURN, ArrivalPacer
from fordstair.core.ports import ClientActivity
from fordstair.core.statements import table_group
from fordstair.net.clients.read_pacer import LARGE_READS_PER_TURN, ReadPacer
from fordstair.net.clients.rpc_connection import RpcConnection
from tests.scenes import ROWS, run_with_timeout, until
from tests.standins import config, connect, engine, never_finish, program, run_in_process

FIELDS = {"limit": "3000", "team": "karri-energy", "cpu": "200.0", "need_mb": "96"}
LONG_STATEMENT = b"SELECT a FROM orders WHERE id IN (" + b"7, " * 19_000 + b"7)"
MAX_GROWTH_OF_TIME = 8.0  # at four times the length; in proportion it would be 4, with its square 16


def requests(prefix: int, statement: bytes, count: int = 32) -> bytes:
    """Return as many requests as may be open on one connection."""
    return b"".join(
        msgpack.packb([0, n, "lookup", [FIELDS | {"txn": f"{prefix:08x}{n:08x}"}, statement]])
        for n in range(1, count + 1)
    )


def scan_seconds(statement: str) -> float:
    """Return the least processor time of three scans."""
    times = []
    for _ in range(3):
        began = time.process_time()
        table_group(statement)
        times.append(time.process_time() - began)
    return min(times)


@pytest.mark.parametrize(
    "text",
    ["$%d", " ", "$$", "$a$", "'", "'$%d", "/*", '"', "--", "a_1.", "a,", "from ", "$a_%d.b$"],
)
def test_the_time_of_a_statement_scan_grows_with_its_length_alone(text: str) -> None:
    # Guards against a statement that stops the program: time grew with the square of unclosed dollar tags.
    def repeat(count: int) -> str:
        return "".join(text % (10_000 + n) if "%" in text else text for n in range(count))

    short = max(scan_seconds(repeat(4_000)), 0.001)
    assert scan_seconds(repeat(16_000)) < MAX_GROWTH_OF_TIME * short


def test_lookups_are_answered_beside_clients_that_send_long_requests_at_once() -> None:
    # Guards against others' answers lost while the statements of a few clients are scanned.
    async def scene() -> None:
        async with (
            engine() as rest_engine,
            program(config(rest_engine.address)) as node,
            trio.open_nursery() as nursery,
        ):
            client = await node.client()
            assert await client.answer(await client.send_request()) == (None, ROWS)
            for prefix in range(1, 17):
                stream = await trio.open_tcp_stream("127.0.0.1", node.ports["listens"])
                nursery.start_soon(stream.send_all, requests(prefix, LONG_STATEMENT, 8))
            await trio.sleep(0.1)
            number = await client.send_request(txn="a" * 16)
            error, _ = await client.answer(
                number, within_s=3.0
            )  # what is over the team's quota may be refused
            assert error is None or error[0] == "Overloaded"
            nursery.cancel_scope.cancel()

    run_with_timeout(scene)


def test_no_attempt_begins_while_input_of_its_client_is_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against requests sent on after their client has closed behind much that was still on its way.
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            client = await connect(node)
            monkeypatch.setattr(RpcConnection, "has_unread_input", True)
            await client.send_request(limit="20000")
            await until(lambda: rest_engine.calls["connections"])
            for _ in range(4):  # all input is read and handled each time, and more is on its way
                number = client.last_id = client.last_id + 1
                await trio.sleep(0.05)
                await client.send([0, number, "alive", [{}]])
                assert await client.answer(number)
            await client.stream.send_eof()
            await until(lambda: not node.coordinator.live)
            assert not rest_engine.posts

    run_with_timeout(scene)


def test_the_statement_of_a_client_that_has_left_is_not_scanned(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against work for requests that nobody waits for, at the cost of others.
    scanned = list[str]()

    def scan(text: str) -> float:
        scanned.append(text)
        return 0.0

    monkeypatch.setattr(live_request, "table_group", scan)

    async def scene() -> None:
        async with engine() as rest_engine, run_in_process(config(rest_engine.address)) as node:
            client = await connect(node)
            cancels = b"".join(msgpack.packb([2, "cancelRequest", [n]]) for n in range(1, 33))
            await client.stream.send_all(requests(1, b"SELECT 1") + cancels)
            await until(lambda: node.counters["client.disconnected"] == 32)
            assert len(scanned) <= ARRIVALS_PER_TURN  # these were admitted as they were read
            scanned.clear()
            client.last_id = 32
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert len(scanned) == 1

    run_with_timeout(scene)


def test_a_request_of_a_client_with_few_open_is_admitted_before_those_of_busy_clients() -> None:
    # Guards against usual requests that wait behind hundreds that a few clients have sent at once.
    async def scene() -> None:
        pacer, admitted = ArrivalPacer(), list[ClientActivity]()

        async def arrive(activity: ClientActivity) -> None:
            if not pacer.admit_nowait(activity):
                await pacer.wait(activity)
            admitted.append(activity)

        async with trio.open_nursery() as nursery:
            for activity in (*[ClientActivity.BUSY] * 6, ClientActivity.KNOWN, ClientActivity.NEW):
                nursery.start_soon(arrive, activity)
                await wait_all_tasks_blocked()
            nursery.start_soon(pacer.run)
            await until(lambda: len(admitted) == 8)
            nursery.cancel_scope.cancel()
        assert admitted[:2] == [ClientActivity.BUSY] * 2
        assert set(admitted[2:4]) == {ClientActivity.KNOWN, ClientActivity.NEW}

    run_with_timeout(scene)


def test_large_reads_are_spread_over_turns_and_none_waits_without_an_end() -> None:
    # Guards against a turn that takes as long as all clients' large messages together.
    async def scene() -> None:
        pacer, done = ReadPacer(), list[int]()

        async def read(number: int) -> None:
            await pacer.wait()
            done.append(number)

        async with trio.open_nursery() as nursery:
            for number in range(3 * LARGE_READS_PER_TURN):
                nursery.start_soon(read, number)
            for _ in range(2):  # of two turns, the first may have begun before the reads
                await trio.lowlevel.checkpoint()
            assert 0 < len(done) <= 2 * LARGE_READS_PER_TURN
        assert len(done) == 3 * LARGE_READS_PER_TURN
        with trio.move_on_after(0.01):  # those that leave the queue do not take the place of others
            async with trio.open_nursery() as nursery:
                for number in range(3 * LARGE_READS_PER_TURN):
                    nursery.start_soon(read, number)
                nursery.cancel_scope.cancel()
        await read(-1)
        assert done[-1] == -1

    run_with_timeout(scene)


def test_a_read_whose_place_comes_as_its_connection_is_closed_does_not_go_on() -> None:
    # Guards against a read from a socket that has just been closed, logged as an internal error.
    async def scene() -> None:
        pacer, scope, went_on = ReadPacer(), trio.CancelScope(), list[bool]()

        async def read() -> None:
            with scope:
                await pacer.wait()
                went_on.append(True)

        async with trio.open_nursery() as nursery:
            pacer._read_this_turn = LARGE_READS_PER_TURN  # no place is free, and none comes by itself
            nursery.start_soon(read)
            await wait_all_tasks_blocked()
            pacer._waiting.popleft().set()
            scope.cancel()  # in the turn in which the place has come
        assert not went_on

    run_with_timeout(scene)
