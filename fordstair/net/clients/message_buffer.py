"""Splits the input of a connection into MessagePack values."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from fordstair.net.clients.message_scanner import MessageScanner
from fordstair.net.clients.messagepack import MalformedMessageError, read


class MessageBuffer:
    """Buffers the input that is not handled yet; a value is at most ``max_message_bytes`` long.

    However a value is cut into pieces, each of its bytes is scanned once, and read once when it is complete.
    """

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self._data = bytearray()
        self._offset = 0
        self._scanner = MessageScanner()

    def append(self, chunk: bytes) -> bool:
        """Add input; return whether a value may be complete now."""
        self._data += chunk
        return len(self._data) >= self._scanner.needed_bytes

    def values(self) -> Iterator[Any]:
        """Yield each complete value; raise MalformedMessageError for a malformed or too large one.

        An incomplete value is too large as soon as the part at hand shows that it will exceed the limit.
        """
        while self._offset < len(self._data):
            end = self._scanner.scan(self._data, self._offset)
            if end is None:
                if self._scanner.needed_bytes > self.max_message_bytes:  # reject it before it is buffered
                    raise MalformedMessageError("the message is too large")
                return
            value, _ = read(memoryview(bytes(self._data[self._offset : end])))
            yield value
            self._offset = end
            self._scanner = MessageScanner()

    @property
    def has_unhandled(self) -> bool:
        """Whether there is input after the last handled value."""
        return self._offset < len(self._data)

    @property
    def unhandled(self) -> memoryview:
        """The input after the last handled value: an incomplete or malformed value, or nothing."""
        return memoryview(bytes(self._data[self._offset :]))

    def discard_handled(self) -> None:
        """Drop the values that were handled."""
        del self._data[: self._offset]
        self._offset = 0
