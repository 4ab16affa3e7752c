"""Tests of the format of the store's file against a recorded file and recorded values."""

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
RESPONSE = Response(201, b'{"meter":"m"}', {"Repeatability-Result": "accepted", "Location": "/x"})
ENTRIES = [
    ("team|granted", ClaimEntry("m0:1:a:1", 1_000)),
    ("team|settled", ClaimEntry("m1:2:b:2", 1_000, msgspec.msgpack.encode(RESPONSE))),
    ("team|too large", ClaimEntry("m1:2:b:3", 1_000, b"")),
]
VALUES = [
    ("class|lookup|mean", Register(b"\x92\xcb@)\x00\x00\x00\x00\x00\x00\x07", HybridTimestamp(900, 1, "m1")))
]
ENGINE_SET = EngineSetState(
    [(Dot(7, "m1"), ReplicatedEngine("s-00000001", "10.0.0.1:80", "rest", 1, 2, 3, 5.0, 0.5))], {"m1": 7}, 900
)
NOW_MS = 1_000.0


def write_store(path: Path) -> None:
    """Write a store with every kind of record."""
    file = RecordFile(str(path))
    file.open()
    file.write(claim_record(key, entry) for key, entry in ENTRIES)
    file.write(register_record(key, value, 1_000.0) for key, value in VALUES)
    file.write([engine_set_record(ENGINE_SET), Record("store", b"probe", b"x", 2_000)])
    file.close()


def database_contents(path: Path) -> list[object]:
    """Return the tables, the version, the journal mode and the rows of a file, as SQLite reads them."""
    with sqlite3.connect(path) as database:
        tables = database.execute("SELECT name, sql FROM sqlite_master").fetchall()
        version = database.execute("PRAGMA user_version").fetchall()
        journal_mode = database.execute("PRAGMA journal_mode").fetchall()
        return [tables, version, journal_mode, database.execute("SELECT * FROM record").fetchall()]


def messages() -> dict[str, str]:
    """Return the learned costs of a module, as they are stored and sent to other members."""
    harness = GatewayHarness(settings(instances=2))
    for _ in range(20):
        request = harness.send_request(0, 0.0, table_group=7.0)
        harness.end_attempt(request, work_ms=340.0, latency=400.0, memory_mb=50.0)
    return {key: value.hex() for key, value in sorted(learned_values(harness.gateway))}


def test_recorded_store_is_read(tmp_path: Path) -> None:
    shutil.copy(FILE, tmp_path / "store")
    file = RecordFile(str(tmp_path / "store"))
    loaded = load_state(file, NOW_MS)
    file.close()
    assert (loaded.incomplete_reason, loaded.corrupted_records) == ("", 0)
    assert (loaded.entries, loaded.registers, loaded.engine_set) == (ENTRIES, VALUES, ENGINE_SET)
    outcome = loaded.entries[1][1].outcome
    assert outcome is not None
    assert decode_response(outcome) == RESPONSE


def test_load_outcome_is_encoded_as_recorded() -> None:
    stored = list[bytes]()

    class FakeClaimCoordinator:
        def settle_in_background(self, claim: object, outcome: bytes) -> None:
            stored.append(outcome)

    ReplicatedIdempotencyStore(FakeClaimCoordinator()).end(None, RESPONSE)  # type: ignore[arg-type]  # fakes of a claim coordinator and a claim
    assert stored == [ENTRIES[1][1].outcome]


def test_store_is_written_as_recorded(tmp_path: Path) -> None:
    write_store(tmp_path / "store")
    shutil.copy(FILE, tmp_path / "before")
    assert database_contents(tmp_path / "store") == database_contents(tmp_path / "before")


def test_learned_costs_have_the_recorded_keys_and_values() -> None:
    expected = recorded("store")
    assert messages() == expected
    harness = GatewayHarness()
    assert restore_values(
        harness.gateway, {key: bytes.fromhex(text) for key, text in expected.items()}
    ) == len(expected)
    assert {key: value.hex() for key, value in learned_values(harness.gateway)} == expected
