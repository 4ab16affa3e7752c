"""The check that every attempt must pass right before its first byte is sent.

It keeps a load from running twice: an attempt may begin only if no earlier attempt of the request can still
run or begin, and if whatever may have run is safe to repeat. Whether an earlier attempt can still run is
decided by recorded state, not by elapsed time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from fordstair.core.invariants import Invariant
from fordstair.decisions.events import Status
from fordstair.decisions.settings import Idempotency


class Denial(Enum):
    """Why an attempt must not begin now; the value may be sent to the client."""

    REQUEST_FINISHED = "the request is over"
    ENGINE_CLOSED = "the engine takes nothing new"
    WINDOW_OVER = "the window for repeats is over"
    MAY_HAVE_RUN = "an attempt before may have run"
    ANOTHER_IN_FLIGHT = "an attempt before may run or begin yet"

    @property
    def violates(self) -> Invariant | None:
        """The invariant that the attempt would have violated; None if the denial is due to a normal race."""
        return _VIOLATED_INVARIANTS.get(self)


_VIOLATED_INVARIANTS = {
    Denial.MAY_HAVE_RUN: Invariant.NO_UNSAFE_RETRY,
    Denial.ANOTHER_IN_FLIGHT: Invariant.ONE_ATTEMPT_IN_FLIGHT,
}


@dataclass(slots=True)
class SendGuard:
    """Tracks whether any attempt of one request may have run, or may still run.

    The guard is independent of the decision module, which decides on retries; both must allow a retry.

    Attributes:
        deduplication_window_ms: how long engines discard duplicates of a request with an idempotency key.
        in_flight: whether bytes of an attempt have been sent and its end is not known.
        may_have_run: whether an ended attempt may have run.
        may_still_begin: whether an abandoned attempt may still begin or run, since nothing shows that its
            engine has cancelled it.
        first_sent_ms: time of the first send, by the monotonic clock.
    """

    idempotency: Idempotency
    deduplication_window_ms: float
    in_flight: bool = False
    may_have_run: bool = False
    may_still_begin: bool = False
    first_sent_ms: float = math.inf

    def denial(self, now_ms: float) -> Denial | None:
        """Return why an attempt must not begin now; None if it may."""
        if self.in_flight or self.may_still_begin:
            return Denial.ANOTHER_IN_FLIGHT
        if not self.may_have_run or self.idempotency is Idempotency.IDEMPOTENT:
            return None
        if self.idempotency is Idempotency.NON_IDEMPOTENT:
            return Denial.MAY_HAVE_RUN
        return Denial.WINDOW_OVER if now_ms > self.first_sent_ms + self.deduplication_window_ms else None

    @property
    def forbids_repeat(self) -> bool:
        """Whether no client may send the request again: it is a load that may have run, or may run yet."""
        may_have_run = self.may_have_run or self.in_flight
        return may_have_run and self.idempotency is Idempotency.NON_IDEMPOTENT

    def begin(self, now_ms: float) -> None:
        """Record that the first byte of an attempt is being sent now."""
        self.in_flight = True
        self.first_sent_ms = min(self.first_sent_ms, now_ms)

    def end(self, status: Status, *, may_still_run: bool) -> None:
        """Record how an attempt ended; an attempt that never began changes nothing."""
        if not self.in_flight:
            return
        self.in_flight = False
        if status.proves_not_run:
            return
        self.may_have_run = True
        self.may_still_begin = self.may_still_begin or may_still_run
