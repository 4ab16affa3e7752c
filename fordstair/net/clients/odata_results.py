"""Stores the results that clients fetch page by page, within limits on number, memory and time."""

from __future__ import annotations

import secrets
from collections import OrderedDict
from dataclasses import dataclass
from functools import partial

from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.decimal_text import decimal_number
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation

# Limits the memory of all stored results together, within the process's limit on memory.
MAX_STORED_BYTES = 32 * 1024 * 1024
# The memory that a row takes beyond its text.
ROW_OVERHEAD_BYTES = 64
_TOKEN_BYTES = 16


@dataclass(slots=True)
class Result:
    """The rows of one read.

    Attributes:
        team: the team that requested the rows, and the only one that may fetch them.
        rows: each row as text, in which every column ends with a tab.
        entity_set: the set that was read.
        select: the columns to return.
        page_rows: the number of rows of a page.
    """

    team: str
    rows: list[bytes]
    entity_set: EntitySet
    select: tuple[str, ...]
    page_rows: int

    @property
    def size_bytes(self) -> int:
        """The memory that the rows take."""
        return sum(map(len, self.rows)) + ROW_OVERHEAD_BYTES * len(self.rows)


@dataclass(slots=True, frozen=True)
class PagePosition:
    """A page of a result.

    Attributes:
        start: the index of the page's first row.
        result_id: the id of the stored result; empty for a result that is not stored.
    """

    result: Result
    start: int
    result_id: str

    @property
    def next_token(self) -> str:
        """The skip token of the page after this one; empty after the last."""
        end = self.start + self.result.page_rows
        return f"{self.result_id}-{end}" if end < len(self.result.rows) else ""


class StoredResults:
    """The stored results: limited in number and memory, and dropped after ``retention_ms``."""

    def __init__(
        self,
        max_results: int,
        retention_ms: float,
        deadlines: Deadlines,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory or MemoryBudget()
        self._max_results = max_results
        self._retention_ms = retention_ms
        self._deadlines = deadlines
        self._results: OrderedDict[str, Result] = OrderedDict()
        self._reservations: dict[str, Reservation] = {}

    def __len__(self) -> int:
        return len(self._results)

    def store(self, result: Result) -> str:
        """Store a result and return its id; evict the oldest results that exceed the limits.

        A single result is kept even if it exceeds MAX_STORED_BYTES, but not if there is no memory for it: its
        further pages are gone then.
        """
        result_id = secrets.token_hex(_TOKEN_BYTES)
        reservation = Reservation(self._memory, MemoryUse.ANSWERS)
        while not reservation.try_resize(result.size_bytes):
            if not self._results:
                return result_id
            self._drop(next(iter(self._results)))
        self._results[result_id] = result
        self._reservations[result_id] = reservation
        while len(self._results) > self._max_results or (
            self._stored_bytes > MAX_STORED_BYTES and len(self._results) > 1
        ):
            self._drop(next(iter(self._results)))
        self._deadlines.after(self._retention_ms, partial(self._drop, result_id))
        return result_id

    @property
    def _stored_bytes(self) -> int:
        return sum(reservation.size for reservation in self._reservations.values())

    def _drop(self, result_id: str) -> None:
        """Drop a result, unless it has been dropped already."""
        if self._results.pop(result_id, None) is not None:
            self._reservations.pop(result_id).release()

    def page(self, token: str, team: str) -> PagePosition:
        """Return the page of a skip token; raise ODataError if the team has no such stored page."""
        result_id, _, start = token.partition("-")
        start_row = decimal_number(start)
        result = self._results.get(result_id)
        if result is None or result.team != team or start_row is None or start_row >= len(result.rows):
            raise ODataError(410, "ResultGone", "this result is no longer kept; ask anew")
        return PagePosition(result, start_row, result_id)
