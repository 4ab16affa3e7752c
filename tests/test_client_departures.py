"""Clients that cancel, close or reset: no further attempt begins, and engines abandon their queries."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from fordstair.configuration.platform import parse
from fordstair.core.coordinator import Coordinator
from fordstair.core.load_history import MAX_REMEMBERED_LOADS, LoadHistory
from fordstair.core.ports import Engine, Query
from fordstair.decisions.engine_list import EngineEntry, ListUpdateKind
from fordstair.net.clients.odata_statements import PendingReply
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from tests.scenes import ROWS, hold_connects, hold_reads, run_with_timeout, send_cancel, until
from tests.standins import (
    Client,
    Response,
    RestEngine,
    config,
    connect,
    engine,
    never_finish,
    program,
    run_in_process,
    serve_at_once,
)


def test_queries_cancelled_one_after_another_reuse_connections() -> None:
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            for number in range(1, 9):
                await client.send_request("settlement", limit="20000")
                asked = rest_engine.calls["GET"]
                while len(rest_engine.posts) < number or rest_engine.calls["GET"] == asked:
                    await trio.sleep(0.02)
                await client.send([2, "cancelRequest", [number]])
                while len(rest_engine.deleted) < number:
                    await trio.sleep(0.02)
                await trio.sleep(0.1)
            assert rest_engine.calls["connections"] <= 2  # one for polls, one for calls beside them

    run_with_timeout(scene)


def test_the_connection_of_a_cancelled_unanswered_post_is_closed() -> None:
    # Guards against a query that runs after its client cancelled it: once it is back, a machine that was
    # unreachable reads what is left in its open connections.
    closed: list[bool] = []

    async def serve_unreachable(stream: trio.SocketStream) -> None:
        first = await stream.receive_some(65536)
        if not bytes(first).startswith(b"POST"):
            await trio.sleep_forever()  # the DELETE gets no response
        with trio.move_on_after(0.4) as timeout, suppress(trio.BrokenResourceError):
            await stream.receive_some(65536)
        closed.append(not timeout.cancelled_caught)

    async def scene() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, serve_unreachable, 0, host="127.0.0.1"))
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            async with program(config(address)) as node:
                client = await node.client()
                await client.send_request("settlement", limit="20000")
                await trio.sleep(0.1)
                await client.send([2, "cancelRequest", [1]])
                while not closed:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        assert closed == [True]

    run_with_timeout(scene)


def test_requests_withdrawn_before_they_start_leave_no_state_behind() -> None:
    async def scene() -> None:
        deadlines, counters = Deadlines(), Counters()
        settings = parse(config()).settings
        coordinator = Coordinator(settings, 1, {}, deadlines, counters)
        async with trio.open_nursery() as nursery:
            await nursery.start(coordinator.run)
            coordinator.update_engines(ListUpdateKind.FULL, [Engine(EngineEntry("s-1"), "127.0.0.1:1")])
            query = Query("0" * 16, "lookup", 0, 0, 3000.0, b"")
            for _ in range(50):  # withdrawn before their tasks have started
                coordinator.client_disconnected(coordinator.submit(query, PendingReply()))
            # A fault of the transport ends the attempt as well; here there is no transport.
            for _ in range(5):
                coordinator.submit(query, PendingReply())
            for _ in range(5):
                await trio.lowlevel.checkpoint()
            gateway = coordinator.gateway
            assert not coordinator.live
            assert not gateway.requests
            assert not gateway.attempts
            assert gateway.engines["s-1"].own_threads == 0
            nursery.cancel_scope.cancel()

    run_with_timeout(scene)


def test_a_cancelled_request_gets_no_answer_and_is_deleted_at_its_engine() -> None:
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            number = await client.send_request()
            while not rest_engine.posts:
                await trio.sleep(0.01)
            await client.send([2, "cancelRequest", [number]])
            while not rest_engine.deleted:
                await trio.sleep(0.01)
            await client.send([0, 99, "alive", [{}]])
            await client.answer(99)
            assert list(client.answers) == [99]

    run_with_timeout(scene)


def closes(client: Client, number: int) -> Awaitable[None]:
    return client.stream.send_eof()


async def resets(client: Client, number: int) -> None:
    client.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    await trio.aclose_forcefully(client.stream)


Leave = Callable[[Client, int], Awaitable[None]]


WAYS_TO_LEAVE = [send_cancel, closes, resets]


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_no_attempt_begins_for_a_client_that_leaves_during_the_connect_to_an_engine(leave: Leave) -> None:
    async def scene() -> None:
        async with engine() as rest_engine, run_in_process(config(rest_engine.address)) as node:
            gate = hold_connects(node)
            node.pool.connect_timeout_ms = 20_000.0
            client = await connect(node)
            number = await client.send_request(limit="20000")
            await until(lambda: gate.held)
            await leave(client, number)
            await until(lambda: not node.coordinator.live)
            gate.open.set()
            await until(lambda: rest_engine.calls["connections"])
            await wait_all_tasks_blocked(0.05)
            assert not rest_engine.posts
            assert node.counters["client.disconnected"] == 1
            # The connection that was opened for it serves another client.
            other = await connect(node)
            assert await other.answer(await other.send_request(txn="00000000000000aa")) == (None, ROWS)
            assert rest_engine.calls["connections"] == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_no_attempt_begins_for_a_client_that_leaves_while_the_pool_has_no_capacity(leave: Leave) -> None:
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            node.pool.resize(1)
            first, client = await connect(node), await connect(node)
            await first.send_request(limit="20000", txn="00000000000000aa")
            await until(lambda: rest_engine.posts)
            number = await client.send_request(limit="20000")
            await until(lambda: node.pool._capacity_waiters)
            await leave(client, number)
            await until(lambda: not node.pool._capacity_waiters and len(node.coordinator.live) == 1)
            await first.stream.send_eof()
            await until(lambda: rest_engine.deleted)
            await wait_all_tasks_blocked(0.05)
            assert len(rest_engine.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize(
    ("leave", "taken"),
    [(send_cancel, False), (send_cancel, True), (closes, False), (closes, True), (resets, False)],
)
def test_no_retry_begins_for_a_client_whose_cancellation_or_disconnect_is_not_handled_yet(
    monkeypatch: pytest.MonkeyPatch, leave: Leave, taken: bool
) -> None:
    # Guards against a retry for a client that has left, because its cancellation or disconnect is unread when
    # the first attempt ends, or has been read and is not handled yet.
    gate, answer = hold_reads(monkeypatch, taken), trio.Event()
    gate.open.set()

    async def full(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        await answer.wait()
        return 503, {"X-Unrun": "1"}, b""

    async def scene() -> None:
        async with (
            engine(full) as first_engine,
            engine(full) as second_engine,
            run_in_process(config(first_engine.address, second_engine.address)) as node,
        ):
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            number = await client.send_request(limit="20000")
            await until(lambda: first_engine.posts or second_engine.posts)
            gate.open = trio.Event()
            await leave(client, number)
            if leave is not resets:  # nothing can be read after a reset
                await until(lambda: gate.held)
            answer.set()
            await until(lambda: node.counters["sent.lookup"] == 2)  # the gateway has decided on a retry
            with trio.move_on_after(0.3):  # it could begin at once, on an open connection
                await until(lambda: first_engine.posts and second_engine.posts)
            gate.open.set()
            await until(lambda: not node.coordinator.live)
            await wait_all_tasks_blocked(0.05)
            assert len(first_engine.posts) + len(second_engine.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_query_whose_client_has_left_is_deleted_at_its_engine(leave: Leave) -> None:
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            client = await connect(node)
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: rest_engine.posts)
            await leave(client, number)
            await until(lambda: rest_engine.deleted)
            await until(lambda: not node.coordinator.live)
            assert len(rest_engine.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("leave", [None, *WAYS_TO_LEAVE])
def test_a_load_that_may_have_run_does_not_run_again_under_its_id(leave: Leave | None) -> None:
    # Guards against a load that runs twice because its id comes again later, with or without an answer.
    async def scene() -> None:
        script = serve_at_once if leave is None else never_finish
        async with engine(script) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            client = await connect(node)
            number = await client.send_request("meter-load", limit="20000", txn="a" * 16)
            if leave is None:
                assert await client.answer(number) == (None, ROWS)
            else:
                await until(lambda: rest_engine.posts)
                await leave(client, number)
            await until(lambda: not node.coordinator.live)
            rest_engine.script = serve_at_once
            other = await connect(node)
            error, _ = await other.answer(await other.send_request("meter-load", txn="A" * 16))
            assert error[0] != "Overloaded"  # which would say that a repeat is harmless
            assert await other.answer(await other.send_request("meter-load", txn="b" * 16)) == (None, ROWS)
            assert len(rest_engine.posts) == 2

    run_with_timeout(scene)


def test_a_load_that_has_not_run_may_come_again_under_its_id() -> None:
    async def scene() -> None:
        async with engine() as rest_engine, run_in_process(config()) as node:
            client = await connect(node)
            error, _ = await client.answer(await client.send_request("meter-load", txn="a" * 16))
            assert error[0] == "Overloaded"  # there is no engine
            node.coordinator.update_engines(
                ListUpdateKind.FULL, [Engine(EngineEntry("s-1"), rest_engine.address)]
            )
            assert await client.answer(await client.send_request("meter-load", txn="a" * 16)) == (None, ROWS)

    run_with_timeout(scene)


def test_the_ids_of_past_loads_are_bounded() -> None:
    history = LoadHistory()
    for number in range(MAX_REMEMBERED_LOADS + 1):
        history.add(f"{number:016x}")
    assert f"{0:016x}" not in history
    assert f"{MAX_REMEMBERED_LOADS:016X}" in history
