"""Decodes the simulator's batches into the decision module's events."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias, TypeVar

from fordstair.configuration.errors import SettingsDocumentError
from fordstair.configuration.settings_document import parse_settings
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind
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
    StreamStarted,
    TimerFired,
)
from fordstair.decisions.settings import Settings
from fordstair.simulator.frames import (
    ENGINE_ENTRY,
    ENGINE_ENTRY_BYTES,
    EVENT_BYTES,
    MAX_LIST_NUMBER,
    MAX_REPORT_VALUES,
    STATUS_BY_CODE,
    EventCode,
    WireError,
    decode_engine_id,
)

Value = TypeVar("Value")

_UINT32 = struct.Struct(">I")
_UINT64 = struct.Struct(">Q")
_ENGINE_LIST = struct.Struct(">HII")
_INSTANCE_STARTED = struct.Struct(">QII")
_PEER_MESSAGE = struct.Struct(">III")
_LIST_CHANGED = struct.Struct(">HIB")
_REQUEST_ARRIVED = struct.Struct(">IHdfHQHdf")
_ATTEMPT_ENDED = struct.Struct(">IB4sHHdBIB4f")
_HEALTH_CHECK_ENDED = struct.Struct(">Hd4sHB4f")
_ATTEMPT_NOTE = struct.Struct(">IBB4sHf")
_STREAM_STARTED = struct.Struct(">IB4sHd")

# Bits of a request's flags.
COST_KNOWN = 1
CLIENT_RETRY = 2
WRITE = 4

# An attempt's statistics hold its memory, in units, in the low bits and its work, in ms, in the bits above.
MEMORY_BITS = 12
MEMORY_UNIT_MB = 4

_LIST_UPDATE_KINDS = {kind.value: kind for kind in ListUpdateKind}
_NOTE_KINDS = {kind.value: kind for kind in NoteKind}
_ENGINE_STATES = {state.value: state for state in EngineState}


@dataclass(slots=True, frozen=True)
class InstanceStarted:
    """A coordinator instance has started, with these settings and this seed."""

    seed: int
    settings: Settings


@dataclass(slots=True, frozen=True)
class InstanceStopped:
    """A coordinator instance has stopped."""


InstanceEvent: TypeAlias = Event | InstanceStarted | InstanceStopped


class _Record(NamedTuple):
    """One record of a batch.

    Attributes:
        fields: The record's bytes after its code.
        tail: The tail of the batch.
        location: The record's index and code, for error messages.
    """

    fields: bytes
    tail: bytes
    location: str

    def tail_slice(self, offset: int, size: int) -> bytes:
        """Return these bytes of the tail; raise WireError if they lie outside it."""
        if offset + size > len(self.tail):
            end = offset + size
            raise WireError(
                f"{self.location}: bytes {offset}..{end} are outside the tail of {len(self.tail)} bytes"
            )
        return self.tail[offset : offset + size]

    def decode_code(self, values: Mapping[int, Value], code: int, name: str) -> Value:
        """Return the value of a code; raise WireError if the code is unknown."""
        if code not in values:
            raise WireError(f"{self.location}: unknown {name} {code}")
        return values[code]

    def load_report(self, count: int, values: list[float]) -> tuple[float, ...]:
        """Return the first ``count`` values of a load report; raise WireError if it cannot hold so many."""
        if count > MAX_REPORT_VALUES:
            raise WireError(
                f"{self.location}: load report of {count} values; the limit is {MAX_REPORT_VALUES}"
            )
        return tuple(values[:count])


class EventDecoder:
    """Decodes batches; keeps the numbered engine lists, which the instances of a process share."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[EngineEntry, ...]] = {}
        self._decoders: dict[int, Callable[[_Record], InstanceEvent]] = {
            EventCode.INSTANCE_STARTED: _instance_started,
            EventCode.ENGINE_LIST_CHANGED: self._engine_list_changed,
            EventCode.REQUEST_ARRIVED: _request_arrived,
            EventCode.STREAM_STARTED: _stream_started,
            EventCode.ATTEMPT_ENDED: _attempt_ended,
            EventCode.CLIENT_DISCONNECTED: _client_disconnected,
            EventCode.TIMER_FIRED: _timer_fired,
            EventCode.HEALTH_CHECK_ENDED: _health_check_ended,
            EventCode.PEER_MESSAGE: _peer_message,
            EventCode.INSTANCE_STOPPED: _instance_stopped,
            EventCode.ATTEMPT_NOTE: _attempt_note,
        }

    def decode_batch(self, count: int, body: bytes) -> Iterator[tuple[int, InstanceEvent]]:
        """Yield each event with its instance, in order; raise WireError if the batch cannot be decoded."""
        records_bytes = count * EVENT_BYTES
        if records_bytes > len(body):
            raise WireError(f"batch: {count} records need {records_bytes} bytes, got {len(body)}")
        tail = body[records_bytes:]
        instance: int | None = None
        for index in range(count):
            start = index * EVENT_BYTES
            code = body[start]
            record = _Record(body[start + 1 : start + EVENT_BYTES], tail, f"record {index} (code {code})")
            if code == EventCode.SWITCH_INSTANCE:
                (instance,) = _UINT32.unpack_from(record.fields)
            elif code == EventCode.ENGINE_LIST:
                self._store_list(record)
            elif instance is None:
                raise WireError(f"{record.location}: no SwitchTo record before it names an instance")
            elif code in self._decoders:
                yield instance, self._decoders[code](record)
            else:
                raise WireError(f"{record.location}: unknown event code")

    def _store_list(self, record: _Record) -> None:
        number, offset, entry_count = _ENGINE_LIST.unpack_from(record.fields)
        if number > MAX_LIST_NUMBER:
            raise WireError(f"{record.location}: engine list number {number} exceeds {MAX_LIST_NUMBER}")
        self._lists[number] = _entries(record, offset, entry_count)

    def _engine_list_changed(self, record: _Record) -> EngineListChanged:
        number, version, kind_code = _LIST_CHANGED.unpack_from(record.fields)
        kind = record.decode_code(_LIST_UPDATE_KINDS, kind_code, "kind")
        if kind is ListUpdateKind.FAILED:
            return EngineListChanged(kind, (), version)
        if number not in self._lists:
            raise WireError(f"{record.location}: engine list {number} was not sent")
        return EngineListChanged(kind, self._lists[number], version)


