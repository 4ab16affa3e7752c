"""Results that are fetched page by page: stored until the last page, within bounds, and for a while."""

from __future__ import annotations

import secrets
from collections import OrderedDict
from dataclasses import dataclass
from functools import partial

from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.decimal_text import decimal_number
from fordstair.runtime.deadlines import Deadlines

MAX_STORED_BYTES = 32 * 1024 * 1024  # of all results together, within the limit on memory
ROW_OVERHEAD_BYTES = 64  # what a row takes beyond its text
_TOKEN_BYTES = 16


@dataclass(slots=True)
class Result:
    """Rows that are still to be fetched, page by page, by the team that requested them."""

    team: str
    rows: list[bytes]  # text: columns end with a tab
    entity_set: EntitySet
    select: tuple[str, ...]  # columns to return
    page_rows: int

    @property
    def size_bytes(self) -> int:
        """The memory that its rows take."""
        return sum(map(len, self.rows)) + ROW_OVERHEAD_BYTES * len(self.rows)


@dataclass(slots=True, frozen=True)
class PagePosition:
    """Where a result goes on."""

    result: Result
    start: int  # index of the page's first row
    result_name: str  # empty for a result that is not stored

    @property
    def next_token(self) -> str:
        """The skip token of the page after this one; empty after the last."""
        end = self.start + self.result.page_rows
        return f"{self.result_name}-{end}" if end < len(self.result.rows) else ""


class StoredResults:
    """Paged results: bounded in number and memory, and dropped after ``retention_ms``."""

    def __init__(self, max_results: int, retention_ms: float, deadlines: Deadlines) -> None:
        self._max_results = max_results
        self._retention_ms = retention_ms
        self._deadlines = deadlines
        self._results: OrderedDict[str, Result] = OrderedDict()

    def __len__(self) -> int:
        return len(self._results)

    def store(self, result: Result) -> str:
        """Store a result, and evict the oldest over the bounds; return its name."""
        name = secrets.token_hex(_TOKEN_BYTES)
        self._results[name] = result
        stored_bytes = sum(each.size_bytes for each in self._results.values())
        while len(self._results) > self._max_results or (
            stored_bytes > MAX_STORED_BYTES and len(self._results) > 1
        ):
            stored_bytes -= self._results.popitem(last=False)[1].size_bytes
        self._deadlines.after(self._retention_ms, partial(self._results.pop, name, None))
        return name

    def page(self, token: str, team: str) -> PagePosition:
        """Return the page that a skip token names; raise ODataError where its result is no longer stored."""
        name, _, start = token.partition("-")
        start_row = decimal_number(start)
        result = self._results.get(name)
        if result is None or result.team != team or start_row is None or start_row >= len(result.rows):
            raise ODataError(410, "ResultGone", "this result is no longer kept; ask anew")
        return PagePosition(result, start_row, name)
