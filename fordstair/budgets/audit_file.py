"""Audit file: one JSON line per lease in force, from which a trial verifies that the limits were kept."""

from __future__ import annotations

from pathlib import Path
from typing import TextIO

import ujson

from fordstair.budgets.messages import MemberId
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

MAX_AUDIT_BYTES = 1 << 26


class AuditFile:
    """An open audit file.

    Writing stops silently beyond MAX_AUDIT_BYTES, and with a log line when a write fails.
    """

    def __init__(self, path: Path, member: MemberId) -> None:
        """Open the file for appending; raise OSError if it cannot be opened."""
        self._member = member
        self._file: TextIO | None = path.open("a", encoding="utf-8")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def write(self, from_ms: float, until_ms: float, leased: tuple[int, ...]) -> None:
        """Write a line for units leased during a time span of the audit clock (ms)."""
        if self._file is None or self._file.tell() > MAX_AUDIT_BYTES:
            return
        line = {
            "member": self._member.name,
            "life": self._member.incarnation,
            "from_ms": from_ms,
            "until_ms": until_ms,
            "lent": leased,
        }
        try:
            self._file.write(ujson.dumps(line) + "\n")
            self._file.flush()  # the line must survive a kill of the process
        except OSError as error:
            log.error("budgets.audit_failed", error=error)  # noqa: TRY400  # an operator needs no traceback
            self._file = None
