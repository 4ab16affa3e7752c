"""The transaction ids of loads that may have run, so that none of them runs again under its id."""

from __future__ import annotations

from collections import OrderedDict

MAX_REMEMBERED_LOADS = 16_384


class LoadHistory:
    """Remembers the latest MAX_REMEMBERED_LOADS ids; their letters' case does not count."""

    def __init__(self) -> None:
        self._transaction_ids: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, transaction_id: str) -> bool:
        return transaction_id.lower() in self._transaction_ids

    def add(self, transaction_id: str) -> None:
        """Remember a load; forget the oldest one if there are too many."""
        self._transaction_ids[transaction_id.lower()] = None
        if len(self._transaction_ids) > MAX_REMEMBERED_LOADS:
            self._transaction_ids.popitem(last=False)
