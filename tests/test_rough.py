"""Rough days: answers that come spoilt or cut, restarts of engines, new configurations."""

from __future__ import annotations

import signal
from collections import Counter
from contextlib import suppress
from functools import partial
from types import SimpleNamespace

import msgpack
import pytest
import trio
import ujson
from trio.testing import MockClock

from fordstair.configuration.platform import parse
from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import AttemptRequest, Call, Engine, Query, QueryProgress
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind
from fordstair.net.clients.odata_statements import PendingReply
from fordstair.net.clients.rpc_connection import RpcConnection
from fordstair.net.clients.rpc_front import RpcFront
from fordstair.program import Program as Coordination
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from tests.standins import (
    SETTINGS,
    Answered,
    Client,
    Program,
    RestEngine,
    at_once,
    config,
    engine,
    never,
    program,
)
from tests.test_failings import channel, frame
from tests.test_platform import ROWS, play

PAGE = b"a\tb\tc\n"
GOOD = b"HTTP/1.1 200 OK\r\nX-Sheets: 2\r\nContent-Length: 6\r\n\r\n" + PAGE


def spoils(first: bytes | None, where: str) -> tuple[list[str], object]:
    """An engine that spoils its first answer to such a call, and serves all others."""
    spoilt: list[str] = []

    async def script(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | bytes | None:
        if f"{method} {path}".startswith(where) and not spoilt:
            spoilt.append(path)
            return first
        if method == "GET" and path.endswith("/0"):  # after a good end it gives that answer again
            return 200, {"X-Sheets": "2"}, PAGE
        return await at_once(one, method, path, headers, body)

    return spoilt, script


@pytest.mark.parametrize("where", ["POST", "GET /o/0000000000000001/1"])
@pytest.mark.parametrize(
    "first",
    [
        None,
        b"\x00\xffnoise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Noise: 1\r\n" * 3_000,
        GOOD[:-2],
        GOOD.replace(b": 6", b": 3000000000") + b"x" * 9_000,
        GOOD.replace(b": 6", b": 4"),
        GOOD.replace(b"Content-Length: 6\r\n", b""),
        GOOD.replace(PAGE, b"a\xff\x00\tb\n"),
        GOOD.replace(b"X-Sheets: 2", b"X-Sheets: 0"),
    ],
)
def test_a_load_whose_answer_is_spoilt_is_asked_for_by_its_id(first: bytes | None, where: str) -> None:
    async def scene() -> None:
        spoilt, script = spoils(first, where)
        async with engine(script) as one, program(config(one.address)) as node:  # type: ignore[arg-type]
            client = await node.client()
            assert await client.answer(await client.ask("meter-load", limit="20000")) == (None, ROWS)
            assert spoilt
            assert len(one.posts) == 1

    play(scene)


@pytest.mark.parametrize(
    "more", [GOOD, b"noise", b"HTTP/1.1 200 OK\r\nX-Sheet: 1\r\nContent-Length: 6\r\n\r\nz\tz\tz\n"]
)
def test_a_good_answer_with_surplus_is_good_and_its_surplus_answers_no_other_call(more: bytes) -> None:
    async def scene() -> None:
        first = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + GOOD + more
        spoilt, script = spoils(first, "POST")
        async with engine(script) as one, program(config(one.address)) as node:  # type: ignore[arg-type]
            client = await node.client()
            assert await client.answer(await client.ask("meter-load")) == (None, ROWS)
            assert spoilt
            assert not one.calls["after raw bytes"]
            assert one.calls["POST"] == one.calls["GET"] == 1

    play(scene)


def test_queries_given_up_one_after_the_other_cost_no_new_connections() -> None:
    async def scene() -> None:
        async with engine(never) as one, program(config(one.address)) as node:
            client = await node.client()
            for number in range(1, 9):
                await client.ask("settlement", limit="20000")
                asked = one.calls["GET"]
                while len(one.posts) < number or one.calls["GET"] == asked:
                    await trio.sleep(0.02)
                await client.send([2, "cancelRequest", [number]])
                while len(one.deleted) < number:
                    await trio.sleep(0.02)
                await trio.sleep(0.1)
            assert one.calls["connections"] <= 2  # one that asks, one beside it

    play(scene)


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
                await client.ask("settlement", limit="20000")
                await trio.sleep(0.1)
                await client.send([2, "cancelRequest", [1]])
                while not ends:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        assert ends == [True]

    play(scene)


def test_what_may_still_run_is_given_up_before_a_second_attempt() -> None:
    order: list[str] = []

    async def loses(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | bytes | None:
        order.append(method)
        if method != "DELETE" and len(one.posts) == 1:
            return None
        return await at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with engine(loses) as one, program(config(one.address)) as node:
            client = await node.client()
            assert await client.answer(await client.ask()) == (None, ROWS)
            second = order.index("POST", 1)
            assert "DELETE" in order[:second]
            assert order.count("POST") == 2

    play(scene)


@pytest.mark.parametrize("first", [(202, {}, b""), None])
def test_what_may_still_run_behind_a_cut_is_followed_by_no_other_attempt(first: Answered | None) -> None:
    """The engine has the query, or reset the POST's connection; then nothing of the machine is heard."""
    posts: list[str] = []

    async def cut_off(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | bytes | None:
        if method == "POST":
            posts.append(one.address)
            if len(posts) == 1:
                return first
        elif one.address == posts[0]:
            await trio.sleep_forever()
        return await at_once(one, method, path, headers, body)

    async def scene() -> None:
        async with (
            engine(cut_off) as one,
            engine(cut_off) as two,
            program(config(one.address, two.address)) as node,
        ):
            client = await node.client()
            error, _ = await client.answer(await client.ask(limit="5000"))
            assert error[0] == "Overloaded"
            assert len(posts) == 1
            assert "DELETE" in one.calls | two.calls

    play(scene)


class Nowhere:
    """A transport for engines that are only listed."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        raise AssertionError

    def forget(self, engine: Engine) -> None:
        pass


class Endless(Nowhere):
    """A transport whose attempts never end."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        return EndlessCall()


class EndlessCall:
    """One of its attempts."""

    async def start(self) -> QueryProgress:
        await trio.sleep_forever()
        raise AssertionError

    poll = start

    async def next_page(self) -> bytes | None:
        raise AssertionError

    async def abandon(self) -> bool:
        return True

    async def set_priority(self, priority: int) -> None:
        pass


async def ends(client: Client, within_s: float) -> bytes:
    """Read to the end of a connection that is closed without a reset; return what came."""
    got = b""
    with trio.fail_after(within_s):
        while chunk := await client.stream.receive_some(65536):
            got += chunk
    return got


HALF = msgpack.packb([0, 1, "lookup", [{}, b"x" * 50]])[:-9]
ENDLESS = b"\x94\x00\x01\xa6lookup\x92\x80\xc6\x03\x93\x87\x00"  # a body of 60 MB


@pytest.mark.parametrize("sent", [b"", HALF])
def test_a_client_that_is_silent_or_stops_in_a_message_is_closed(sent: bytes) -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client, asked = await node.client(), await node.client()
            assert await asked.answer(await asked.ask()) == (None, ROWS)
            await client.stream.send_all(sent)
            assert await ends(client, 10.0) == b""
            # one that has asked may hold its connection in silence, but not stop in a message
            assert await asked.answer(await asked.ask()) == (None, ROWS)
            await asked.stream.send_all(HALF.replace(b"\x00\x01", b"\x00\x09", 1))
            assert await ends(asked, 10.0) == b""

    play(scene)


@pytest.mark.parametrize("noise", [b"\xc1", msgpack.packb([0, 1, "lookup", [{}, b""]]), ENDLESS])
def test_what_cannot_be_read_closes_the_connection_whatever_else_is_open(noise: bytes) -> None:
    async def scene() -> None:
        async with engine(never) as one, program(config(one.address)) as node:
            client = await node.client()
            await client.ask(limit="20000")
            while not one.posts:
                await trio.sleep(0.01)
            await client.stream.send_all(noise)
            unread = b"x" * 200_000  # still on its way: a plain close would send a reset
            await client.stream.send_all(unread)
            got = await ends(client, 5.0)
            assert (b"Invalid" in got) == (noise != b"\xc1")
            while not one.deleted:  # its query is given up
                await trio.sleep(0.01)

    play(scene)


def test_a_large_body_is_refused_by_its_head() -> None:
    async def scene() -> None:
        async with engine() as one, program(config(one.address)) as node:
            client = await node.client()
            await client.stream.send_all(ENDLESS)
            assert b"Invalid" in await ends(client, 5.0)

    play(scene)


def test_silent_connections_make_room_for_clients_that_ask() -> None:
    async def scene() -> None:
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": 128}  # room for 51 clients
        async with engine() as one, program(config(one.address, limits=limits)) as node:
            first = await node.client()
            assert await first.answer(await first.ask()) == (None, ROWS)
            silent = [await node.client() for _ in range(45)]
            await trio.sleep(0.5)
            for client in [await node.client() for _ in range(20)]:
                assert await client.answer(await client.ask()) == (None, ROWS)
            assert await first.answer(await first.ask()) == (None, ROWS)  # it asked, and was not shed
            assert len(silent) == 45

    play(scene)


def test_a_new_connection_has_time_to_ask_while_there_are_idle_ones() -> None:
    class Fresh:
        socket = SimpleNamespace(fileno=lambda: -1, close=lambda: None)

    def client(front: RpcFront, age_ms: float, asked: bool) -> RpcConnection:
        one = RpcConnection(Fresh(), front.coordinator, 1_000)  # type: ignore[arg-type]
        one.last_activity_ms -= age_ms
        one.has_requested = asked
        front.clients.add(one)
        return one

    front = RpcFront(Coordinator(parse(config()).settings, 1, {}, Deadlines(lambda: 10_000.0), Counters()))
    new, held, used, silent = (
        client(front, *each) for each in ((5.0, False), (900.0, True), (100.0, True), (700.0, False))
    )
    for goes in (silent, held, used, new):
        assert front._shed_one()
        assert goes not in front.clients
    assert not front._shed_one()


def test_a_connection_that_has_just_closed_is_no_trouble_to_those_that_need_room() -> None:
    async def scene() -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        ours = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
        front = RpcFront(Coordinator(parse(config()).settings, 1, {}, Deadlines(), Counters()))
        front.max_clients = 1
        closed = RpcConnection(ours, front.coordinator, 1_000)
        front.clients.add(closed)
        ours.socket.close()  # its task has not come to its end yet
        theirs = await listeners[0].accept()
        await theirs.send_eof()
        await theirs.aclose()
        with trio.move_on_after(1.0):
            await front.serve(await trio.open_tcp_stream(*listeners[0].socket.getsockname()))
        assert not front.coordinator.counters["client.rejected"]
        assert front.coordinator.counters["client.connections"] == 1

    play(scene)


def test_messages_in_pieces_are_timed_each_by_itself() -> None:
    """A busy connection whose reads always end inside a message is neither overdue nor to be shed."""
    fields = {"limit": "3000", "team": "karri-energy"}
    sent = b"".join(
        msgpack.packb([0, number, "lookup", [fields | {"txn": f"{number:016x}"}, b"x"]])
        for number in range(1, 31)
    )

    class Pieces:
        """Each piece ends one message and begins the next."""

        socket = SimpleNamespace(fileno=lambda: -1)
        at, size = 0, len(sent) // 30 - 5

        async def receive_some(self, most: int) -> bytes:
            await trio.sleep(0.2)
            self.at += self.size
            return sent[self.at - self.size : self.at]

        async def send_all(self, data: bytes) -> None:
            pass

        async def send_eof(self) -> None:
            pass

        async def aclose(self) -> None:
            pass

    async def scene() -> None:
        deadlines = Deadlines(lambda: trio.current_time() * 1_000.0)
        coordinator = Coordinator(parse(config()).settings, 1, {"rest": Endless()}, deadlines, Counters())
        front = RpcFront(coordinator)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deadlines.run)
            await nursery.start(coordinator.run)
            nursery.start_soon(front.serve, Pieces())  # type: ignore[arg-type]
            await trio.sleep(4.0)  # twice the time for one message
            assert coordinator.counters["client.idle_timeout"] == 0
            assert coordinator.counters["taken.lookup"] > 15
            assert [client.idle for client in front.clients] == [False]
            nursery.cancel_scope.cancel()

    trio.run(scene, clock=MockClock(autojump_threshold=0.0))


def test_a_client_that_reads_nothing_is_not_kept_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    class Full:
        """A connection whose buffers are full."""

        sent = closed = 0

        async def receive_some(self, most: int) -> bytes:
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
        stream, front = Full(), RpcFront(coordinator)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(coordinator.deadlines.run)
            await front.serve(stream)  # type: ignore[arg-type]
            nursery.cancel_scope.cancel()
        assert stream.closed
        assert not front.clients
        assert coordinator.counters["client.write_stalled"] == 1

    play(scene)


def test_ids_count_up_and_a_txn_is_open_once() -> None:
    async def scene() -> None:
        async with engine(never) as one, program(config(one.address)) as node:
            client, other = await node.client(), await node.client()
            await client.ask(limit="5000", txn="00000000000000AA")
            while not one.posts:  # of two connections either may be read first
                await trio.sleep(0.01)
            again = await other.ask(limit="5000", txn="00000000000000aa", body=b"SELECT 2")
            assert (await other.answer(again))[0][0] == "Invalid"
            await client.send([0, 2, "nonsense", [{}, b""]])
            assert (await client.answer(2))[0][0] == "Invalid"
            await client.send([0, 2, "lookup", [{}, b""]])  # answered already: a second answer would be wrong
            assert b"Invalid" not in await ends(client, 5.0)

    play(scene)


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

    play(scene)


def test_engines_that_have_gone_are_forgotten() -> None:
    async def scene() -> None:
        coordinator = Coordinator(parse(config()).settings, 1, {"rest": Nowhere()}, Deadlines(), Counters())
        for number in range(20):
            coordinator.update_engines(
                ListUpdateKind.DELTA, [Engine(EngineEntry(f"s-{number}"), "127.0.0.1:1")]
            )
            gone = EngineEntry(f"s-{number - 1}", EngineState.GONE)
            coordinator.update_engines(ListUpdateKind.DELTA, [Engine(gone, "127.0.0.1:1")])
        assert list(coordinator.engines) == list(coordinator.gateway.engines) == ["s-19"]

    play(scene)


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
            nursery.start_soon(one.deadlines.run)
            await nursery.start(one.coordinator.run)
            reply = PendingReply()
            one.coordinator.update_engines(ListUpdateKind.FULL, [Engine(EngineEntry("s-1"), "10.0.0.1:1")])
            one.transports["rest"] = Endless()
            one.coordinator.submit(Query("0" * 16, "settlement", 1, 0, 25_000.0, b""), reply)
            start = clock()
            await one.shutdown.drain([])
            assert least_s < clock() - start < most_s
            assert reply.retry_after_ms is not None
            nursery.cancel_scope.cancel()

    trio.run(scene, clock=MockClock(autojump_threshold=0.0))


async def reload(node: Program, text: str, times: int) -> None:
    """Replace the configuration, send SIGHUP, and wait for the line that says what became of it."""
    node.path.write_text(text)
    node.process.send_signal(signal.SIGHUP)
    while sum("configuration" in line for line in node.log) < times:
        await trio.sleep(0.01)


def test_sighup_moves_the_channel_keeps_its_engines_and_refuses_a_bad_file() -> None:
    async def scene() -> None:
        async with (
            engine() as one,
            engine() as two,
            channel() as (old, before),
            channel() as (new, after),
            program(config(one.address, channel=before)) as node,
        ):
            await old.connected(1)
            client = await node.client()
            await reload(node, "{", 1)
            await reload(node, ujson.dumps(config(one.address, channel="nowhere")), 2)
            assert await client.answer(await client.ask()) == (None, ROWS)
            assert len(old.cursors) == 1
            await old.tell(frame(2, (7, two.address, 0)))
            await trio.sleep(0.1)
            await reload(node, ujson.dumps(config(one.address, channel=after)), 3)
            await new.connected(1)
            assert new.cursors == [2]
            await new.tell(frame(3, (0, one.address, 1)))
            await trio.sleep(0.1)
            already = len(one.posts)
            for _ in range(4):
                assert await client.answer(await client.ask()) == (None, ROWS)
            assert len(two.posts) >= 4
            assert len(one.posts) == already
            assert sum(line.startswith("ERROR") for line in node.log) == 2
            assert await node.stop() == 0

    play(scene)


def test_a_moved_channel_and_a_planned_end_under_traffic_lose_no_request_and_answer_none_twice() -> None:
    """Requests go out all the while, on open connections and new ones; each gets one whole answer."""

    async def takes_a_while(
        one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answered | bytes | None:
        await trio.sleep(0.03 if method == "POST" else 0.0)
        return await at_once(one, method, path, headers, body)

    async def scene() -> None:
        asked, ended = Counter[str](), trio.Event()

        async def ask(node: Program, number: int) -> None:
            client, mine = await node.client(), list[int]()
            while not ended.is_set():
                mine.append(await client.ask(txn=f"{number:08x}{len(mine):08x}", limit="20000"))
                await trio.sleep(0.02)
            for one in mine:  # a second answer to any, or an end without one, is an error there
                error, result = await client.answer(one)
                assert result == ROWS or error[0] == "Overloaded"
                asked["served" if result == ROWS else "refused"] += 1

        async with (
            engine(takes_a_while) as one,
            engine(takes_a_while) as two,
            channel() as (old, before),
            channel() as (new, after),
            program(config(one.address, two.address, channel=before)) as node,
        ):
            await old.connected(1)
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(ask, node, number)
                await trio.sleep(0.5)
                await reload(node, ujson.dumps(config(one.address, two.address, channel=after)), 1)
                await new.connected(1)
                await trio.sleep(0.3)
                node.process.send_signal(signal.SIGTERM)
                await trio.sleep(0.1)
                nursery.start_soon(ask, node, 9)  # connections still come for a while
                await trio.sleep(0.1)
                ended.set()
            assert await node.process.wait() == 0
        assert asked["served"] > 100, asked
        assert asked["refused"] < 0.1 * asked.total(), asked
        assert len({headers["x-txn"] for headers, _ in (*one.posts, *two.posts)}) >= asked["served"]

    play(scene)


def test_a_whole_list_under_the_number_at_hand_holds() -> None:
    async def scene() -> None:
        async with (
            engine(never) as one,
            engine() as two,
            channel() as (commands, where),
            program(config(one.address, channel=where)) as node,
        ):
            await commands.connected(1)
            await commands.tell(frame(1, (7, two.address, 0), kind=1))
            await trio.sleep(0.1)
            client = await node.client()
            assert await client.answer(await client.ask()) == (None, ROWS)
            assert not one.posts

    play(scene)
