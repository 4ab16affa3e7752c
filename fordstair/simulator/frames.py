"""The sizes and codes of the simulator's wire format: big-endian frames of fixed-size records and a tail.

A batch is a header, records of EVENT_BYTES each, and a tail that records refer to by offset and size.
A reply has the same form, with records of ACTION_BYTES.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from fordstair.decisions.engine_list import EngineId
from fordstair.decisions.events import Status

# Body size in bytes, time in ms, record count, batch number.
BATCH_HEADER = struct.Struct(">IdII")
# Body size in bytes, record count, batch number.
REPLY_HEADER = struct.Struct(">III")
EVENT_BYTES = 48
ACTION_BYTES = 24
ENGINE_ENTRY = struct.Struct(">HH4sHBdfH")
ENGINE_ENTRY_BYTES = ENGINE_ENTRY.size
MAX_LIST_NUMBER = 15
MAX_REPORT_VALUES = 4
ALL_PEERS = 0xFFFFFFFF


class EventCode(IntEnum):
    """The first byte of a record in a batch."""

    INSTANCE_STARTED = 1
    ENGINE_LIST_CHANGED = 2
    REQUEST_ARRIVED = 3
    STREAM_STARTED = 4
    ATTEMPT_ENDED = 5
    CLIENT_DISCONNECTED = 6
    TIMER_FIRED = 7
    HEALTH_CHECK_ENDED = 8
    PEER_MESSAGE = 9
    INSTANCE_STOPPED = 10
    ATTEMPT_NOTE = 11
    ENGINE_LIST = 12
    SWITCH_INSTANCE = 13


class ActionCode(IntEnum):
    """The first byte of a record in a reply."""

    SEND_ATTEMPT = 1
    REJECT_REQUEST = 2
    FAIL_REQUEST = 3
    CANCEL_ATTEMPT = 4
    START_TIMER = 5
    CHECK_HEALTH = 6
    CLOSE_IDLE_CONNECTIONS = 7
    SEND_PEER_MESSAGE = 8
    LOG_MESSAGE = 9
    INTERNAL_ERROR = 10
    WATCH_ENGINE_LIST = 11
    FETCH_ENGINE_LIST = 12
    SET_QUERY_RESOURCES = 13
    SWITCH_INSTANCE = 14


STATUS_BY_CODE = {
    0: Status.OK,
    1: Status.CANCELLED,
    4: Status.TIMEOUT,
    8: Status.FULL,
    9: Status.NOT_STARTED,
    10: Status.RESET,
    13: Status.ERROR,
    14: Status.CONNECT_FAILED,
}


class WireError(Exception):
    """A frame or setting cannot be decoded; the message says which one and where."""


def decode_engine_id(address: bytes, port: int) -> EngineId:
    """Return the engine id, ``a.b.c.d:port``, for the four address bytes and the port of a record."""
    return f"{address[0]}.{address[1]}.{address[2]}.{address[3]}:{port}"


def encode_engine_id(engine: EngineId) -> bytes:
    """Return the four address bytes and the port of an engine id, as a record holds them."""
    address, _, port = engine.partition(":")
    return bytes(int(part) for part in address.split(".")) + struct.pack(">H", int(port))
