"""What an operator's file may put beside a coordinator; without it there is none."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from fordstair.core.live_request import LiveRequest


class RequestQueue(Protocol):
    """Where requests wait before the decision module is told of them."""

    async def wait(self, live: LiveRequest) -> None:
        """Wait until the decision module has been told of the request, or it is finished."""

    def remove(self, live: LiveRequest) -> bool:
        """Take a request out; return whether it waited here."""

    def withdraw(self, live: LiveRequest) -> bool:
        """The program ends: reject the request if it waits here; return whether it did."""

    def request_finished(self, live: LiveRequest) -> None:
        """A request's task has ended: settle what it used."""

    def expected_wait(self, team: int) -> tuple[int, float]:
        """Return how many requests of a team wait, and how long in ms a new one would."""


class AttemptWatch(Protocol):
    """Watches all attempts together for what none of them shows alone."""

    def engines_updated(self) -> None:
        """The engine list has changed."""

    def attempt_sent(self, request: int) -> None:
        """An attempt goes out."""

    def engine_responded(self, request: int, engine: str) -> None:
        """An engine has answered something about an attempt, whatever it was."""

    def connect_failed(self, engine: str) -> None:
        """A connect to an engine never came up."""

    def attempt_ended(self, request: int) -> None:
        """A request's attempt is over."""


@dataclass(slots=True)
class Extensions:
    """The optional parts of one coordinator; None for a part that is off."""

    admission_queue: RequestQueue | None = None
    zone_watch: AttemptWatch | None = None
