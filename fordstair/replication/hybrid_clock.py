"""A hybrid logical clock: timestamps close to the wall clock that increase with each observed event; pure.

Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks" (OPODIS 2014), section 4, figure 5.
"""

from __future__ import annotations

from typing import Annotated, TypeAlias

from msgspec import Meta, Struct

# State dated further ahead of the local clock is rejected.
MAX_CLOCK_SKEW_MS = 60_000

UnixMilliseconds: TypeAlias = Annotated[int, Meta(ge=0, le=2**53)]


class HybridTimestamp(Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """The time at which a value was set. Of two values the later wins; equal timestamps are of one value."""

    unix_ms: UnixMilliseconds
    count: Annotated[int, Meta(ge=0, le=2**32 - 1)]
    member: Annotated[str, Meta(max_length=64)]


class HybridLogicalClock:
    """One member's clock; the wall clock is passed in, in Unix milliseconds."""

    def __init__(self, member: str) -> None:
        self.member = member
        self._unix_ms = 0
        self._count = 0

    def now(self, wall_ms: float) -> HybridTimestamp:
        """Return a timestamp for a new event of this member, later than all before it."""
        previous_ms = self._unix_ms
        self._unix_ms = max(previous_ms, int(wall_ms))
        self._count = self._count + 1 if self._unix_ms == previous_ms else 0
        return HybridTimestamp(self._unix_ms, self._count, self.member)

    def observe(self, timestamp: HybridTimestamp, wall_ms: float) -> bool:
        """Advance past another member's timestamp; return False if it is over MAX_CLOCK_SKEW_MS ahead."""
        if timestamp.unix_ms > wall_ms + MAX_CLOCK_SKEW_MS:
            return False
        previous_ms = self._unix_ms
        self._unix_ms = max(previous_ms, timestamp.unix_ms, int(wall_ms))
        if self._unix_ms == previous_ms == timestamp.unix_ms:
            self._count = max(self._count, timestamp.count) + 1
        elif self._unix_ms == previous_ms:
            self._count += 1
        else:
            self._count = timestamp.count + 1 if self._unix_ms == timestamp.unix_ms else 0
        return True
