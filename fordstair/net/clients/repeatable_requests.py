"""Loads that carry a Repeatability-Request-ID: each runs at most once, wherever it is sent again."""

from __future__ import annotations

from collections import OrderedDict
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_messages import Response

if TYPE_CHECKING:  # loaded only where the operator's file sets it up
    from fordstair.replication.claim_coordinator import ClaimCoordinator, ClaimHandle

MAX_REMEMBERED_LOADS = 4_096
RETENTION_MS = 600_000.0
MAX_ID_BYTES = 256
_REJECTED = {"Repeatability-Result": "rejected"}
_response_decoder: msgspec.msgpack.Decoder[Response] = msgspec.msgpack.Decoder(Response)


class IdempotencyStore(Protocol):
    """What is asked before and after a load; a ticket stands for a load that may run."""

    async def begin(self, team: str, request_id: str) -> Response | Any:
        """Return the response of the first run, or a ticket to run under; raise ODataError for neither."""

    def end(self, ticket: Any, response: Response | None) -> None:
        """Store the response of a load that ran; None where it certainly never ran."""


class LocalIdempotencyStore:
    """What this program alone remembers, until it ends."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self._loads: OrderedDict[tuple[str, str], Response | None] = OrderedDict()

    async def begin(self, team: str, request_id: str) -> Response | tuple[str, str]:
        """Remember a load; return a repeated one's response, and reject it before its first run ended."""
        ticket = (team, request_id)
        if ticket in self._loads:
            response = self._loads[ticket]
            if response is None:
                raise _outcome_unknown()
            return response
        if len(self._loads) >= MAX_REMEMBERED_LOADS:
            raise ODataError(503, "TooManyRepeats", "no room to remember another load", {"Retry-After": "60"})
        self._loads[ticket] = None
        self.coordinator.deadlines.after(RETENTION_MS, partial(self._loads.pop, ticket, None))
        return ticket

    def end(self, ticket: tuple[str, str], response: Response | None) -> None:
        """Store the response, or forget a load that never ran."""
        if response is None:
            self._loads.pop(ticket, None)
        elif ticket in self._loads:
            self._loads[ticket] = response


class ReplicatedIdempotencyStore:
    """What the fleet's replicas remember: a load runs once a quorum of them has granted its claim."""

    def __init__(self, claims: ClaimCoordinator) -> None:
        self.claims = claims

    async def begin(self, team: str, request_id: str) -> Response | ClaimHandle:
        """Claim a load by its team and id."""
        if len(request_id.encode()) > MAX_ID_BYTES:
            raise ODataError(400, "BadRequest", f"a repeatability id has at most {MAX_ID_BYTES} bytes")
        result = await self.claims.begin(f"{team}|{request_id}")
        if result.claim is not None:
            return result.claim
        if result.outcome is not None:
            return decode_response(result.outcome)
        if result.verdict.name == "UNKNOWN":
            raise _outcome_unknown()
        raise ODataError(
            503,
            "NoMajority",
            "too few coordinators can vouch that this load has not run",
            {"Retry-After": "1"},
        )

    def end(self, ticket: ClaimHandle, response: Response | None) -> None:
        """Settle or release in the background: the client's response need not wait for the replicas."""
        if response is None:
            self.claims.release_in_background(ticket)
        else:
            self.claims.settle_in_background(ticket, msgspec.msgpack.encode(response))


def decode_response(outcome: bytes) -> Response:
    """Return a stored response; raise ODataError where it was too large to be stored."""
    if not outcome:
        raise ODataError(412, "Repeated", "this load has run; its answer is not kept", _REJECTED)
    return _response_decoder.decode(outcome)


def _outcome_unknown() -> ODataError:
    return ODataError(412, "Repeated", "this load was sent before and its end is not known", _REJECTED)
