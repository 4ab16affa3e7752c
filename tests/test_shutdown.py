"""Tests the graceful shutdown: open requests are answered, and the process ends in time."""

from __future__ import annotations

import os
import signal
import socket
import time
from pathlib import Path

import msgpack
import pytest
import trio
import ujson
from trio.testing import MockClock, wait_all_tasks_blocked

from fordstair.configuration.platform import parse
from fordstair.core.ports import Engine, Query
from fordstair.decisions.engine_list import EngineEntry, ListUpdateKind
from fordstair.lab.coordinator_process import CoordinatorProcess
from fordstair.net.clients.listener import ClientListener
from fordstair.net.clients.odata_statements import PendingReply
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.program import Program as CoordinatorProgram
from fordstair.program.signal_arrivals import recording_arrivals
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


def test_sigterm_answers_open_requests_and_accepts_new_ones_for_a_while() -> None:
    async def scene() -> None:
        async with engine(never_finish) as stand_in, program(config(stand_in.address)) as node:
            client = await node.client()
            first = await client.send_request(limit="60000")
            while not stand_in.posts:
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


async def submit_unending(node: CoordinatorProgram, nursery: trio.Nursery) -> PendingReply:
    """Start a program's core and submit a request whose attempt never ends."""
    nursery.start_soon(node.deadlines.run)
    await nursery.start(node.coordinator.run)
    reply = PendingReply()
    node.coordinator.update_engines(ListUpdateKind.FULL, [Engine(EngineEntry("s-1"), "10.0.0.1:1")])
    node.transports["rest"] = EndlessTransport()
    node.coordinator.submit(Query("0" * 16, "settlement", 1, 0, 25_000.0, b""), reply)
    return reply


@pytest.mark.parametrize(("longest_ms", "least_s", "most_s"), [(25_000, 2.9, 3.7), (1_200, 1.2, 1.9)])
def test_a_drain_ends_before_the_platform_sends_sigkill(
    longest_ms: int, least_s: float, most_s: float
) -> None:
    """The platform sends SIGKILL 0.7 s after the longest client deadline, which counts as at most 3 s."""
    document = config()
    document["settings"] = SETTINGS | {
        "categories": [spec | {"giveUpMs": longest_ms} for spec in SETTINGS["categories"]]
    }

    async def scene() -> None:
        node, clock = CoordinatorProgram(parse(document), None, lambda: parse(document)), trio.current_time
        node.deadlines.clock = lambda: clock() * 1_000.0
        async with trio.open_nursery() as nursery:
            reply = await submit_unending(node, nursery)
            start = clock()
            await node.shutdown.drain([])
            assert least_s < clock() - start < most_s
            assert reply.retry_after_ms is not None
            nursery.cancel_scope.cancel()

    trio.run(scene, clock=MockClock(autojump_threshold=0.0))


def test_a_drain_that_begins_after_its_deadline_still_flushes_answers() -> None:
    # Guards against a flush with a deadline that a pause has already passed, so that no answer is written.
    async def scene() -> None:
        document = config()
        node, clock = CoordinatorProgram(parse(document), None, lambda: parse(document)), trio.current_time
        node.deadlines.clock = lambda: clock() * 1_000.0
        async with trio.open_nursery() as nursery:
            reply = await submit_unending(node, nursery)
            await wait_all_tasks_blocked()
            await node.shutdown.drain([], node.deadlines.clock() - 3_600.0)
            assert reply.retry_after_ms is not None
            assert not node.coordinator.live  # its task has ended, so its answer could be written
            nursery.cancel_scope.cancel()

    trio.run(scene, clock=MockClock(autojump_threshold=0.0))


# Runs the program; a signal arrives right before trio unregisters the socket that signals wake it with.
SIGNAL_AT_THE_END = """
import os, signal
signal.signal(signal.SIGALRM, lambda *_: None)
register = signal.set_wakeup_fd
def register_late(fd, **options):
    if fd == -1:
        os.kill(os.getpid(), signal.SIGALRM)
    return register(fd, **options)
signal.set_wakeup_fd = register_late
from fordstair.entry_point import main
raise SystemExit(main())
"""


def test_a_signal_at_the_end_of_the_event_loop_leaves_nothing_on_standard_error(tmp_path: Path) -> None:
    # Guards against "Exception ignored when trying to write to the signal wakeup fd" from a sound program.
    async def scene() -> None:
        configuration = tmp_path / "config.json"
        configuration.write_text(ujson.dumps(config("127.0.0.1:1")))
        process = CoordinatorProcess(
            ["-c", SIGNAL_AT_THE_END], tmp_path / "log", {"RELAY_CONFIG": str(configuration)}
        )
        await process.wait_listening(1)
        process.terminate()
        assert await process.wait() == 0
        assert not [line for line in process.log_lines() if not line.startswith("INFO ")]

    run_with_timeout(scene)


