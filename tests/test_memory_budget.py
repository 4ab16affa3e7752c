"""The memory budget: its shares, its real size, and what clients are granted or refused by it."""

from __future__ import annotations

import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import msgpack
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from fordstair.configuration import operator_file
from fordstair.configuration.errors import ConfigError
from fordstair.configuration.platform import parse
from fordstair.core.coordinator import Coordinator
from fordstair.core.load_history import ROOM_SHARE, LoadHistory
from fordstair.net.clients.client_limits import RPC_CONNECTION_BYTES
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_front import ODataFront
from fordstair.net.clients.odata_input import parsed_json_bytes
from fordstair.net.clients.odata_messages import Response as ODataResponse
from fordstair.net.clients.odata_messages import decode_json
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.clients.odata_results import Result, StoredResults
from fordstair.net.clients.poll_watch import PollWatch
from fordstair.net.clients.read_delay import ReadDelay
from fordstair.net.clients.repeatable_requests import RETENTION_MS, LocalIdempotencyStore
from fordstair.net.clients.rpc_front import RpcFront
from fordstair.program.memory_watch import MemoryWatch
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.memory_budget import BYTES_PER_MB, MemoryBudget, MemoryLimit, MemoryUse, Reservation
from tests.scenes import ROWS, run_with_timeout, until
from tests.standins import (
    Client,
    Response,
    RestEngine,
    Script,
    config,
    connect,
    engine,
    never_finish,
    run_in_process,
)
from tests.test_odata import OPERATOR

LIMIT = MemoryLimit(40 * BYTES_PER_MB, 24 * BYTES_PER_MB)
TIGHT_LIMIT = MemoryLimit(29 * BYTES_PER_MB, 24 * BYTES_PER_MB)
LARGE_PAGE = b"a\tb\tc\n" * 990
FIELDS = {"txn": "f" * 16, "limit": "3000", "team": "karri-energy", "cpu": "200.0", "need_mb": "96"}
POST = b"POST /odata/Readings HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
sizes = st.integers(0, 2 * BYTES_PER_MB)


def limited() -> MemoryBudget:
    budget = MemoryBudget()
    budget.set_limit(LIMIT)
    return budget


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(MemoryUse), sizes, st.booleans()), max_size=60))
def test_reservations_stay_within_the_room_and_are_given_back(
    steps: list[tuple[MemoryUse, int, bool]],
) -> None:
    # Guards against a sum over the limit, and against room that is lost when its holder leaves.
    budget, held = limited(), list[Reservation]()
    for use, size, leaves in steps:
        if leaves and held:
            held.pop().release()
        reservation = Reservation(budget, use)
        had_room = size <= budget.free_bytes(use)
        assert reservation.try_resize(size) is had_room
        held.append(reservation)
        assert budget.used_bytes == sum(each.size for each in held) <= LIMIT.room_bytes
    for each in held:
        each.release()
    assert budget.used_bytes == 0


def test_no_use_takes_what_another_is_guaranteed() -> None:
    # Guards against usual requests refused because a crowd's half-sent messages have taken all room.
    for use in MemoryUse:
        budget = limited()
        while budget.try_reserve(use, 1024):
            pass
        for other in MemoryUse:
            if other is not use:
                assert budget.try_reserve(other, budget.guaranteed_bytes(other))


def test_what_the_reservations_do_not_explain_is_taken_off_the_room() -> None:
    # Guards against a count that is too low: the real size wins.
    budget = limited()
    free_bytes = budget.free_bytes(MemoryUse.INPUT)
    budget.observe_resident(LIMIT.base_bytes + LIMIT.margin_bytes + BYTES_PER_MB)
    assert budget.free_bytes(MemoryUse.INPUT) <= free_bytes - BYTES_PER_MB
    budget.observe_resident(LIMIT.base_bytes)
    assert budget.free_bytes(MemoryUse.INPUT) == free_bytes


