"""Tests of the frames between replicas: a member's responses, its requests, and the digests."""

from __future__ import annotations

import struct
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgpack
import pytest
import trio

from fordstair.replication.claim_entry import ClaimEntry
from fordstair.replication.claim_replica import ClaimReplica
from fordstair.replication.engine_restoration import EngineRestorer, replicated_engines
from fordstair.replication.engine_set import Dot, EngineSet, EngineSetState, ReplicatedEngine
from fordstair.replication.hybrid_clock import HybridTimestamp
from fordstair.replication.messages import FrameDecoder, encode_frame
from fordstair.replication.register_map import Register, RegisterMap
from fordstair.replication.service import running_service
from fordstair.replication.settings import ReplicationSettings
from tests.scenes import run_with_timeout
from tests.wires.recordings import recorded

ENGINE: list[Any] = ["s-00000001", "10.0.0.1:80", "rest", 1, 2, 3, 5.0, 0.5]
ENGINE_SET = [[[[7, "m1"], ENGINE]], {"m1": 7}, 9]
VALUE = ("class|lookup|mean", msgpack.packb([12.5, 7]))
# The ranges of the key "team|load" and of the key of VALUE.
CLAIM_RANGE_NUMBER = 22
VALUE_RANGE_NUMBER = 36

REQUESTS: list[list[Any]] = [
    [1, 1, "team|load", "m1:1:a:1"],  # granted
    [1, 2, "team|load", "m1:1:a:2"],  # taken
    [2, 3, "team|load", "m1:1:a:1"],  # released
    [1, 4, "team|load", "m1:1:a:3"],
    [3, 5, "team|load", "m1:1:a:3", b"outcome"],  # settled
    [1, 6, "team|load", "m1:1:a:4"],  # taken, with the outcome
    [4, 7],
    [5, 8, CLAIM_RANGE_NUMBER, "", False],
    [6, 9],
    [7, 10, VALUE_RANGE_NUMBER, ""],
    [8, 11, 0],
]
RESPONSES: dict[int, list[Any]] = {
    1: [16, 0, 0, "", None],
    2: [17, 0, True],
    3: [17, 0, True],
    4: [18, 0, [1] + [0] * 63],
    5: [19, 0, [], False, False, True],
    6: [18, 0, [2] + [0] * 63],
    7: [20, 0, [], False],
    8: [21, 0, ENGINE_SET, 9],
}


def frame(item: list[Any]) -> bytes:
    body: bytes = msgpack.packb(item)
    return struct.pack(">I", len(body)) + body


async def frames(stream: trio.SocketStream) -> AsyncIterator[list[Any]]:
    """Yield frame after frame until the connection ends."""
    buffer = b""
    while chunk := await stream.receive_some(65_536):
        buffer += chunk
        while len(buffer) >= 4 and len(buffer) >= (end := 4 + int.from_bytes(buffer[:4], "big")):
            yield msgpack.unpackb(buffer[4:end], strict_map_key=False)
            buffer = buffer[end:]


def normalized(item: Any) -> Any:
    """Return a frame with all wall-clock times, also those in tokens, replaced by fixed values."""
    match item:
        case list():
            return [normalized(part) for part in item]
        case dict():
            return {key: normalized(value) for key, value in item.items()}
        case str() if item.startswith("m0:"):
            return "m0:<ms>:" + item.split(":", 2)[2]
        case bool():
            return item
        case int() if 10**12 < item < 10**13:
            return 10**12
    return item


@asynccontextmanager
async def member(folder: str, peer: str) -> AsyncIterator[Any]:
    members = {"m0": "127.0.0.1:1", "m1": peer}
    settings = ReplicationSettings(
        "c", "m0", members, ("127.0.0.1", 0), f"{folder}/store", exchange_interval_ms=100.0
    )
    async with running_service(settings, 11) as service:
        yield service


