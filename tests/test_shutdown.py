"""Draining: what is open is answered, and the process ends in time."""

from __future__ import annotations

import os
import signal
import socket
import time

import msgpack
import pytest
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from fordstair.configuration.platform import parse
from fordstair.core.ports import Engine, Query
from fordstair.decisions.engine_list import EngineEntry, ListUpdateKind
from fordstair.net.clients.listener import ClientListener
from fordstair.net.clients.odata_statements import PendingReply
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.program import Program as Coordination
from fordstair.program.signal_arrivals import noting_arrivals
from fordstair.runtime.clock import monotonic_now
from tests.scenes import ROWS, EndlessTransport, Gate, hold_reads, read_to_end, run_with_timeout, until
from tests.standins import (
    SETTINGS,
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


def test_sigterm_answers_what_is_open_and_takes_more_for_a_while() -> None:
    async def scene() -> None:
        async with engine(never_finish) as one, program(config(one.address)) as node:
            client = await node.client()
            first = await client.send_request(limit="60000")
            while not one.posts:
                await trio.sleep(0.01)
            start = time.monotonic()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.stop)
                await trio.sleep(0.1)
                late = await (other := await node.client()).send_request(limit="60000", txn="f" * 16)
                assert (await client.answer(first))[0][0] == "Overloaded"
                assert (await other.answer(late))[0][0] == "Overloaded"
            assert time.monotonic() - start < 15.0
            assert node.process.returncode == 0

    run_with_timeout(scene)


async def submit_endless(one: Coordination, nursery: trio.Nursery) -> PendingReply:
    """Start a program's core with a request whose attempt never ends."""
    nursery.start_soon(one.deadlines.run)
    await nursery.start(one.coordinator.run)
    reply = PendingReply()
    one.coordinator.update_engines(ListUpdateKind.FULL, [Engine(EngineEntry("s-1"), "10.0.0.1:1")])
    one.transports["rest"] = EndlessTransport()
    one.coordinator.submit(Query("0" * 16, "settlement", 1, 0, 25_000.0, b""), reply)
    return reply


@pytest.mark.parametrize(("longest_ms", "least_s", "most_s"), [(25_000, 2.9, 3.7), (1_200, 1.2, 1.9)])
def test_a_drain_ends_before_the_platform_kills(longest_ms: int, least_s: float, most_s: float) -> None:
    """SIGKILL comes after the longest deadline, at most 3 s, and 0.7 s more."""
    told = config()
    told["settings"] = SETTINGS | {
        "categories": [spec | {"giveUpMs": longest_ms} for spec in SETTINGS["categories"]]
    }

    async def scene() -> None:
        one, clock = Coordination(parse(told), None, lambda: parse(told)), trio.current_time
        one.deadlines.clock = lambda: clock() * 1_000.0
        async with trio.open_nursery() as nursery:
            reply = await submit_endless(one, nursery)
            start = clock()
            await one.shutdown.drain([])
            assert least_s < clock() - start < most_s
            assert reply.retry_after_ms is not None
            nursery.cancel_scope.cancel()

    trio.run(scene, clock=MockClock(autojump_threshold=0.0))


def test_a_drain_that_begins_past_its_time_still_lets_answers_leave() -> None:
    # Guards against a flush whose time was over before it began, after a pause: answers that never left.
    async def scene() -> None:
        told = config()
        one, clock = Coordination(parse(told), None, lambda: parse(told)), trio.current_time
        one.deadlines.clock = lambda: clock() * 1_000.0
        async with trio.open_nursery() as nursery:
            reply = await submit_endless(one, nursery)
            await wait_all_tasks_blocked()
            await one.shutdown.drain([], one.deadlines.clock() - 3_600.0)
            assert reply.retry_after_ms is not None
            assert not one.coordinator.live  # its task has ended, and what it answered could be written
            nursery.cancel_scope.cancel()

    trio.run(scene, clock=MockClock(autojump_threshold=0.0))


