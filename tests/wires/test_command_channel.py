"""The command channel: the bytes that a coordinator sends when it connects, and the values that it reads."""

from __future__ import annotations

import dataclasses
import struct
from typing import Any

import trio

from fordstair.net.engine_list_wire import read_frame, read_known_event, read_records
from tests.scenes import run_with_timeout
from tests.standins import config, engine, program
from tests.wires.recordings import RecordingStream, recorded

# Each record: name, address, port, state, zone, kind, cell, weight in thousandths, start.
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


def plain_values(value: Any) -> str:
    """Return the plain values within a value, in order, without type and field names, which may change."""
    if dataclasses.is_dataclass(value):
        return plain_values([getattr(value, field.name) for field in dataclasses.fields(value)])
    if isinstance(value, list | tuple):
        return " ".join(text for each in value if (text := plain_values(each)))
    if value is None or isinstance(value, bool):  # The recording does not contain these.
        return ""
    return bytes(value).hex() if isinstance(value, memoryview) else str(getattr(value, "value", value))


async def record_connections() -> str:
    """Return the bytes that a coordinator sends on two connections; the first ends after a frame."""
    streams = list[RecordingStream]()

    async def serve(stream: trio.SocketStream) -> None:
        streams.append(RecordingStream(stream))
        if len(streams) == 1:
            await streams[0].receive_some(8)
            await stream.send_all(change_frame(5))
            await trio.sleep(0.2)
            await stream.aclose()
        else:
            await streams[-1].receive_some(64)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        async with engine() as one, program(config(one.address, channel=address)):
            while len(streams) < 2 or not streams[1].received:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return " ".join(stream.received.hex() for stream in streams[:2])


def messages() -> dict[str, str]:
    messages_by_name = dict[str, str]()

    async def scene() -> None:
        messages_by_name["connects, and connects again"] = await record_connections()

    run_with_timeout(scene)
    messages_by_name["records"] = plain_values(read_records(memoryview(PAYLOAD)))
    messages_by_name["frame"] = plain_values(read_frame(memoryview(change_frame(5) + b"more")))
    messages_by_name["known"] = plain_values(read_known_event(KNOWN, ["hall-a", "hall-b"], ["std", "big"]))
    changes = {"cursor": 8, "nodes": {"servers": KNOWN["nodes"]["servers"]}}  # type: ignore[index]
    messages_by_name["known changes"] = plain_values(read_known_event(changes, [], []))
    return messages_by_name


def change_frame(number: int) -> bytes:
    """Return a frame with changes."""
    return struct.pack(">IQB", 9 + len(PAYLOAD), number, 2) + PAYLOAD


def test_sent_bytes_and_read_values_match_the_recording() -> None:
    assert messages() == recorded("command_channel")
