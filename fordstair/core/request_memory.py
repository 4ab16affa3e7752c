"""The memory of an open request, which is reserved before the request is let in."""

from __future__ import annotations

from fordstair.core.ports import ClientActivity, Query
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation

# The first page of a result, for which there is room from the start.
FIRST_PAGE_BYTES = 8 * 1024
# What an open request takes besides its statement: its task and state, and that page.
REQUEST_BYTES = 8 * 1024 + FIRST_PAGE_BYTES
# A statement is held by its request and, while it is sent to an engine, by the encoded request as well.
STATEMENT_COPIES = 2
# A request with a longer statement leaves room for others, as does one of a client with several open.
SMALL_STATEMENT_BYTES = 4 * 1024
# The share of what is guaranteed to requests that these leave free.
SMALL_REQUESTS_SHARE = 0.5


def request_bytes(query: Query) -> int:
    """Return the memory of an open request."""
    return REQUEST_BYTES + STATEMENT_COPIES * len(query.statement)


def try_reserve_request(budget: MemoryBudget, query: Query) -> Reservation | None:
    """Reserve the memory of a request; return None if there is no room for it."""
    keep_free = 0
    if len(query.statement) > SMALL_STATEMENT_BYTES or query.client_activity is ClientActivity.BUSY:
        keep_free = int(SMALL_REQUESTS_SHARE * budget.guaranteed_bytes(MemoryUse.REQUESTS))
    reservation = Reservation(budget, MemoryUse.REQUESTS)
    return reservation if reservation.try_resize(request_bytes(query), keep_free=keep_free) else None


def reserve_request(budget: MemoryBudget, query: Query) -> Reservation:
    """Reserve the memory of a request whether there is room or not."""
    reservation = Reservation(budget, MemoryUse.REQUESTS)
    reservation.charge(request_bytes(query))
    return reservation
