"""The engines that the registry lists, as an observed-remove set replicated to all members; pure.

Shapiro et al., "A comprehensive study of convergent and commutative replicated data types" (INRIA RR-7506,
2011), section 3.3.5, in the form without tombstones of Bieniusa et al., "An optimized conflict-free
replicated set" (2012), section 3: each addition has a dot of its own, the version vector records which dots
a member has seen, and a dot that was seen but is not in the set was removed. An addition wins over a removal
that has not seen it. A member uses the set only after a start at which nothing else lists any engine; the
registry's list takes precedence once it is received.

Dot counts are taken from the wall clock, so that a member that has lost its store does not reuse a dot.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fordstair.replication.hybrid_clock import MAX_CLOCK_SKEW_MS, UnixMilliseconds
from fordstair.replication.key_ranges import DIGEST_BYTES

# A set is not used if the last registry contact of any member is longer ago.
MAX_AGE_MS = 24 * 3_600_000.0
MAX_ENGINES = 1_000
MAX_VECTOR_MEMBERS = 512

_Name = Annotated[str, Meta(min_length=1, max_length=64)]


class ReplicatedEngine(Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """One engine as it is stored and sent; ``started_ms`` is Unix time, or 0 if it is not known."""

    name: _Name
    address: Annotated[str, Meta(min_length=3, max_length=128)]
    protocol: Annotated[str, Meta(max_length=16)]
    zone: Annotated[int, Meta(ge=0, le=65_535)]
    cell: Annotated[int, Meta(ge=0, le=2**32)]
    kind: Annotated[int, Meta(ge=0, le=65_535)]
    started_ms: Annotated[float, Meta(ge=0.0, le=2.0**53)]
    weight: Annotated[float, Meta(ge=0.0, le=1e6)]


class Dot(Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True):
    """The identity of one addition: the member that made it, and a count unique to that member."""

    count: UnixMilliseconds
    member: _Name


class EngineSetState(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A member's whole set as it is stored and sent.

    Attributes:
        version_vector: The highest count seen of each member.
        registry_contact_ms: The Unix time at which any member last received a message of its registry.
    """

    engines: Annotated[list[tuple[Dot, ReplicatedEngine]], Meta(max_length=MAX_ENGINES)]
    version_vector: Annotated[dict[_Name, UnixMilliseconds], Meta(max_length=MAX_VECTOR_MEMBERS)]
    registry_contact_ms: UnixMilliseconds


class EngineSet:
    """One member's copy of the set.

    Attributes:
        registry_contact_ms: The Unix time at which any member last received a message of its registry.
        rejected: The number of sets of other members that ``merge`` has rejected.
        dots: The additions in the set.
        version_vector: The highest count seen of each member.
    """

    def __init__(self, member: str) -> None:
        self.member = member
        self.registry_contact_ms = 0
        self.rejected = 0
        self.dots: dict[Dot, ReplicatedEngine] = {}
        self.version_vector: dict[str, int] = {}
        # The engines in the registry's latest list, None before the first list.
        self._last_listed: Mapping[str, ReplicatedEngine] | None = None

    @property
    def engines(self) -> dict[str, ReplicatedEngine]:
        """The engines by name; of concurrent additions of one name, the engine that started last."""
        by_start = sorted(self.dots.items(), key=lambda item: (item[1].started_ms, item[0]))
        return {engine.name: engine for _, engine in by_start}

    @property
    def state(self) -> EngineSetState:
        """The whole set, as it is stored and sent."""
        return EngineSetState(
            sorted(self.dots.items()), dict(sorted(self.version_vector.items())), self.registry_contact_ms
        )

    @property
    def digest(self) -> int:
        """The digest of the additions and the version vector, without the time of the registry contact."""
        contents = msgspec.msgpack.encode((sorted(self.dots.items()), sorted(self.version_vector.items())))
        return int.from_bytes(blake2b(contents, digest_size=DIGEST_BYTES).digest(), "big")

    def update_from_registry(
        self, now_ms: float, registry_contact_ms: float, listed: Iterable[ReplicatedEngine]
    ) -> bool:
        """Apply the registry's list at Unix time ``now_ms``; return whether the set has changed.

        Only the changes since the previous list are applied, so that a member whose registry lags does not
        add an engine again that another member has removed. The first list after a start is applied in full.
        """
        self.registry_contact_ms = max(self.registry_contact_ms, int(registry_contact_ms))
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
        """Replace this set by its join with another member's; return whether that changed this set.

        A set is rejected as a whole if the join would be too large, or if the set is dated too far ahead of
        the clock, since its version vector would then hide later additions.
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
        latest_ms = max((other.registry_contact_ms, *other_vector.values()))
        if (
            latest_ms > now_ms + MAX_CLOCK_SKEW_MS
            or len(dots) > MAX_ENGINES
            or len(joined_vector) > MAX_VECTOR_MEMBERS
        ):
            self.rejected += 1
            return False
        self.registry_contact_ms = max(self.registry_contact_ms, other.registry_contact_ms)
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
    """Return the dots that the other side also has or has not seen; the other side has removed all others."""
    return {
        dot: engine
        for dot, engine in dots.items()
        if dot in other_dots or dot.count > other_vector.get(dot.member, 0)
    }
