"""Splits the input of a connection into MessagePack values."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from fordstair.net.clients.message_scanner import MessageScanner
from fordstair.net.clients.messagepack import MalformedMessageError, read

# Stands for a value that was skipped.
SKIPPED = object()


class MessageBuffer:
    """Buffers the input that is not handled yet; a value is at most ``max_message_bytes`` long.

    However a value is cut into pieces, each of its bytes is scanned once, and read once when it is complete.

    Attributes:
        skipping: whether the bytes of the value in progress are dropped.
    """

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes = max_message_bytes
        self._data = bytearray()
        self._offset = 0
        self._scanner = MessageScanner()
        self._skipped_bytes = 0
        self.skipping = False

    @property
    def needed_bytes(self) -> int:
        """The least length of the value in progress, without what was skipped of it."""
        return self._scanner.needed_bytes

    @property
    def unhandled_bytes(self) -> int:
        """The length of the input after the last handled value."""
        return len(self._data) - self._offset

    def append(self, chunk: bytes) -> bool:
        """Add input; return whether a value may be complete now, or bytes can be dropped."""
        self._data += chunk
        return self.skipping or len(self._data) >= self._scanner.needed_bytes

    def skip(self) -> None:
        """Drop the bytes of the value in progress; at its end ``values`` yields SKIPPED in its place."""
        self.skipping = True
        self._drop_scanned()

    def values(self) -> Iterator[Any]:
        """Yield each complete value; raise MalformedMessageError for a malformed or too large one.

        An incomplete value is too large as soon as the part at hand shows that it will exceed the limit.
        """
        while self._offset < len(self._data):
            end = self._scanner.scan(self._data, self._offset)
            if end is None:
                if self._skipped_bytes + self._scanner.needed_bytes > self.max_message_bytes:
                    raise MalformedMessageError("the message is too large")  # before it is buffered
                if self.skipping:
                    self._drop_scanned()
                return
            yield SKIPPED if self.skipping else self._read(end)
            self._offset = end
            self._scanner = MessageScanner()
            self._skipped_bytes = 0
            self.skipping = False

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

    def _read(self, end: int) -> Any:
        value, _ = read(memoryview(bytes(self._data[self._offset : end])))
        return value

    def _drop_scanned(self) -> None:
        """Drop what the scanner has passed of the value in progress."""
        size = min(self._scanner.position, self.unhandled_bytes)
        del self._data[self._offset : self._offset + size]
        self._scanner.forget(size)
        self._skipped_bytes += size
