"""The coordinator's own invariants, which are checked at run time."""

from __future__ import annotations

from enum import Enum
from typing import Any

from fordstair.runtime.counters import Counters
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)


class Invariant(Enum):
    """An invariant; its value is part of the name of the counter of its violations.

    Attributes:
        NO_UNSAFE_RETRY: a request that may have run is not retried if running it twice has an effect.
        ONE_ATTEMPT_IN_FLIGHT: no attempt begins while another of the same request runs or may still begin.
        ONE_ANSWER: a request gets at most one final answer.
        EVERY_REQUEST_ANSWERED: a request ends with an answer, or because its client has disconnected.
        NO_CLOSE_WHILE_OPEN: only the client closes a connection that has open requests.
    """

    NO_UNSAFE_RETRY = "unsafe_repeat"
    ONE_ATTEMPT_IN_FLIGHT = "parallel_attempt"
    ONE_ANSWER = "second_answer"
    EVERY_REQUEST_ANSWERED = "unanswered"
    NO_CLOSE_WHILE_OPEN = "closed_while_open"


class Invariants:
    """Counts and logs violations; a count above 0 is a bug in the coordinator.

    The send guard prevents violations of NO_UNSAFE_RETRY and ONE_ATTEMPT_IN_FLIGHT; violations of the others
    are only detected afterwards.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def record_violation(self, rule: Invariant, **fields: Any) -> None:
        """Count a violation and log it with the fields that locate it."""
        self._counters.add(f"violation.{rule.value}")
        log.error("invariant.violated", rule=rule.value, **fields)
