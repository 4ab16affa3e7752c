"""Many new connections at once: the time limits that engines are told, and how soon clients are accepted."""

from __future__ import annotations

import os
import socket
from collections import Counter

import msgpack
import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from fordstair.lab.connection_burst import ODATA, RPC, run_burst
from fordstair.net.clients.listener import MAX_HANDLERS_STARTED_PER_TURN, ClientListener
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_delay import ReadDelay, TimedStream
from fordstair.runtime.clock import monotonic_now
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from tests.scenes import ROWS, hold_reads, run_with_timeout, until
from tests.standins import config, connect, engine, never_finish, run_in_process

SLACK_MS = 150.0  # by which a limit may exceed what the client has left
ACCEPTED_WITHIN_MS = 250.0
AT_ONCE = 30  # requests on one connection
TURNS_TO_ANSWER = 3  # that a request takes which is released


@pytest.mark.parametrize("front", [RPC, ODATA])
@pytest.mark.parametrize("clients", [50, 300, 1_000])
def test_a_burst_of_new_connections_is_accepted_soon_and_no_limit_is_too_long(
    clients: int, front: str
) -> None:
    # Guards against a wait for accept, or for a turn of the event loop, that is not taken off the limit.
    report = trio.run(run_burst, clients, front)
    assert len(report.answer_ms) == clients
    assert report.count_over(SLACK_MS) == 0, f"worst {report.worst_excess_ms:.0f} ms"
    assert report.accepted_ms < ACCEPTED_WITHIN_MS


class Turns(trio.abc.Instrument):
    """Counts the turns of the event loop."""

    count = 0

    def after_io_wait(self, timeout: float) -> None:
        self.count += 1


class Burst:
    """Clients that have connected to a listener which accepts nobody yet, and how it serves them."""

    def __init__(self, max_clients: int) -> None:
        self.now_ms = 10_000.0
        self.texts: list[bytes] = []  # of the clients, in the order in which they are served
        self.waits_ms: list[float] = []
        self.open: list[int] = []  # accepted connections, as each is begun to be served
        self.turns: Counter[int] = Counter()  # how many were begun to be served in each turn
        self.peers: list[socket.socket] = []
        self.sock = trio.socket.socket()
        self.listener = ClientListener(
            self.sock,
            self._serve,
            lambda: max_clients,
            PollWatch(),
            Deadlines(lambda: self.now_ms),
            Counters(),
        )
        self._turns = Turns()

    async def connect(self, clients: int) -> None:
        """Have that many clients connect, each of which sends its number."""
        await self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(clients)
        for number in range(clients):
            self.peers.append(socket.create_connection(self.sock.getsockname()))
            self.peers[-1].sendall(b"%d" % number)
        trio.lowlevel.add_instrument(self._turns)

    async def _serve(self, stream: trio.SocketStream, waited_ms: float) -> None:
        self.turns[self._turns.count] += 1
        self.waits_ms.append(waited_ms)
        self.open.append(self.listener.open_connections)
        self.texts.append(bytes(await stream.receive_some(10)))
        await trio.sleep_forever()


def play_listener(clients: int, max_clients: int, stop_at: int | None = None) -> Burst:
    """Have a listener serve clients who waited for 800 ms, and stop accepting once it has served some."""

    async def scene() -> Burst:
        burst = Burst(max_clients)
        await burst.connect(clients)
        burst.now_ms += 800.0
        async with trio.open_nursery() as serving:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(burst.listener.run, serving)
                while len(burst.waits_ms) < (stop_at or clients):
                    await trio.lowlevel.checkpoint()
                accepting.cancel_scope.cancel()
            await wait_all_tasks_blocked()
            serving.cancel_scope.cancel()
        for peer in burst.peers:
            peer.close()
        return burst

    return trio.run(scene)


def test_all_who_wait_are_accepted_in_one_turn_and_served_a_few_in_each_in_their_order() -> None:
    # Guards against one accept in a turn, and against a flood that keeps the turn from who is served already.
    clients = 3 * MAX_HANDLERS_STARTED_PER_TURN
    burst = play_listener(clients, max_clients=100)
    assert burst.open[0] == clients
    assert max(burst.turns.values()) == MAX_HANDLERS_STARTED_PER_TURN
    groups = [
        {int(text) for text in burst.texts[at : at + MAX_HANDLERS_STARTED_PER_TURN]}
        for at in range(0, clients, MAX_HANDLERS_STARTED_PER_TURN)
    ]
    assert groups == [
        set(range(at, at + MAX_HANDLERS_STARTED_PER_TURN))
        for at in range(0, clients, MAX_HANDLERS_STARTED_PER_TURN)
    ]
    assert set(burst.waits_ms) == {800.0}


def test_no_more_are_accepted_at_once_than_there_is_room_for() -> None:
    # Guards against a burst that takes the descriptors which connections to engines need.
    burst = play_listener(20, max_clients=6)
    assert burst.open[0] in (6, 7)  # one more, for which the front may shed another
    assert len(burst.texts) == 20


