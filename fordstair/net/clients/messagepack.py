"""A small MessagePack reader that yields slices of its input, bounded in size and depth."""

from __future__ import annotations

import struct
from typing import Any

DEPTH_MOST = 8
ITEMS_MOST = 64

_FLOATS = {0xCA: struct.Struct(">f"), 0xCB: struct.Struct(">d")}
_INTS = {
    0xCC: (1, False),
    0xCD: (2, False),
    0xCE: (4, False),
    0xCF: (8, False),
    0xD0: (1, True),
    0xD1: (2, True),
    0xD2: (4, True),
    0xD3: (8, True),
}
_TEXTS = {0xD9: 1, 0xDA: 2, 0xDB: 4}
_BINS = {0xC4: 1, 0xC5: 2, 0xC6: 4}
_ARRAYS = {0xDC: 2, 0xDD: 4}
_MAPS = {0xDE: 2, 0xDF: 4}
_EXTS = {0xC7: 1, 0xC8: 2, 0xC9: 4}
_FIXEXTS = {0xD4: 1, 0xD5: 2, 0xD6: 4, 0xD7: 8, 0xD8: 16}


class Malformed(Exception):
    """Bytes that are no MessagePack, or past the bounds."""


class Incomplete(Exception):
    """The value goes on past the bytes at hand; ``needed`` is the least total length to try again with."""

    def __init__(self, needed: int) -> None:
        super().__init__(needed)
        self.needed = needed


def read(view: memoryview, at: int = 0, depth: int = 0) -> tuple[Any, int]:
    """Read one value; return it and where the next begins.

    Strings and binaries come as slices of the view, which live only as long as its buffer is wanted.
    """
    if depth > DEPTH_MOST:
        raise Malformed("nested too deeply")
    code, at = _take(view, at, 1)[0], at + 1
    if code < 0x80:
        return code, at
    if code >= 0xE0:
        return code - 0x100, at
    if code < 0x90:
        return _map(view, at, code & 0x0F, depth)
    if code < 0xA0:
        return _array(view, at, code & 0x0F, depth)
    if code < 0xC0:
        return _take(view, at, code & 0x1F), at + (code & 0x1F)
    if code == 0xC0:
        return None, at
    if code in (0xC2, 0xC3):
        return code == 0xC3, at
    if code in _INTS:
        width, signed = _INTS[code]
        return int.from_bytes(_take(view, at, width), "big", signed=signed), at + width
    if code in _FLOATS:
        form = _FLOATS[code]
        return form.unpack(_take(view, at, form.size))[0], at + form.size
    for table, build in ((_ARRAYS, _array), (_MAPS, _map)):
        if code in table:
            count, at = _length(view, at, table[code])
            return build(view, at, count, depth)
    if code in _FIXEXTS:
        return _take(view, at + 1, _FIXEXTS[code]), at + 1 + _FIXEXTS[code]
    for widths, head in ((_TEXTS, 0), (_BINS, 0), (_EXTS, 1)):
        if code in widths:
            size, at = _length(view, at, widths[code])
            return _take(view, at + head, size), at + head + size
    raise Malformed(f"byte {code:#x}")


def _take(view: memoryview, at: int, size: int) -> memoryview:
    if at + size > len(view):
        raise Incomplete(at + size)
    return view[at : at + size]


def _length(view: memoryview, at: int, width: int) -> tuple[int, int]:
    return int.from_bytes(_take(view, at, width), "big"), at + width


def _array(view: memoryview, at: int, count: int, depth: int) -> tuple[list[Any], int]:
    if count > ITEMS_MOST:
        raise Malformed(f"an array of {count} items")
    items = []
    for _ in range(count):
        item, at = read(view, at, depth + 1)
        items.append(item)
    return items, at


def _map(view: memoryview, at: int, count: int, depth: int) -> tuple[dict[Any, Any], int]:
    if count > ITEMS_MOST:
        raise Malformed(f"a map of {count} items")
    fields: dict[Any, Any] = {}
    for _ in range(count):
        key, at = read(view, at, depth + 1)
        value, at = read(view, at, depth + 1)
        try:
            fields[key] = value
        except (TypeError, ValueError) as error:
            raise Malformed(f"a map's key of type {type(key).__name__}") from error
    return fields, at