SIGKILL_AFTER_S = 3.7  # the earliest SIGKILL after SIGTERM was sent


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 1.2, 2.6])
@pytest.mark.parametrize(
    "signals",
    [(signal.SIGTERM,), (signal.SIGINT,), (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGTERM)],
    ids=["SIGTERM", "SIGINT", "series"],
)
def test_a_load_in_flight_is_answered_before_sigkill_if_sigterm_arrived_in_a_pause(
    signals: tuple[signal.Signals, ...], pause_s: float
) -> None:
    # Guards against a drain that counts its time from the handling of the signal, not from its sending.
    async def scene() -> None:
        async with engine(never_finish) as stand_in, program(config(stand_in.address)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: stand_in.posts)
            os.kill(node.process.pid, signal.SIGSTOP)
            start = time.monotonic()
            for each in signals:
                os.kill(node.process.pid, each)
            await trio.sleep(pause_s)
            os.kill(node.process.pid, signal.SIGCONT)
            with trio.fail_after(SIGKILL_AFTER_S - (time.monotonic() - start)):
                error, _ = await client.answer(number)
            assert error[0] == "Internal"

    run_with_timeout(scene)


async def never_answers(
    stand_in: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    """Answer neither a POST nor the DELETE after it."""
    await trio.sleep_forever()
    return None


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGINT])
def test_the_program_ends_if_an_engine_never_answers(end: signal.Signals) -> None:
    # Guards against ending the sweep of deadlines before the last tasks, whose bounded waits then never end.
    async def scene() -> None:
        async with engine(never_answers) as stand_in, program(config(stand_in.address)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: stand_in.posts)
            node.process.send_signal(end)
            error, _ = await client.answer(number)
            assert error[0] == "Internal"
            with trio.fail_after(3.0):
                assert await node.process.wait() == 0

    run_with_timeout(scene)


async def closes_connection_on_delete(
    stand_in: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response | None:
    """Answer no request, and close the connection on a DELETE."""
    if method != "DELETE":
        await trio.sleep_forever()
    return None


def test_a_query_is_deleted_over_new_connections_until_the_program_ends() -> None:
    # Guards against a connection pool that ends before the last tasks, which connect to delete queries.
    async def scene() -> None:
        async with engine(closes_connection_on_delete) as stand_in, program(config(stand_in.address)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: stand_in.posts)
            node.process.send_signal(signal.SIGTERM)
            error, _ = await client.answer(number)
            assert error[0] == "Internal"
            with trio.fail_after(3.0):
                assert await node.process.wait() == 0
            assert not any("Traceback" in line for line in node.log)
            assert stand_in.calls["DELETE"] > 10

    run_with_timeout(scene)


def test_a_pause_that_spans_sigkill_loses_no_answer() -> None:
    # Guards against answering so shortly before SIGKILL that a pause of the program loses the answers.
    async def scene() -> None:
        async with engine(never_finish) as stand_in, program(config(stand_in.address)) as node:
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: stand_in.posts)
            start = time.monotonic()
            os.kill(node.process.pid, signal.SIGTERM)
            await trio.sleep(SIGKILL_AFTER_S - 0.4)
            os.kill(node.process.pid, signal.SIGSTOP)
            with trio.fail_after(SIGKILL_AFTER_S - (time.monotonic() - start)):
                error, _ = await client.answer(number)
            assert error[0] == "Internal"

    run_with_timeout(scene)


def test_a_signal_that_arrived_in_a_pause_is_dated_before_the_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against dating a signal once its task runs: the event loop has polled again by then, so the
    # pause before the signal can no longer be detected. A running program dates a signal when it handles it.
    now = [1_000.0]
    monkeypatch.setattr("fordstair.net.clients.poll_watch.monotonic_now", lambda: now[0])

    async def scene() -> None:
        watch = PollWatch()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            await wait_all_tasks_blocked()
            with recording_arrivals([signal.SIGUSR2], watch.earliest_arrival_ms) as arrivals:
                signal.raise_signal(signal.SIGUSR2)
                assert arrivals.take(signal.SIGUSR2) == now[0]
                now[0] += 1_200.0  # the process is stopped, and the signal arrives before it continues
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


STATEMENT = b"SELECT a FROM sales_17.orders"


@pytest.mark.parametrize("taken", [False, True])
def test_a_request_received_before_its_connection_closes_is_answered_and_not_dispatched(
    monkeypatch: pytest.MonkeyPatch, taken: bool
) -> None:
    """The drain ends while a request is unread, or has been read but not been handled yet."""
    gate = hold_reads(monkeypatch, taken)
    gate.open.set()

    async def scene() -> None:
        async with engine() as stand_in, run_in_process(config(stand_in.address)) as node:
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
            assert len(stand_in.posts) == 1
            assert await read_to_end(client, 5.0) == b""
            await client.stream.send_eof()
            await until(lambda: not node.rpc.clients)

    run_with_timeout(scene)


