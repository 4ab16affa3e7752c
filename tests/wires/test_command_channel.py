"""The command channel: what a coordinator sends as it connects, and what it reads."""

from __future__ import annotations

import dataclasses
import struct
from typing import Any

import trio

from fordstair.net.engine_list_wire import read_frame, read_known_event, read_records
from tests.scenes import run_with_timeout
from tests.standins import config, engine, program
from tests.wires.recordings import Tap, recorded

# name, address, port, state, zone, kind, cell, weight in thousandths, start
RECORDS = [
    (1, bytes([10, 0, 0, 1]), 8080, 0, 1, 2, 3, 1_500, 1_764_000_000_123),
    (0xABCDEF01, bytes([192, 168, 255, 254]), 65_535, 1, 0, 0, 0, 0, 0),
    (2, bytes([10, 0, 0, 2]), 80, 2, 255, 255, 65_535, 4_294_967, 1),
]
PAYLOAD = b"".join(struct.pack(">I4sHBBBHIQ", *record) for record in RECORDS)
KNOWN = {
    "cursor": 7,
    "nodes": {
        "version": 7,
        "full": True,
        "servers": [
            {
                "id": "s-00000001",
                "addr": "10.0.0.1:8080",
                "zone": "hall-b",
                "kind": "big",
                "cell": 3,
                "state": "draining",
                "weight": 1.5,
                "started_ms": 1_764_000_000_123,
            },
            {"id": "s-00000002", "addr": "10.0.0.2:80", "state": "gone", "protocol": "odata"},
        ],
    },
}


def shown(value: Any) -> str:
    """Return the plain values in something, in their order: types and fields may get other names."""
    if dataclasses.is_dataclass(value):
        return shown([getattr(value, field.name) for field in dataclasses.fields(value)])
    if isinstance(value, list | tuple):
        return " ".join(text for each in value if (text := shown(each)))
    if value is None or isinstance(value, bool):  # none of these is told here
        return ""
    return bytes(value).hex() if isinstance(value, memoryview) else str(getattr(value, "value", value))


async def connected() -> str:
    """Return the bytes that a coordinator sends on its first two connections, on the first after an event."""
    taps = list[Tap]()

    async def serve(stream: trio.SocketStream) -> None:
        taps.append(Tap(stream))
        if len(taps) == 1:
            await taps[0].receive_some(8)
            await stream.send_all(event(5))
            await trio.sleep(0.2)
            await stream.aclose()
        else:
            await taps[-1].receive_some(64)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        where = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with engine() as one, program(config(one.address, channel=where)):
            while len(taps) < 2 or not taps[1].received:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return " ".join(tap.received.hex() for tap in taps[:2])


def messages() -> dict[str, str]:
    told = dict[str, str]()

    async def scene() -> None:
        told["connects, and connects again"] = await connected()

    run_with_timeout(scene)
    told["records"] = shown(read_records(memoryview(PAYLOAD)))
    told["frame"] = shown(read_frame(memoryview(event(5) + b"more")))
    told["known"] = shown(read_known_event(KNOWN, ["hall-a", "hall-b"], ["std", "big"]))
    changes = {"cursor": 8, "nodes": {"servers": KNOWN["nodes"]["servers"]}}  # type: ignore[index]
    told["known changes"] = shown(read_known_event(changes, [], []))
    return told


def event(number: int) -> bytes:
    """A frame of changes."""
    return struct.pack(">IQB", 9 + len(PAYLOAD), number, 2) + PAYLOAD


def test_what_is_sent_and_read_is_as_recorded() -> None:
    assert messages() == recorded("command_channel")
