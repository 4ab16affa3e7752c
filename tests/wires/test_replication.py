"""Frames between the holders of the ledger: what a member answers, what it asks, and how digests are made."""

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
ROSTER = [[[[7, "m1"], ENGINE]], {"m1": 7}, 9]
VALUE = ("class|lookup|mean", msgpack.packb([12.5, 7]))
KEY_RANGE = 22  # of the key "team|load"
VALUE_RANGE = 36  # of VALUE's key

QUESTIONS: list[list[Any]] = [
    [1, 1, "team|load", "m1:1:a:1"],  # granted
    [1, 2, "team|load", "m1:1:a:2"],  # taken
    [2, 3, "team|load", "m1:1:a:1"],  # released
    [1, 4, "team|load", "m1:1:a:3"],
    [3, 5, "team|load", "m1:1:a:3", b"outcome"],  # settled
    [1, 6, "team|load", "m1:1:a:4"],  # taken, with the outcome
    [4, 7],
    [5, 8, KEY_RANGE, "", False],
    [6, 9],
    [7, 10, VALUE_RANGE, ""],
    [8, 11, 0],
]
ANSWERS: dict[int, list[Any]] = {
    1: [16, 0, 0, "", None],
    2: [17, 0, True],
    3: [17, 0, True],
    4: [18, 0, [1] + [0] * 63],
    5: [19, 0, [], False, False, True],
    6: [18, 0, [2] + [0] * 63],
    7: [20, 0, [], False],
    8: [21, 0, ROSTER, 9],
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


def steady(item: Any) -> Any:
    """Return a frame with its times of day, and what is made from them, set to fixed ones."""
    match item:
        case list():
            return [steady(each) for each in item]
        case dict():
            return {key: steady(value) for key, value in item.items()}
        case str() if item.startswith("m0:"):
            return "m0:<ms>:" + item.split(":", 2)[2]
        case bool():
            return item
        case int() if 10**12 < item < 10**13:
            return 10**12
    return item


@asynccontextmanager
async def member(folder: str, peer: str) -> AsyncIterator[Any]:
    holders = {"m0": "127.0.0.1:1", "m1": peer}
    told = ReplicationSettings(
        "c", "m0", holders, ("127.0.0.1", 0), f"{folder}/store", exchange_interval_ms=100.0
    )
    async with running_service(told, 11) as service:
        yield service


async def conversation(folder: str) -> dict[str, str]:
    """Ask a member, and answer what it asks."""
    asked = dict[tuple[Any, ...], list[Any]]()
    answered = list[list[Any]]()

    async def answer(stream: trio.SocketStream) -> None:
        async for item in frames(stream):
            kind = (item[0], *(item[4:] if item[0] == 5 else ()))
            asked.setdefault(kind, [item[0], 0, *item[2:]])
            if item[0] in ANSWERS:
                reply = ANSWERS[item[0]]
                await stream.send_all(frame([reply[0], item[1], *reply[2:]]))

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, answer, 0)
        peer = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with member(folder, peer) as service:
            while len(asked) < 7:  # the greeting, and each question of an exchange
                await trio.sleep(0.01)
            await service.register_sync.set_values([VALUE])
            for number, done in enumerate(
                (service.claim_coordinator.settle, service.claim_coordinator.release)
            ):
                _, begun, _ = await service.claim_coordinator.begin(f"key {number}")
                await done(begun, *([b"outcome"] if number == 0 else []))
            stream = await trio.open_tcp_stream("127.0.0.1", service.port)
            await stream.send_all(frame([0, 0, "c", "m1"]))
            coming = frames(stream)
            for question in QUESTIONS:
                await stream.send_all(frame(question))
                answered.append(await anext(coming))
            await stream.aclose()
        nursery.cancel_scope.cancel()
    for item in answered:
        if item[0] == 18:  # most are made from the time of day: see ``digests``
            item[2] = [
                each if each and which == KEY_RANGE else int(each > 0) for which, each in enumerate(item[2])
            ]
    told = {f"asked {kind}": item for kind, item in sorted(asked.items())}
    told |= {f"answer {item[1]}": item for item in answered}
    return {name: frame(steady(item)).hex() for name, item in told.items()}


def digests() -> dict[str, str]:
    """The digests that members compare, over fixed contents."""
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
    told = dict[str, str]()

    async def scene() -> None:
        with tempfile.TemporaryDirectory() as folder:
            told.update(await conversation(folder))

    run_with_timeout(scene)
    return told | digests()


def test_a_known_engine_keeps_each_field_in_its_place() -> None:
    """A field that is read from another's place leaves the bytes as they are, and means something else."""
    known = EngineSet("m0")
    known.merge(1_000.0, EngineSetState([(Dot(7, "m1"), ReplicatedEngine(*ENGINE))], {"m1": 7}, 900))
    (engine,) = EngineRestorer(1e9).engines(1_000.0, known)
    assert replicated_engines([engine]) == [ReplicatedEngine(*ENGINE)]


SENT = [frame(item) for item in [[0, 0, "c", "m1"], *QUESTIONS, *ANSWERS.values()]]
FRAMES = [bytes.fromhex(text) for name, text in recorded("replication").items() if "digest" not in name]


@pytest.mark.parametrize("data", [*SENT, *FRAMES], ids=lambda data: data[:12].hex())
def test_a_frame_is_read_and_written_again(data: bytes) -> None:
    assert [encode_frame(each) for each in FrameDecoder().feed(data)] == [data]


def test_a_member_says_the_recorded_bytes() -> None:
    assert messages() == recorded("replication")
