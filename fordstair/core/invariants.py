"""The invariants of the program itself, checked while it runs."""

from __future__ import annotations

from enum import Enum
from typing import Any

from fordstair.runtime.counters import Counters
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)


class Invariant(Enum):
    """One rule; its value names the counter of its violations."""

    NO_UNSAFE_RETRY = "unsafe_repeat"  # what may have run is not retried where running twice has an effect
    ONE_ATTEMPT_IN_FLIGHT = "parallel_attempt"  # no retry beside one that runs or may begin yet
    ONE_ANSWER = "second_answer"
    EVERY_ANSWER = "unanswered"  # a request ends with an answer, or because its client has gone
    NO_OPEN_CLOSED = "closed_while_open"  # only its client closes a connection with an open request


class Invariants:
    """Counts and logs violations; a count above 0 shows a fault of this program.

    The send guard prevents the first two. The others are counted after the fact.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def violated(self, rule: Invariant, **fields: Any) -> None:
        """Count a violation, and say where."""
        self._counters.add(f"violation.{rule.value}")
        log.error("invariant.violated", rule=rule.value, **fields)
