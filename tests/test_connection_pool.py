"""The pool of connections to engines: capacity, late connects and retries."""

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


def test_connects_that_fail_at_once_are_retried_with_a_pause() -> None:
    class UnreachablePool:
        tries = 0

        async def acquire(self, address: str, *, fresh: bool = False) -> PooledConnection:
            self.tries += 1
            raise ConnectError("no route")

    async def scene() -> None:
        pool, deadlines = UnreachablePool(), Deadlines()
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


def test_a_connection_in_use_is_not_reused_once_another_engine_has_its_address() -> None:
    removed = trio.Event()

    async def hold_first_poll(
        rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        if method == "GET":
            await removed.wait()
        return await never_finish(rest_engine, method, path, headers, body)

    async def scene() -> None:
        async with (
            engine(hold_first_poll) as rest_engine,
            channel() as (commands, where),
            run_in_process(config(rest_engine.address, channel=where)) as node,
        ):
            client = await connect(node)
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: rest_engine.calls["GET"])
            await commands.wait_connected(1)
            await commands.send(frame(2, (0, rest_engine.address, 2)))  # its engine is removed from the list
            await until(lambda: not node.coordinator.engines)
            removed.set()
            await until(lambda: rest_engine.calls["GET"] > 1)
            await send_cancel(client, number)
            await until(lambda: rest_engine.deleted and not node.coordinator.live)
            opened = rest_engine.calls["connections"]
            rest_engine.script = serve_at_once
            await commands.send(frame(3, (9, rest_engine.address, 0)))  # a new engine has its address
            await until(lambda: node.coordinator.engines)
            assert node.pool.connection_count == 0
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert rest_engine.calls["connections"] == opened + 1

    run_with_timeout(scene)


def test_capacity_offered_to_a_cancelled_call_is_passed_on_to_the_next_one() -> None:
    # Guards against capacity that is lost when the call that has waited longest is cancelled at the moment at
    # which it is woken up.
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            pool = node.pool
            pool.resize(1)
            in_use = await pool.acquire(rest_engine.address)
            acquired, scope = list[PooledConnection](), trio.CancelScope()

            async def wait(own_scope: trio.CancelScope) -> None:
                with own_scope:
                    acquired.append(await pool.acquire(rest_engine.address, fresh=True))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, scope)
                await until(lambda: len(pool._capacity_waiters) == 1)
                nursery.start_soon(wait, trio.CancelScope())
                await until(lambda: len(pool._capacity_waiters) == 2)
                scope.cancel()
                in_use.desynchronized = True
                pool.release(in_use)  # before the cancelled task has run
                with trio.fail_after(5.0):
                    await until(lambda: len(acquired) == 1)
            pool.release(acquired[0])
            assert pool.connection_count == 1

    run_with_timeout(scene)


def test_a_connection_assigned_to_a_cancelled_call_returns_to_the_pool() -> None:
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            pool = node.pool
            pool.resize(1)
            in_use, scope = await pool.acquire(rest_engine.address), trio.CancelScope()

            async def wait() -> None:
                with scope:
                    await pool.acquire(rest_engine.address)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait)
                await until(lambda: pool._capacity_waiters)
                scope.cancel()
                pool.release(in_use)
            with trio.fail_after(5.0):
                assert await pool.acquire(rest_engine.address) is in_use
            assert pool.connection_count == 1
            assert rest_engine.calls["connections"] == 1

    run_with_timeout(scene)


def test_a_connection_established_late_serves_the_next_query() -> None:
    async def scene() -> None:
        async with engine() as rest_engine, run_in_process(config(rest_engine.address)) as node:
            gate = hold_connects(node)
            client = await connect(node)
            error, _ = await client.answer(await client.send_request())
            assert error[0] == "Overloaded"
            assert not rest_engine.posts
            gateway = node.coordinator.gateway
            # A late connection does not show that the engine is down.
            assert gateway.slow_start.warm_up_factor(gateway.now, gateway.engines["s-00000000"]) == 1.0
            gate.open.set()
            await until(lambda: node.pool.connection_count == node.counters["engine.connections_late"] > 0)
            await until(lambda: rest_engine.calls["connections"] == node.pool.connection_count)
            opened = rest_engine.calls["connections"]
            assert await client.answer(await client.send_request()) == (None, ROWS)
            assert rest_engine.calls["connections"] == opened

    run_with_timeout(scene)


