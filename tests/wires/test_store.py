"""The store's file: one written before the names were changed is opened, read, and written again."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path

import msgspec

from fordstair.net.clients.odata_messages import Response
from fordstair.net.clients.repeatable_requests import SharedRepeats, read_response
from fordstair.replication.clock import Stamp
from fordstair.replication.costs import learned, restore
from fordstair.replication.engines import Dot, Kept, Roster
from fordstair.replication.ledger import Entry
from fordstair.replication.records import of_entry, of_roster, of_value, read
from fordstair.replication.registers import Register
from fordstair.store.disk import Disk, Record
from tests.helpers import Rig, settings
from tests.wires.recordings import FOLDER, recorded

FILE = FOLDER / "store.sqlite"
ANSWER = Response(201, b'{"meter":"m"}', {"Repeatability-Result": "accepted", "Location": "/x"})
ENTRIES = [
    ("team|granted", Entry("m0:1:a:1", 1_000)),
    ("team|settled", Entry("m1:2:b:2", 1_000, msgspec.msgpack.encode(ANSWER))),
    ("team|too large", Entry("m1:2:b:3", 1_000, b"")),
]
VALUES = [("class|lookup|mean", Register(b"\x92\xcb@)\x00\x00\x00\x00\x00\x00\x07", Stamp(900, 1, "m1")))]
ROSTER = Roster(
    [(Dot(7, "m1"), Kept("s-00000001", "10.0.0.1:80", "rest", 1, 2, 3, 5.0, 0.5))], {"m1": 7}, 900
)
NOW_MS = 1_000.0


def write(path: Path) -> None:
    """Write a store with every kind of record."""
    disk = Disk(str(path))
    disk.open()
    disk.write(of_entry(key, entry) for key, entry in ENTRIES)
    disk.write(of_value(key, value, 1_000.0) for key, value in VALUES)
    disk.write([of_roster(ROSTER), Record("store", b"probe", b"x", 2_000)])
    disk.close()


def contents(path: Path) -> list[object]:
    """Return what stands in a file, as SQLite sees it."""
    with sqlite3.connect(path) as database:
        tables = database.execute("SELECT name, sql FROM sqlite_master").fetchall()
        version = database.execute("PRAGMA user_version").fetchall()
        journal = database.execute("PRAGMA journal_mode").fetchall()
        return [tables, version, journal, database.execute("SELECT * FROM record").fetchall()]


def messages() -> dict[str, str]:
    """What a member has learned of costs, as the store and the other members get it."""
    rig = Rig(settings(instances=2))
    for _ in range(20):
        request = rig.ask(0, 0.0, table_group=7.0)
        rig.end(request, work_ms=340.0, latency=400.0, memory_mb=50.0)
    return {key: value.hex() for key, value in sorted(learned(rig.gateway))}


def test_a_store_of_before_is_read(tmp_path: Path) -> None:
    shutil.copy(FILE, tmp_path / "store")
    disk = Disk(str(tmp_path / "store"))
    told = read(disk, NOW_MS)
    disk.close()
    assert (told.doubted, told.spoilt) == ("", 0)
    assert (told.entries, told.values, told.roster) == (ENTRIES, VALUES, ROSTER)
    outcome = told.entries[1][1].outcome
    assert outcome is not None
    assert read_response(outcome) == ANSWER


def test_the_answer_of_a_load_is_kept_as_before() -> None:
    kept = list[bytes]()

    class Holders:
        def settle_later(self, begun: object, outcome: bytes) -> None:
            kept.append(outcome)

    SharedRepeats(Holders()).end(None, ANSWER)  # type: ignore[arg-type]  # stand-ins for ledger and claim
    assert kept == [ENTRIES[1][1].outcome]


def test_a_store_is_written_as_before(tmp_path: Path) -> None:
    write(tmp_path / "store")
    shutil.copy(FILE, tmp_path / "before")
    assert contents(tmp_path / "store") == contents(tmp_path / "before")


def test_what_was_learned_has_the_recorded_keys_and_values() -> None:
    known = recorded("store")
    assert messages() == known
    rig = Rig()
    assert restore(rig.gateway, {key: bytes.fromhex(text) for key, text in known.items()}) == len(known)
    assert {key: value.hex() for key, value in learned(rig.gateway)} == known
