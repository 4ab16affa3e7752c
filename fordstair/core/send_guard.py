"""The one guard that every attempt passes right before its first byte: by state, not by time."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from fordstair.core.invariants import Invariant
from fordstair.decisions.events import Status
from fordstair.decisions.settings import Idempotency


class Denial(Enum):
    """Why no byte of an attempt may go out now."""

    REQUEST_OVER = "the request is over"
    ENGINE_CLOSED = "the engine takes nothing new"
    WINDOW_OVER = "the window for repeats is over"
    MAY_HAVE_RUN = "an attempt before may have run"
    ANOTHER_OUT = "an attempt before may run or begin yet"

    @property
    def violates(self) -> Invariant | None:
        """The rule that whoever ordered such an attempt would have broken; None where events just crossed."""
        return _VIOLATED.get(self)


_VIOLATED = {Denial.MAY_HAVE_RUN: Invariant.NO_UNSAFE_REPEAT, Denial.ANOTHER_OUT: Invariant.ONE_ATTEMPT_OUT}


@dataclass(slots=True)
class SendGuard:
    """What may have run of one request, as its attempts were seen to begin and end.

    It is kept apart from the decision module, which decides on further attempts: both must allow one.
    """

    idempotency: Idempotency
    window_ms: float  # in which engines discard the duplicates of a keyed request
    out: bool = False  # bytes of an attempt have gone, and its end is not known
    may_have_run: bool = False
    may_begin_yet: bool = False  # an attempt was given up, and nothing shows that its engine knows
    first_sent_ms: float = math.inf

    def denial(self, now_ms: float) -> Denial | None:
        """Return why an attempt must not begin; None where it may."""
        if self.out or self.may_begin_yet:
            return Denial.ANOTHER_OUT
        if self.idempotency is Idempotency.NON_IDEMPOTENT and self.may_have_run:
            return Denial.MAY_HAVE_RUN
        if (
            self.idempotency is Idempotency.WITH_KEY
            and self.may_have_run
            and now_ms > self.first_sent_ms + self.window_ms
        ):
            return Denial.WINDOW_OVER
        return None

    def begin(self, now_ms: float) -> None:
        """Note that the first byte of an attempt goes out now."""
        self.out = True
        self.first_sent_ms = min(self.first_sent_ms, now_ms)

    def end(self, status: Status, *, may_still_run: bool) -> None:
        """Note how an attempt ended; one that never began leaves all as it was."""
        if not self.out:
            return
        self.out = False
        if status.proves_not_run:
            return
        self.may_have_run = True
        self.may_begin_yet = self.may_begin_yet or may_still_run
