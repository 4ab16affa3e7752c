"""A hybrid logical clock: stamps near the wall clock that grow with every event that one has heard of; pure.

Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks" (OPODIS 2014), section 4, figure 5.
"""

from __future__ import annotations

from typing import Annotated, TypeAlias

from msgspec import Meta, Struct

AHEAD_MOST_MS = 60_000  # that a stamp may be ahead of the clock here; what is further is refused

Milliseconds: TypeAlias = Annotated[int, Meta(ge=0, le=2**53)]


class Stamp(Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """When a value was set: of two the greater one holds, and no two are equal unless one is a copy."""

    ms: Milliseconds
    count: Annotated[int, Meta(ge=0, le=2**32 - 1)]
    member: Annotated[str, Meta(max_length=64)]


class HybridClock:
    """One member's clock; the wall clock is handed in, in Unix milliseconds."""

    def __init__(self, member: str) -> None:
        self.member, self._ms, self._count = member, 0, 0

    def stamp(self, wall_ms: float) -> Stamp:
        """Return the stamp of an event of this member's own."""
        before, self._ms = self._ms, max(self._ms, int(wall_ms))
        self._count = self._count + 1 if self._ms == before else 0
        return Stamp(self._ms, self._count, self.member)

    def hear(self, stamp: Stamp, wall_ms: float) -> bool:
        """Take in a stamp of another member; False for one that is too far ahead to be believed."""
        if stamp.ms > wall_ms + AHEAD_MOST_MS:
            return False
        before, self._ms = self._ms, max(self._ms, stamp.ms, int(wall_ms))
        if self._ms == before == stamp.ms:
            self._count = max(self._count, stamp.count) + 1
        elif self._ms == before:
            self._count += 1
        else:
            self._count = stamp.count + 1 if self._ms == stamp.ms else 0
        return True
