"""Keys split into ranges, which members compare by digest and exchange page by page; pure."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from hashlib import blake2b
from typing import Generic, TypeVar

from sortedcontainers import SortedDict

V = TypeVar("V")
RANGES = 64


@lru_cache(maxsize=4_096)
def range_of(key: str) -> int:
    """Return the range that a key belongs to."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % RANGES


def digest_of(*parts: bytes) -> int:
    """Return 56 bits of a checksum; a range's digest is all of its keys' ones, exclusive-or'd."""
    whole = blake2b(digest_size=7)
    for part in parts:
        whole.update(len(part).to_bytes(4, "big") + part)
    return int.from_bytes(whole.digest(), "big")


class Ranges(Generic[V]):
    """Values by key, in order within each range."""

    def __init__(self) -> None:
        self._ranges: list[SortedDict[str, V]] = [SortedDict() for _ in range(RANGES)]

    def __len__(self) -> int:
        return sum(map(len, self._ranges))

    def put(self, key: str, value: V) -> None:
        """Set a key's value."""
        self._ranges[range_of(key)][key] = value

    def drop(self, key: str) -> None:
        """Take a key out."""
        del self._ranges[range_of(key)][key]

    def page(
        self,
        which: int,
        after: str,
        most_bytes: int,
        size: Callable[[str, V], int | None],
    ) -> tuple[list[tuple[str, V]], bool]:
        """Return a range's values after a key up to a size, and whether others follow.

        A size of None leaves a value out.
        """
        page, held = list[tuple[str, V]](), 0
        values = self._ranges[which]
        for key in values.irange(minimum=after, inclusive=(False, True)):
            value = values[key]
            if (takes := size(key, value)) is None:
                continue
            if page and held > most_bytes:
                return page, True
            page.append((key, value))
            held += takes
        return page, False
