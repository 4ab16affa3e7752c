"""A replicated last-writer-wins map with hybrid logical timestamps; pure.

Shapiro, Preguica, Baquero, Zawirski, "A comprehensive study of convergent and commutative replicated data
types" (INRIA RR-7506, 2011), section 3.2.1. A register that was last set ``retention_ms`` ago expires at all
members alike, so that the map does not grow without bound and needs no tombstones.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from fordstair.replication.hybrid_clock import HybridLogicalClock, HybridTimestamp
from fordstair.replication.key_ranges import RANGE_COUNT, Page, RangeIndex, entry_digest, range_of

MAX_VALUE_BYTES = 1_024
# Encoded size of a register without its key and value, approximately.
REGISTER_OVERHEAD_BYTES = 40


class Register(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A value and the time at which it was set."""

    value: Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
    timestamp: HybridTimestamp


def merge_registers(one: Register | None, other: Register | None) -> Register | None:
    """Return the join of two copies: the later timestamp wins; equal timestamps are of one value."""
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda register: (register.timestamp, register.value))


class RegisterMap:
    """One member's copy of the map.

    Attributes:
        digests: The digest of each range, by which members compare their copies.
        rejected: The number of registers that were dated too far ahead or exceeded ``max_registers``.
        expired_keys: Keys that have expired here and whose records are still on disk.
    """

    def __init__(self, member: str, retention_ms: float, max_registers: int) -> None:
        self.clock = HybridLogicalClock(member)
        self.retention_ms = retention_ms
        self.max_registers = max_registers
        self.by_key: dict[str, Register] = {}
        self.digests = [0] * RANGE_COUNT
        self.rejected = 0
        self.expired_keys: list[str] = []
        self._ranges: RangeIndex[Register] = RangeIndex()

    def set(self, wall_ms: float, key: str, value: bytes) -> Register | None:
        """Set a value now; return the register to write, or None if the value is unchanged or rejected."""
        before = self.by_key.get(key)
        if before is not None and before.value == value:
            return None
        return self.merge(wall_ms, key, Register(value, self.clock.now(wall_ms)))

    def merge(self, wall_ms: float, key: str, register: Register) -> Register | None:
        """Merge another copy of a register; return the register to write if it has changed."""
        before = self.by_key.get(key)
        if before is None and len(self.by_key) >= self.max_registers:
            self.rejected += 1
            return None
        if not self.clock.observe(register.timestamp, wall_ms):
            self.rejected += 1
            return None
        if self._is_expired(wall_ms, register) or merge_registers(before, register) == before:
            return None
        self._toggle_digest(key, before)
        self.by_key[key] = register
        self._ranges.put(key, register)
        self._toggle_digest(key, register)
        return register

    def expire(self, wall_ms: float) -> None:
        """Remove the registers last set more than ``retention_ms`` ago, and list them in ``expired_keys``."""
        expired = [key for key, register in self.by_key.items() if self._is_expired(wall_ms, register)]
        for key in expired:
            self._toggle_digest(key, self.by_key.pop(key))
            self._ranges.remove(key)
            self.expired_keys.append(key)

    def page(self, range_number: int, after_key: str, max_bytes: int) -> Page[Register]:
        """Return a range's registers after a key, until their total size exceeds ``max_bytes``."""
        return self._ranges.page(
            range_number,
            after_key,
            max_bytes,
            lambda key, register: len(key) + len(register.value) + REGISTER_OVERHEAD_BYTES,
        )

    def _is_expired(self, wall_ms: float, register: Register) -> bool:
        return register.timestamp.unix_ms < wall_ms - self.retention_ms

    def _toggle_digest(self, key: str, register: Register | None) -> None:
        """Add a register to its range's digest, or remove it, which is the same exclusive-or."""
        if register is None:
            return
        timestamp = register.timestamp
        self.digests[range_of(key)] ^= entry_digest(
            key.encode(),
            b"%d %d" % (timestamp.unix_ms, timestamp.count),
            timestamp.member.encode(),
            register.value,
        )
