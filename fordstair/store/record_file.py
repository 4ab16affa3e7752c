"""A file of records in SQLite, in WAL mode with each commit synced to disk. Starts no task, reads no clock.

SQLite discards a torn tail of its log, but does not detect a flipped bit in the table. Each record therefore
has a checksum, and reading yields a CorruptedRecord in place of one whose checksum does not match.
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
    # Two processes that share a file would both grant claims.
    "PRAGMA locking_mode=EXCLUSIVE",
    # A negative size is in KiB.
    "PRAGMA cache_size=-1024",
)


class RecordFile:
    """The file. All calls block; they may come from any thread, but only one at a time.

    Attributes:
        newly_created: Whether the last ``open`` created the file, so that nothing of an earlier
            process is known.
        commits: The number of successful calls of ``write``.
        written_bytes: The total size of the keys and values written, those of failed commits included.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self.newly_created = False
        self.commits = 0
        self.written_bytes = 0
        self._database: sqlite3.Connection | None = None

    def open(self) -> None:
        """Open the file, creating it if it is missing; raise StoreError if it cannot be used."""
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
        """Close the file; do nothing if it is not open."""
        if self._database is not None:
            database = self._database
            self._database = None
            database.close()

    def write(self, records: Iterable[Record]) -> None:
        """Write records in one commit, which is on disk when this returns.

        Raise StoreError if the commit fails; none of the records is then written.
        """
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
            except sqlite3.Error:
                # On a full disk the rollback may fail as well.
                self.close()

    def read(self, now_ms: float) -> Iterator[Record | CorruptedRecord]:
        """Yield the records not expired at Unix time ``now_ms``, and all corrupted ones, by kind and key.

        Raise StoreError if a page is unreadable.
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
        """Delete the records that are expired at Unix time ``now_ms`` and return their number."""
        database = self._require_open()
        try:
            return database.execute(
                "DELETE FROM record WHERE expires_ms > 0 AND expires_ms <= ?", (int(now_ms),)
            ).rowcount
        except sqlite3.Error as error:
            raise self._store_error(error) from None

    @property
    def size_bytes(self) -> int:
        """The size of the file and its write-ahead log on disk."""
        paths = (Path(self.path), Path(self.path + "-wal"))
        return sum(path.stat().st_size for path in paths if path.exists())

    def quarantine(self) -> str:
        """Rename a corrupted file, so that it is kept for inspection, and return its new name."""
        self.close()
        quarantined = f"{self.path}.damaged"
        for suffix in ("", "-wal"):
            if Path(self.path + suffix).exists():
                Path(self.path + suffix).replace(quarantined + suffix)
        Path(self.path + "-shm").unlink(missing_ok=True)
        return quarantined

    def _store_error(self, error: Exception) -> StoreError:
        # sqlite3 raises DatabaseError itself for unreadable contents, and a subclass for all other errors.
        error_type = StoreCorruptedError if type(error) is sqlite3.DatabaseError else StoreError
        return error_type(f"{self.path}: {error}")

    def _require_open(self) -> sqlite3.Connection:
        if self._database is None:
            raise StoreError(f"{self.path}: is not open")
        return self._database
