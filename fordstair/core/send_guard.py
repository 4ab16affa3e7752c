"""The one guard that every attempt passes right before its first byte: by state, not by time.

It keeps a load from running twice: an attempt may begin only where nothing of the request can run or begin
elsewhere, and where what may have run already is harmless to repeat.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from fordstair.core.invariants import Invariant
from fordstair.decisions.events import Status
from fordstair.decisions.settings import Idempotency


class Denial(Enum):
    """Why no byte of an attempt may go out now."""

    REQUEST_FINISHED = "the request is over"
    ENGINE_CLOSED = "the engine takes nothing new"
    WINDOW_OVER = "the window for repeats is over"
    MAY_HAVE_RUN = "an attempt before may have run"
    ANOTHER_IN_FLIGHT = "an attempt before may run or begin yet"

    @property
    def violates(self) -> Invariant | None:
        """The rule that whoever ordered such an attempt would have broken; None where events just crossed."""
        return _VIOLATED.get(self)


_VIOLATED = {
    Denial.MAY_HAVE_RUN: Invariant.NO_UNSAFE_RETRY,
    Denial.ANOTHER_IN_FLIGHT: Invariant.ONE_ATTEMPT_IN_FLIGHT,
}


@dataclass(slots=True)
class SendGuard:
    """What may have run of one request, as its attempts were seen to begin and end.

    It is kept apart from the decision module, which decides on retries: both must allow one.
    """

    idempotency: Idempotency
    window_ms: float  # in which engines discard the duplicates of a request with a key
    in_flight: bool = False  # bytes of an attempt have been sent, and its end is not known
    may_have_run: bool = False
    may_begin_yet: bool = False  # an attempt was given up, and nothing shows that its engine knows
    first_sent_ms: float = math.inf  # of the monotonic clock

    def denial(self, now_ms: float) -> Denial | None:
        """Return why an attempt must not begin; None where it may."""
        if self.in_flight or self.may_begin_yet:
            return Denial.ANOTHER_IN_FLIGHT
        if not self.may_have_run or self.idempotency is Idempotency.IDEMPOTENT:
            return None
        if self.idempotency is Idempotency.NON_IDEMPOTENT:
            return Denial.MAY_HAVE_RUN
        return Denial.WINDOW_OVER if now_ms > self.first_sent_ms + self.window_ms else None

    def begin(self, now_ms: float) -> None:
        """Note that the first byte of an attempt goes out now."""
        self.in_flight = True
        self.first_sent_ms = min(self.first_sent_ms, now_ms)

    def end(self, status: Status, *, may_still_run: bool) -> None:
        """Note how an attempt ended; one that never began leaves all as it was."""
        if not self.in_flight:
            return
        self.in_flight = False
        if status.proves_not_run:
            return
        self.may_have_run = True
        self.may_begin_yet = self.may_begin_yet or may_still_run
