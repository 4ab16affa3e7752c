"""Client connections: timeouts, malformed messages, and the order in which connections are shed."""

from __future__ import annotations

from types import SimpleNamespace

import msgpack
import pytest
import trio
from trio.testing import MockClock

from fordstair.configuration.platform import parse
from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.rpc_connection import RpcConnection
from fordstair.net.clients.rpc_front import RpcFront
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation
from tests.scenes import ROWS, EndlessTransport, hold_reads, read_to_end, run_with_timeout, until
from tests.standins import (
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

INCOMPLETE_REQUEST = msgpack.packb([0, 1, "lookup", [{}, b"x" * 50]])[:-9]


# The start of a request that announces a body of 60 MB.
OVERSIZED_REQUEST_START = b"\x94\x00\x01\xa6lookup\x92\x80\xc6\x03\x93\x87\x00"


@pytest.mark.parametrize("sent", [b"", INCOMPLETE_REQUEST])
def test_a_client_that_sends_nothing_or_an_incomplete_message_is_disconnected(sent: bytes) -> None:
    async def scene() -> None:
        async with engine() as rest_engine, program(config(rest_engine.address)) as node:
            client, asked = await node.client(), await node.client()
            assert await asked.answer(await asked.send_request()) == (None, ROWS)
            await client.stream.send_all(sent)
            assert await read_to_end(client, 10.0) == b""
            # A client that has sent a request may stay idle, but must not stop inside a message.
            assert await asked.answer(await asked.send_request()) == (None, ROWS)
            await asked.stream.send_all(INCOMPLETE_REQUEST.replace(b"\x00\x01", b"\x00\x09", 1))
            assert await read_to_end(asked, 10.0) == b""

    run_with_timeout(scene)


@pytest.mark.parametrize(
    "noise", [b"\xc1", msgpack.packb([0, 1, "lookup", [{}, b""]]), OVERSIZED_REQUEST_START]
)
def test_a_malformed_message_closes_the_connection_despite_an_open_request(noise: bytes) -> None:
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            await client.send_request(limit="20000")
            while not rest_engine.posts:
                await trio.sleep(0.01)
            await client.stream.send_all(noise)
            unread = b"x" * 200_000  # still in flight: a plain close would send a reset
            await client.stream.send_all(unread)
            received = await read_to_end(client, 5.0)
            assert (b"Invalid" in received) == (noise != b"\xc1")
            while not rest_engine.deleted:  # the open query is abandoned
                await trio.sleep(0.01)

    run_with_timeout(scene)


def test_an_oversized_body_is_rejected_by_its_announced_length() -> None:
    async def scene() -> None:
        async with engine() as rest_engine, program(config(rest_engine.address)) as node:
            client = await node.client()
            await client.stream.send_all(OVERSIZED_REQUEST_START)
            assert b"Invalid" in await read_to_end(client, 5.0)

    run_with_timeout(scene)


def test_silent_connections_are_shed_for_clients_that_send_requests() -> None:
    async def scene() -> None:
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": 128}  # capacity for 51 clients
        async with engine() as rest_engine, program(config(rest_engine.address, limits=limits)) as node:
            first = await node.client()
            assert await first.answer(await first.send_request()) == (None, ROWS)
            silent = [await node.client() for _ in range(45)]
            await trio.sleep(0.5)
            for client in [await node.client() for _ in range(20)]:
                assert await client.answer(await client.send_request()) == (None, ROWS)
            # The first client was not shed, since it has sent a request.
            assert await first.answer(await first.send_request()) == (None, ROWS)
            assert len(silent) == 45

    run_with_timeout(scene)


class FakeStream:
    """A stream that is closed already."""

    socket = SimpleNamespace(fileno=lambda: -1, close=lambda: None)


def add_client(front: RpcFront, idle_ms: float, has_requested: bool) -> RpcConnection:
    """Add a connection without a socket to a front."""
    connection = RpcConnection(FakeStream(), front.coordinator, 1_000)  # type: ignore[arg-type]
    connection.last_activity_ms -= idle_ms
    connection.connected_ms -= idle_ms
    connection.has_requested = connection.was_admitted = has_requested
    front.clients.add(connection)
    return connection


def test_new_connections_are_shed_after_silent_and_idle_ones() -> None:
    # Guards against a new connection that is shed before it has had time to send its first request.
    front = RpcFront(Coordinator(parse(config()).settings, 1, {}, Deadlines(lambda: 10_000.0), Counters()))
    new, long_idle, recently_used, silent = (
        add_client(front, *each) for each in ((5.0, False), (900.0, True), (100.0, True), (700.0, False))
    )
    for expected in (silent, long_idle, recently_used, new):
        assert front._shed_one()
        assert expected not in front.clients
    assert not front._shed_one()


def test_clients_in_use_are_shed_last_where_memory_is_short(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a crowd that never asks anything and takes the place of usual clients.
    front = RpcFront(Coordinator(parse(config()).settings, 1, {}, Deadlines(lambda: 10_000.0), Counters()))
    in_use, new, long_idle, silent = (
        add_client(front, *each) for each in ((900.0, True), (5.0, False), (1_100.0, True), (700.0, False))
    )
    unread = add_client(front, 700.0, False)
    monkeypatch.setattr(RpcConnection, "has_unread_input", property(lambda client: client is unread))
    for expected in (silent, long_idle, new, in_use):
        assert front._shed_one(keep_active=True)
        assert expected not in front.clients
    assert not front._shed_one(keep_active=True)  # it may have sent a request
    unread.was_read = True  # and it was only a part of one
    assert front._shed_one(keep_active=True)


def test_a_connection_that_has_just_closed_makes_room_for_a_new_one() -> None:
    async def scene() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        ours = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        front = RpcFront(Coordinator(parse(config()).settings, 1, {}, Deadlines(), Counters()))
        front.max_clients = 1
        closed = RpcConnection(ours, front.coordinator, 1_000)
        front.clients.add(closed)
        ours.socket.close()  # its task has not ended yet
        theirs = await listeners[0].accept()
        await theirs.send_eof()
        await theirs.aclose()
        with trio.move_on_after(1.0):
            await front.serve(await trio.open_tcp_stream(*listeners[0].socket.getsockname()))
        assert not front.coordinator.counters["client.rejected"]
        assert front.coordinator.counters["client.connections"] == 1

    run_with_timeout(scene)


def test_a_connection_whose_request_is_read_and_not_handled_yet_is_not_shed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a request that is read and then lost because its connection is shed for another.
    gate = hold_reads(monkeypatch, taken=True)
    gate.open.set()

    async def scene() -> None:
        async with engine() as rest_engine, run_in_process(config(rest_engine.address)) as node:
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            node.rpc.max_clients = 1
            gate.open = trio.Event()
            number = await client.send_request()
            await until(lambda: gate.held)
            other = await connect(node)
            assert await read_to_end(other, 5.0) == b""  # no capacity: the first client is not idle
            gate.open.set()
            assert await client.answer(number) == (None, ROWS)
            assert not any("internal_error" in name for name in node.counters.snapshot())

    run_with_timeout(scene)


def test_the_message_timeout_applies_to_each_message_separately() -> None:
    # Guards against a busy connection that is timed out or shed because each of its reads ends inside a
    # message.
    fields = {"limit": "3000", "team": "karri-energy"}
    sent = b"".join(
        msgpack.packb([0, number, "lookup", [fields | {"txn": f"{number:016x}"}, b"x"]])
        for number in range(1, 31)
    )

    class SplitMessageStream:
        """Returns from each read the end of one message and the start of the next."""

        socket = SimpleNamespace(fileno=lambda: -1)
        offset, size = 0, len(sent) // 30 - 5

        async def receive_some(self, max_bytes: int) -> bytes:
            await trio.sleep(0.2)
            self.offset += self.size
            return sent[self.offset - self.size : self.offset]

        async def send_all(self, data: bytes) -> None:
            pass

        async def send_eof(self) -> None:
            pass

        async def aclose(self) -> None:
            pass

    async def scene() -> None:
        deadlines = Deadlines(lambda: trio.current_time() * 1_000.0)
        coordinator = Coordinator(
            parse(config()).settings, 1, {"rest": EndlessTransport()}, deadlines, Counters()
        )
        front = RpcFront(coordinator)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            await nursery.start(coordinator.run)
            nursery.start_soon(front.serve, SplitMessageStream())  # type: ignore[arg-type]
            await trio.sleep(4.0)  # twice the message timeout
            assert coordinator.counters["client.idle_timeout"] == 0
            assert coordinator.counters["taken.lookup"] > 15
            assert [client.idle for client in front.clients] == [False]
            nursery.cancel_scope.cancel()

    trio.run(scene, clock=MockClock(autojump_threshold=0.0))


def test_a_client_that_does_not_read_its_responses_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    class StalledStream:
        """A stream whose peer does not read: each write blocks."""

        sent = closed = 0

        async def receive_some(self, max_bytes: int) -> bytes:
            if not self.sent:
                self.sent = 1
                return msgpack.packb([0, 1, "nonsense", [{}, b""]])  # type: ignore[no-any-return]
            await trio.sleep_forever()
            raise AssertionError

        async def send_all(self, data: bytes) -> None:
            await trio.sleep_forever()

        async def aclose(self) -> None:
            self.closed += 1

    async def scene() -> None:
        monkeypatch.setattr("fordstair.net.clients.client_limits.RPC_WRITE_TIMEOUT_MS", 50.0)
        coordinator = Coordinator(parse(config()).settings, 1, {}, Deadlines(), Counters())
        stream, front = StalledStream(), RpcFront(coordinator)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(coordinator.deadlines.run)
            await front.serve(stream)  # type: ignore[arg-type]
            nursery.cancel_scope.cancel()
        assert stream.closed
        assert not front.clients
        assert coordinator.counters["client.write_stalled"] == 1

    run_with_timeout(scene)


@pytest.mark.parametrize("pause_s", [0.0, 0.3])
def test_an_incomplete_message_does_not_prevent_the_answer_to_an_open_request(pause_s: float) -> None:
    async def scene() -> None:
        done = trio.Event()

        async def serves_when_done(
            rest_engine: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
        ) -> Response | bytes | None:
            if not done.is_set():
                await trio.sleep(0.05)
                return 202, {}, b""
            return (
                await serve_at_once(rest_engine, method, path, headers, body)
                if method != "GET" or path.endswith("/1")
                else (200, {"X-Sheets": "2"}, b"a\tb\tc\n")
            )

        async with (
            engine(serves_when_done) as rest_engine,
            run_in_process(config(rest_engine.address)) as node,
        ):
            client = await connect(node)
            number = await client.send_request("meter-load", limit="20000")
            await until(lambda: rest_engine.posts)
            incomplete = INCOMPLETE_REQUEST.replace(b"\x00\x01", b"\x00\x02", 1)
            if pause_s:  # one byte at a time
                for byte in incomplete:
                    await client.stream.send_all(bytes([byte]))
                    await trio.sleep(pause_s / 10)
            else:  # the message is never completed
                await client.stream.send_all(incomplete)
                await trio.sleep(2.6)
            done.set()
            assert await client.answer(number) == (None, ROWS)

    run_with_timeout(scene)


def test_a_new_connection_waits_a_little_for_a_place_and_not_for_ever(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against usual clients shut out in the first moments of a crowd, before any of it can be shed.
    async def scene() -> None:
        deadlines = Deadlines()
        front = RpcFront(Coordinator(parse(config()).settings, 1, {}, deadlines, Counters()))
        answers = iter([False, False, True])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            with Reservation(MemoryBudget(), MemoryUse.CONNECTIONS) as reservation:
                monkeypatch.setattr(front, "_admit", lambda _: next(answers))
                assert await front._wait_for_place(reservation)
                monkeypatch.setattr(front, "_admit", lambda _: False)
                with trio.fail_after(2.0):
                    assert await front._wait_for_place(reservation) is None
            nursery.cancel_scope.cancel()

    run_with_timeout(scene)
