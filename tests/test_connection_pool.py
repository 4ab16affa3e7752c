"""The pool of connections to engines: capacity, late connects, retries."""

from __future__ import annotations

from typing import Any

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from fordstair.core.ports import AttemptRequest, Engine, Query
from fordstair.decisions.engine_list import EngineEntry
from fordstair.net.engines.endpoint import PooledConnection
from fordstair.net.engines.errors import ConnectError, ConnectTimeoutError
from fordstair.net.engines.pool import ConnectionPool
from fordstair.net.engines.rest import RestTransport
from fordstair.runtime.clock import monotonic_now
from fordstair.runtime.deadlines import Deadlines
from tests.scenes import ROWS, Gate, channel, frame, hold_connects, run_with_timeout, send_cancel, until
from tests.standins import (
    SETTINGS,
    Response,
    RestEngine,
    break_connection,
    config,
    connect,
    engine,
    never_finish,
    run_in_process,
    serve_at_once,
)


def test_a_connect_that_fails_at_once_is_not_tried_without_a_pause() -> None:
    class Unreachable:
        tries = 0

        async def acquire(self, address: str, *, fresh: bool = False) -> PooledConnection:
            self.tries += 1
            raise ConnectError("no route")

    async def scene() -> None:
        pool, deadlines = Unreachable(), Deadlines()
        engine = Engine(EngineEntry("s-1"), "10.0.0.1:1")
        attempt_request = AttemptRequest(Query("0" * 16, "lookup", 0, 0, 1000.0, b""), engine, 1, 1000.0)
        call = RestTransport(pool, deadlines, ()).call(attempt_request)  # type: ignore[arg-type]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            with trio.move_on_after(0.3):
                await call.poll()
            nursery.cancel_scope.cancel()
        assert 1 <= pool.tries <= 8

    run_with_timeout(scene)


def test_a_connection_in_use_is_not_used_again_once_another_process_has_its_address() -> None:
    told = trio.Event()

    async def held(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        if method == "GET":
            await told.wait()
        return await never_finish(one, method, path, headers, body)

    async def scene() -> None:
        async with (
            engine(held) as one,
            channel() as (commands, where),
            run_in_process(config(one.address, channel=where)) as node,
        ):
            client = await connect(node)
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: one.calls["GET"])
            await commands.wait_connected(1)
            await commands.send(frame(2, (0, one.address, 2)))  # its engine is gone from the list
            await until(lambda: not node.coordinator.engines)
            told.set()
            await until(lambda: one.calls["GET"] > 1)
            await send_cancel(client, number)
            await until(lambda: one.deleted and not node.coordinator.live)
            opened = one.calls["connections"]
            one.script = serve_at_once
            await commands.send(frame(3, (9, one.address, 0)))  # a new one is at its address
            await until(lambda: node.coordinator.engines)
            assert node.pool.connection_count == 0
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert one.calls["connections"] == opened + 1

    run_with_timeout(scene)


def test_room_that_was_meant_for_a_call_that_has_just_gone_is_passed_on() -> None:
    """The one that waited first is cancelled in the very moment in which room comes free."""

    async def scene() -> None:
        async with engine(never_finish) as one, run_in_process(config(one.address)) as node:
            pool = node.pool
            pool.resize(1)
            held = await pool.acquire(one.address)
            got, scope = list[PooledConnection](), trio.CancelScope()

            async def wait(mine: trio.CancelScope) -> None:
                with mine:
                    got.append(await pool.acquire(one.address, fresh=True))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, scope)
                await until(lambda: len(pool._capacity_waiters) == 1)
                nursery.start_soon(wait, trio.CancelScope())
                await until(lambda: len(pool._capacity_waiters) == 2)
                scope.cancel()
                held.desynchronized = True
                pool.release(held)  # before the cancelled one has run
                with trio.fail_after(5.0):
                    await until(lambda: len(got) == 1)
            pool.release(got[0])
            assert pool.connection_count == 1

    run_with_timeout(scene)


def test_a_connection_given_to_a_call_that_has_just_gone_is_not_lost() -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, run_in_process(config(one.address)) as node:
            pool = node.pool
            pool.resize(1)
            held, scope = await pool.acquire(one.address), trio.CancelScope()

            async def wait() -> None:
                with scope:
                    await pool.acquire(one.address)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await until(lambda: pool._capacity_waiters)
                scope.cancel()
                pool.release(held)
            with trio.fail_after(5.0):
                assert await pool.acquire(one.address) is held
            assert pool.connection_count == 1
            assert one.calls["connections"] == 1

    run_with_timeout(scene)


def test_a_connection_that_comes_up_late_serves_the_next_query() -> None:
    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            gate = hold_connects(node)
            client = await connect(node)
            error, _ = await client.answer(await client.send_request())
            assert error[0] == "Overloaded"
            assert not one.posts
            module = node.coordinator.gateway
            assert (
                module.slow_start.warm_up_factor(module.now, module.engines["s-00000000"]) == 1.0
            )  # late is not down
            gate.open.set()
            await until(lambda: node.pool.connection_count == node.counters["engine.connections_late"] > 0)
            await until(lambda: one.calls["connections"] == node.pool.connection_count)
            opened = one.calls["connections"]
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert one.calls["connections"] == opened

    run_with_timeout(scene)


def test_an_engine_to_which_no_connection_comes_up_for_seconds_counts_as_cold_after_that(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("fordstair.net.engines.connection_policies.LATE_CONNECT_TIMEOUT_MS", 100.0)

    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
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
            assert node.pool.connection_count == 0

    run_with_timeout(scene)


async def failing(pool: ConnectionPool, address: str) -> None:
    with pytest.raises(ConnectTimeoutError):  # in particular no ConnectRefusedError
        await pool.acquire(address)


def test_few_connections_are_left_coming_up_to_a_machine_that_never_answers() -> None:
    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            hold_connects(node)
            node.pool.connect_timeout_ms = 20.0
            client = await connect(node)
            for _ in range(12):
                error, _ = await client.answer(await client.send_request())
                assert error[0] == "Overloaded"
            await wait_all_tasks_blocked(0.05)
            assert node.pool.connection_count <= 2

    run_with_timeout(scene)


def keyed(window_ms: float) -> dict[str, Any]:
    """Settings whose first class may be repeated within a window."""
    first = SETTINGS["categories"][0] | {"effect": "idempotency_key", "memorySpanMs": window_ms}
    return SETTINGS | {"categories": [first, *SETTINGS["categories"][1:]]}


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(late: bool) -> None:
    async def scene() -> None:
        async with (
            engine(break_connection) as one,
            run_in_process(config(one.address, settings=keyed(5_000.0))) as node,
        ):
            ahead = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + ahead[0]
            node.pool.connect_timeout_ms = 20_000.0
            client, gate = await connect(node), list[Gate]()

            async def breaks_once(
                one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
            ) -> Response | bytes | None:
                if method == "GET" and len(one.posts) == 1:
                    if one.calls["GET"] == 2:  # it is asked twice before it counts as lost
                        gate.append(hold_connects(node))  # for the further attempt
                    return b"HTTP/1.1 500 Lost\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                return await (break_connection if len(one.posts) == 1 else serve_at_once)(
                    one, method, path, headers, body
                )

            one.script = breaks_once
            number = await client.send_request(limit="20000", unique="55cf377728d8d2bd")
            await until(lambda: gate and gate[0].held)
            ahead[0] = 4_700.0 if late else 0.0
            gate[0].open.set()
            error, result = await client.answer(number)
            assert (error, len(one.posts)) == (["Overloaded", error[1]], 1) if late else result == ROWS

    run_with_timeout(scene)
