"""The store's file: one written before the names were changed is opened, read, and written again."""

from __future__ import annotations

import shutil
import sqlite3
from pathlib import Path

import msgspec

from fordstair.net.clients.odata_messages import Response
from fordstair.net.clients.repeatable_requests import ReplicatedIdempotencyStore, decode_response
from fordstair.replication.claim_entry import ClaimEntry
from fordstair.replication.engine_set import Dot, EngineSetState, ReplicatedEngine
from fordstair.replication.hybrid_clock import HybridTimestamp
from fordstair.replication.learned_costs import learned_values, restore_values
from fordstair.replication.register_map import Register
from fordstair.replication.stored_records import claim_record, engine_set_record, load_state, register_record
from fordstair.store.record import Record
from fordstair.store.record_file import RecordFile
from tests.helpers import GatewayHarness, settings
from tests.wires.recordings import FOLDER, recorded

FILE = FOLDER / "store.sqlite"
ANSWER = Response(201, b'{"meter":"m"}', {"Repeatability-Result": "accepted", "Location": "/x"})
ENTRIES = [
    ("team|granted", ClaimEntry("m0:1:a:1", 1_000)),
    ("team|settled", ClaimEntry("m1:2:b:2", 1_000, msgspec.msgpack.encode(ANSWER))),
    ("team|too large", ClaimEntry("m1:2:b:3", 1_000, b"")),
]
VALUES = [
    ("class|lookup|mean", Register(b"\x92\xcb@)\x00\x00\x00\x00\x00\x00\x07", HybridTimestamp(900, 1, "m1")))
]
ROSTER = EngineSetState(
    [(Dot(7, "m1"), ReplicatedEngine("s-00000001", "10.0.0.1:80", "rest", 1, 2, 3, 5.0, 0.5))], {"m1": 7}, 900
)
NOW_MS = 1_000.0


def write(path: Path) -> None:
    """Write a store with every kind of record."""
    disk = RecordFile(str(path))
    disk.open()
    disk.write(claim_record(key, entry) for key, entry in ENTRIES)
    disk.write(register_record(key, value, 1_000.0) for key, value in VALUES)
    disk.write([engine_set_record(ROSTER), Record("store", b"probe", b"x", 2_000)])
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
    harness = GatewayHarness(settings(instances=2))
    for _ in range(20):
        request = harness.send_request(0, 0.0, table_group=7.0)
        harness.end_attempt(request, work_ms=340.0, latency=400.0, memory_mb=50.0)
    return {key: value.hex() for key, value in sorted(learned_values(harness.gateway))}


def test_a_store_of_before_is_read(tmp_path: Path) -> None:
    shutil.copy(FILE, tmp_path / "store")
    disk = RecordFile(str(tmp_path / "store"))
    told = load_state(disk, NOW_MS)
    disk.close()
    assert (told.incomplete_reason, told.corrupted_records) == ("", 0)
    assert (told.entries, told.registers, told.engine_set) == (ENTRIES, VALUES, ROSTER)
    outcome = told.entries[1][1].outcome
    assert outcome is not None
    assert decode_response(outcome) == ANSWER


def test_the_answer_of_a_load_is_kept_as_before() -> None:
    kept = list[bytes]()

    class Holders:
        def settle_in_background(self, begun: object, outcome: bytes) -> None:
            kept.append(outcome)

    ReplicatedIdempotencyStore(Holders()).end(None, ANSWER)  # type: ignore[arg-type]  # stand-ins for claims and a claim
    assert kept == [ENTRIES[1][1].outcome]


def test_a_store_is_written_as_before(tmp_path: Path) -> None:
    write(tmp_path / "store")
    shutil.copy(FILE, tmp_path / "before")
    assert contents(tmp_path / "store") == contents(tmp_path / "before")


def test_what_was_learned_has_the_recorded_keys_and_values() -> None:
    known = recorded("store")
    assert messages() == known
    harness = GatewayHarness()
    assert restore_values(harness.gateway, {key: bytes.fromhex(text) for key, text in known.items()}) == len(
        known
    )
    assert {key: value.hex() for key, value in learned_values(harness.gateway)} == known
