"""The codec of the simulator's wire: big-endian frames of fixed records and a shared tail."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

from fordstair.configuration.errors import SettingsDocumentError
from fordstair.configuration.settings_document import parse_settings
from fordstair.decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEngineList,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SendPeerMessage,
    SetQueryResources,
    StartTimer,
    WatchEngineList,
)
from fordstair.decisions.engine_list import EngineEntry, EngineId, EngineState, ListUpdateKind
from fordstair.decisions.events import (
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    EngineListChanged,
    Event,
    HealthCheckEnded,
    NoteKind,
    PeerMessage,
    RequestArrived,
    Status,
    StreamStarted,
    TimerFired,
)
from fordstair.decisions.settings import Settings

T = TypeVar("T")

HEADER = struct.Struct(">IdII")
REPLY = struct.Struct(">III")
EVENT_BYTES, ACTION_BYTES, ENTRY_BYTES = 48, 24, 25
ALL_PEERS = 0xFFFFFFFF

_ENTRY = struct.Struct(">HH4sHBdfH")
_REQUEST = struct.Struct(">IHdfHQHdf")
_OUTCOME = struct.Struct(">IB4sHHdBIB4f")
_PROBED = struct.Struct(">Hd4sHB4f")
_NOTE = struct.Struct(">IBB4sHf")
_FIRST = struct.Struct(">IB4sHd")
_STATUS = {
    0: Status.OK,
    13: Status.ERROR,
    8: Status.FULL,
    4: Status.TIMEOUT,
    14: Status.CONNECT_FAILED,
    10: Status.RESET,
    1: Status.CANCELLED,
    9: Status.MOOT,
}


class WireError(Exception):
    """A frame or setting that cannot be read; the message says what and where."""


@dataclass(slots=True, frozen=True)
class Up:
    """An instance starts."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class Shutdown:
    """An instance is dead."""


def engine_id(address: bytes, port: int) -> EngineId:
    """The engine's name: dotted address and port."""
    return f"{address[0]}.{address[1]}.{address[2]}.{address[3]}:{port}"


def engine_bytes(engine: EngineId) -> bytes:
    """The six bytes of an engine's name."""
    address, _, port = engine.partition(":")
    return bytes(int(part) for part in address.split(".")) + struct.pack(">H", int(port))


class Decoder:
    """Reads batches; keeps the numbered lists, which belong to the process and not to an instance."""

    def __init__(self) -> None:
        self._tables: dict[int, tuple[EngineEntry, ...]] = {}

    def batch(self, count: int, body: bytes) -> Iterator[tuple[int, Event | Up | Shutdown]]:
        """Yield each event with its instance, in order."""
        if count * EVENT_BYTES > len(body):
            raise WireError(f"batch: {count} records need {count * EVENT_BYTES} bytes, got {len(body)}")
        tail = body[count * EVENT_BYTES :]
        instance: int | None = None
        for index in range(count):
            at = index * EVENT_BYTES
            code = body[at]
            if code == 13:
                instance = struct.unpack_from(">I", body, at + 1)[0]
                continue
            where = f"record {index} (code {code})"
            if code == 12:
                number, offset, lines = struct.unpack_from(">HII", body, at + 1)
                if number > 15:
                    raise WireError(f"{where}: list number {number} is over 15")
                self._tables[number] = _entries(tail, offset, lines, where)
                continue
            if instance is None:
                raise WireError(f"{where}: no SwitchTo names its instance")
            yield instance, self._event(code, body, at, tail, where)

    def _event(self, code: int, body: bytes, at: int, tail: bytes, where: str) -> Event | Up | Shutdown:
        start = at + 1
        if code == 3:
            request, tenant, cost, group, bits, key, class_index, budget, memory = _REQUEST.unpack_from(
                body, start
            )
            return RequestArrived(
                request,
                class_index,
                budget,
                tenant,
                cost if bits & 1 else 0.0,
                memory,
                group,
                key,
                bool(bits & 2),
                bool(bits & 4),
            )
        if code == 5:
            request, attempt, addr, port, code, spent, complete, stats, n, *load = _OUTCOME.unpack_from(
                body, start
            )
            ended = _code(_STATUS, code, where, "status")
            return AttemptEnded(
                request,
                attempt,
                engine_id(addr, port),
                ended,
                spent,
                bool(complete),
                float(stats >> 12),
                float((stats & 4095) * 4),
                _report(n, load, where),
            )
        if code == 7:
            return TimerFired(struct.unpack_from(">Q", body, start)[0])
        if code == 11:
            request, sort, attempt, addr, port, value = _NOTE.unpack_from(body, start)
            kind = _code({k.value: k for k in NoteKind}, sort, where, "sort")
            return AttemptNote(request, attempt, engine_id(addr, port), kind, value)
        if code == 8:
            status, spent, addr, port, n, *load = _PROBED.unpack_from(body, start)
            return HealthCheckEnded(
                engine_id(addr, port), _code(_STATUS, status, where, "status"), spent, _report(n, load, where)
            )
        if code == 6:
            return ClientDisconnected(struct.unpack_from(">I", body, start)[0])
        if code == 2:
            number, version, sort = struct.unpack_from(">HIB", body, start)
            listing = _code({k.value: k for k in ListUpdateKind}, sort, where, "kind")
            if listing is ListUpdateKind.FAILED:
                return EngineListChanged(listing, (), version)
            if number not in self._tables:
                raise WireError(f"{where}: list {number} was never sent")
            return EngineListChanged(listing, self._tables[number], version)
        if code == 1:
            seed, offset, size = struct.unpack_from(">QII", body, start)
            try:
                text = _slice(tail, offset, size, where).decode()
            except UnicodeDecodeError as error:
                raise WireError(f"{where}: settings are not UTF-8: {error}") from None
            return Up(seed, _settings(text))
        if code == 4:
            request, attempt, addr, port, spent = _FIRST.unpack_from(body, start)
            return StreamStarted(request, attempt, engine_id(addr, port), spent)
        if code == 9:
            sender, offset, size = struct.unpack_from(">III", body, start)
            return PeerMessage(sender, _slice(tail, offset, size, where))
        if code == 10:
            return Shutdown()
        raise WireError(f"{where}: unknown event code")


