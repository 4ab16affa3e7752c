"""The transaction ids of loads that may have run, so that none of them runs again under its id."""

from __future__ import annotations

from collections import OrderedDict

from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation

MAX_REMEMBERED_LOADS = 16_384
# The memory of one id, and the share of the room that all of them may take.
ID_BYTES = 240
ROOM_SHARE = 0.08


class LoadHistory:
    """Remembers the latest ids, MAX_REMEMBERED_LOADS at most; their letters' case does not count."""

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        self._transaction_ids: OrderedDict[str, None] = OrderedDict()
        self._memory = memory or MemoryBudget()
        self._reservation = Reservation(self._memory, MemoryUse.REQUESTS)

    def __contains__(self, transaction_id: str) -> bool:
        return transaction_id.lower() in self._transaction_ids

    @property
    def max_ids(self) -> int:
        """How many ids are remembered."""
        if not self._memory.room_bytes:  # no limit
            return MAX_REMEMBERED_LOADS
        return min(MAX_REMEMBERED_LOADS, int(ROOM_SHARE * self._memory.room_bytes) // ID_BYTES)

    def add(self, transaction_id: str) -> None:
        """Remember a load; forget the oldest ones if there are too many."""
        self._transaction_ids[transaction_id.lower()] = None
        while len(self._transaction_ids) > self.max_ids:
            self._transaction_ids.popitem(last=False)
        self._reservation.charge(ID_BYTES * len(self._transaction_ids))
