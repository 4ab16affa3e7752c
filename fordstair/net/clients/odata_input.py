"""The memory of the request that an OData connection reads or answers."""

from __future__ import annotations

from collections.abc import Mapping

from fordstair.net.clients.client_limits import (
    INPUT_MEMORY_FACTOR,
    MAX_READ_BYTES,
    ODATA_MAX_BODY_BYTES,
    SMALL_MESSAGE_BYTES,
    SMALL_MESSAGE_BYTES_IF_SCARCE,
)
from fordstair.net.clients.odata_errors import ODataError
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation

# The memory of the values that JSON is parsed to, counted by the marks that begin or part them.
PARSED_OBJECT_BYTES = 240
PARSED_VALUE_BYTES = 72
# Copies of the text that are made while it is parsed and checked.
TEXT_COPIES = 4

_RETRY_AFTER = {"Retry-After": "1"}


def parsed_json_bytes(text: bytes) -> int:
    """Return an upper bound on the memory that parsing JSON takes, without parsing it."""
    values = text.count(b",") + text.count(b":") + text.count(b"[")
    return TEXT_COPIES * len(text) + PARSED_VALUE_BYTES * values + PARSED_OBJECT_BYTES * text.count(b"{")


class ODataInput:
    """Reserves the memory of one connection's request, of its body before it is read and of its values.

    The methods raise ODataError 503 where there is no room: nothing has run, and trying again is harmless.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._reservation = Reservation(budget, MemoryUse.INPUT)

    @property
    def read_limit(self) -> int:
        """How many bytes may be read next."""
        if self._reservation.size > SMALL_MESSAGE_BYTES:
            return MAX_READ_BYTES
        return SMALL_MESSAGE_BYTES_IF_SCARCE if self._budget.scarce else SMALL_MESSAGE_BYTES

    def reserve_body(self, headers: Mapping[bytes, bytes]) -> None:
        """Reserve the memory of a body whose length the head tells."""
        length = headers.get(b"content-length", b"")
        if length.isdigit():
            self.reserve(min(int(length), ODATA_MAX_BODY_BYTES))

    def reserve(self, size: int) -> None:
        """Reserve the memory of ``size`` bytes of a head or body, unless it is small or reserved already."""
        if size <= SMALL_MESSAGE_BYTES_IF_SCARCE:
            return
        self._resize(max(self._reservation.size, int(INPUT_MEMORY_FACTOR * size)))

    def reserve_parsed(self, body: bytes) -> None:
        """Reserve the memory of a whole body and of what it is parsed to."""
        if body:
            self._resize(parsed_json_bytes(body))

    def hold(self, size: int) -> None:
        """Reserve ``size`` bytes whether there is room or not: they have been read already."""
        self._reservation.charge(size)

    def release(self) -> None:
        """Give back what the request took."""
        self._reservation.release()

    def _resize(self, size: int) -> None:
        if not self._reservation.try_resize(size):
            raise ODataError(503, "Overloaded", "no room for now; trying again is harmless", _RETRY_AFTER)