def _code(table: dict[int, T], value: int, where: str, what: str) -> T:
    if value not in table:
        raise WireError(f"{where}: unknown {what} {value}")
    return table[value]


def _report(n: int, load: list[float], where: str) -> tuple[float, ...]:
    if n > 4:
        raise WireError(f"{where}: a load report of {n} values")
    return tuple(load[:n])


def _slice(tail: bytes, offset: int, size: int, where: str) -> bytes:
    if offset + size > len(tail):
        raise WireError(f"{where}: bytes {offset}..{offset + size} lie outside the tail of {len(tail)}")
    return tail[offset : offset + size]


def _entries(tail: bytes, offset: int, lines: int, where: str) -> tuple[EngineEntry, ...]:
    data = _slice(tail, offset, lines * ENTRY_BYTES, where)
    states = {s.value: s for s in EngineState}
    return tuple(
        EngineEntry(
            engine_id(addr, port), _code(states, state, where, "readiness"), zone, cell, kind, up, weight
        )
        for zone, cell, addr, port, state, up, weight, kind in _ENTRY.iter_unpack(data)
    )


def _settings(text: str) -> Settings:
    try:
        return parse_settings(text)
    except SettingsDocumentError as error:
        raise WireError(str(error)) from error


class Encoder:
    """Builds one reply."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def at(self, instance: int) -> None:
        """The actions that follow come from this instance."""
        self._add(14, struct.pack(">I", instance))

    def fault(self, text: str) -> None:
        """Say that the decision code failed."""
        self._add(10, self._text(text.encode()))

    def action(self, action: Action) -> None:
        """Append one action."""
        match action:
            case SendAttempt(request, engine, limit):
                self._add(1, struct.pack(">Id", request, limit) + engine_bytes(engine))
            case SetQueryResources(request, memory, priority):
                self._add(13, struct.pack(">IfB", request, memory, priority))
            case StartTimer(token, delay):
                self._add(5, struct.pack(">Qd", token, delay))
            case CancelAttempt(request, attempt):
                self._add(4, struct.pack(">IB", request, attempt))
            case RejectRequest(request, after):
                self._add(2, struct.pack(">Id", request, after))
            case FailRequest(request):
                self._add(3, struct.pack(">I", request))
            case CheckHealth(engine):
                self._add(6, engine_bytes(engine))
            case CloseIdleConnections(engine):
                self._add(7, engine_bytes(engine))
            case SendPeerMessage(peer, payload):
                self._add(8, struct.pack(">I", ALL_PEERS if peer is None else peer) + self._text(payload))
            case LogMessage(text):
                self._add(9, self._text(text.encode()))
            case WatchEngineList(on):
                self._add(11, struct.pack(">B", on))
            case FetchEngineList():
                self._add(12, b"")

    def reply(self, number: int) -> bytes:
        """The whole frame, answering that batch."""
        body = b"".join(self._records) + bytes(self._tail)
        return REPLY.pack(len(body), len(self._records), number) + body

    def _text(self, data: bytes) -> bytes:
        field = struct.pack(">II", len(self._tail), len(data))
        self._tail += data
        return field

    def _add(self, code: int, fields: bytes) -> None:
        self._records.append((bytes((code,)) + fields).ljust(ACTION_BYTES, b"\0"))
