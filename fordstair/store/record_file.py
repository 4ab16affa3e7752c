"""One file of records in SQLite (WAL mode, each commit synced to disk); it starts no task and reads no clock.

SQLite discards a torn tail of its log by itself. It does not notice a bit that flips in the table: each
record carries a checksum, and one that fails it is reported in place of the record.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from pathlib import Path

from fordstair.store.errors import StoreCorruptedError, StoreError
from fordstair.store.record import CorruptedRecord, Record, parse_record

SCHEMA_VERSION = 1
LOCK_TIMEOUT_S = 1.0
_CREATE_TABLE = """CREATE TABLE IF NOT EXISTS record (
    kind TEXT NOT NULL, key BLOB NOT NULL, value BLOB, expires_ms INTEGER NOT NULL, sum INTEGER NOT NULL,
    PRIMARY KEY (kind, key)) WITHOUT ROWID"""
_PRAGMAS = (
    "PRAGMA journal_mode=WAL",
    "PRAGMA synchronous=FULL",
    "PRAGMA locking_mode=EXCLUSIVE",  # two programs on one file would both grant claims
    "PRAGMA cache_size=-1024",  # in KiB
)


class RecordFile:
    """The file. All calls block and are made one at a time, from any thread.

    ``newly_created`` tells whether the last ``open`` made the file: nothing is known of an earlier process.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.newly_created = False
        self.commits = 0
        self.written_bytes = 0  # of keys and values
        self._database: sqlite3.Connection | None = None

    def open(self) -> None:
        """Open the file, or create it; raise StoreError where it cannot be used."""
        path = Path(self.path)
        self.newly_created = not path.exists() or path.stat().st_size == 0
        try:
            self._database = sqlite3.connect(
                self.path, isolation_level=None, check_same_thread=False, timeout=LOCK_TIMEOUT_S
            )
            self._prepare(self._database)
        except sqlite3.Error as error:
            self.close()
            raise self._store_error(error) from None
        except StoreError:
            self.close()
            raise

    def _prepare(self, database: sqlite3.Connection) -> None:
        for pragma in _PRAGMAS:
            database.execute(pragma)
        version = database.execute("PRAGMA user_version").fetchone()[0]
        if version not in (0, SCHEMA_VERSION):
            raise StoreError(f"{self.path}: of version {version}, and {SCHEMA_VERSION} is known here")
        database.execute("BEGIN IMMEDIATE")
        database.execute(_CREATE_TABLE)
        database.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
        database.execute("COMMIT")

    def close(self) -> None:
        """Close the file."""
        if self._database is not None:
            database = self._database
            self._database = None
            database.close()

    def write(self, records: Iterable[Record]) -> None:
        """Write records in one commit, on disk when this returns; raise StoreError, and write none."""
        database = self._require_open()
        try:
            database.execute("BEGIN IMMEDIATE")
            for record in records:
                self._write_record(database, record)
            database.execute("COMMIT")
        except (sqlite3.Error, OverflowError) as error:
            self._roll_back(database)
            raise self._store_error(error) from None
        self.commits += 1

    def _write_record(self, database: sqlite3.Connection, record: Record) -> None:
        if record.value is None:
            database.execute("DELETE FROM record WHERE kind=? AND key=?", (record.kind, record.key))
            return
        self.written_bytes += len(record.key) + len(record.value)
        database.execute(
            "INSERT OR REPLACE INTO record VALUES (?,?,?,?,?)",
            (record.kind, record.key, record.value, record.expires_ms, record.checksum),
        )

    def _roll_back(self, database: sqlite3.Connection) -> None:
        if database.in_transaction:
            try:
                database.execute("ROLLBACK")
            except sqlite3.Error:  # a full disk may refuse this as well
                self.close()

    def read(self, now_ms: float) -> Iterator[Record | CorruptedRecord]:
        """Yield what has not expired by Unix time ``now_ms``, by kind and key.

        Raise StoreError where a page is unreadable.
        """
        database = self._require_open()
        try:
            for row in database.execute(
                "SELECT kind, key, value, expires_ms, sum FROM record ORDER BY kind, key"
            ):
                record = parse_record(*row)
                if isinstance(record, CorruptedRecord) or not record.expires_ms or record.expires_ms > now_ms:
                    yield record
        except sqlite3.Error as error:
            raise self._store_error(error) from None

    def delete_expired(self, now_ms: float) -> int:
        """Delete what has expired by Unix time ``now_ms``; return how many records."""
        database = self._require_open()
        try:
            return database.execute(
                "DELETE FROM record WHERE expires_ms > 0 AND expires_ms <= ?", (int(now_ms),)
            ).rowcount
        except sqlite3.Error as error:
            raise self._store_error(error) from None

    @property
    def size_bytes(self) -> int:
        """What the file and its log take on disk."""
        paths = (Path(self.path), Path(self.path + "-wal"))
        return sum(path.stat().st_size for path in paths if path.exists())

    def quarantine(self) -> str:
        """Rename a corrupted file, so that it can be looked into; return its new name."""
        self.close()
        quarantined = f"{self.path}.damaged"
        for suffix in ("", "-wal"):
            if Path(self.path + suffix).exists():
                Path(self.path + suffix).replace(quarantined + suffix)
        Path(self.path + "-shm").unlink(missing_ok=True)
        return quarantined

    def _store_error(self, error: Exception) -> StoreError:
        # The library raises DatabaseError itself for unreadable contents, and a subclass for all else.
        error_type = StoreCorruptedError if type(error) is sqlite3.DatabaseError else StoreError
        return error_type(f"{self.path}: {error}")

    def _require_open(self) -> sqlite3.Connection:
        if self._database is None:
            raise StoreError(f"{self.path}: is not open")
        return self._database