def _entries(record: _Record, offset: int, count: int) -> tuple[EngineEntry, ...]:
    data = record.tail_slice(offset, count * ENGINE_ENTRY_BYTES)
    return tuple(
        EngineEntry(
            engine=decode_engine_id(address, port),
            state=record.decode_code(_ENGINE_STATES, state, "readiness"),
            zone=zone,
            cell=cell,
            kind=kind,
            started_ms=started_ms,
            weight=weight,
        )
        for zone, cell, address, port, state, started_ms, weight, kind in ENGINE_ENTRY.iter_unpack(data)
    )


def _instance_started(record: _Record) -> InstanceStarted:
    seed, offset, size = _INSTANCE_STARTED.unpack_from(record.fields)
    try:
        text = record.tail_slice(offset, size).decode()
    except UnicodeDecodeError as error:
        raise WireError(f"{record.location}: settings are not UTF-8: {error}") from None
    try:
        return InstanceStarted(seed, parse_settings(text))
    except SettingsDocumentError as error:
        raise WireError(str(error)) from error


def _instance_stopped(_: _Record) -> InstanceStopped:
    return InstanceStopped()


def _request_arrived(record: _Record) -> RequestArrived:
    unpacked: tuple[Any, ...] = _REQUEST_ARRIVED.unpack_from(record.fields)
    request, tenant, cost_ms, group, flags, key, class_index, time_left_ms, memory_mb = unpacked
    return RequestArrived(
        request=request,
        class_index=class_index,
        time_left_ms=time_left_ms,
        tenant=tenant,
        cost_ms=cost_ms if flags & COST_KNOWN else 0.0,
        memory_mb=memory_mb,
        table_group=group,
        ordering_key=key,
        is_client_retry=bool(flags & CLIENT_RETRY),
        is_write=bool(flags & WRITE),
    )


def _stream_started(record: _Record) -> StreamStarted:
    request, attempt, address, port, latency_ms = _STREAM_STARTED.unpack_from(record.fields)
    return StreamStarted(request, attempt, decode_engine_id(address, port), latency_ms)


def _attempt_ended(record: _Record) -> AttemptEnded:
    unpacked: tuple[Any, ...] = _ATTEMPT_ENDED.unpack_from(record.fields)
    request, attempt, address, port, status, latency_ms, complete, statistics, count, *report = unpacked
    return AttemptEnded(
        request=request,
        attempt=attempt,
        engine=decode_engine_id(address, port),
        status=record.decode_code(STATUS_BY_CODE, status, "status"),
        latency_ms=latency_ms,
        request_over=bool(complete),
        work_ms=float(statistics >> MEMORY_BITS),
        memory_mb=float((statistics & (1 << MEMORY_BITS) - 1) * MEMORY_UNIT_MB),
        report=record.load_report(count, report),
    )


def _attempt_note(record: _Record) -> AttemptNote:
    request, kind_code, attempt, address, port, value = _ATTEMPT_NOTE.unpack_from(record.fields)
    kind = record.decode_code(_NOTE_KINDS, kind_code, "sort")
    return AttemptNote(request, attempt, decode_engine_id(address, port), kind, value)


def _health_check_ended(record: _Record) -> HealthCheckEnded:
    status, latency_ms, address, port, count, *report = _HEALTH_CHECK_ENDED.unpack_from(record.fields)
    return HealthCheckEnded(
        engine=decode_engine_id(address, port),
        status=record.decode_code(STATUS_BY_CODE, status, "status"),
        latency_ms=latency_ms,
        report=record.load_report(count, report),
    )


def _client_disconnected(record: _Record) -> ClientDisconnected:
    return ClientDisconnected(_UINT32.unpack_from(record.fields)[0])


def _timer_fired(record: _Record) -> TimerFired:
    return TimerFired(_UINT64.unpack_from(record.fields)[0])


def _peer_message(record: _Record) -> PeerMessage:
    sender, offset, size = _PEER_MESSAGE.unpack_from(record.fields)
    return PeerMessage(sender, record.tail_slice(offset, size))