KILL_AFTER_S = 3.7  # SIGKILL at its earliest, from the moment in which SIGTERM is sent


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 1.2, 2.6])
@pytest.mark.parametrize(
    "signals",
    [(signal.SIGTERM,), (signal.SIGINT,), (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGTERM)],
    ids=["SIGTERM", "SIGINT", "series"],
)
def test_a_load_in_flight_is_answered_before_sigkill_though_sigterm_came_in_a_pause(
    signals: tuple[signal.Signals, ...], pause_s: float
) -> None:
    # Guards against a drain that counts its time from when the signal was seen, not from when it was sent.
    async def scene() -> None:
        async with engine(never_finish) as one, program(config(one.address)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: one.posts)
            os.kill(node.process.pid, signal.SIGSTOP)
            start = time.monotonic()
            for each in signals:
                os.kill(node.process.pid, each)
            await trio.sleep(pause_s)
            os.kill(node.process.pid, signal.SIGCONT)
            with trio.fail_after(KILL_AFTER_S - (time.monotonic() - start)):
                error, _ = await client.answer(number)
            assert error[0] == "Internal"

    run_with_timeout(scene)


async def reads_and_hangs(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    """Answer nothing, neither a POST nor the DELETE after it."""
    await trio.sleep_forever()
    return None


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGINT])
def test_a_program_ends_though_an_engine_answers_nothing(end: signal.Signals) -> None:
    # Guards against a bounded wait of the last tasks whose deadline nobody sweeps any more.
    async def scene() -> None:
        async with engine(reads_and_hangs) as one, program(config(one.address)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: one.posts)
            node.process.send_signal(end)
            error, _ = await client.answer(number)
            assert error[0] == "Internal"
            with trio.fail_after(3.0):
                assert await node.process.wait() == 0

    run_with_timeout(scene)


