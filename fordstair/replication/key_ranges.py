"""Hash ranges of keys, which members compare by digest and exchange page by page; pure.

The digest of a range is the exclusive-or of its entries' digests: a Merkle tree of one level whose leaves are
updated in constant time.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from hashlib import blake2b
from typing import Generic, NamedTuple, TypeVar

from sortedcontainers import SortedDict

V = TypeVar("V")
RANGE_COUNT = 64
DIGEST_BYTES = 7
DIGEST_BITS = 8 * DIGEST_BYTES
CACHED_KEYS = 4_096


@lru_cache(maxsize=CACHED_KEYS)
def range_of(key: str) -> int:
    """Return the number of the range that a key belongs to."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % RANGE_COUNT


def entry_digest(*parts: bytes) -> int:
    """Return the digest of DIGEST_BITS bits over the parts of one entry."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return int.from_bytes(digest.digest(), "big")


class Page(NamedTuple, Generic[V]):
    """Some of a range's items, ordered by key; ``more`` is true if others follow."""

    items: list[tuple[str, V]]
    more: bool


class RangeIndex(Generic[V]):
    """Values by key, ordered by key within each range."""

    def __init__(self) -> None:
        self._ranges: list[SortedDict[str, V]] = [SortedDict() for _ in range(RANGE_COUNT)]

    def __len__(self) -> int:
        return sum(map(len, self._ranges))

    def put(self, key: str, value: V) -> None:
        """Set a key's value."""
        self._ranges[range_of(key)][key] = value

    def remove(self, key: str) -> None:
        """Remove a key; raise KeyError if it is missing."""
        del self._ranges[range_of(key)][key]

    def page(
        self, range_number: int, after_key: str, max_bytes: int, size_of: Callable[[str, V], int | None]
    ) -> Page[V]:
        """Return a range's items after a key, until their total size exceeds ``max_bytes``.

        ``size_of`` returns an item's size in bytes, or None to leave the item out.
        """
        items = list[tuple[str, V]]()
        page_bytes = 0
        values = self._ranges[range_number]
        for key in values.irange(minimum=after_key, inclusive=(False, True)):
            value = values[key]
            size_bytes = size_of(key, value)
            if size_bytes is None:
                continue
            if items and page_bytes > max_bytes:
                return Page(items, True)
            items.append((key, value))
            page_bytes += size_bytes
        return Page(items, False)
