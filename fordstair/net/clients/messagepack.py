"""A small MessagePack reader that yields slices of its input, bounded in size and depth."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, TypeAlias

MAX_DEPTH = 8
MAX_ITEMS = 64  # of an array or a map

Value: TypeAlias = tuple[Any, int]  # a value, and where the next begins
Reader: TypeAlias = Callable[[memoryview, int, int, int], Value]


class MalformedMessageError(Exception):
    """Bytes that are no MessagePack, or exceed a bound."""


class IncompleteMessageError(Exception):
    """The value goes on past the bytes at hand; ``needed_bytes`` is the least total to try again with."""

    def __init__(self, needed_bytes: int) -> None:
        super().__init__(needed_bytes)
        self.needed_bytes = needed_bytes


def read(view: memoryview, at: int = 0, depth: int = 0) -> Value:
    """Read one value; return it and where the next begins.

    Strings and binaries are slices of the view, which live only as long as its buffer is wanted. Raise
    MalformedMessageError or IncompleteMessageError.
    """
    if depth > MAX_DEPTH:
        raise MalformedMessageError("nested too deeply")
    code = _take(view, at, 1)[0]
    return _READERS[code](view, at + 1, code, depth)


def _take(view: memoryview, at: int, size: int) -> memoryview:
    if at + size > len(view):
        raise IncompleteMessageError(at + size)
    return view[at : at + size]


def _length(view: memoryview, at: int, width: int) -> tuple[int, int]:
    return int.from_bytes(_take(view, at, width), "big"), at + width


def _array(view: memoryview, at: int, count: int, depth: int) -> Value:
    if count > MAX_ITEMS:
        raise MalformedMessageError(f"an array of {count} items")
    items = []
    for _ in range(count):
        item, at = read(view, at, depth + 1)
        items.append(item)
    return items, at


def _map(view: memoryview, at: int, count: int, depth: int) -> Value:
    if count > MAX_ITEMS:
        raise MalformedMessageError(f"a map of {count} items")
    fields: dict[Any, Any] = {}
    for _ in range(count):
        key, at = read(view, at, depth + 1)
        value, at = read(view, at, depth + 1)
        try:
            fields[key] = value
        except (TypeError, ValueError) as error:
            raise MalformedMessageError(f"a map's key of type {type(key).__name__}") from error
    return fields, at


def _positive_fixint(view: memoryview, at: int, code: int, depth: int) -> Value:
    return code, at


def _negative_fixint(view: memoryview, at: int, code: int, depth: int) -> Value:
    return code - 0x100, at


def _fixmap(view: memoryview, at: int, code: int, depth: int) -> Value:
    return _map(view, at, code & 0x0F, depth)


def _fixarray(view: memoryview, at: int, code: int, depth: int) -> Value:
    return _array(view, at, code & 0x0F, depth)


def _fixstr(view: memoryview, at: int, code: int, depth: int) -> Value:
    size = code & 0x1F
    return _take(view, at, size), at + size


def _unknown(view: memoryview, at: int, code: int, depth: int) -> Value:
    raise MalformedMessageError(f"byte {code:#x}")


def _constant(value: object) -> Reader:
    return lambda view, at, code, depth: (value, at)


def _integer(width: int, *, signed: bool) -> Reader:
    def read_integer(view: memoryview, at: int, code: int, depth: int) -> Value:
        return int.from_bytes(_take(view, at, width), "big", signed=signed), at + width

    return read_integer


def _float(form: struct.Struct) -> Reader:
    def read_float(view: memoryview, at: int, code: int, depth: int) -> Value:
        return form.unpack(_take(view, at, form.size))[0], at + form.size

    return read_float


def _counted(width: int, build: Callable[[memoryview, int, int, int], Value]) -> Reader:
    def read_counted(view: memoryview, at: int, code: int, depth: int) -> Value:
        count, at = _length(view, at, width)
        return build(view, at, count, depth)

    return read_counted


def _sized(width: int, head: int) -> Reader:
    """Read a length of ``width`` bytes, skip ``head`` bytes (an extension's type), and take the rest."""

    def read_sized(view: memoryview, at: int, code: int, depth: int) -> Value:
        size, at = _length(view, at, width)
        return _take(view, at + head, size), at + head + size

    return read_sized


def _fixed_extension(size: int) -> Reader:
    return lambda view, at, code, depth: (_take(view, at + 1, size), at + 1 + size)


def _readers() -> list[Reader]:
    """Return the reader for each first byte, as the MessagePack specification lists the formats."""
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
    for power in range(4):
        readers[0xCC + power] = _integer(1 << power, signed=False)
        readers[0xD0 + power] = _integer(1 << power, signed=True)
    for power in range(3):
        readers[0xC4 + power] = _sized(1 << power, head=0)  # bin
        readers[0xC7 + power] = _sized(1 << power, head=1)  # ext
        readers[0xD9 + power] = _sized(1 << power, head=0)  # str
    for power in range(5):
        readers[0xD4 + power] = _fixed_extension(1 << power)
    for power in range(2):
        readers[0xDC + power] = _counted(2 << power, _array)
        readers[0xDE + power] = _counted(2 << power, _map)
    return readers


_READERS = _readers()
