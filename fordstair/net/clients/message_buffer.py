"""Cuts the bytes of a connection into MessagePack values."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from fordstair.net.clients.messagepack import IncompleteMessageError, MalformedMessageError, read


class MessageBuffer:
    """What has come and is not handled yet; a value is at most ``max_message_bytes`` long."""

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self._chunks: list[bytes] = []
        self._size = 0
        self._needed_bytes = 1  # before a further value can be complete
        self._view = memoryview(b"")
        self._at = 0

    def append(self, chunk: bytes) -> bool:
        """Add what came; return whether it may complete a value: none is read again with every piece."""
        self._chunks.append(chunk)
        self._size += len(chunk)
        return self._size >= self._needed_bytes

    def values(self) -> Iterator[Any]:
        """Yield each complete value; raise MalformedMessageError, also for one that will be too large."""
        self._view = memoryview(b"".join(self._chunks))
        self._at = 0
        self._needed_bytes = 1
        while self._at < len(self._view):
            try:
                value, end = read(self._view, self._at)
            except IncompleteMessageError as error:
                self._needed_bytes = error.needed_bytes - self._at
                if self._needed_bytes > self.max_message_bytes:  # rejected before it is buffered
                    raise MalformedMessageError("the message is too large") from None
                return
            yield value
            self._at = end

    @property
    def unhandled(self) -> memoryview:
        """What follows the last value that was handled: one that is malformed, or incomplete."""
        return self._view[self._at :]

    def discard_handled(self) -> None:
        """Keep only what is not handled."""
        rest = bytes(self.unhandled)
        self._chunks = [rest] if rest else []
        self._size = len(rest)
        self._view = memoryview(b"")
        self._at = 0
