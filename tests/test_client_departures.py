"""Clients that cancel, close or reset: nothing further is begun, and engines are given up."""

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
)


def test_queries_given_up_one_after_the_other_cost_no_new_connections() -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, program(config(one.address)) as node:
            client = await node.client()
            for number in range(1, 9):
                await client.send_request("settlement", limit="20000")
                asked = one.calls["GET"]
                while len(one.posts) < number or one.calls["GET"] == asked:
                    await trio.sleep(0.02)
                await client.send([2, "cancelRequest", [number]])
                while len(one.deleted) < number:
                    await trio.sleep(0.02)
                await trio.sleep(0.1)
            assert one.calls["connections"] <= 2  # one that asks, one beside it

    run_with_timeout(scene)


def test_a_post_that_nobody_waits_for_any_more_cannot_be_read_late() -> None:
    """A machine that was cut off and comes back reads what is in its open connections."""
    ends: list[bool] = []

    async def cut_off(stream: trio.SocketStream) -> None:
        first = await stream.receive_some(65536)
        if not bytes(first).startswith(b"POST"):
            await trio.sleep_forever()  # the DELETE finds nobody
        with trio.move_on_after(0.4) as late, suppress(trio.BrokenResourceError):
            await stream.receive_some(65536)
        ends.append(not late.cancelled_caught)

    async def scene() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, cut_off, 0, host="127.0.0.1"))
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            async with program(config(address)) as node:
                client = await node.client()
                await client.send_request("settlement", limit="20000")
                await trio.sleep(0.1)
                await client.send([2, "cancelRequest", [1]])
                while not ends:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        assert ends == [True]

    run_with_timeout(scene)


def test_what_is_withdrawn_before_its_turn_leaves_nothing_behind() -> None:
    async def scene() -> None:
        deadlines, counters = Deadlines(), Counters()
        settings = parse(config()).settings
        coordinator = Coordinator(settings, 1, {}, deadlines, counters)
        async with trio.open_nursery() as nursery:
            await nursery.start(coordinator.run)
            coordinator.update_engines(ListUpdateKind.FULL, [Engine(EngineEntry("s-1"), "127.0.0.1:1")])
            query = Query("0" * 16, "lookup", 0, 0, 3000.0, b"")
            for _ in range(50):  # before the task has begun
                coordinator.client_disconnected(coordinator.submit(query, PendingReply()))
            for _ in range(5):  # a fault in the transport, here that there is none, ends the attempt as well
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


def test_a_cancelled_request_gets_no_answer_and_leaves_its_engine() -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, program(config(one.address)) as node:
            client = await node.client()
            number = await client.send_request()
            while not one.posts:
                await trio.sleep(0.01)
            await client.send([2, "cancelRequest", [number]])
            while not one.deleted:
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


Leaves = Callable[[Client, int], Awaitable[None]]


LEAVES = [send_cancel, closes, resets]


@pytest.mark.parametrize("leave", LEAVES)
def test_nothing_is_begun_for_a_client_that_leaves_while_a_connection_comes_up(leave: Leaves) -> None:
    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            gate = hold_connects(node)
            node.pool.connect_timeout_ms = 20_000.0
            client = await connect(node)
            number = await client.send_request(limit="20000")
            await until(lambda: gate.held)
            await leave(client, number)
            await until(lambda: not node.coordinator.live)
            gate.open.set()
            await until(lambda: one.calls["connections"])
            await wait_all_tasks_blocked(0.05)
            assert not one.posts
            assert node.counters["client.disconnected"] == 1
            asks = await connect(node)  # what was begun for it serves another
            assert await asks.answer(await asks.send_request(txn="00000000000000aa")) == (None, ROWS)
            assert one.calls["connections"] == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("leave", LEAVES)
def test_nothing_is_begun_for_a_client_that_leaves_while_there_is_no_room(leave: Leaves) -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, run_in_process(config(one.address)) as node:
            node.pool.resize(1)
            first, client = await connect(node), await connect(node)
            await first.send_request(limit="20000", txn="00000000000000aa")
            await until(lambda: one.posts)
            number = await client.send_request(limit="20000")
            await until(lambda: node.pool._capacity_waiters)
            await leave(client, number)
            await until(lambda: not node.pool._capacity_waiters and len(node.coordinator.live) == 1)
            await first.stream.send_eof()
            await until(lambda: one.deleted)
            await wait_all_tasks_blocked(0.05)
            assert len(one.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize(
    ("leave", "taken"),
    [(send_cancel, False), (send_cancel, True), (closes, False), (closes, True), (resets, False)],
)
def test_nothing_further_is_begun_for_a_client_whose_leaving_is_not_heeded_yet(
    monkeypatch: pytest.MonkeyPatch, leave: Leaves, taken: bool
) -> None:
    """Its word stands unread while the first attempt ends, or is read and on its way to being taken."""
    gate, answer = hold_reads(monkeypatch, taken), trio.Event()
    gate.open.set()

    async def full(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        await answer.wait()
        return 503, {"X-Unrun": "1"}, b""

    async def scene() -> None:
        async with (
            engine(full) as one,
            engine(full) as two,
            run_in_process(config(one.address, two.address)) as node,
        ):
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            number = await client.send_request(limit="20000")
            await until(lambda: one.posts or two.posts)
            gate.open = trio.Event()
            await leave(client, number)
            if leave is not resets:  # which nothing can be read from
                await until(lambda: gate.held)
            answer.set()
            await until(lambda: node.counters["sent.lookup"] == 2)  # the module has ordered a further attempt
            with trio.move_on_after(0.3):  # it could go at once, on a connection that is open
                await until(lambda: one.posts and two.posts)
            gate.open.set()
            await until(lambda: not node.coordinator.live)
            await wait_all_tasks_blocked(0.05)
            assert len(one.posts) + len(two.posts) == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("leave", LEAVES)
def test_a_query_whose_client_has_gone_is_given_up_at_its_engine(leave: Leaves) -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, run_in_process(config(one.address)) as node:
            client = await connect(node)
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: one.posts)
            await leave(client, number)
            await until(lambda: one.deleted)
            await until(lambda: not node.coordinator.live)
            assert len(one.posts) == 1

    run_with_timeout(scene)
