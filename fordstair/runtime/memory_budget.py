"""The memory that the process may use, divided among everything that clients and engines can make it hold.

Whoever is about to hold bytes for a peer reserves them here first, by their use. Each use has a guaranteed
share of the room; what is left is common to all. The sum of all reservations therefore stays within the room,
and no use can take what another needs.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

import trio

from fordstair.runtime.clock import monotonic_now
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

BYTES_PER_KB = 1024
BYTES_PER_MB = 1024 * 1024
# What a turn of the event loop may hold beside the reservations: copies made while a message is handled.
MIN_MARGIN_BYTES = 3 * BYTES_PER_MB
MARGIN_SHARE = 0.05  # of the limit, where that is more
# The part of the margin that the allocator may waste before the waste is taken off the room.
EXPECTED_WASTE_SHARE = 0.2
# The least room in which a few clients can be served.
MIN_ROOM_BYTES = 2 * BYTES_PER_MB
# The common room counts as scarce below the first share of it that is free, until the second one is.
SCARCE_BELOW_SHARE = 0.25
PLENTY_ABOVE_SHARE = 0.4
# Changes are logged at most once in this time.
LOG_INTERVAL_MS = 1_000.0


class MemoryUse(IntEnum):
    """What memory is reserved for; the name in lower case is part of a figure's name."""

    CONNECTIONS = 0  # of clients, with their tasks and buffers
    ENGINE_CONNECTIONS = 1
    INPUT = 2  # messages that are not complete yet
    REQUESTS = 3  # open requests with their statements
    ANSWERS = 4  # results being gathered from engines, and responses that clients have not read


GUARANTEED_SHARES: Mapping[MemoryUse, float] = {
    MemoryUse.CONNECTIONS: 0.25,
    MemoryUse.ENGINE_CONNECTIONS: 0.08,
    MemoryUse.INPUT: 0.08,
    MemoryUse.REQUESTS: 0.15,
    MemoryUse.ANSWERS: 0.15,
}


@dataclass(frozen=True, slots=True)
class MemoryLimit:
    """A limit on the process's memory, in bytes.

    Attributes:
        total_bytes: the memory that the process may use.
        base_bytes: the memory that it uses without any client.
    """

    total_bytes: int
    base_bytes: int

    @property
    def margin_bytes(self) -> int:
        """The memory that is kept free for what a turn of the event loop holds."""
        return max(MIN_MARGIN_BYTES, int(MARGIN_SHARE * self.total_bytes))

    @property
    def room_bytes(self) -> int:
        """The memory that may be reserved, which is MIN_ROOM_BYTES at least."""
        return max(MIN_ROOM_BYTES, self.total_bytes - self.base_bytes - self.margin_bytes)

    @property
    def needed_bytes(self) -> int:
        """The least total that holds the base, the margin and MIN_ROOM_BYTES."""
        return self.base_bytes + self.margin_bytes + MIN_ROOM_BYTES


