"""The engines that the fleet's members were told of, as a set that converges; pure.

An observed-remove set without tombstones (Bieniusa et al., "An optimized conflict-free replicated set",
2012, section 3): each addition has a dot of its own, a vector tells which dots a member has seen, and a dot
that was seen and is not held was removed. Additions go before removals that have not seen them. The
register's word goes before all this as soon as a member hears it: the set serves a start at which nobody else
tells of any engine.

Counts are taken from the clock, so that a member whose store is lost does not use a dot twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineEntry, EngineState
from fordstair.replication.clock import AHEAD_MOST_MS, Milliseconds
from fordstair.runtime.clock import UnixMs

OLDEST_MS = 24 * 3_600_000.0  # a list that is older is not used
ENGINES_MOST, MEMBERS_MOST = 1_000, 512

_Name = Annotated[str, Meta(min_length=1, max_length=64)]


class Kept(Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """One engine as it is kept."""

    name: _Name
    address: Annotated[str, Meta(min_length=3, max_length=128)]
    protocol: Annotated[str, Meta(max_length=16)]
    zone: Annotated[int, Meta(ge=0, le=65_535)]
    cell: Annotated[int, Meta(ge=0, le=2**32)]
    kind: Annotated[int, Meta(ge=0, le=65_535)]
    started_ms: Annotated[float, Meta(ge=0.0, le=2.0**53)]
    weight: Annotated[float, Meta(ge=0.0, le=1e6)]


class Dot(Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """One addition: by whom, and its count there."""

    count: Milliseconds
    member: _Name


class Roster(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A member's whole set as it is kept and sent."""

    engines: Annotated[list[tuple[Dot, Kept]], Meta(max_length=ENGINES_MOST)]
    seen: Annotated[dict[_Name, Milliseconds], Meta(max_length=MEMBERS_MOST)]
    heard_ms: Milliseconds  # when any member last heard its register, in Unix time


_rosters: msgspec.msgpack.Decoder[Roster] = msgspec.msgpack.Decoder(Roster)


class EngineSet:
    """One member's copy."""

    def __init__(self, member: str) -> None:
        self.member, self.heard_ms, self.refused = member, 0, 0
        self.dots: dict[Dot, Kept] = {}
        self.seen: dict[str, int] = {}
        self._told: Mapping[str, Kept] | None = None  # what the register said last, here

    @property
    def engines(self) -> dict[str, Kept]:
        """The engines by name; of concurrent additions of one name, the one that started last."""
        return {
            kept.name: kept
            for _, kept in sorted(self.dots.items(), key=lambda each: (each[1].started_ms, each[0]))
        }

    @property
    def roster(self) -> Roster:
        """All of it, as it is sent."""
        return Roster(sorted(self.dots.items()), dict(sorted(self.seen.items())), self.heard_ms)

    @property
    def digest(self) -> int:
        """56 bits that are equal where two sets are; when the register was heard is left out."""
        told = msgspec.msgpack.encode((sorted(self.dots.items()), sorted(self.seen.items())))
        return int.from_bytes(blake2b(told, digest_size=7).digest(), "big")

    def follow(self, now_ms: float, heard_ms: float, listed: Iterable[Kept]) -> bool:
        """Take in what the register lists here now; True where that changed the set.

        Only what changes between two calls is added or removed: a member whose register lags behind does not
        bring back what another was told has gone. The first list of a life is taken whole.
        """
        self.heard_ms = max(self.heard_ms, int(heard_ms))
        told = {kept.name: kept for kept in sorted(listed)[:ENGINES_MOST]}
        before = self._told if self._told is not None else self.engines
        self._told, changed = told, False
        here = self.engines
        for name in before.keys() - told.keys():
            changed |= self._remove(name)
        for name, kept in sorted(told.items()):
            if kept in (before.get(name), here.get(name)):
                continue
            self._remove(name)
            count = max(int(now_ms), self.seen.get(self.member, 0) + 1)
            self.seen[self.member] = count
            self.dots[Dot(count, self.member)] = kept
            changed = True
        return changed

    def merge(self, now_ms: float, theirs: Roster) -> bool:
        """Take another member's set in: a join; True where that changed this one.

        One that is dated ahead of every clock is refused whole: its vector would hide what is added later.
        """
        dots = dict(theirs.engines)
        seen = dict(theirs.seen)
        for dot in dots:
            seen[dot.member] = max(seen.get(dot.member, 0), dot.count)
        kept = {
            dot: each for dot, each in self.dots.items() if dot in dots or dot.count > seen.get(dot.member, 0)
        }
        kept |= {
            dot: each
            for dot, each in dots.items()
            if dot in self.dots or dot.count > self.seen.get(dot.member, 0)
        }
        joined = {
            member: max(seen.get(member, 0), self.seen.get(member, 0))
            for member in seen.keys() | self.seen.keys()
        }
        latest = now_ms + AHEAD_MOST_MS
        if (
            max((theirs.heard_ms, *seen.values())) > latest
            or len(kept) > ENGINES_MOST
            or len(joined) > MEMBERS_MOST
        ):
            self.refused += 1
            return False
        self.heard_ms = max(self.heard_ms, theirs.heard_ms)
        if kept == self.dots and joined == self.seen:
            return False
        self.dots, self.seen = kept, joined
        return True

    def _remove(self, name: str) -> bool:
        gone = [dot for dot, kept in self.dots.items() if kept.name == name]
        for dot in gone:
            del self.dots[dot]
        return bool(gone)


def kept(engines: Iterable[Engine]) -> list[Kept]:
    """Return those that are listed as ready, as they are kept."""
    return [
        Kept(
            each.entry.engine,
            each.address,
            each.protocol,
            each.entry.zone,
            each.entry.cell,
            each.entry.kind,
            each.started_at.value if each.started_at is not None else 0.0,
            each.entry.weight,
        )
        for each in engines
        if each.entry.state is EngineState.READY
    ]


class Restored:
    """The engines of a set as a coordinator is told of them while its register is not heard.

    The older the register's word, the less is known of what became of an engine: one that was last heard of
    longer ago than it takes to warm up counts as started when it was first taken from the set, and a set
    older than OLDEST_MS is not used at all. What was told once of an engine stays, so that nothing that runs
    there is given up for a mere change of belief.
    """

    def __init__(self, slow_start_ms: float) -> None:
        self.slow_start_ms = slow_start_ms
        self._told: dict[Kept, float] = {}

    def engines(self, now_ms: float, known: EngineSet) -> list[Engine]:
        """Return the engines to go on with; none where the set is too old."""
        age_ms = now_ms - known.heard_ms
        if age_ms >= OLDEST_MS:
            return []
        here = known.engines.values()
        self._told = {
            each: self._told.get(each, each.started_ms if age_ms < self.slow_start_ms else now_ms)
            for each in here
        }
        return [
            Engine(
                EngineEntry(
                    each.name, EngineState.READY, each.zone, each.cell, each.kind, weight=each.weight
                ),
                each.address,
                each.protocol,
                UnixMs(self._told[each]) if self._told[each] > 0.0 else None,
            )
            for each in sorted(here)
        ]
