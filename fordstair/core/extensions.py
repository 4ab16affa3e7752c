"""Optional parts of a coordinator, which an operator's file may enable; all are off without the file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from fordstair.core.live_request import LiveRequest


class RequestQueue(Protocol):
    """A queue in which requests wait before they are handed to the decision module."""

    async def wait(self, live: LiveRequest) -> None:
        """Wait until the request has been handed to the decision module, or is finished."""

    def remove(self, live: LiveRequest) -> bool:
        """Remove a request; return whether it was waiting here."""

    def withdraw(self, live: LiveRequest) -> bool:
        """Reject the request if it waits here, because the program ends; return whether it did."""

    def release(self) -> None:
        """Hand over the requests for which there is capacity now."""

    def request_finished(self, live: LiveRequest) -> None:
        """Settle the usage of a request whose task has ended."""

    def expected_wait(self, team: int) -> tuple[int, float]:
        """Return how many requests of a team wait, and the expected wait in ms of a new one."""


class AttemptWatch(Protocol):
    """Observes the attempts of all requests, to detect faults that no single attempt shows."""

    def engines_updated(self) -> None:
        """Handle a change of the engine list."""

    def attempt_sent(self, request_id: int) -> None:
        """Handle the start of a request's attempt."""

    def engine_responded(self, request_id: int, engine_id: str) -> None:
        """Handle any response of an engine about an attempt."""

    def connect_failed(self, engine_id: str) -> None:
        """Handle an attempt that failed because nothing at the engine's address answered."""

    def attempt_ended(self, request_id: int) -> None:
        """Handle the end of a request's attempt."""


@dataclass(slots=True)
class Extensions:
    """The optional parts of one coordinator; None for a part that is disabled."""

    admission_queue: RequestQueue | None = None
    zone_watch: AttemptWatch | None = None