class MemoryBudget:
    """Grants reservations within one limit.

    Without ``set_limit`` it grants everything. Every reservation has to be released, however its use ends.
    """

    def __init__(self) -> None:
        self._limit: MemoryLimit | None = None
        self._used = [0] * len(MemoryUse)  # by use, as are the guaranteed bytes
        self._guaranteed = [0] * len(MemoryUse)
        self._total_bytes = 0
        self._common_bytes = 0
        self._common_taken_bytes = 0
        self._peak_bytes = 0
        self._unexplained_bytes = 0
        self._resident_bytes = 0
        self._refusals = 0
        self._scarce = False
        self._scarce_below_bytes = self._plenty_above_bytes = 0
        self._logged_ms = -math.inf
        self._waiting = trio.lowlevel.ParkingLot()

    @property
    def used_bytes(self) -> int:
        """The sum of all reservations."""
        return self._total_bytes

    @property
    def room_bytes(self) -> int:
        """The most that all reservations may come to; 0 without a limit."""
        return 0 if self._limit is None else self._limit.room_bytes

    @property
    def unexplained_bytes(self) -> int:
        """The part of the real size that the base and the reservations do not explain."""
        return self._unexplained_bytes

    @property
    def scarce(self) -> bool:
        """Whether little of the common room is free; peers that can wait should then hold little."""
        return self._scarce

    def set_limit(self, limit: MemoryLimit) -> None:
        """Set or change the limit; reservations beyond a lower one stay until they are released."""
        self._limit = limit
        self._guaranteed = [int(GUARANTEED_SHARES[use] * limit.room_bytes) for use in MemoryUse]
        common_bytes = limit.room_bytes - sum(self._guaranteed)
        self._scarce_below_bytes = int(SCARCE_BELOW_SHARE * common_bytes)
        self._plenty_above_bytes = int(PLENTY_ABOVE_SHARE * common_bytes)
        self._divide()

    def used(self, use: MemoryUse) -> int:
        """Return the bytes that are reserved for one use."""
        return self._used[use]

    def guaranteed_bytes(self, use: MemoryUse) -> int:
        """Return the bytes that only one use may take; 0 without a limit."""
        return self._guaranteed[use]

    def most_bytes(self, use: MemoryUse) -> int:
        """Return the most that can ever be reserved for one use."""
        return sys.maxsize if self._limit is None else self._guaranteed[use] + self._common_bytes

    def free_bytes(self, use: MemoryUse) -> int:
        """Return how many bytes can be reserved for a use now; without a limit, sys.maxsize."""
        if self._limit is None:
            return sys.maxsize
        own_bytes = self._guaranteed[use] - self._used[use]
        common_bytes = self._common_bytes - self._common_taken_bytes
        return (own_bytes if own_bytes > 0 else 0) + (common_bytes if common_bytes > 0 else 0)

    def try_reserve(self, use: MemoryUse, size: int, *, keep_free: int = 0) -> bool:
        """Reserve ``size`` bytes if ``keep_free`` more stay free; return whether it was done."""
        if size + keep_free > self.free_bytes(use):
            self._refusals += 1
            return False
        self.charge(use, size)
        return True

    def charge(self, use: MemoryUse, size: int) -> None:
        """Reserve ``size`` bytes whether there is room or not: for what replaces another reservation."""
        self._add(use, size)
        if self._total_bytes > self._peak_bytes:
            self._peak_bytes = self._total_bytes

    def release(self, use: MemoryUse, size: int) -> None:
        """Give back ``size`` bytes of a reservation."""
        self._add(use, -size)
        if self._waiting:
            self._waiting.unpark_all()

    async def reserve(self, use: MemoryUse, size: int) -> None:
        """Wait until ``size`` bytes could be reserved; the caller bounds the time.

        If cancelled, nothing is reserved. Those that wait try again in the order in which they came.
        """
        while not self.try_reserve(use, size):
            await self._waiting.park()

    def observe_resident(self, resident_bytes: int) -> None:
        """Take note of the process's real size: what the reservations do not explain is taken off the room.

        The allocator keeps memory that was released, so that the size is compared with the most that has
        been reserved at once.
        """
        self._resident_bytes = resident_bytes
        if self._limit is None:
            return
        expected_waste = int(EXPECTED_WASTE_SHARE * self._limit.margin_bytes)
        explained_bytes = self._limit.base_bytes + expected_waste + self._peak_bytes
        self._unexplained_bytes = max(0, resident_bytes - explained_bytes)
        self._divide()

    def figures(self) -> dict[str, int]:
        """Return the limit, the real size, the room and its uses in KB, and how often there was no room."""
        sizes = {
            "limit": 0 if self._limit is None else self._limit.total_bytes,
            "base": 0 if self._limit is None else self._limit.base_bytes,
            "resident": self._resident_bytes,
            "unexplained": self._unexplained_bytes,
            "room": self.room_bytes,
            "used": self.used_bytes,
            "used_peak": self._peak_bytes,
        } | {f"used.{use.name.lower()}": self._used[use] for use in MemoryUse}
        return {f"{name}_kb": size // BYTES_PER_KB for name, size in sizes.items()} | {
            "no_room": self._refusals
        }

    def _add(self, use: MemoryUse, size: int) -> None:
        excess_before = self._used[use] - self._guaranteed[use]
        excess = excess_before + size
        self._used[use] += size
        self._total_bytes += size
        if excess > 0 or excess_before > 0:
            self._common_taken_bytes += max(0, excess) - max(0, excess_before)
            self._update_scarce()

    def _divide(self) -> None:
        excesses = (used - own for used, own in zip(self._used, self._guaranteed, strict=True))
        self._common_taken_bytes = sum(max(0, excess) for excess in excesses)
        common_bytes = self.room_bytes - sum(self._guaranteed)
        self._common_bytes = max(0, common_bytes - self._unexplained_bytes)
        self._update_scarce()
        self._waiting.unpark_all()

    def _update_scarce(self) -> None:
        if self._limit is None:
            return
        free_bytes = self._common_bytes - self._common_taken_bytes
        scarce = free_bytes < (self._plenty_above_bytes if self._scarce else self._scarce_below_bytes)
        if scarce != self._scarce:
            self._scarce = scarce
            self._log_change()

    def _log_change(self) -> None:
        now_ms = monotonic_now()
        if now_ms >= self._logged_ms + LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            log.info("memory.scarce" if self._scarce else "memory.plenty", **self.figures())


class Reservation:
    """One holder's reservation, which can be resized; as a context manager it is released at the end.

    Attributes:
        size: the bytes that are reserved.
    """

    def __init__(self, budget: MemoryBudget, use: MemoryUse) -> None:
        self.size = 0
        self._budget = budget
        self._use = use

    def try_resize(self, size: int, *, keep_free: int = 0) -> bool:
        """Change the reservation if there is room, as for a smaller one; return whether it was done."""
        more = size - self.size
        if more > 0 and not self._budget.try_reserve(self._use, more, keep_free=keep_free):
            return False
        if more < 0:
            self._budget.release(self._use, -more)
        self.size = size
        return True

    async def extend(self, more: int) -> None:
        """Wait until ``more`` bytes could be added; the caller bounds the time."""
        await self._budget.reserve(self._use, more)
        self.size += more

    def charge(self, size: int) -> None:
        """Change the reservation whether there is room or not."""
        if size > self.size:
            self._budget.charge(self._use, size - self.size)
        elif size < self.size:
            self._budget.release(self._use, self.size - size)
        self.size = size

    def release(self) -> None:
        """Give everything back."""
        self.charge(0)

    def __enter__(self) -> Reservation:
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