def test_an_engine_counts_as_cold_once_a_late_connect_has_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("fordstair.net.engines.connection_policies.LATE_CONNECT_TIMEOUT_MS", 100.0)

    async def scene() -> None:
        async with engine() as rest_engine, run_in_process(config(rest_engine.address)) as node:
            node.pool.connect_timeout_ms = 20.0
            never_up = trio.Event()

            async def never_connects(*_: object) -> None:
                await never_up.wait()

            monkeypatch.setattr("trio._socket._SocketType.connect", never_connects)
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(expect_connect_timeout, node.pool, rest_engine.address)
            gateway = node.coordinator.gateway
            assert gateway.slow_start.warm_up_factor(gateway.now, gateway.engines["s-00000000"]) == 1.0
            await until(lambda: gateway.engines["s-00000000"].unreachable_at)
            assert gateway.slow_start.warm_up_factor(gateway.now, gateway.engines["s-00000000"]) < 1.0
            assert node.pool.connection_count == 0

    run_with_timeout(scene)


async def expect_connect_timeout(pool: ConnectionPool, address: str) -> None:
    with pytest.raises(ConnectTimeoutError):  # and in particular no ConnectRefusedError
        await pool.acquire(address)


def test_few_late_connects_are_kept_to_an_engine_that_never_accepts() -> None:
    async def scene() -> None:
        async with engine() as rest_engine, run_in_process(config(rest_engine.address)) as node:
            hold_connects(node)
            node.pool.connect_timeout_ms = 20.0
            client = await connect(node)
            for _ in range(12):
                error, _ = await client.answer(await client.send_request())
                assert error[0] == "Overloaded"
            await wait_all_tasks_blocked(0.05)
            assert node.pool.connection_count <= 2

    run_with_timeout(scene)


def settings_with_idempotency_key(window_ms: float) -> dict[str, Any]:
    """Return settings whose first class has an idempotency key and this deduplication window."""
    first = SETTINGS["categories"][0] | {"effect": "idempotency_key", "memorySpanMs": window_ms}
    return SETTINGS | {"categories": [first, *SETTINGS["categories"][1:]]}


@pytest.mark.parametrize("late", [False, True])
def test_a_retry_whose_connection_is_established_after_the_deduplication_window_is_not_sent(
    late: bool,
) -> None:
    async def scene() -> None:
        async with (
            engine(break_connection) as rest_engine,
            run_in_process(
                config(rest_engine.address, settings=settings_with_idempotency_key(5_000.0))
            ) as node,
        ):
            clock_offset_ms = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + clock_offset_ms[0]
            node.pool.connect_timeout_ms = 20_000.0
            client, gates = await connect(node), list[Gate]()

            async def breaks_once(
                rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
            ) -> Response | bytes | None:
                if method == "GET" and len(rest_engine.posts) == 1:
                    if rest_engine.calls["GET"] == 2:  # the result counts as lost after two polls
                        gates.append(hold_connects(node))  # holds the connect of the retry
                    return b"HTTP/1.1 500 Lost\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                return await (break_connection if len(rest_engine.posts) == 1 else serve_at_once)(
                    rest_engine, method, path, headers, body
                )

            rest_engine.script = breaks_once
            number = await client.send_request(limit="20000", unique="55cf377728d8d2bd")
            await until(lambda: gates and gates[0].held)
            clock_offset_ms[0] = 4_700.0 if late else 0.0
            gates[0].open.set()
            error, result = await client.answer(number)
            assert (
                (error, len(rest_engine.posts)) == (["Overloaded", error[1]], 1) if late else result == ROWS
            )

    run_with_timeout(scene)
