"""The engines that the registry lists, as an observed-remove set that all members share; pure.

Shapiro et al., "A comprehensive study of convergent and commutative replicated data types" (INRIA RR-7506,
2011), section 3.3.5, in the form without tombstones of Bieniusa et al., "An optimized conflict-free
replicated set" (2012), section 3: each addition has a dot of its own, a version vector tells which dots a
member has seen, and a dot that was seen and is not in the set was removed. An addition wins over a removal
that has not seen it. The registry itself goes first as soon as a member hears it: the set serves a start at
which nobody else lists any engine.

Counts are taken from the wall clock, so that a member whose store is lost does not use a dot twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fordstair.replication.hybrid_clock import MAX_CLOCK_SKEW_MS, UnixMilliseconds
from fordstair.replication.key_ranges import DIGEST_BYTES

MAX_AGE_MS = 24 * 3_600_000.0  # since any member heard its registry; an older set is not used
MAX_ENGINES = 1_000
MAX_MEMBERS = 512  # in a version vector

_Name = Annotated[str, Meta(min_length=1, max_length=64)]


class ReplicatedEngine(Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """One engine as it is stored and sent; ``started_ms`` is Unix time, 0: not known."""

    name: _Name
    address: Annotated[str, Meta(min_length=3, max_length=128)]
    protocol: Annotated[str, Meta(max_length=16)]
    zone: Annotated[int, Meta(ge=0, le=65_535)]
    cell: Annotated[int, Meta(ge=0, le=2**32)]
    kind: Annotated[int, Meta(ge=0, le=65_535)]
    started_ms: Annotated[float, Meta(ge=0.0, le=2.0**53)]
    weight: Annotated[float, Meta(ge=0.0, le=1e6)]


class Dot(Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """One addition: the member that made it, and its count there."""

    count: UnixMilliseconds
    member: _Name


class EngineSetState(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A member's whole set as it is stored and sent.

    ``version_vector`` holds the last count seen of each member; ``registry_heard_ms`` is the Unix time at
    which any member last heard its registry.
    """

    engines: Annotated[list[tuple[Dot, ReplicatedEngine]], Meta(max_length=MAX_ENGINES)]
    version_vector: Annotated[dict[_Name, UnixMilliseconds], Meta(max_length=MAX_MEMBERS)]
    registry_heard_ms: UnixMilliseconds


class EngineSet:
    """One member's copy."""

    def __init__(self, member: str) -> None:
        self.member = member
        self.registry_heard_ms = 0
        self.rejected = 0  # sets of others that are too large, or dated too far ahead
        self.dots: dict[Dot, ReplicatedEngine] = {}
        self.version_vector: dict[str, int] = {}
        self._last_listed: Mapping[str, ReplicatedEngine] | None = None  # by the registry, to this member

    @property
    def engines(self) -> dict[str, ReplicatedEngine]:
        """The engines by name; of concurrent additions of one name, the one that started last."""
        by_start = sorted(self.dots.items(), key=lambda item: (item[1].started_ms, item[0]))
        return {engine.name: engine for _, engine in by_start}

    @property
    def state(self) -> EngineSetState:
        """All of it, as it is stored and sent."""
        return EngineSetState(
            sorted(self.dots.items()), dict(sorted(self.version_vector.items())), self.registry_heard_ms
        )

    @property
    def digest(self) -> int:
        """Equal where two sets are equal; when the registry was heard is left out."""
        contents = msgspec.msgpack.encode((sorted(self.dots.items()), sorted(self.version_vector.items())))
        return int.from_bytes(blake2b(contents, digest_size=DIGEST_BYTES).digest(), "big")

    def update_from_registry(
        self, now_ms: float, registry_heard_ms: float, listed: Iterable[ReplicatedEngine]
    ) -> bool:
        """Follow what the registry lists at Unix time ``now_ms``; True where that changed the set.

        Only what changes between two calls is added or removed: a member whose registry lags does not add
        again what another has removed. The first list after a start is taken in full.
        """
        self.registry_heard_ms = max(self.registry_heard_ms, int(registry_heard_ms))
        listed_now = {engine.name: engine for engine in sorted(listed)[:MAX_ENGINES]}
        listed_before = self._last_listed if self._last_listed is not None else self.engines
        self._last_listed = listed_now
        known = self.engines
        changed = False
        for name in listed_before.keys() - listed_now.keys():
            changed |= self._remove(name)
        for name, engine in sorted(listed_now.items()):
            if engine in (listed_before.get(name), known.get(name)):
                continue
            self._remove(name)
            self._add(now_ms, engine)
            changed = True
        return changed

    def merge(self, now_ms: float, other: EngineSetState) -> bool:
        """Merge another member's set, a join; True where that changed this one.

        One that is dated ahead of every clock is rejected as a whole: its vector would hide what is added
        later.
        """
        other_dots = dict(other.engines)
        other_vector = dict(other.version_vector)
        for dot in other_dots:
            other_vector[dot.member] = max(other_vector.get(dot.member, 0), dot.count)
        vector = self.version_vector
        dots = _surviving(self.dots, other_dots, other_vector) | _surviving(other_dots, self.dots, vector)
        joined_vector = {
            member: max(other_vector.get(member, 0), vector.get(member, 0))
            for member in other_vector.keys() | vector.keys()
        }
        latest_ms = max((other.registry_heard_ms, *other_vector.values()))
        if (
            latest_ms > now_ms + MAX_CLOCK_SKEW_MS
            or len(dots) > MAX_ENGINES
            or len(joined_vector) > MAX_MEMBERS
        ):
            self.rejected += 1
            return False
        self.registry_heard_ms = max(self.registry_heard_ms, other.registry_heard_ms)
        if dots == self.dots and joined_vector == vector:
            return False
        self.dots = dots
        self.version_vector = joined_vector
        return True

    def _add(self, now_ms: float, engine: ReplicatedEngine) -> None:
        count = max(int(now_ms), self.version_vector.get(self.member, 0) + 1)
        self.version_vector[self.member] = count
        self.dots[Dot(count, self.member)] = engine

    def _remove(self, name: str) -> bool:
        removed = [dot for dot, engine in self.dots.items() if engine.name == name]
        for dot in removed:
            del self.dots[dot]
        return bool(removed)


def _surviving(
    dots: Mapping[Dot, ReplicatedEngine],
    other_dots: Mapping[Dot, ReplicatedEngine],
    other_vector: Mapping[str, int],
) -> dict[Dot, ReplicatedEngine]:
    """Return the dots that the other side has as well, or has not seen; others were removed there."""
    return {
        dot: engine
        for dot, engine in dots.items()
        if dot in other_dots or dot.count > other_vector.get(dot.member, 0)
    }