def test_a_request_received_in_a_pause_at_the_end_of_a_drain_is_answered_afterwards(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a flush that ends during a pause, so that requests sent meanwhile are reset.
    gate = hold_reads(monkeypatch, taken=False)
    gate.open.set()

    async def scene() -> None:
        async with engine() as stand_in, run_in_process(config(stand_in.address)) as node:
            clock_offset_ms = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + clock_offset_ms[0]
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            gate.open = trio.Event()
            await client.send_request("nonsense")
            await until(lambda: gate.held)
            number = await client.send_request()
            node.stop_request.make(node.deadlines.clock())
            await wait_all_tasks_blocked()
            clock_offset_ms[0] = 800.0  # past the accept window: no request is open, and the flush begins
            node.deadlines.sweep()
            await until(lambda: node.rpc.closing)
            clock_offset_ms[0] = 1_800.0  # the program is paused
            node.deadlines.sweep()
            for _ in range(5):
                await trio.lowlevel.checkpoint()
            gate.open.set()
            error, _ = await client.answer(number)
            assert error[0] == "Overloaded"

    run_with_timeout(scene)


def test_an_idle_connection_closes_at_the_end_of_a_drain_and_later_requests_are_not_dispatched() -> None:
    async def scene() -> None:
        async with engine() as stand_in, run_in_process(config(stand_in.address)) as node:
            client = await connect(node)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            node.stop_request.make(node.deadlines.clock())
            assert await read_to_end(client, 5.0) == b""  # closed without a reset
            await client.send_request()
            await client.stream.send_eof()
            await until(lambda: not node.rpc.clients)
            assert len(stand_in.posts) == 1

    run_with_timeout(scene)


def hold_accepts(monkeypatch: pytest.MonkeyPatch, listener: trio.SocketListener) -> Gate:
    """Hold back a listener's accepts until the gate opens, except for an accept in progress."""
    gate, port = Gate(), listener.socket.getsockname()[1]
    run_turn = ClientListener._run_turn

    async def held(client_listener: ClientListener, clients: trio.Nursery) -> None:
        if client_listener._sock.getsockname()[1] == port:
            await gate()
        await run_turn(client_listener, clients)

    monkeypatch.setattr(ClientListener, "_run_turn", held)
    return gate


def test_clients_that_wait_long_to_be_accepted_at_the_end_of_a_drain_are_not_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against closing the listener after a fixed time, in which a busy program has not accepted all.
    async def scene() -> None:
        async with engine() as stand_in, run_in_process(config(stand_in.address)) as node:
            clock_offset_ms, clock_reads = [0.0], [0]

            def clock() -> float:
                clock_reads[0] += 1
                return monotonic_now() + clock_offset_ms[0]

            node.deadlines.clock = clock
            gate = hold_accepts(monkeypatch, node.listeners[0])
            node.stop_request.make(node.deadlines.clock())
            clients = [await connect(node) for _ in range(5)]
            numbers = [await client.send_request(txn=f"{n:016x}") for n, client in enumerate(clients)]
            await until(lambda: gate.held)
            for ms in (800.0, 1_400.0):  # past the accept window, and half a second later
                clock_offset_ms[0] = ms
                node.deadlines.sweep()
                seen = clock_reads[0]
                await until(lambda seen=seen: clock_reads[0] > seen + 50)  # type: ignore[misc]
            gate.open.set()
            for client, number in zip(clients, numbers, strict=True):
                error, result = await client.answer(number)
                assert result == ROWS or error[0] == "Overloaded"

    run_with_timeout(scene)


def test_clients_in_the_backlog_when_a_drain_stops_accepting_are_answered() -> None:
    """Connections with requests are in the backlog at the moment when the listener is closed."""

    async def scene() -> None:
        async with engine() as stand_in, run_in_process(config(stand_in.address)) as node:
            clock_offset_ms = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + clock_offset_ms[0]
            address = node.listeners[0].socket.getsockname()
            node.stop_request.make(node.deadlines.clock())
            await until(lambda: node.coordinator.draining)
            sockets, fields = [], {"limit": "3000", "team": "karri-energy"}
            for number in range(1, 41):  # without a checkpoint, so that no other task runs
                sock = socket.create_connection(address)
                sock.sendall(msgpack.packb([0, 1, "lookup", [fields | {"txn": f"{number:016x}"}, STATEMENT]]))
                sockets.append(sock)
            clock_offset_ms[0] = 800.0
            node.deadlines.sweep()
            for sock in sockets:
                sock.setblocking(False)
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
                error, result = await Client(stream).answer(1)
                assert result == ROWS or error[0] == "Overloaded"

    run_with_timeout(scene)