async def hangs_and_resets(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    """Answer nothing, and end the connection of a DELETE."""
    if method != "DELETE":
        await trio.sleep_forever()
    return None


def test_a_query_is_given_up_on_new_connections_until_the_program_has_ended() -> None:
    # Guards against a pool that ends before the last tasks, which connect to delete their queries.
    async def scene() -> None:
        async with engine(hangs_and_resets) as one, program(config(one.address)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: one.posts)
            node.process.send_signal(signal.SIGTERM)
            error, _ = await client.answer(number)
            assert error[0] == "Internal"
            with trio.fail_after(3.0):
                assert await node.process.wait() == 0
            assert not any("Traceback" in line for line in node.log)
            assert one.calls["DELETE"] > 10

    run_with_timeout(scene)


def test_a_pause_that_begins_before_sigkill_and_lasts_over_it_costs_no_answer() -> None:
    # Guards against answers given so shortly before SIGKILL that a pause of the program takes them along.
    async def scene() -> None:
        async with engine(never_finish) as one, program(config(one.address)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: one.posts)
            start = time.monotonic()
            os.kill(node.process.pid, signal.SIGTERM)
            await trio.sleep(KILL_AFTER_S - 0.4)
            os.kill(node.process.pid, signal.SIGSTOP)
            with trio.fail_after(KILL_AFTER_S - (time.monotonic() - start)):
                error, _ = await client.answer(number)
            assert error[0] == "Internal"

    run_with_timeout(scene)


def test_a_signal_that_came_in_a_pause_is_dated_before_it_and_one_to_a_running_program_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against dating a signal by the loop's turn that reports it, after which the pause is forgotten.
    now = [1_000.0]
    monkeypatch.setattr("fordstair.net.clients.poll_watch.monotonic_now", lambda: now[0])

    async def scene() -> None:
        watch = PollWatch()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            await wait_all_tasks_blocked()
            with noting_arrivals([signal.SIGUSR2], watch.earliest_arrival_ms) as arrivals:
                signal.raise_signal(signal.SIGUSR2)
                assert arrivals.take(signal.SIGUSR2) == now[0]
                now[0] += 1_200.0  # the process is stopped, and the signal comes before it goes on
                signal.raise_signal(signal.SIGUSR2)
                for _ in range(3):
                    await trio.lowlevel.checkpoint()
                assert arrivals.take(signal.SIGUSR2) == now[0] - 1_200.0
            nursery.cancel_scope.cancel()

    before = signal.signal(signal.SIGUSR2, lambda *_: None)
    try:
        trio.run(scene)
    finally:
        signal.signal(signal.SIGUSR2, before)


BODY = b"SELECT a FROM sales_17.orders"


@pytest.mark.parametrize("taken", [False, True])
def test_what_came_before_a_connection_is_shut_is_answered_and_not_sent_on(
    monkeypatch: pytest.MonkeyPatch, taken: bool
) -> None:
    """The program ends while a request lies unread, or is read and on its way to being taken."""
    gate = hold_reads(monkeypatch, taken)
    gate.open.set()

    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            gate.open = trio.Event()
            if taken:
                number = await client.send_request()
                await until(lambda: gate.held)
            else:
                await client.send_request("nonsense")
                await until(lambda: gate.held)
                number = await client.send_request()
            node.coordinator.withdraw_all()
            node.rpc.close()
            await wait_all_tasks_blocked(0.05)
            gate.open.set()
            error, _ = await client.answer(number)
            assert error[0] == "Overloaded"
            assert len(one.posts) == 1
            assert await read_to_end(client, 5.0) == b""
            await client.stream.send_eof()
            await until(lambda: not node.rpc.clients)

    run_with_timeout(scene)


def test_what_comes_in_a_pause_at_the_end_of_a_drain_is_answered_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a flush that a pause passes over, and a reset of what was written meanwhile.
    gate = hold_reads(monkeypatch, taken=False)
    gate.open.set()

    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            ahead = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + ahead[0]
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            gate.open = trio.Event()
            await client.send_request("nonsense")
            await until(lambda: gate.held)
            number = await client.send_request()
            node.stop.make(node.deadlines.clock())
            await wait_all_tasks_blocked()
            ahead[0] = 800.0  # past the time for new clients: nothing is open, and the flush begins
            node.deadlines.sweep()
            await until(lambda: node.rpc.closing)
            ahead[0] = 1_800.0  # the program is paused
            node.deadlines.sweep()
            for _ in range(5):
                await trio.lowlevel.checkpoint()
            gate.open.set()
            error, _ = await client.answer(number)
            assert error[0] == "Overloaded"

    run_with_timeout(scene)


def test_a_resting_connection_is_shut_at_the_end_of_a_drain_and_what_crosses_that_is_not_sent_on() -> None:
    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            client = await connect(node)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            node.stop.make(node.deadlines.clock())
            assert await read_to_end(client, 5.0) == b""  # a whole end, no reset
            await client.send_request()
            await client.stream.send_eof()
            await until(lambda: not node.rpc.clients)
            assert len(one.posts) == 1

    run_with_timeout(scene)


def hold_accepts(monkeypatch: pytest.MonkeyPatch, listener: trio.SocketListener) -> Gate:
    """Clients of a listener are accepted once the gate is opened, but for one whose accept is under way."""
    gate, port = Gate(), listener.socket.getsockname()[1]
    run_turn = ClientListener._run_turn

    async def held(one: ClientListener, clients: trio.Nursery) -> None:
        if one._sock.getsockname()[1] == port:
            await gate()
        await run_turn(one, clients)

    monkeypatch.setattr(ClientListener, "_run_turn", held)
    return gate


def test_who_waits_to_be_accepted_for_long_when_a_drain_ends_is_not_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against closing the listener after a fixed time: a busy program has not accepted all by then.
    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            ahead, looks = [0.0], [0]

            def clock() -> float:
                looks[0] += 1
                return monotonic_now() + ahead[0]

            node.deadlines.clock = clock
            gate = hold_accepts(monkeypatch, node.listeners[0])
            node.stop.make(node.deadlines.clock())
            clients = [await connect(node) for _ in range(5)]
            numbers = [await client.send_request(txn=f"{n:016x}") for n, client in enumerate(clients)]
            await until(lambda: gate.held)
            for ms in (800.0, 1_400.0):  # the time for new clients, and half a second more
                ahead[0] = ms
                node.deadlines.sweep()
                seen = looks[0]
                await until(lambda seen=seen: looks[0] > seen + 50)  # type: ignore[misc]
            gate.open.set()
            for client, number in zip(clients, numbers, strict=True):
                error, result = await client.answer(number)
                assert result == ROWS or error[0] == "Overloaded"

    run_with_timeout(scene)


def test_who_has_connected_when_a_drain_stops_accepting_is_answered() -> None:
    """Connections and their requests lie in the backlog in the moment in which the listener is closed."""

    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            ahead = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + ahead[0]
            where = node.listeners[0].socket.getsockname()
            node.stop.make(node.deadlines.clock())
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

    run_with_timeout(scene)
