"""The engine list in the formats of the command channel and the configuration, mapped to the code's terms.

A frame is its length (4 bytes, big-endian, of what follows), a number (8), a kind (1) and records of engines.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from typing import Any, NamedTuple

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind
from fordstair.runtime.clock import UnixMs

MAX_FRAME_BYTES = 4 * 1024 * 1024
# Length, number and kind of a frame.
HEADER = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
_LENGTH_BYTES = 4
_MIN_FRAME_BYTES = HEADER.size - _LENGTH_BYTES
_WEIGHT_SCALE = 1_000  # A record's weight is in thousandths.
_STATES = (EngineState.READY, EngineState.DRAINING, EngineState.GONE)
_STATE_NAMES = {"ready": EngineState.READY, "draining": EngineState.DRAINING, "gone": EngineState.GONE}
# Kind 0 is a heartbeat.
_UPDATE_KINDS = {1: ListUpdateKind.FULL, 2: ListUpdateKind.DELTA}


class FrameError(Exception):
    """A frame is malformed."""


class Frame(NamedTuple):
    """One frame; ``size_bytes`` includes its length field."""

    number: int
    kind: int
    payload: memoryview
    size_bytes: int


class EngineListEvent(NamedTuple):
    """An update of the engine list; numbers increase."""

    number: int
    kind: ListUpdateKind
    engines: list[Engine]


def read_frame(view: memoryview) -> Frame | None:
    """Return the first frame; None if it is incomplete. Raise FrameError."""
    if len(view) < _LENGTH_BYTES:
        return None
    size_bytes = int.from_bytes(view[:_LENGTH_BYTES], "big")
    if not _MIN_FRAME_BYTES <= size_bytes <= MAX_FRAME_BYTES:
        raise FrameError(f"frame length {size_bytes} is out of bounds")
    end = _LENGTH_BYTES + size_bytes
    if len(view) < end:
        return None
    _, number, kind = HEADER.unpack_from(view)
    return Frame(number, kind, view[HEADER.size : end], end)


def read_event(frame: Frame) -> EngineListEvent | None:
    """Return the update in a frame; None for a heartbeat and for an unknown kind. Raise FrameError."""
    kind = _UPDATE_KINDS.get(frame.kind)
    return None if kind is None else EngineListEvent(frame.number, kind, read_records(frame.payload))


def read_records(payload: memoryview) -> list[Engine]:
    """Parse the engines in a frame; raise FrameError."""
    if len(payload) % RECORD.size:
        raise FrameError(f"{len(payload)} bytes are not a whole number of records")
    return [_engine(*record) for record in RECORD.iter_unpack(payload)]


def read_known_event(command: Mapping[str, Any], zones: list[str], kinds: list[str]) -> EngineListEvent:
    """Parse one event of the configuration's ``known``; raise ValueError or KeyError if it is malformed."""
    nodes = command["nodes"]
    engines = [_known_engine(server, zones, kinds) for server in nodes["servers"]]
    kind = ListUpdateKind.FULL if nodes.get("full") else ListUpdateKind.DELTA
    return EngineListEvent(int(command.get("cursor", 0)), kind, engines)


def _engine(
    name: int,
    host: bytes,
    port: int,
    state: int,
    zone: int,
    host_type: int,
    cell: int,
    weight: int,
    started_ms: int,
) -> Engine:
    if state >= len(_STATES):
        raise FrameError(f"unknown state {state}")
    entry = EngineEntry(f"s-{name:08x}", _STATES[state], zone, cell, host_type, weight=weight / _WEIGHT_SCALE)
    address = f"{'.'.join(map(str, host))}:{port}"
    return Engine(entry, address, started_at=_started_at(started_ms))


def _known_engine(server: Mapping[str, Any], zones: list[str], kinds: list[str]) -> Engine:
    entry = EngineEntry(
        str(server["id"]),
        _STATE_NAMES[server["state"]],
        _index(zones, server.get("zone")),
        int(server.get("cell", 0)),
        _index(kinds, server.get("kind")),
        weight=float(server.get("weight", 1)),
    )
    protocol = str(server.get("protocol", "rest"))
    return Engine(entry, str(server["addr"]), protocol, _started_at(server.get("started_ms", 0)))


def _started_at(started_ms: Any) -> UnixMs | None:
    """Return the start of an engine's process; 0 stands for a start that is long past and gives None."""
    return UnixMs(float(started_ms)) if float(started_ms) > 0.0 else None


def _index(names: list[str], name: object) -> int:
    return names.index(name) if isinstance(name, str) and name in names else 0
