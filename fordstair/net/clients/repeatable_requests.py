"""Loads with a Repeatability-Request-ID: each runs at most once, and a repeat gets the first response."""

from __future__ import annotations

from collections import OrderedDict
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_messages import Response

# Replication is imported only if the operator's file configures it.
if TYPE_CHECKING:
    from fordstair.replication.claim_coordinator import ClaimCoordinator, ClaimHandle

MAX_REMEMBERED_LOADS = 4_096
RETENTION_MS = 600_000.0
MAX_ID_BYTES = 256
_REPEATABILITY_REJECTED = {"Repeatability-Result": "rejected"}
_response_decoder: msgspec.msgpack.Decoder[Response] = msgspec.msgpack.Decoder(Response)


class IdempotencyStore(Protocol):
    """Decides whether a load may run, and stores its response; a ticket stands for a load that may run."""

    async def begin(self, team: str, request_id: str) -> Response | Any:
        """Return a ticket for a new load, or the first response to a repeat; raise ODataError otherwise."""

    def end(self, ticket: Any, response: Response | None) -> None:
        """Record the end of a load with its response, or with None if the load certainly did not run."""


class LocalIdempotencyStore:
    """Keeps loads in the memory of this process; a restart forgets them."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self._loads: OrderedDict[tuple[str, str], Response | None] = OrderedDict()

    async def begin(self, team: str, request_id: str) -> Response | tuple[str, str]:
        """Record a new load; return the first response to a repeat, or reject it if there is none yet."""
        ticket = (team, request_id)
        if ticket in self._loads:
            response = self._loads[ticket]
            if response is None:
                raise _outcome_unknown_error()
            return response
        if len(self._loads) >= MAX_REMEMBERED_LOADS:
            raise ODataError(503, "TooManyRepeats", "no room to remember another load", {"Retry-After": "60"})
        self._loads[ticket] = None
        self.coordinator.deadlines.after(RETENTION_MS, partial(self._loads.pop, ticket, None))
        return ticket

    def end(self, ticket: tuple[str, str], response: Response | None) -> None:
        """Store the response, or forget a load that did not run."""
        if response is None:
            self._loads.pop(ticket, None)
        elif ticket in self._loads:
            self._loads[ticket] = response


class ReplicatedIdempotencyStore:
    """Keeps loads on the fleet's replicas; a load runs only after a quorum of them has granted its claim."""

    def __init__(self, claims: ClaimCoordinator) -> None:
        self.claims = claims

    async def begin(self, team: str, request_id: str) -> Response | ClaimHandle:
        """Claim a load by its team and id, as ``IdempotencyStore.begin`` says."""
        if len(request_id.encode()) > MAX_ID_BYTES:
            raise ODataError(400, "BadRequest", f"a repeatability id has at most {MAX_ID_BYTES} bytes")
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
        raise ODataError(
            412, "Repeated", "this load has run; its answer is not kept", _REPEATABILITY_REJECTED
        )
    return _response_decoder.decode(outcome)


def _outcome_unknown_error() -> ODataError:
    return ODataError(
        412, "Repeated", "this load was sent before and its end is not known", _REPEATABILITY_REJECTED
    )
