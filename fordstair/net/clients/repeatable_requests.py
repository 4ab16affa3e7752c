"""Loads with a Repeatability-Request-ID: each runs at most once, and a repeat gets the first response."""

from __future__ import annotations

from collections import OrderedDict
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_messages import Response
from fordstair.runtime.memory_budget import MemoryUse, Reservation

# Replication is imported only if the operator's file configures it.
if TYPE_CHECKING:
    from fordstair.replication.claim_coordinator import ClaimCoordinator, ClaimHandle

MAX_REMEMBERED_LOADS = 4_096
RETENTION_MS = 600_000.0
MAX_ID_BYTES = 256
# The memory of a load that is remembered, without the body of its response.
LOAD_BYTES = 1024
# Stands for a response for which there was no room.
_NOT_KEPT = Response(412)
_REPEATABILITY_REJECTED = {"Repeatability-Result": "rejected"}
_response_decoder: msgspec.msgpack.Decoder[Response] = msgspec.msgpack.Decoder(Response)


class IdempotencyStore(Protocol):
    """Decides whether a load may run, and stores its response; a ticket stands for a load that may run."""

    async def begin(self, team: str, request_id: str) -> Response | Any:
        """Return a ticket for a new load, or the first response to a repeat; raise ODataError otherwise."""

    def end(self, ticket: Any, response: Response | None) -> None:
        """Record the end of a load with its response, or with None if the load certainly did not run."""


class LocalIdempotencyStore:
    """Keeps loads in the memory of this process, as far as there is room; a restart forgets them."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        # The response to a load that has ended, or None; and the memory of each load.
        self._loads: OrderedDict[tuple[str, str], Response | None] = OrderedDict()
        self._reservations: dict[tuple[str, str], Reservation] = {}

    async def begin(self, team: str, request_id: str) -> Response | tuple[str, str]:
        """Record a new load; return the first response to a repeat, or reject it if there is none yet."""
        _check_id(request_id)
        ticket = (team, request_id)
        if ticket in self._loads:
            response = self._loads[ticket]
            if response is None:
                raise _outcome_unknown_error()
            if response is _NOT_KEPT:
                raise _response_not_kept_error()
            return response
        reservation = Reservation(self.coordinator.memory, MemoryUse.ANSWERS)
        has_room = self._try_resize(reservation, LOAD_BYTES)
        if len(self._loads) >= MAX_REMEMBERED_LOADS or not has_room:
            reservation.release()
            raise ODataError(503, "TooManyRepeats", "no room to remember another load", {"Retry-After": "60"})
        self._loads[ticket] = None
        self._reservations[ticket] = reservation
        self.coordinator.deadlines.after(RETENTION_MS, partial(self._forget, ticket))
        return ticket

    def end(self, ticket: tuple[str, str], response: Response | None) -> None:
        """Store the response, or forget a load that did not run; one without room is not kept."""
        if response is None:
            self._forget(ticket)
        elif ticket in self._loads:
            has_room = self._try_resize(self._reservations[ticket], LOAD_BYTES + len(response.body))
            self._loads[ticket] = response if has_room else _NOT_KEPT

    def _try_resize(self, reservation: Reservation, size: int) -> bool:
        """Resize a reservation if answers in progress still have room beside it."""
        guaranteed_bytes = self.coordinator.memory.guaranteed_bytes(MemoryUse.ANSWERS)
        return reservation.try_resize(size, keep_free=guaranteed_bytes)

    def _forget(self, ticket: tuple[str, str]) -> None:
        """Forget a load, unless it has been forgotten already."""
        if ticket in self._loads:
            del self._loads[ticket]
            self._reservations.pop(ticket).release()


class ReplicatedIdempotencyStore:
    """Keeps loads on the fleet's replicas; a load runs only after a quorum of them has granted its claim."""

    def __init__(self, claims: ClaimCoordinator) -> None:
        self.claims = claims

    async def begin(self, team: str, request_id: str) -> Response | ClaimHandle:
        """Claim a load by its team and id, as ``IdempotencyStore.begin`` says."""
        _check_id(request_id)
        result = await self.claims.begin(f"{team}|{request_id}")
        if result.claim is not None:
            return result.claim
        if result.outcome is not None:
            return decode_response(result.outcome)
        if result.verdict.name == "UNKNOWN":
            raise _outcome_unknown_error()
        raise ODataError(
            503,
            "NoMajority",
            "too few coordinators can vouch that this load has not run",
            {"Retry-After": "1"},
        )

    def end(self, ticket: ClaimHandle, response: Response | None) -> None:
        """Settle or release the claim in the background: the response need not wait for the replicas."""
        if response is None:
            self.claims.release_in_background(ticket)
        else:
            self.claims.settle_in_background(ticket, msgspec.msgpack.encode(response))


def decode_response(outcome: bytes) -> Response:
    """Return a stored response; raise ODataError if it was too large to be stored."""
    if not outcome:
        raise _response_not_kept_error()
    return _response_decoder.decode(outcome)


def _check_id(request_id: str) -> None:
    """Raise ODataError if a repeatability id is too long."""
    if len(request_id.encode()) > MAX_ID_BYTES:
        raise ODataError(400, "BadRequest", f"a repeatability id has at most {MAX_ID_BYTES} bytes")


def _response_not_kept_error() -> ODataError:
    return ODataError(412, "Repeated", "this load has run; its answer is not kept", _REPEATABILITY_REJECTED)


def _outcome_unknown_error() -> ODataError:
    return ODataError(
        412, "Repeated", "this load was sent before and its end is not known", _REPEATABILITY_REJECTED
    )