async def exchanged_frames(folder: str) -> dict[str, str]:
    """Return the frames that a member sends as requests and as responses, by name."""
    sent_requests = dict[tuple[Any, ...], list[Any]]()
    received_responses = list[list[Any]]()

    async def answer(stream: trio.SocketStream) -> None:
        async for item in frames(stream):
            kind = (item[0], *(item[4:] if item[0] == 5 else ()))
            sent_requests.setdefault(kind, [item[0], 0, *item[2:]])
            if item[0] in RESPONSES:
                response = RESPONSES[item[0]]
                await stream.send_all(frame([response[0], item[1], *response[2:]]))

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, answer, 0)
        peer = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with member(folder, peer) as service:
            # The Hello and each kind of request of a recovery and an exchange.
            while len(sent_requests) < 7:
                await trio.sleep(0.01)
            await service.register_sync.set_values([VALUE])
            for number, finish in enumerate(
                (service.claim_coordinator.settle, service.claim_coordinator.release)
            ):
                _, claim, _ = await service.claim_coordinator.begin(f"key {number}")
                await finish(claim, *([b"outcome"] if number == 0 else []))
            stream = await trio.open_tcp_stream("127.0.0.1", service.port)
            await stream.send_all(frame([0, 0, "c", "m1"]))
            responses = frames(stream)
            for request in REQUESTS:
                await stream.send_all(frame(request))
                received_responses.append(await anext(responses))
            await stream.aclose()
        nursery.cancel_scope.cancel()
    for item in received_responses:
        if item[0] == 18:
            # Most digests depend on the time of day; ``digests`` checks fixed ones.
            item[2] = [
                digest if digest and range_number == CLAIM_RANGE_NUMBER else int(digest > 0)
                for range_number, digest in enumerate(item[2])
            ]
    frames_by_name = {f"asked {kind}": item for kind, item in sorted(sent_requests.items())}
    frames_by_name |= {f"answer {item[1]}": item for item in received_responses}
    return {name: frame(normalized(item)).hex() for name, item in frames_by_name.items()}


def digests() -> dict[str, str]:
    """Return the digests that members compare, over fixed contents."""
    values = RegisterMap("m0", 1e9, 10)
    values.merge(1_000.0, VALUE[0], Register(VALUE[1], HybridTimestamp(900, 1, "m1")))
    replica = ClaimReplica("m0", ("m0", "m1"), 3, 600_000.0, 10)
    replica.merge("team|load", ClaimEntry("m1:1:a:3", 900, b"outcome"))
    engines = EngineSet("m0")
    engines.update_from_registry(1_000.0, 900.0, [ReplicatedEngine(*ENGINE)])
    return {
        "digests of values": str(values.digests),
        "digests of the ledger": str(replica.digests),
        "digest of engines": str(engines.digest),
    }


def messages() -> dict[str, str]:
    frames_by_name = dict[str, str]()

    async def scenario() -> None:
        with tempfile.TemporaryDirectory() as folder:
            frames_by_name.update(await exchanged_frames(folder))

    run_with_timeout(scenario)
    return frames_by_name | digests()


def test_a_replicated_engine_keeps_each_field() -> None:
    """Guards against swapped fields, which leave the encoding of a frame unchanged but alter its meaning."""
    known = EngineSet("m0")
    known.merge(1_000.0, EngineSetState([(Dot(7, "m1"), ReplicatedEngine(*ENGINE))], {"m1": 7}, 900))
    (engine,) = EngineRestorer(1e9).engines(1_000.0, known)
    assert replicated_engines([engine]) == [ReplicatedEngine(*ENGINE)]


SAMPLE_FRAMES = [frame(item) for item in [[0, 0, "c", "m1"], *REQUESTS, *RESPONSES.values()]]
RECORDED_FRAMES = [
    bytes.fromhex(text) for name, text in recorded("replication").items() if "digest" not in name
]


@pytest.mark.parametrize("data", [*SAMPLE_FRAMES, *RECORDED_FRAMES], ids=lambda data: data[:12].hex())
def test_a_frame_is_read_and_written_again(data: bytes) -> None:
    assert [encode_frame(decoded) for decoded in FrameDecoder().feed(data)] == [data]


def test_a_member_sends_the_recorded_bytes() -> None:
    assert messages() == recorded("replication")
