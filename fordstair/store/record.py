"""A stored record, and the remains of a record that fails its checksum; pure."""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32


@dataclass(frozen=True, slots=True)
class Record:
    """One record, identified by kind and key; writing a value of None deletes it.

    ``expires_ms`` is the Unix time in milliseconds after which it may be deleted, or 0 if it never expires.
    """

    kind: str
    key: bytes
    value: bytes | None
    expires_ms: int = 0

    @property
    def checksum(self) -> int:
        """The CRC-32 of all fields."""
        header = f"{self.kind}|{self.expires_ms}|{len(self.key)}|".encode()
        return crc32(self.value or b"", crc32(self.key, crc32(header)))


@dataclass(frozen=True, slots=True)
class CorruptedRecord:
    """A record that fails its checksum; neither its contents nor its key are reliable."""

    kind: str
    key: bytes


def parse_record(
    kind: object, key: object, value: object, expires_ms: object, checksum: object
) -> Record | CorruptedRecord:
    """Return the record in a row of the table, or a CorruptedRecord if its checksum does not match.

    A flipped bit may have changed the type of any column.
    """
    if (
        isinstance(kind, str)
        and isinstance(key, bytes)
        and isinstance(value, bytes)
        and isinstance(expires_ms, int)
    ):
        record = Record(kind, key, value, expires_ms)
        if record.checksum == checksum:
            return record
    return CorruptedRecord(str(kind), key if isinstance(key, bytes) else str(key).encode())
