"""Splits the input of a connection into MessagePack values."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from fordstair.net.clients.messagepack import IncompleteMessageError, MalformedMessageError, read


class MessageBuffer:
    """Buffers the input that is not handled yet; a value is at most ``max_message_bytes`` long."""

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self._chunks: list[bytes] = []
        self._size = 0
        # The buffer cannot hold a further complete value before it has reached this size:
        self._needed_bytes = 1
        self._view = memoryview(b"")
        self._offset = 0

    def append(self, chunk: bytes) -> bool:
        """Add input; return whether a value may be complete now.

        It saves the caller from parsing an incomplete value again with each chunk.
        """
        self._chunks.append(chunk)
        self._size += len(chunk)
        return self._size >= self._needed_bytes

    def values(self) -> Iterator[Any]:
        """Yield each complete value; raise MalformedMessageError for a malformed or too large one.

        An incomplete value is too large as soon as the part at hand shows that it will exceed the limit.
        """
        self._view = memoryview(b"".join(self._chunks))
        self._offset = 0
        self._needed_bytes = 1
        while self._offset < len(self._view):
            try:
                value, end = read(self._view, self._offset)
            except IncompleteMessageError as error:
                self._needed_bytes = error.needed_bytes - self._offset
                if self._needed_bytes > self.max_message_bytes:  # reject it before it is buffered
                    raise MalformedMessageError("the message is too large") from None
                return
            yield value
            self._offset = end

    @property
    def unhandled(self) -> memoryview:
        """The input after the last handled value: an incomplete or malformed value, or nothing."""
        return self._view[self._offset :]

    def discard_handled(self) -> None:
        """Drop the values that were handled."""
        rest = bytes(self.unhandled)
        self._chunks = [rest] if rest else []
        self._size = len(rest)
        self._view = memoryview(b"")
        self._offset = 0