def test_who_waits_for_room_gets_it_when_it_is_released() -> None:
    # Guards against a wait without an end: several wait, and each release wakes all of them.
    async def scene() -> None:
        budget = limited()
        size = budget.free_bytes(MemoryUse.ANSWERS)
        assert budget.try_reserve(MemoryUse.ANSWERS, size)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(budget.reserve, MemoryUse.ANSWERS, size // 4)
            await trio.testing.wait_all_tasks_blocked()
            assert budget.used(MemoryUse.ANSWERS) == size
            budget.release(MemoryUse.ANSWERS, size)
        assert budget.used(MemoryUse.ANSWERS) == size // 4 * 3

    trio.run(scene)


def test_a_limit_that_the_program_alone_exceeds_is_named() -> None:
    with pytest.raises(ConfigError, match=r"limits\.memory_mb: 1, but the program alone uses \d+"):
        MemoryWatch(MemoryBudget(), Deadlines()).begin(1.0)


def test_connections_are_bounded_by_the_memory_for_all_of_them() -> None:
    # Guards against idle connections that together exceed the memory told.
    coordinator = Coordinator(
        parse(config()).settings, 1, {}, Deadlines(lambda: 10_000.0), Counters(), limited()
    )
    front = RpcFront(coordinator)
    front.max_clients = 1_000
    assert front.capacity == coordinator.memory.free_bytes(MemoryUse.CONNECTIONS) // RPC_CONNECTION_BYTES
    assert coordinator.memory.try_reserve(MemoryUse.CONNECTIONS, RPC_CONNECTION_BYTES * front.capacity)
    assert front.capacity == 0
    with Reservation(coordinator.memory, MemoryUse.CONNECTIONS) as reservation:
        assert not front._admit(reservation)
        assert reservation.size == 0


def test_a_large_request_without_room_is_refused_at_its_end_and_the_next_one_is_served() -> None:
    # Guards against half-sent requests that together exceed the memory, and a connection lost with them.
    async def scene() -> None:
        async with engine() as rest_engine, run_in_process(config(rest_engine.address)) as node:
            node.memory.set_limit(LIMIT)
            node.rpc.max_statement_bytes = 50_000
            half_sent = await connect(node)
            message = msgpack.packb([0, 1, "lookup", [FIELDS, bytes(50_000)]])
            await half_sent.stream.send_all(message[:-1])
            await until(lambda: node.memory.used(MemoryUse.INPUT) > len(message))
            taken_bytes = node.memory.free_bytes(MemoryUse.INPUT)
            assert node.memory.try_reserve(MemoryUse.INPUT, taken_bytes)
            client = await connect(node)
            await client.stream.send_all(message[:-1])
            await until(lambda: node.counters.snapshot()["memory.no_room"])
            held_bytes = node.memory.used(MemoryUse.INPUT)
            client.last_id = 1
            await client.stream.send_all(message[-1:])
            number = await client.send_request()
            assert (await client.answer(1))[0] == ["Overloaded", {"later": "500"}]
            assert await client.answer(number) == (None, ROWS)
            assert node.counters["answered.rejected.lookup"] == 1
            assert node.memory.used(MemoryUse.INPUT) == held_bytes
            await half_sent.stream.aclose()
            await until(lambda: node.memory.used(MemoryUse.INPUT) == taken_bytes)

    run_with_timeout(scene)


async def send_large_requests(client: Client, client_number: int) -> None:
    """Send as many requests as may be open."""
    for _ in range(32):
        txn = f"{client_number:08x}{client.last_id:08x}"
        await client.send_request(body=b"x" * 10_000, txn=txn, limit="20000")


def test_requests_without_room_are_refused_at_once_and_room_comes_back_however_they_end() -> None:
    # Guards against open requests that together exceed the memory, and against room that is lost with them.
    async def scene() -> None:
        async with engine(never_finish) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            node.memory.set_limit(TIGHT_LIMIT)
            crowd = [await connect(node) for _ in range(12)]
            async with trio.open_nursery() as nursery:
                for number, client in enumerate(crowd):
                    nursery.start_soon(send_large_requests, client, number)
            await until(lambda: node.coordinator.requests.rejections["lookup", "no memory"] > 0)
            assert node.memory.used_bytes <= TIGHT_LIMIT.room_bytes
            usual = await connect(node)
            number = await usual.send_request(txn="e" * 16, limit="20000")
            await until(lambda: node.counters["taken.lookup"] == 12 * 32 + 1)
            assert number not in usual.answers  # it was let in
            await crowd[0].stream.send_eof()
            for number in range(1, 33):
                await crowd[1].send([2, "cancelRequest", [number]])
            for client in (usual, *crowd):
                await client.stream.aclose()
            await until(lambda: node.memory.used(MemoryUse.REQUESTS) == 0)

    run_with_timeout(scene)


async def large_result(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response:
    """Serve every query in as many full pages as a result may have."""
    if method not in ("GET", "POST"):
        return 204, {}, b""
    return 200, {"X-Sheets": "8", "X-Sheet": path.rpartition("/")[2]}, LARGE_PAGE


async def huge_response(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response:
    """Respond with a page of more than there is room for."""
    return (204, {}, b"") if method == "DELETE" else (200, {"X-Sheets": "1"}, LARGE_PAGE * 170)


async def very_many_pages(
    one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
) -> Response:
    """Announce more pages than there is room for."""
    return (204, {}, b"") if method == "DELETE" else (200, {"X-Sheets": "1000"}, LARGE_PAGE)


def test_answers_that_a_client_does_not_read_hold_up_only_that_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against unread answers that together exceed the memory, and against room that is lost with them.
    send_all, held_ports = trio.SocketStream.send_all, set[int]()

    async def send_unless_held(stream: trio.SocketStream, data: bytes) -> None:
        if stream.socket.getpeername()[1] in held_ports:
            await trio.sleep_forever()
        await send_all(stream, data)

    monkeypatch.setattr(trio.SocketStream, "send_all", send_unless_held)

    async def scene() -> None:
        async with engine(large_result) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            node.memory.set_limit(TIGHT_LIMIT)
            unread = await connect(node)
            held_ports.add(unread.stream.socket.getsockname()[1])
            for _ in range(32):
                await unread.send_request(limit="2000")
            await until(lambda: node.counters["answered.served.lookup"])
            await until(lambda: not node.coordinator.live)
            assert node.memory.used_bytes <= TIGHT_LIMIT.room_bytes
            usual = await connect(node)
            number = await usual.send_request(txn="e" * 16)
            assert (await usual.answer(number))[1][0] == LARGE_PAGE * 8
            await unread.stream.aclose()
            await until(lambda: node.memory.used(MemoryUse.ANSWERS) == 0)

    run_with_timeout(scene)


@pytest.mark.parametrize("script", [huge_response, very_many_pages])
def test_a_result_for_which_there_can_be_no_room_is_not_gathered(script: Script) -> None:
    # Guards against results that together exceed the memory, and against a wait for room without an end.
    async def scene() -> None:
        async with engine(script) as rest_engine, run_in_process(config(rest_engine.address)) as node:
            node.memory.set_limit(TIGHT_LIMIT)
            client = await connect(node)
            error, _ = await client.answer(await client.send_request(limit="20000"), within_s=10.0)
            assert error is not None
            await until(lambda: node.memory.used(MemoryUse.ANSWERS) == 0)
            assert node.memory.figures()["used_peak_kb"] * 1024 <= TIGHT_LIMIT.room_bytes

    run_with_timeout(scene)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.sampled_from(["[],", "{},", '{"a":1},', "0,", "1.5,", '"abc",', '[[{"b":[]}]],', "9007199254740993,"])
)
def test_the_memory_of_parsed_json_is_bounded_before_it_is_parsed(part: str) -> None:
    # Guards against a body that takes many times its length once it is parsed.
    body = f"[{part * 5_000}0]".encode()
    tracemalloc.start()
    value = decode_json(body)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert value
    assert peak_bytes < parsed_json_bytes(body)


def test_results_that_are_kept_make_room_for_newer_ones_and_give_it_back() -> None:
    # Guards against kept results that together exceed the memory told.
    budget, now_ms = limited(), [0.0]
    deadlines = Deadlines(lambda: now_ms[0])
    results = StoredResults(1_000, 500.0, deadlines, budget)
    entity_set = EntitySet("Settlements", "settlement_7.lines", ("account",), "settlement", "lookup")
    result = Result("karri-energy", [b"x" * 1_000] * 500, entity_set, ("account",), 100)
    tokens = [results.store(result) for _ in range(100)]
    assert 0 < len(results) < 100
    assert budget.used_bytes <= budget.most_bytes(MemoryUse.ANSWERS)
    assert results.page(f"{tokens[-1]}-100", "karri-energy").result is result
    now_ms[0] = 501.0
    deadlines.sweep()
    assert budget.used_bytes == 0


def test_an_odata_body_without_room_is_refused_and_the_idle_connection_holds_nothing(tmp_path: Path) -> None:
    # Guards against bodies of hundreds of connections that together exceed the memory, also once answered.
    async def scene() -> None:
        async with odata_front(tmp_path) as (front, port):
            budget = front.coordinator.memory
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(POST % 200_000 + b" " * 200_000)
            assert b" 400 " in await stream.receive_some(4_096)  # the body is no JSON
            await until(lambda: budget.used(MemoryUse.INPUT) == 0)
            assert budget.try_reserve(MemoryUse.INPUT, budget.free_bytes(MemoryUse.INPUT) - 100_000)
            await stream.send_all(POST % 200_000)
            answer = await stream.receive_some(4_096)
            assert b" 503 " in answer
            assert b"Retry-After: 1" in answer

    run_with_timeout(scene)


@asynccontextmanager
async def odata_front(tmp_path: Path) -> AsyncIterator[tuple[ODataFront, int]]:
    """Run an OData front in this process, with a limit on its memory."""
    path = tmp_path / "appliance.toml"
    path.write_text(OPERATOR)
    operator = operator_file.operator_options(operator_file.load_operator_file(str(path), require_site=False))
    coordinator = Coordinator(parse(config()).settings, 1, {}, Deadlines(), Counters(), limited())
    front = ODataFront(coordinator, operator)

    async def serve(stream: trio.SocketStream) -> None:
        await front.serve(stream, ReadDelay(stream, PollWatch(), coordinator.deadlines, 0.0))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(coordinator.deadlines.run)
        listeners = await nursery.start(partial(trio.serve_tcp, serve, 0, host="127.0.0.1"))
        yield front, listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


def test_the_ids_of_past_loads_take_a_part_of_the_room() -> None:
    # Guards against a process over its memory after thousands of loads.
    budget = limited()
    budget.set_limit(TIGHT_LIMIT)
    history = LoadHistory(budget)
    tracemalloc.start()
    for number in range(20_000):
        history.add(f"{number:016x}")
    taken_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert taken_bytes <= budget.used_bytes <= ROOM_SHARE * TIGHT_LIMIT.room_bytes
    assert f"{19_999:016X}" in history


def test_responses_to_repeatable_loads_are_kept_only_as_far_as_there_is_room() -> None:
    # Guards against kept responses that together exceed the memory, and against a load that runs again.
    async def scene() -> None:
        now_ms = [0.0]
        deadlines = Deadlines(lambda: now_ms[0])
        coordinator = Coordinator(parse(config()).settings, 1, {}, deadlines, Counters(), limited())
        store = LocalIdempotencyStore(coordinator)
        first = ODataResponse(201, bytes(100_000))
        with pytest.raises(ODataError, match="its answer is not kept"):
            for number in range(1_000):
                ticket = await store.begin("team", f"id-{number}")
                assert isinstance(ticket, tuple)
                store.end(ticket, first if number == 0 else ODataResponse(201, bytes(100_000)))
                await store.begin("team", f"id-{number}")
        assert coordinator.memory.used_bytes <= coordinator.memory.most_bytes(MemoryUse.ANSWERS)
        assert await store.begin("team", "id-0") is first
        now_ms[0] = RETENTION_MS + 1.0
        deadlines.sweep()
        assert coordinator.memory.used_bytes == 0

    run_with_timeout(scene)
