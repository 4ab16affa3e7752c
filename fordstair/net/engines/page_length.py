"""Decides whether rows of a page may be missing because its response told too small a length.

The rows of a page are what the Content-Length of its response, or its chunks, cover. If that is too little
and ends after a row, the rows received look complete, and the rest of the page follows as surplus bytes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from fordstair.net.engines.http_messages import HttpResponse

SEPARATORS_PER_ROW = 2  # A row has three columns.
# RFC 9112, section 7.1, without tabs: a line with tabs may be a row.
_CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]+) *(;[^\t\n]*)?\r?\n")


@dataclass(slots=True, frozen=True)
class _DoubtedPage:
    """A page whose end is in doubt.

    Attributes:
        rows: the rows that the response's length covers.
        next_line: the first line of the surplus; without a line feed if no more of it was received.
    """

    rows: bytes
    next_line: bytes


class PageLengthPolicy:
    """Asked for each response with rows that has trailers or surplus whether rows of the page are missing.

    Surplus bytes that cannot be rows or chunks, such as a second copy of the response, show that the page
    had ended. Any others leave that open: the page is to be requested again, and the engine repeats it
    unchanged. One instance is asked about all responses for one page.
    """

    def __init__(self) -> None:
        self._doubted: _DoubtedPage | None = None

    def may_be_truncated(self, response: HttpResponse) -> bool:
        """Return whether rows may be missing, given the surplus up to the end of its first line.

        Rows behind a chunk of size 0 are parsed as trailers if they are valid fields; pages have no others.
        """
        if response.has_trailers:
            return True
        line, line_feed, _ = response.surplus.partition(b"\n")
        next_line = line + line_feed
        if chunk := _CHUNK_HEADER.fullmatch(next_line):
            return bool(chunk[1].strip(b"0"))  # a last chunk adds no rows
        if not _may_begin_row(next_line):
            return False
        previous = self._doubted
        self._doubted = _DoubtedPage(response.body, next_line)
        return previous is None or not _surplus_is_noise(previous, self._doubted)


def _may_begin_row(line: bytes) -> bool:
    separators = line.count(b"\t")
    if line.endswith(b"\n"):
        return separators == SEPARATORS_PER_ROW
    return bool(line) and separators <= SEPARATORS_PER_ROW


def _surplus_is_noise(previous: _DoubtedPage, latest: _DoubtedPage) -> bool:
    """Return whether two responses for a page show that their surplus is no part of it.

    The rest of the page would begin with the same row each time, and that row would be received completely.
    """
    if previous.rows != latest.rows:
        return False
    if previous.next_line == latest.next_line:
        return not latest.next_line.endswith(b"\n")
    return not (
        previous.next_line.startswith(latest.next_line) or latest.next_line.startswith(previous.next_line)
    )
