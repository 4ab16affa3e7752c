"""Counts the lines of an HTTP/1.1 request's head as it arrives, before it is parsed."""

from __future__ import annotations

_HEAD_END = b"\r\n\r\n"


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
        end = joined.find(_HEAD_END)
        self._ended = end >= 0
        lines_end = end + len(b"\r\n") if self._ended else len(joined)
        self.lines += joined.count(b"\n", len(self._tail), lines_end)
        self._tail = joined[-(len(_HEAD_END) - 1) :]
