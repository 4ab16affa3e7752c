"""Finds the end of a MessagePack value in input that arrives in pieces, looking at each byte once."""

from __future__ import annotations

from dataclasses import dataclass

from fordstair.net.clients.messagepack import MAX_DEPTH, MAX_ITEMS, MalformedMessageError

# Limits the values in a message, nested ones included; a request with as many fields as allowed has 135.
MAX_VALUES = 512

_UNKNOWN_BYTE = 0xC1


@dataclass(slots=True, frozen=True)
class _Format:
    """How a value continues after its first byte.

    Attributes:
        length_bytes: the bytes of the length or count that follows.
        payload_bytes: the bytes that follow, besides those that a length counts.
        items: the values that follow, for a container whose count is part of its first byte.
        items_per_count: the values for each one that a count counts; 0 if a length counts bytes.
    """

    length_bytes: int = 0
    payload_bytes: int = 0
    items: int = 0
    items_per_count: int = 0


def _formats() -> list[_Format]:
    """Return the formats by first byte, as the MessagePack specification lists them."""
    formats = [_Format()] * 256
    for count in range(16):
        formats[0x80 + count] = _Format(items=2 * count)
        formats[0x90 + count] = _Format(items=count)
    for size in range(32):
        formats[0xA0 + size] = _Format(payload_bytes=size)
    for exponent in range(3):
        formats[0xC4 + exponent] = _Format(length_bytes=1 << exponent)  # bin
        formats[0xC7 + exponent] = _Format(length_bytes=1 << exponent, payload_bytes=1)  # ext
        formats[0xD9 + exponent] = _Format(length_bytes=1 << exponent)  # str
    formats[0xCA] = _Format(payload_bytes=4)
    formats[0xCB] = _Format(payload_bytes=8)
    for exponent in range(4):
        formats[0xCC + exponent] = _Format(payload_bytes=1 << exponent)
        formats[0xD0 + exponent] = _Format(payload_bytes=1 << exponent)
    for exponent in range(5):
        formats[0xD4 + exponent] = _Format(payload_bytes=1 + (1 << exponent))
    for exponent in range(2):
        formats[0xDC + exponent] = _Format(length_bytes=2 << exponent, items_per_count=1)
        formats[0xDE + exponent] = _Format(length_bytes=2 << exponent, items_per_count=2)
    return formats


_FORMATS = _formats()


class MessageScanner:
    """Scans one value; ``scan`` is called with the same bytes and more, and goes on where it stopped.

    Attributes:
        needed_bytes: the bytes without which the scan cannot go on, counted from the value's start.
    """

    def __init__(self) -> None:
        self.needed_bytes = 1
        self._position = 0
        self._value_count = 0
        # How many values are still to come at each level of nesting, the outermost first.
        self._remaining = [1]

    @property
    def position(self) -> int:
        """The offset from the value's start of what is scanned next, perhaps beyond the bytes at hand."""
        return self._position

    def forget(self, size: int) -> None:
        """Count from ``size`` bytes further on; the caller drops as many that were scanned."""
        self._position -= size
        self.needed_bytes -= size

    def scan(self, data: bytearray, start: int) -> int | None:
        """Return the end of the value that begins at ``start``; None if it is incomplete.

        Raise MalformedMessageError for a value that is malformed, nested too deeply or over a limit.
        """
        available = len(data) - start
        while self.needed_bytes <= available:
            if not self._remaining:
                return start + self._position
            self._scan_value(data, start, available)
            while self._remaining and not self._remaining[-1]:
                self._remaining.pop()
            next_value_bytes = 1 if self._remaining else 0
            self.needed_bytes = max(self.needed_bytes, self._position + next_value_bytes)
        return None

    def _scan_value(self, data: bytearray, start: int, available: int) -> None:
        """Scan one value without its items, or learn how many bytes that needs."""
        first_byte = data[start + self._position]
        value_format = _FORMATS[first_byte]
        if first_byte == _UNKNOWN_BYTE:
            raise MalformedMessageError(f"byte {first_byte:#x}")
        if len(self._remaining) > MAX_DEPTH + 1:
            raise MalformedMessageError("nested too deeply")
        length_end = self._position + 1 + value_format.length_bytes
        if length_end > available:
            self.needed_bytes = length_end
            return
        count = int.from_bytes(data[start + self._position + 1 : start + length_end], "big")
        self._count_value()
        self._remaining[-1] -= 1
        self._position = length_end + value_format.payload_bytes
        items = value_format.items
        if value_format.items_per_count:
            if count > MAX_ITEMS:
                kind = "an array" if value_format.items_per_count == 1 else "a map"
                raise MalformedMessageError(f"{kind} of {count} items")
            items = count * value_format.items_per_count
        else:
            self._position += count
        self._remaining.append(items)

    def _count_value(self) -> None:
        self._value_count += 1
        if self._value_count > MAX_VALUES:
            raise MalformedMessageError(f"over {MAX_VALUES} values in a message")
