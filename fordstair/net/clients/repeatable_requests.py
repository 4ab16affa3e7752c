"""Loads that carry a Repeatability-Request-ID: each runs at most once, whatever is sent again, and where."""

from __future__ import annotations

from collections import OrderedDict
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_messages import Response

if TYPE_CHECKING:  # loaded only where the operator's file sets it up
    from fordstair.replication.service import Begun, Service

REPEATS_MOST, REPEAT_MS = 4_096, 600_000.0
LARGEST_NAME = 256
_responses: msgspec.msgpack.Decoder[Response] = msgspec.msgpack.Decoder(Response)
_REJECTED = {"Repeatability-Result": "rejected"}


class Repeats(Protocol):
    """What the front asks before and after a load."""

    async def begin(self, team: str, name: str) -> Response | Any:
        """Return the answer of the first run, or a ticket to run under; raise ODataError where neither is."""

    def end(self, ticket: Any, response: Response | None) -> None:
        """Note the answer of a load that ran; None where it certainly never ran."""


def _unknown() -> ODataError:
    return ODataError(412, "Repeated", "this load was sent before and its end is not known", _REJECTED)


class OwnRepeats:
    """What this program alone remembers, until it ends."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self._known: OrderedDict[tuple[str, str], Response | None] = OrderedDict()

    async def begin(self, team: str, name: str) -> Response | tuple[str, str]:
        """Note a load; return its answer if it is a repeat, and refuse one whose first run is not over."""
        if (team, name) in self._known:
            if (known := self._known[team, name]) is not None:
                return known
            raise _unknown()
        if len(self._known) >= REPEATS_MOST:
            raise ODataError(503, "TooManyRepeats", "no room to remember another load", {"Retry-After": "60"})
        self._known[team, name] = None
        deadlines = self.coordinator.deadlines
        deadlines.after(REPEAT_MS, partial(self._known.pop, (team, name), None))
        return team, name

    def end(self, ticket: tuple[str, str], response: Response | None) -> None:
        """Note how it ended."""
        if response is None:
            self._known.pop(ticket, None)
        elif ticket in self._known:
            self._known[ticket] = response


class SharedRepeats:
    """What the fleet's ledger remembers: a load runs once a majority of its holders has granted it."""

    def __init__(self, ledger: Service) -> None:
        self.ledger = ledger

    async def begin(self, team: str, name: str) -> Response | Begun:
        """Claim a load."""
        if len(name.encode()) > LARGEST_NAME:
            raise ODataError(400, "BadRequest", f"a repeatability id has at most {LARGEST_NAME} bytes")
        verdict, begun, outcome = await self.ledger.begin(f"{team}|{name}")
        if begun is not None:
            return begun
        if outcome is not None:
            return read_response(outcome)
        if verdict.name == "UNKNOWN":
            raise _unknown()
        raise ODataError(
            503,
            "NoMajority",
            "too few coordinators can vouch that this load has not run",
            {"Retry-After": "1"},
        )

    def end(self, ticket: Begun, response: Response | None) -> None:
        """Tell the holders in the background: the client's answer need not wait for them."""
        if response is None:
            self.ledger.release_later(ticket)
        else:
            self.ledger.settle_later(ticket, msgspec.msgpack.encode(response))


def read_response(outcome: bytes) -> Response:
    """Return the answer that was kept; raise ODataError where it was too large to keep."""
    if not outcome:
        raise ODataError(412, "Repeated", "this load has run; its answer is not kept", _REJECTED)
    return _responses.decode(outcome)
