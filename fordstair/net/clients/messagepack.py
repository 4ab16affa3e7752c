"""A MessagePack reader that returns slices of its input, and limits the size and the depth of values."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, TypeAlias

MAX_DEPTH = 8
# Limits the items of an array and the entries of a map.
MAX_ITEMS = 64

# A value, and the offset of the next one.
Value: TypeAlias = tuple[Any, int]
Reader: TypeAlias = Callable[[memoryview, int, int, int], Value]


class MalformedMessageError(Exception):
    """The bytes are not valid MessagePack, or exceed a limit."""


class IncompleteMessageError(Exception):
    """The value continues beyond the available bytes; another attempt needs at least ``needed_bytes``."""

    def __init__(self, needed_bytes: int) -> None:
        super().__init__(needed_bytes)
        self.needed_bytes = needed_bytes


def read(view: memoryview, offset: int = 0, depth: int = 0) -> Value:
    """Read one value; return it and the offset of the next one.

    Strings and binaries are slices of the view; a caller that needs them for longer than the view's buffer
    must copy them. Raise MalformedMessageError or IncompleteMessageError.
    """
    if depth > MAX_DEPTH:
        raise MalformedMessageError("nested too deeply")
    first_byte = _take(view, offset, 1)[0]
    return _READERS[first_byte](view, offset + 1, first_byte, depth)


def _take(view: memoryview, offset: int, size: int) -> memoryview:
    if offset + size > len(view):
        raise IncompleteMessageError(offset + size)
    return view[offset : offset + size]


def _length(view: memoryview, offset: int, width: int) -> tuple[int, int]:
    return int.from_bytes(_take(view, offset, width), "big"), offset + width


def _array(view: memoryview, offset: int, count: int, depth: int) -> Value:
    if count > MAX_ITEMS:
        raise MalformedMessageError(f"an array of {count} items")
    items = []
    for _ in range(count):
        item, offset = read(view, offset, depth + 1)
        items.append(item)
    return items, offset


def _map(view: memoryview, offset: int, count: int, depth: int) -> Value:
    if count > MAX_ITEMS:
        raise MalformedMessageError(f"a map of {count} items")
    fields: dict[Any, Any] = {}
    for _ in range(count):
        key, offset = read(view, offset, depth + 1)
        value, offset = read(view, offset, depth + 1)
        try:
            fields[key] = value
        except (TypeError, ValueError) as error:
            raise MalformedMessageError(f"a map's key of type {type(key).__name__}") from error
    return fields, offset


def _positive_fixint(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
    return first_byte, offset


def _negative_fixint(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
    return first_byte - 0x100, offset


def _fixmap(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
    return _map(view, offset, first_byte & 0x0F, depth)


def _fixarray(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
    return _array(view, offset, first_byte & 0x0F, depth)


def _fixstr(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
    size = first_byte & 0x1F
    return _take(view, offset, size), offset + size


def _unknown(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
    raise MalformedMessageError(f"byte {first_byte:#x}")


def _constant(value: object) -> Reader:
    return lambda view, offset, first_byte, depth: (value, offset)


def _integer(width: int, *, signed: bool) -> Reader:
    def read_integer(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
        return int.from_bytes(_take(view, offset, width), "big", signed=signed), offset + width

    return read_integer


def _float(layout: struct.Struct) -> Reader:
    def read_float(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
        return layout.unpack(_take(view, offset, layout.size))[0], offset + layout.size

    return read_float


def _counted(width: int, build: Callable[[memoryview, int, int, int], Value]) -> Reader:
    def read_counted(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
        count, offset = _length(view, offset, width)
        return build(view, offset, count, depth)

    return read_counted


def _sized(width: int, type_bytes: int) -> Reader:
    """Return a reader of a length of ``width`` bytes, an extension type to skip, and the data."""

    def read_sized(view: memoryview, offset: int, first_byte: int, depth: int) -> Value:
        size, offset = _length(view, offset, width)
        return _take(view, offset + type_bytes, size), offset + type_bytes + size

    return read_sized


def _fixed_extension(size: int) -> Reader:
    return lambda view, offset, first_byte, depth: (_take(view, offset + 1, size), offset + 1 + size)


def _readers() -> list[Reader]:
    """Return the readers by first byte, for the formats that the MessagePack specification lists."""
    readers: list[Reader] = [_unknown] * 256
    readers[0x00:0x80] = [_positive_fixint] * 0x80
    readers[0x80:0x90] = [_fixmap] * 0x10
    readers[0x90:0xA0] = [_fixarray] * 0x10
    readers[0xA0:0xC0] = [_fixstr] * 0x20
    readers[0xE0:0x100] = [_negative_fixint] * 0x20
    readers[0xC0] = _constant(None)
    readers[0xC2] = _constant(False)
    readers[0xC3] = _constant(True)
    readers[0xCA] = _float(struct.Struct(">f"))
    readers[0xCB] = _float(struct.Struct(">d"))
    for exponent in range(4):
        readers[0xCC + exponent] = _integer(1 << exponent, signed=False)
        readers[0xD0 + exponent] = _integer(1 << exponent, signed=True)
    for exponent in range(3):
        readers[0xC4 + exponent] = _sized(1 << exponent, type_bytes=0)  # bin
        readers[0xC7 + exponent] = _sized(1 << exponent, type_bytes=1)  # ext
        readers[0xD9 + exponent] = _sized(1 << exponent, type_bytes=0)  # str
    for exponent in range(5):
        readers[0xD4 + exponent] = _fixed_extension(1 << exponent)
    for exponent in range(2):
        readers[0xDC + exponent] = _counted(2 << exponent, _array)
        readers[0xDE + exponent] = _counted(2 << exponent, _map)
    return readers


_READERS = _readers()
