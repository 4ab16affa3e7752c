"""What an operator's file may put beside a coordinator; without it there is none."""

from __future__ import annotations

from typing import Protocol

from fordstair.core.live_request import LiveRequest


class RequestQueue(Protocol):
    """Where requests wait before the decision module hears of them."""

    async def wait(self, live: LiveRequest) -> None:
        """Wait until the module has been told of the request, or it is over."""

    def remove(self, live: LiveRequest) -> bool:
        """Take a request out; whether it waited here."""

    def withdraw(self, live: LiveRequest) -> bool:
        """The program ends: whether the request was waiting here, and is answered."""

    def request_finished(self, live: LiveRequest) -> None:
        """A request is over: what it held is settled."""

    def expected_wait(self, team: int) -> tuple[int, float]:
        """Return how many requests of a team wait, and how long a new one would."""


class AttemptWatch(Protocol):
    """Watches attempts for what none of them shows alone."""

    def engines_updated(self) -> None:
        """The list of engines has changed."""

    def attempt_sent(self, request: int) -> None:
        """An attempt goes out."""

    def engine_responded(self, request: int, engine: str) -> None:
        """An engine has said something, whatever it was."""

    def connect_failed(self, engine: str) -> None:
        """A connect to an engine never came up."""

    def attempt_ended(self, request: int) -> None:
        """An attempt is over."""
