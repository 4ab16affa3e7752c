"""Tests of the store: kills, torn tails, flipped bits and full disks."""

from __future__ import annotations

import os
import resource
import signal
import sqlite3
import subprocess
import sys
from pathlib import Path

import pytest

from fordstair.replication.service import ReplicationService
from fordstair.replication.settings import ReplicationSettings
from fordstair.replication.stored_records import load_state
from fordstair.store.errors import StoreError
from fordstair.store.record import CorruptedRecord, Record
from fordstair.store.record_file import RecordFile
from tests.standins import ROOT


def open_file(path: Path) -> RecordFile:
    file = RecordFile(str(path))
    file.open()
    return file


def test_written_records_survive_a_kill_and_a_torn_tail_is_discarded(tmp_path: Path) -> None:
    """A process prints each number once it is on disk and is killed; its log is then truncated."""
    path = tmp_path / "store"
    code = (
        "import sys\n"
        "from fordstair.store.record import Record\n"
        "from fordstair.store.record_file import RecordFile\n"
        "file = RecordFile(sys.argv[1]); file.open()\n"
        "for n in range(100000):\n"
        " file.write([Record('claim', b'%d' % n, b'v' * 50)]); print(n, flush=True)"
    )
    for cut_bytes in (0, 1, 700):
        path.unlink(missing_ok=True)
        process = subprocess.Popen([sys.executable, "-c", code, str(path)], cwd=ROOT, stdout=subprocess.PIPE)
        assert process.stdout is not None
        lines = [process.stdout.readline() for _ in range(40)]
        process.send_signal(signal.SIGKILL)
        lines += process.stdout.readlines()
        process.wait()
        last_written = max(int(line) for line in lines if line.endswith(b"\n"))
        log = Path(f"{path}-wal")
        # Truncation simulates a power loss before the end of the log was on disk.
        if cut_bytes:
            os.truncate(log, log.stat().st_size - cut_bytes)
        file = open_file(path)
        kept = {int(record.key) for record in file.read(0.0) if isinstance(record, Record)}
        assert not file.newly_created
        assert kept >= set(range(last_written + 1 if not cut_bytes else last_written - 1))
        # The kept records are a prefix of those written, without gaps.
        assert kept == set(range(len(kept)))
        file.close()


def test_a_flipped_bit_is_detected(tmp_path: Path) -> None:
    path = tmp_path / "store"
    file = open_file(path)
    file.write([Record("claim", b"k%d" % n, b"value-%d" % n) for n in range(50)])
    file.close()
    data = bytearray(path.read_bytes())
    data[data.index(b"value-17")] ^= 0x04
    path.write_bytes(data)
    file = open_file(path)
    found = [record for record in file.read(0.0) if isinstance(record, CorruptedRecord)]
    assert [corrupted.key for corrupted in found] == [b"k17"]
    file.close()
    service = ReplicationService(
        ReplicationSettings("c", "m", {"m": "127.0.0.1:1"}, ("127.0.0.1", 0), str(path)), 1
    )
    service.state.merge_loaded(load_state(service.state.file, 0.0))
    assert service.state.claim_replica.incomplete_reason
    assert service.counts["records_corrupted"] >= 1
    service.state.file.close()


def test_a_full_disk_or_an_unusable_file_raises_store_error(tmp_path: Path) -> None:
    file = open_file(tmp_path / "store")
    file.write([Record("claim", b"first", b"v")])
    before = resource.getrlimit(resource.RLIMIT_FSIZE)
    ignored = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    try:
        resource.setrlimit(resource.RLIMIT_FSIZE, (file.size_bytes + 50_000, before[1]))
        with pytest.raises(StoreError):
            for number in range(200):
                file.write([Record("claim", b"n%d" % number, b"v" * 4_000)])
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, before)
        signal.signal(signal.SIGXFSZ, ignored)
    file.close()
    file = open_file(tmp_path / "store")
    kept = [record for record in file.read(0.0) if isinstance(record, Record)]
    assert kept[0].key == b"first"
    assert all(record.value for record in kept)
    file.close()
    (tmp_path / "noise").write_bytes(b"no database " * 500)
    with pytest.raises(StoreError):
        open_file(tmp_path / "noise")
    with pytest.raises(StoreError):
        open_file(tmp_path / "missing" / "store")
    with sqlite3.connect(tmp_path / "newer") as newer:
        newer.execute("PRAGMA user_version=99")
    with pytest.raises(StoreError, match="version 99"):
        open_file(tmp_path / "newer")


def test_expired_records_are_not_read_and_are_deleted(tmp_path: Path) -> None:
    file = open_file(tmp_path / "store")
    file.write([Record("claim", b"old", b"v", 100), Record("claim", b"new", b"v", 10_000)])
    assert [record.key for record in file.read(5_000.0)] == [b"new"]
    assert file.delete_expired(5_000.0) == 1
    assert len(list(file.read(0.0))) == 1
    file.close()
