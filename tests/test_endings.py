"""What is still owed when something ends, with the bad order forced: each row of docs/design/endings.md.

Real connections throughout. Where an order cannot be forced from outside, the program runs within this
process, and one of its parts is held at a barrier.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import msgpack
import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from fordstair.net.engines.errors import ConnectTimeoutError
from fordstair.net.engines.pool import ConnectionPool
from fordstair.net.engines.pooled_connection import PooledConnection
from fordstair.program import Program as Coordination
from fordstair.runtime.clock import monotonic_now
from tests.standins import (
    SETTINGS,
    Answered,
    Client,
    RestEngine,
    at_once,
    breaks,
    config,
    connect,
    engine,
    inside,
    never,
)
from tests.test_failings import channel, frame
from tests.test_platform import ROWS, play
from tests.test_rough import HALF, ends

BODY = b"SELECT a FROM sales_17.orders"


async def until(true: Callable[[], object], within_s: float = 10.0) -> None:
    """Wait for a state, not for a time."""
    with trio.fail_after(within_s):
        while not true():
            await trio.sleep(0.002)


def cancels(client: Client, number: int) -> Awaitable[None]:
    return client.send([2, "cancelRequest", [number]])


def closes(client: Client, number: int) -> Awaitable[None]:
    return client.stream.send_eof()


async def resets(client: Client, number: int) -> None:
    client.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    await trio.aclose_forcefully(client.stream)


Leaves = Callable[[Client, int], Awaitable[None]]
LEAVES = [cancels, closes, resets]


class Gate:
    """Holds whoever comes to it until it is opened."""

    def __init__(self) -> None:
        self.open, self.held = trio.Event(), 0

    async def __call__(self) -> None:
        self.held += not self.open.is_set()
        await self.open.wait()


def hold_connects(one: Coordination) -> Gate:
    """Connections to engines come up once the gate is opened."""
    gate, connects = Gate(), one.pool.connector.connect

    async def late(endpoint: Any, timeout_ms: float) -> PooledConnection:
        await gate()
        return await connects(endpoint, timeout_ms)

    one.pool.connector.connect = late  # type: ignore[method-assign]
    return gate


def hold_reads(monkeypatch: pytest.MonkeyPatch, taken: bool) -> Gate:
    """What clients send is read once the gate is opened; or it is read before, and on its way until then.

    The second is what trio does as well: between a read that succeeds at once and its return others run.
    """
    gate, reads = Gate(), trio.SocketStream.receive_some

    async def held(stream: trio.SocketStream, most: int | None = None) -> bytes:
        if most != 65_536 or stream.socket.getsockname()[1] not in gate.ports:  # type: ignore[attr-defined]
            return await reads(stream, most)
        if taken:
            data = await reads(stream, most)
            with trio.move_on_after(10.0, shield=True):  # a test that has failed must end
                await gate()
            return data
        await gate()
        return await reads(stream, most)

    gate.ports = set[int]()  # type: ignore[attr-defined]
    monkeypatch.setattr(trio.SocketStream, "receive_some", held)
    return gate


# --- a client that leaves while its request waits -------------------------------------------------


@pytest.mark.parametrize("leave", LEAVES)
def test_nothing_is_begun_for_a_client_that_leaves_while_a_connection_comes_up(leave: Leaves) -> None:
    async def scene() -> None:
        async with engine() as one, inside(config(one.address)) as node:
            gate = hold_connects(node)
            node.pool.connect_timeout_ms = 20_000.0
            client = await connect(node)
            number = await client.ask(limit="20000")
            await until(lambda: gate.held)
            await leave(client, number)
            await until(lambda: not node.coordinator.live)
            gate.open.set()
            await until(lambda: one.calls["connections"])
            await wait_all_tasks_blocked(0.05)
            assert not one.posts
            assert node.counters["client.left"] == 1
            asks = await connect(node)  # what was begun for it serves another
            assert await asks.answer(await asks.ask(txn="00000000000000aa")) == (None, ROWS)
            assert one.calls["connections"] == 1

    play(scene)


@pytest.mark.parametrize("leave", LEAVES)
def test_nothing_is_begun_for_a_client_that_leaves_while_there_is_no_room(leave: Leaves) -> None:
    async def scene() -> None:
        async with engine(never) as one, inside(config(one.address)) as node:
            node.pool.resize(1)
            first, client = await connect(node), await connect(node)
            await first.ask(limit="20000", txn="00000000000000aa")
            await until(lambda: one.posts)
            number = await client.ask(limit="20000")
            await until(lambda: node.pool._waiting)
            await leave(client, number)
            await until(lambda: not node.pool._waiting and len(node.coordinator.live) == 1)
            await first.stream.send_eof()
            await until(lambda: one.deleted)
            await wait_all_tasks_blocked(0.05)
            assert len(one.posts) == 1

    play(scene)


@pytest.mark.parametrize(
    ("leave", "taken"), [(cancels, False), (cancels, True), (closes, False), (closes, True), (resets, False)]
)
def test_nothing_further_is_begun_for_a_client_whose_leaving_is_not_heeded_yet(
    monkeypatch: pytest.MonkeyPatch, leave: Leaves, taken: bool
) -> None:
    """Its word stands unread while the first attempt ends, or is read and on its way to being taken."""
    gate, answer = hold_reads(monkeypatch, taken), trio.Event()
    gate.open.set()

    async def full(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | bytes | None:
        await answer.wait()
        return 503, {"X-Unrun": "1"}, b""

    async def scene() -> None:
        async with engine(full) as one, engine(full) as two, inside(config(one.address, two.address)) as node:
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            number = await client.ask(limit="20000")
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

    play(scene)


@pytest.mark.parametrize("leave", LEAVES)
def test_a_query_whose_client_has_gone_is_given_up_at_its_engine(leave: Leaves) -> None:
    async def scene() -> None:
        async with engine(never) as one, inside(config(one.address)) as node:
            client = await connect(node)
            number = await client.ask("meter-load", limit="20000")
            await until(lambda: one.posts)
            await leave(client, number)
            await until(lambda: one.deleted)
            await until(lambda: not node.coordinator.live)
            assert len(one.posts) == 1

    play(scene)


# --- connections to clients that end --------------------------------------------------------------


@pytest.mark.parametrize("taken", [False, True])
def test_what_came_before_a_connection_is_shut_is_answered_and_not_sent_on(
    monkeypatch: pytest.MonkeyPatch, taken: bool
) -> None:
    """The program ends while a request lies unread, or is read and on its way to being taken."""
    gate = hold_reads(monkeypatch, taken)
    gate.open.set()

    async def scene() -> None:
        async with engine() as one, inside(config(one.address)) as node:
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            assert await client.answer(await client.ask()) == (None, ROWS)
            gate.open = trio.Event()
            if taken:
                number = await client.ask()
                await until(lambda: gate.held)
            else:
                await client.ask("nonsense")
                await until(lambda: gate.held)
                number = await client.ask()
            node.coordinator.withdraw_all()
            node.rpc.close()
            await wait_all_tasks_blocked(0.05)
            gate.open.set()
            error, _ = await client.answer(number)
            assert error[0] == "Overloaded"
            assert len(one.posts) == 1
            assert await ends(client, 5.0) == b""
            await client.stream.send_eof()
            await until(lambda: not node.rpc.clients)

    play(scene)


def test_a_resting_connection_is_shut_at_the_end_of_a_drain_and_what_crosses_that_is_not_sent_on() -> None:
    async def scene() -> None:
        async with engine() as one, inside(config(one.address)) as node:
            client = await connect(node)
            assert await client.answer(await client.ask()) == (None, ROWS)
            node.stop.set()
            assert await ends(client, 5.0) == b""  # a whole end, no reset
            await client.ask()
            await client.stream.send_eof()
            await until(lambda: not node.rpc.clients)
            assert len(one.posts) == 1

    play(scene)


def test_who_has_connected_when_a_drain_stops_accepting_is_answered() -> None:
    """Connections and their requests lie in the backlog in the moment in which the listener is closed."""

    async def scene() -> None:
        async with engine() as one, inside(config(one.address)) as node:
            ahead = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + ahead[0]
            where = node.listeners[0].socket.getsockname()
            node.stop.set()
            await until(lambda: node.coordinator.draining)
            socks, fields = [], {"limit": "3000", "team": "karri-energy"}
            for number in range(1, 41):  # without a pause: nothing else runs meanwhile
                sock = socket.create_connection(where)
                sock.sendall(msgpack.packb([0, 1, "lookup", [fields | {"txn": f"{number:016x}"}, BODY]]))
                socks.append(sock)
            ahead[0] = 800.0
            node.deadlines.sweep()
            for sock in socks:
                sock.setblocking(False)
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
                error, result = await Client(stream).answer(1)
                assert result == ROWS or error[0] == "Overloaded"

    play(scene)


@pytest.mark.parametrize("pause_s", [0.0, 0.3])
def test_a_message_that_is_written_slowly_costs_no_open_request_its_answer(pause_s: float) -> None:
    async def scene() -> None:
        done = trio.Event()

        async def later(
            one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Answered | bytes | None:
            if not done.is_set():
                await trio.sleep(0.05)
                return 202, {}, b""
            return (
                await at_once(one, method, path, headers, body)
                if method != "GET" or path.endswith("/1")
                else (200, {"X-Sheets": "2"}, b"a\tb\tc\n")
            )

        async with engine(later) as one, inside(config(one.address)) as node:
            client = await connect(node)
            number = await client.ask("meter-load", limit="20000")
            await until(lambda: one.posts)
            second = HALF.replace(b"\x00\x01", b"\x00\x02", 1)
            if pause_s:  # some bytes at a time
                for byte in second:
                    await client.stream.send_all(bytes([byte]))
                    await trio.sleep(pause_s / 10)
            else:  # it stops in its message for good
                await client.stream.send_all(second)
                await trio.sleep(2.6)
            done.set()
            assert await client.answer(number) == (None, ROWS)

    play(scene)


# --- engines that go, and connections to them -----------------------------------------------------


def test_a_connection_in_use_is_not_used_again_once_another_process_has_its_address() -> None:
    told = trio.Event()

    async def held(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | bytes | None:
        if method == "GET":
            await told.wait()
        return await never(one, method, path, headers, body)

    async def scene() -> None:
        async with (
            engine(held) as one,
            channel() as (commands, where),
            inside(config(one.address, channel=where)) as node,
        ):
            client = await connect(node)
            number = await client.ask("meter-load", limit="20000")
            await until(lambda: one.calls["GET"])
            await commands.connected(1)
            await commands.tell(frame(2, (0, one.address, 2)))  # its engine is gone from the list
            await until(lambda: not node.coordinator.engines)
            told.set()
            await until(lambda: one.calls["GET"] > 1)
            await cancels(client, number)
            await until(lambda: one.deleted and not node.coordinator.live)
            opened = one.calls["connections"]
            one.script = at_once
            await commands.tell(frame(3, (9, one.address, 0)))  # a new one is at its address
            await until(lambda: node.coordinator.engines)
            assert node.pool.open == 0
            assert await client.answer(await client.ask()) == (None, ROWS)
            assert one.calls["connections"] == opened + 1

    play(scene)


@pytest.mark.parametrize("kind", [1, 2])
def test_work_on_an_engine_that_the_list_drops_is_answered_from_there(kind: int) -> None:
    async def scene() -> None:
        done = trio.Event()

        async def later(
            one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Answered | bytes | None:
            if method == "GET" and path.endswith("/0") and done.is_set():
                return 200, {"X-Sheets": "2"}, b"a\tb\tc\n"
            if method == "GET" and path.endswith("/1"):
                return await at_once(one, method, path, headers, body)
            return await never(one, method, path, headers, body)

        async with (
            engine(later) as one,
            engine() as two,
            channel() as (commands, where),
            inside(config(one.address, channel=where)) as node,
        ):
            client = await connect(node)
            number = await client.ask("meter-load", limit="20000")
            await until(lambda: one.posts)
            await commands.connected(1)
            await commands.tell(
                frame(2, (7, two.address, 0), kind=1)
                if kind == 1
                else frame(2, (0, one.address, 2), (7, two.address, 0))
            )
            await until(lambda: list(node.coordinator.engines) == ["s-00000007"])
            assert await client.answer(await client.ask()) == (None, ROWS)  # new work goes elsewhere
            done.set()
            assert await client.answer(number) == (None, ROWS)
            assert len(one.posts) == 1
            module = node.coordinator.gateway
            assert not module.attempts
            assert not module.requests

    play(scene)


def test_room_that_was_meant_for_a_call_that_has_just_gone_is_passed_on() -> None:
    """The one that waited first is cancelled in the very moment in which room comes free."""

    async def scene() -> None:
        async with engine(never) as one, inside(config(one.address)) as node:
            pool = node.pool
            pool.resize(1)
            held = await pool.acquire(one.address)
            got, scope = list[PooledConnection](), trio.CancelScope()

            async def wait(mine: trio.CancelScope) -> None:
                with mine:
                    got.append(await pool.acquire(one.address, fresh=True))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, scope)
                await until(lambda: len(pool._waiting) == 1)
                nursery.start_soon(wait, trio.CancelScope())
                await until(lambda: len(pool._waiting) == 2)
                scope.cancel()
                held.desynchronized = True
                pool.release(held)  # before the cancelled one has run
                with trio.fail_after(5.0):
                    await until(lambda: len(got) == 1)
            pool.release(got[0])
            assert pool.open == 1

    play(scene)


def test_a_connection_given_to_a_call_that_has_just_gone_is_not_lost() -> None:
    async def scene() -> None:
        async with engine(never) as one, inside(config(one.address)) as node:
            pool = node.pool
            pool.resize(1)
            held, scope = await pool.acquire(one.address), trio.CancelScope()

            async def wait() -> None:
                with scope:
                    await pool.acquire(one.address)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await until(lambda: pool._waiting)
                scope.cancel()
                pool.release(held)
            with trio.fail_after(5.0):
                assert await pool.acquire(one.address) is held
            assert pool.open == 1
            assert one.calls["connections"] == 1

    play(scene)


def test_a_connection_that_comes_up_late_serves_the_next_query() -> None:
    async def scene() -> None:
        async with engine() as one, inside(config(one.address)) as node:
            gate = hold_connects(node)
            client = await connect(node)
            error, _ = await client.answer(await client.ask())
            assert error[0] == "Overloaded"
            assert not one.posts
            module = node.coordinator.gateway
            assert (
                module.slow_start.warm_up_factor(module.now, module.engines["s-00000000"]) == 1.0
            )  # late is not down
            gate.open.set()
            await until(lambda: node.pool.open == node.counters["engine.connections_late"] > 0)
            await until(lambda: one.calls["connections"] == node.pool.open)
            opened = one.calls["connections"]
            assert await client.answer(await client.ask()) == (None, ROWS)
            assert one.calls["connections"] == opened

    play(scene)


def test_an_engine_to_which_no_connection_comes_up_for_seconds_counts_as_cold_after_that(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("fordstair.net.engines.connection_policies.LATE_CONNECT_TIMEOUT_MS", 100.0)

    async def scene() -> None:
        async with engine() as one, inside(config(one.address)) as node:
            node.pool.connect_timeout_ms = 20.0
            never_up = trio.Event()

            async def nothing(*_: object) -> None:
                await never_up.wait()

            monkeypatch.setattr("trio._socket._SocketType.connect", nothing)
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(failing, node.pool, one.address)
            module = node.coordinator.gateway
            assert module.slow_start.warm_up_factor(module.now, module.engines["s-00000000"]) == 1.0
            await until(lambda: module.engines["s-00000000"].unreachable_at)
            assert module.slow_start.warm_up_factor(module.now, module.engines["s-00000000"]) < 1.0
            assert node.pool.open == 0

    play(scene)


async def failing(pool: ConnectionPool, address: str) -> None:
    with pytest.raises(ConnectTimeoutError):  # in particular no ConnectRefusedError
        await pool.acquire(address)


def test_few_connections_are_left_coming_up_to_a_machine_that_never_answers() -> None:
    async def scene() -> None:
        async with engine() as one, inside(config(one.address)) as node:
            hold_connects(node)
            node.pool.connect_timeout_ms = 20.0
            client = await connect(node)
            for _ in range(12):
                error, _ = await client.answer(await client.ask())
                assert error[0] == "Overloaded"
            await wait_all_tasks_blocked(0.05)
            assert node.pool.open <= 2

    play(scene)


# --- repeats within their window ------------------------------------------------------------------


def keyed(window_ms: float) -> dict[str, Any]:
    """Settings whose first class may be repeated within a window."""
    first = SETTINGS["categories"][0] | {"effect": "idempotency_key", "memorySpanMs": window_ms}
    return SETTINGS | {"categories": [first, *SETTINGS["categories"][1:]]}


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(late: bool) -> None:
    async def scene() -> None:
        async with engine(breaks) as one, inside(config(one.address, settings=keyed(5_000.0))) as node:
            ahead = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + ahead[0]
            node.pool.connect_timeout_ms = 20_000.0
            client, gate = await connect(node), list[Gate]()

            async def breaks_once(
                one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
            ) -> Answered | bytes | None:
                if method == "GET" and len(one.posts) == 1:
                    if one.calls["GET"] == 2:  # it is asked twice before it counts as lost
                        gate.append(hold_connects(node))  # for the further attempt
                    return b"HTTP/1.1 500 Lost\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                return await (breaks if len(one.posts) == 1 else at_once)(one, method, path, headers, body)

            one.script = breaks_once
            number = await client.ask(limit="20000")
            await until(lambda: gate and gate[0].held)
            ahead[0] = 4_700.0 if late else 0.0
            gate[0].open.set()
            error, result = await client.answer(number)
            assert (error, len(one.posts)) == (["Overloaded", error[1]], 1) if late else result == ROWS

    play(scene)
