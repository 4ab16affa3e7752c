"""Values that converge: by key the one with the greatest stamp holds, whatever came first; pure.

A last-writer-wins map over hybrid logical clocks. Every member holds all of it. What nobody has set anew for
``keep_ms`` is forgotten by all alike, so that nothing grows and no tombstones are needed.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from fordstair.replication.clock import HybridClock, Stamp
from fordstair.replication.ranges import RANGES, Ranges, digest_of, range_of

VALUE_MOST = 1_024


class Register(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One value, and when it was set."""

    value: Annotated[bytes, Meta(max_length=VALUE_MOST)]
    stamp: Stamp


def newer(one: Register | None, other: Register | None) -> Register | None:
    """The rule for copies that differ, a join: the greater stamp; equal stamps are copies of one value."""
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda each: (each.stamp, each.value))


class Registers:
    """One member's copy; ``digests`` tells it from others', range by range."""

    def __init__(self, member: str, keep_ms: float, most: int) -> None:
        self.clock, self.keep_ms, self.most = HybridClock(member), keep_ms, most
        self.values: dict[str, Register] = {}
        self.digests = [0] * RANGES
        self.refused = 0  # too far ahead of the clock here, or without room
        self.gone: list[str] = []  # forgotten, and still on disk
        self._ranges: Ranges[Register] = Ranges()

    def set(self, wall_ms: float, key: str, value: bytes) -> Register | None:
        """Set a value here and now; return what is to be written, None where it is so already."""
        before = self.values.get(key)
        if before is not None and before.value == value:
            return None
        return self.take(wall_ms, key, Register(value, self.clock.stamp(wall_ms)))

    def take(self, wall_ms: float, key: str, theirs: Register) -> Register | None:
        """Take another member's value in by the rule; return it where it holds and is new here."""
        before = self.values.get(key)
        if (before is None and len(self.values) >= self.most) or not self.clock.hear(theirs.stamp, wall_ms):
            self.refused += 1
            return None
        if theirs.stamp.ms < wall_ms - self.keep_ms or newer(before, theirs) == before:
            return None
        self._mark(key, before)
        self.values[key] = theirs
        self._ranges.put(key, theirs)
        self._mark(key, theirs)
        return theirs

    def expire(self, wall_ms: float) -> None:
        """Forget what was not set anew for long."""
        for key in [key for key, each in self.values.items() if each.stamp.ms < wall_ms - self.keep_ms]:
            self._mark(key, self.values.pop(key))
            self._ranges.drop(key)
            self.gone.append(key)

    def page(self, which: int, after: str, most_bytes: int) -> tuple[list[tuple[str, Register]], bool]:
        """Return values of a range after a key, up to a size, and whether others follow."""
        return self._ranges.page(which, after, most_bytes, lambda key, each: len(key) + len(each.value) + 40)

    def _mark(self, key: str, register: Register | None) -> None:
        if register is not None:
            stamp = register.stamp
            self.digests[range_of(key)] ^= digest_of(
                key.encode(), b"%d %d" % (stamp.ms, stamp.count), stamp.member.encode(), register.value
            )
