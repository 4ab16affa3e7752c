"""Counts the lines of an HTTP/1.1 request's head as it arrives, before it is parsed."""

from __future__ import annotations

import re

# RFC 9112, section 2.2: a recipient may accept a line feed alone as the end of a line, as h11 does.
_HEAD_END = re.compile(rb"\n\r?\n")
_MAX_HEAD_END_BYTES = 3


class HeadLineCounter:
    """Counts the lines of one head, given the bytes from its first one on.

    Attributes:
        lines: the whole lines received so far, without the empty one at the head's end and all behind it.
    """

    def __init__(self) -> None:
        self.lines = 0
        self._ended = False
        self._tail = b""  # the last bytes, in which the head's end may have begun

    def add(self, data: bytes) -> None:
        """Count the lines of further bytes."""
        if self._ended:
            return
        joined = self._tail + data
        end = _HEAD_END.search(joined)
        self._ended = end is not None
        lines_end = len(joined) if end is None else end.start() + 1
        self.lines += joined.count(b"\n", len(self._tail), lines_end)
        self._tail = joined[-(_MAX_HEAD_END_BYTES - 1) :]