def test_who_is_accepted_and_not_served_yet_when_accepting_ends_is_served() -> None:
    # Guards against a drain that resets clients which it has accepted.
    burst = play_listener(20, max_clients=100, stop_at=1)
    assert len(burst.texts) == 20


def test_what_is_read_in_one_turn_and_returned_in_another_has_waited_for_that(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a time of reading that is taken a turn after the read.
    gate = hold_reads(monkeypatch, taken=True)

    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            ahead = [0.0]
            node.deadlines.clock = lambda: monotonic_now() + ahead[0]
            gate.ports.add(node.listeners[0].socket.getsockname()[1])  # type: ignore[attr-defined]
            client = await connect(node)
            number = await client.send_request(limit="3000")
            await until(lambda: gate.held)
            ahead[0] = 700.0
            gate.open.set()
            assert await client.answer(number) == (None, ROWS)
            assert float(one.posts[0][0]["x-limit-ms"]) <= 3_000.0 - 700.0

    run_with_timeout(scene)


def test_a_timed_stream_dates_what_is_read_by_the_turn_that_reads_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against the same at the OData front, also below TLS.
    now_ms = [10_000.0]
    reads = trio.SocketStream.receive_some

    async def late(stream: trio.SocketStream, most: int | None = None) -> bytes:
        data = await reads(stream, most)
        now_ms[0] += 700.0
        return data

    async def scene() -> None:
        ours, peer = socket.socketpair()
        with peer:
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(ours))
            delay = ReadDelay(stream, PollWatch(), Deadlines(lambda: now_ms[0]), 100.0)
            peer.send(b"request")
            assert await TimedStream(stream, delay).receive_some() == b"request"
            assert now_ms[0] - delay.last_read_ms == 700.0
            assert delay.last_delay_ms == 100.0
            await stream.aclose()

    monkeypatch.setattr(trio.SocketStream, "receive_some", late)
    trio.run(scene)


def test_requests_that_come_at_once_on_open_connections_are_not_all_counted_before_one_can_end() -> None:
    # Guards against rejections after a stall: all that came in it filled the threads in one turn.
    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            clients = [await connect(node) for _ in range(3)]
            for number, client in enumerate(clients):
                assert await client.answer(await client.send_request(txn=f"a{number:015x}")) == (None, ROWS)
            for number, client in enumerate(clients):  # written before the program has a turn
                sent = b"".join(
                    request(client.last_id + 1 + each, f"{number:08x}{each:08x}") for each in range(AT_ONCE)
                )
                os.write(client.stream.socket.fileno(), sent)
            answers = [await client.answer(2 + each) for client in clients for each in range(AT_ONCE)]
            assert answers == [(None, ROWS)] * len(answers)

    run_with_timeout(scene)


def test_a_request_on_an_open_connection_does_not_wait_for_a_flood_of_new_ones() -> None:
    # Guards against a line in which who is served already stands behind all who come at once.
    flood = 150

    async def scene() -> None:
        async with engine() as one, run_in_process(config(one.address)) as node:
            client = await connect(node)
            assert await client.answer(await client.send_request()) == (None, ROWS)
            address = node.listeners[0].socket.getsockname()
            others = [socket.create_connection(address) for _ in range(flood)]
            for number, other in enumerate(others):
                other.sendall(request(1, f"{number:016x}"))
            os.write(client.stream.socket.fileno(), request(2, "f" * 16))
            assert await client.answer(2) == (None, ROWS)
            assert len(one.posts) < flood / 3  # of the flood most have not passed yet
            for other in others:
                other.close()

    run_with_timeout(scene)


def test_what_waits_for_its_turn_when_the_program_ends_is_answered_in_the_next_one() -> None:
    # Guards against a drain whose time is over before the last of a burst has had its turn.
    async def scene() -> None:
        async with engine(never_finish) as one, run_in_process(config(one.address)) as node:
            client = await connect(node)
            sent = b"".join(request(number, f"{number:016x}") for number in range(1, AT_ONCE + 1))
            os.write(client.stream.socket.fileno(), sent)
            await until(lambda: node.coordinator.open_count == AT_ONCE)
            taken = len(node.coordinator.gateway.requests)
            assert taken < AT_ONCE
            node.coordinator.withdraw_all()
            turns = Turns()
            trio.lowlevel.add_instrument(turns)
            while node.coordinator.open_count:
                await trio.lowlevel.checkpoint()
            assert turns.count <= TURNS_TO_ANSWER
            for number in range(1, AT_ONCE + 1):
                assert (await client.answer(number))[0][0] == "Overloaded"

    run_with_timeout(scene)


def request(number: int, txn: str) -> bytes:
    """Return a small lookup."""
    fields = {"txn": txn, "limit": "3000", "team": "karri-energy", "cpu": "5.0", "need_mb": "16"}
    return bytes(msgpack.packb([0, number, "lookup", [fields, b"SELECT a FROM sales_17.orders"]]))
