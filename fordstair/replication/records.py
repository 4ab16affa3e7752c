"""How the ledger and the values that converge are kept in the store, and how they are read back."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

import msgspec

from fordstair.replication.engines import OLDEST_MS, Roster
from fordstair.replication.ledger import UNKNOWN_TOKEN, Entry
from fordstair.replication.registers import Register
from fordstair.runtime.event_log import EventLog
from fordstair.store.record import CorruptedRecord, Record
from fordstair.store.record_file import RecordFile

log = EventLog(__name__)

CLAIM, VALUE, ENGINES = "claim", "value", "engines"

_entries: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
_registers: msgspec.msgpack.Decoder[Register] = msgspec.msgpack.Decoder(Register)
_rosters: msgspec.msgpack.Decoder[Roster] = msgspec.msgpack.Decoder(Roster)


@dataclass(slots=True)
class Stored:
    """What a store was found to hold."""

    doubted: str  # why it may not be all that was granted; empty: it is
    spoilt: int = 0
    entries: list[tuple[str, Entry]] = field(default_factory=list)
    values: list[tuple[str, Register]] = field(default_factory=list)
    roster: Roster | None = None


def of_entry(key: str, entry: Entry) -> Record:
    """Return the record of an entry of the ledger, which no reading of the wall clock drops.

    A claim that is forgotten too early lets its load run twice. Its holder drops it, by real time.
    """
    return Record(CLAIM, key.encode(), msgspec.msgpack.encode(entry))


def of_value(key: str, value: Register, keep_ms: float) -> Record:
    """Return the record of a value."""
    return Record(VALUE, key.encode(), msgspec.msgpack.encode(value), int(value.stamp.ms + keep_ms))


def of_roster(roster: Roster) -> Record:
    """Return the record of the known engines."""
    return Record(ENGINES, b"set", msgspec.msgpack.encode(roster), int(roster.heard_ms + OLDEST_MS))


def read(disk: RecordFile, now_ms: float) -> Stored:
    """Open the store and read it all; blocks. Raise StoreError where that cannot be done."""
    disk.open()
    disk.delete_expired(now_ms)
    told = Stored("the store is new" if disk.newly_created else "")
    for record in disk.read(now_ms):
        if isinstance(record, CorruptedRecord):
            told.spoilt += 1
            log.error("store.spoilt", path=disk.path, kind=record.kind, key=record.key[:64])
            if record.kind in (VALUE, ENGINES):  # what converges comes again from the others
                continue
            told.doubted = "a record is spoilt"
            told.entries.append((record.key.decode(errors="replace"), Entry(UNKNOWN_TOKEN, int(now_ms))))
        elif record.kind == CLAIM and record.value is not None:
            try:
                # How long the program was down is not known, and the wall clock may have been stepped
                # meanwhile: each claim is kept for its whole time once more.
                kept = msgspec.structs.replace(_entries.decode(record.value), granted_ms=int(now_ms))
                told.entries.append((record.key.decode(), kept))
            except (msgspec.MsgspecError, UnicodeDecodeError):
                told.doubted = "a record cannot be read"
        elif record.kind == VALUE and record.value is not None:
            with contextlib.suppress(msgspec.MsgspecError, UnicodeDecodeError):
                told.values.append((record.key.decode(), _registers.decode(record.value)))
        elif record.kind == ENGINES and record.value is not None:
            with contextlib.suppress(msgspec.MsgspecError):
                told.roster = _rosters.decode(record.value)
    return told
