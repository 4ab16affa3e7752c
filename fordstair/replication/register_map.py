"""A last-writer-wins map over hybrid logical clocks, of which every member has a copy; pure.

Shapiro, Preguica, Baquero, Zawirski, "A comprehensive study of convergent and commutative replicated data
types" (INRIA RR-7506, 2011), section 3.2.1. A register that nobody has set for ``retention_ms`` is forgotten
by all members alike, so that nothing grows and no tombstones are needed.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from fordstair.replication.hybrid_clock import HybridLogicalClock, HybridTimestamp
from fordstair.replication.key_ranges import RANGE_COUNT, Page, RangeIndex, entry_digest, range_of

MAX_VALUE_BYTES = 1_024
REGISTER_OVERHEAD_BYTES = 40  # of a register on a wire, beside its key and value


class Register(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One value, and when it was set."""

    value: Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
    timestamp: HybridTimestamp


def merge_registers(one: Register | None, other: Register | None) -> Register | None:
    """Merge two copies, a join: the later timestamp wins; equal timestamps are copies of one value."""
    if one is None or other is None:
        return one or other
    return max(one, other, key=lambda register: (register.timestamp, register.value))


class RegisterMap:
    """One member's copy; ``digests`` compares it with others, range by range."""

    def __init__(self, member: str, retention_ms: float, max_registers: int) -> None:
        self.clock = HybridLogicalClock(member)
        self.retention_ms = retention_ms
        self.max_registers = max_registers
        self.by_key: dict[str, Register] = {}
        self.digests = [0] * RANGE_COUNT
        self.rejected = 0  # dated too far ahead of the clock here, or over ``max_registers``
        self.forgotten_keys: list[str] = []  # expired, and still on disk
        self._ranges: RangeIndex[Register] = RangeIndex()

    def set(self, wall_ms: float, key: str, value: bytes) -> Register | None:
        """Set a value here and now; return the register to write, None where the value is set already."""
        before = self.by_key.get(key)
        if before is not None and before.value == value:
            return None
        return self.merge(wall_ms, key, Register(value, self.clock.now(wall_ms)))

    def merge(self, wall_ms: float, key: str, register: Register) -> Register | None:
        """Merge another copy; return it where it wins and is new here."""
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
        """Forget registers that were last set more than ``retention_ms`` ago."""
        expired = [key for key, register in self.by_key.items() if self._is_expired(wall_ms, register)]
        for key in expired:
            self._toggle_digest(key, self.by_key.pop(key))
            self._ranges.remove(key)
            self.forgotten_keys.append(key)

    def page(self, range_number: int, after_key: str, max_bytes: int) -> Page[Register]:
        """Return a range's registers after a key, until their sizes exceed ``max_bytes``."""
        return self._ranges.page(
            range_number,
            after_key,
            max_bytes,
            lambda key, register: len(key) + len(register.value) + REGISTER_OVERHEAD_BYTES,
        )

    def _is_expired(self, wall_ms: float, register: Register) -> bool:
        return register.timestamp.unix_ms < wall_ms - self.retention_ms

    def _toggle_digest(self, key: str, register: Register | None) -> None:
        """Add a register to its range's digest, or remove it: with exclusive-or the same step."""
        if register is None:
            return
        timestamp = register.timestamp
        self.digests[range_of(key)] ^= entry_digest(
            key.encode(),
            b"%d %d" % (timestamp.unix_ms, timestamp.count),
            timestamp.member.encode(),
            register.value,
        )
