"""One file of records in sqlite (WAL mode, every commit on disk before it counts); no task and no clock.

SQLite cuts a torn tail of its log by itself. What it does not notice is a bit that flips in the table: each
record carries a checksum of its own, and one that fails it is reported rather than returned.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

SCHEMA = 1
_TABLE = """CREATE TABLE IF NOT EXISTS record (
    kind TEXT NOT NULL, key BLOB NOT NULL, value BLOB, expires_ms INTEGER NOT NULL, sum INTEGER NOT NULL,
    PRIMARY KEY (kind, key)) WITHOUT ROWID"""


class StoreFailed(Exception):
    """The file cannot be opened, read or written; the text says why. Nothing of the call was kept."""


class StoreDamaged(StoreFailed):
    """What is in the file is no store, or a page of it cannot be understood: it will not mend by itself."""


@dataclass(frozen=True, slots=True)
class Record:
    """One record; a value of None takes it out of the file."""

    kind: str
    key: bytes
    value: bytes | None
    expires_ms: int = 0  # Unix time after which it may be dropped; 0: never

    @property
    def sum(self) -> int:
        """Its checksum."""
        head = f"{self.kind}|{self.expires_ms}|{len(self.key)}|".encode()
        return crc32(self.value or b"", crc32(self.key, crc32(head)))


@dataclass(frozen=True, slots=True)
class Spoilt:
    """A record that fails its checksum: what it says cannot be believed, nor that it was ever there."""

    kind: str
    key: bytes


class Disk:
    """The file. All calls block; they are made one at a time, from whatever thread."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.fresh = False  # whether the file was made by this opening: nothing is known of an earlier life
        self.commits = self.written_bytes = 0
        self._db: sqlite3.Connection | None = None

    def open(self) -> None:
        """Open the file, or make it; raise StoreFailed where it cannot be used."""
        self.fresh = not Path(self.path).exists() or Path(self.path).stat().st_size == 0
        try:
            self._db = db = sqlite3.connect(
                self.path, isolation_level=None, check_same_thread=False, timeout=1.0
            )
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.execute("PRAGMA locking_mode=EXCLUSIVE")  # two programs on one file would both grant
            db.execute("PRAGMA cache_size=-1024")
            version = db.execute("PRAGMA user_version").fetchone()[0]
            if version not in (0, SCHEMA):
                raise StoreFailed(f"{self.path}: of version {version}, and {SCHEMA} is known here")
            db.execute("BEGIN IMMEDIATE")
            db.execute(_TABLE)
            db.execute(f"PRAGMA user_version={SCHEMA}")
            db.execute("COMMIT")
        except sqlite3.Error as error:
            self.close()
            raise self._failed(error) from None
        except StoreFailed:
            self.close()
            raise

    def close(self) -> None:
        """Close the file."""
        if self._db is not None:
            db, self._db = self._db, None
            db.close()

    def write(self, records: Iterable[Record]) -> None:
        """Write records in one commit, on disk when this returns; raise StoreFailed, and keep none."""
        db = self._opened()
        try:
            db.execute("BEGIN IMMEDIATE")
            for record in records:
                if record.value is None:
                    db.execute("DELETE FROM record WHERE kind=? AND key=?", (record.kind, record.key))
                    continue
                self.written_bytes += len(record.key) + len(record.value)
                db.execute(
                    "INSERT OR REPLACE INTO record VALUES (?,?,?,?,?)",
                    (record.kind, record.key, record.value, record.expires_ms, record.sum),
                )
            db.execute("COMMIT")
            self.commits += 1
        except (sqlite3.Error, OverflowError) as error:
            if db.in_transaction:
                try:
                    db.execute("ROLLBACK")
                except sqlite3.Error:  # a disk that is full may refuse this as well
                    self.close()
            raise self._failed(error) from None

    def read(self, now_ms: float) -> Iterator[Record | Spoilt]:
        """Yield all that has not expired, by kind and key; raise StoreFailed where a page is unreadable."""
        db = self._opened()
        try:
            for kind, key, value, expires_ms, told in db.execute(
                "SELECT kind, key, value, expires_ms, sum FROM record ORDER BY kind, key"
            ):
                record = _record(kind, key, value, expires_ms)
                if record is None or record.sum != told:
                    yield Spoilt(str(kind), key if isinstance(key, bytes) else str(key).encode())
                elif not record.expires_ms or record.expires_ms > now_ms:
                    yield record
        except sqlite3.Error as error:
            raise self._failed(error) from None

    def drop_expired(self, now_ms: float) -> int:
        """Take out what has expired; return how many records."""
        db = self._opened()
        try:
            return db.execute(
                "DELETE FROM record WHERE expires_ms > 0 AND expires_ms <= ?", (int(now_ms),)
            ).rowcount
        except sqlite3.Error as error:
            raise self._failed(error) from None

    @property
    def size_bytes(self) -> int:
        """What the file and its log take on disk."""
        paths = (Path(self.path), Path(self.path + "-wal"))
        return sum(path.stat().st_size for path in paths if path.exists())

    def put_aside(self) -> str:
        """Give a damaged file another name, for who may want to look at it; return that name."""
        self.close()
        kept = f"{self.path}.damaged"
        for end in ("", "-wal"):
            if Path(self.path + end).exists():
                Path(self.path + end).replace(kept + end)
        Path(self.path + "-shm").unlink(missing_ok=True)
        return kept

    def _failed(self, error: Exception) -> StoreFailed:
        # The library says DatabaseError itself for contents, and a kind of its own for all else.
        kind = StoreDamaged if type(error) is sqlite3.DatabaseError else StoreFailed
        return kind(f"{self.path}: {error}")

    def _opened(self) -> sqlite3.Connection:
        if self._db is None:
            raise StoreFailed(f"{self.path}: is not open")
        return self._db


def _record(kind: object, key: object, value: object, expires_ms: object) -> Record | None:
    """Return a record whose fields have the types that were written; a flipped bit may have changed them."""
    if (
        isinstance(kind, str)
        and isinstance(key, bytes)
        and isinstance(value, bytes)
        and isinstance(expires_ms, int)
    ):
        return Record(kind, key, value, expires_ms)
    return None
