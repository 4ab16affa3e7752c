"""Conversion of claims, registers and the engine set to stored records, and back."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from fordstair.replication.claim_entry import UNKNOWN_TOKEN, ClaimEntry
from fordstair.replication.engine_set import MAX_AGE_MS, EngineSetState
from fordstair.replication.register_map import Register
from fordstair.runtime.event_log import EventLog
from fordstair.store.record import CorruptedRecord, Record
from fordstair.store.record_file import RecordFile

log = EventLog(__name__)

CLAIM_KIND = "claim"
REGISTER_KIND = "value"
ENGINE_SET_KIND = "engines"
_ENGINE_SET_KEY = b"set"
_LOGGED_KEY_BYTES = 64

_entry_decoder: msgspec.msgpack.Decoder[ClaimEntry] = msgspec.msgpack.Decoder(ClaimEntry)
_register_decoder: msgspec.msgpack.Decoder[Register] = msgspec.msgpack.Decoder(Register)
_engine_set_decoder: msgspec.msgpack.Decoder[EngineSetState] = msgspec.msgpack.Decoder(EngineSetState)


@dataclass(slots=True)
class LoadedState:
    """The contents of a store.

    Attributes:
        incomplete_reason: Why grants may be missing; empty if none is.
    """

    incomplete_reason: str
    corrupted_records: int = 0
    entries: list[tuple[str, ClaimEntry]] = field(default_factory=list)
    registers: list[tuple[str, Register]] = field(default_factory=list)
    engine_set: EngineSetState | None = None


def claim_record(key: str, entry: ClaimEntry) -> Record:
    """Return the record of a claim's entry, which has no expiry time.

    A claim that expired too early would let its load run twice. So it does not expire by the wall clock,
    which may be stepped; its replica deletes it by elapsed time.
    """
    return Record(CLAIM_KIND, key.encode(), msgspec.msgpack.encode(entry))


def register_record(key: str, register: Register, retention_ms: float) -> Record:
    """Return the record of a register."""
    expires_ms = int(register.timestamp.unix_ms + retention_ms)
    return Record(REGISTER_KIND, key.encode(), msgspec.msgpack.encode(register), expires_ms)


def engine_set_record(state: EngineSetState) -> Record:
    """Return the record of the engine set."""
    expires_ms = int(state.registry_contact_ms + MAX_AGE_MS)
    return Record(ENGINE_SET_KIND, _ENGINE_SET_KEY, msgspec.msgpack.encode(state), expires_ms)


def deletion(kind: str, key: str) -> Record:
    """Return a record that deletes the stored record of this kind and key."""
    return Record(kind, key.encode(), None)


def load_state(file: RecordFile, now_ms: float) -> LoadedState:
    """Open a store and read all of it, blocking; raise StoreError if it cannot be opened or read.

    ``now_ms`` is Unix time.
    """
    file.open()
    file.delete_expired(now_ms)
    loaded = LoadedState("the store is new" if file.newly_created else "")
    for record in file.read(now_ms):
        if isinstance(record, CorruptedRecord):
            log.error(
                "store.record_corrupted", path=file.path, kind=record.kind, key=record.key[:_LOGGED_KEY_BYTES]
            )
            _load_corrupted(loaded, record, now_ms)
        elif record.value is not None:
            _load_record(loaded, record.kind, record.key, record.value, now_ms)
    return loaded


def _load_corrupted(loaded: LoadedState, record: CorruptedRecord, now_ms: float) -> None:
    """Keep a record that may have been a grant as a grant to an unknown claim.

    Corrupted registers and engine sets are dropped, since that state converges again.
    """
    loaded.corrupted_records += 1
    if record.kind in (REGISTER_KIND, ENGINE_SET_KIND):
        return
    loaded.incomplete_reason = "a record is corrupted"
    loaded.entries.append((record.key.decode(errors="replace"), ClaimEntry(UNKNOWN_TOKEN, int(now_ms))))


def _load_record(loaded: LoadedState, kind: str, key: bytes, value: bytes, now_ms: float) -> None:
    try:
        if kind == CLAIM_KIND:
            entry = _entry_decoder.decode(value)
            # It is not known how long the program was down, since the wall clock may have been stepped
            # meanwhile. So each claim is kept for the full retention time again.
            loaded.entries.append((key.decode(), msgspec.structs.replace(entry, granted_ms=int(now_ms))))
        elif kind == REGISTER_KIND:
            loaded.registers.append((key.decode(), _register_decoder.decode(value)))
        elif kind == ENGINE_SET_KIND:
            loaded.engine_set = _engine_set_decoder.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        if kind == CLAIM_KIND:
            loaded.incomplete_reason = "a record cannot be read"
