"""Records of the requests of a simulation in virtual time."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordstair.lab.billing_close import Arrival


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """The attempt of a request that is in flight at an engine."""

    engine: str
    number: int
    started_ms: float
    threads: int


@dataclass(slots=True)
class PlayedRequest:
    """Record of one simulated request.

    Attributes:
        outcome: "served", "refused" or "failed"; empty until the final answer.
        released_ms: time from arrival to release from the queue.
        answered_ms: time from arrival to the final answer.
        likely_ms: the likely wait, as estimated at admission.
        at_most_ms: the upper bound of the wait, as estimated at admission.
        thread_ms: thread-milliseconds that its attempts held at engines.
    """

    arrival: Arrival
    team: int
    class_index: int
    outcome: str = ""
    reason: str = ""
    released_ms: float = math.nan
    answered_ms: float = math.nan
    likely_ms: float = math.nan
    at_most_ms: float = math.nan
    thread_ms: float = 0.0
    attempts: int = 0
    running: RunningAttempt | None = None
    priority: int = 1


@dataclass(slots=True)
class ThreadTime:
    """Thread-milliseconds held at engines, by time span and team."""

    span_ms: float = 1_000.0
    spans: dict[int, dict[int, float]] = field(default_factory=dict)

    def add(self, team: int, start: float, end: float, threads: int) -> None:
        """Add one attempt's thread time to each span that it covers."""
        at = start
        while at < end:
            span = int(at // self.span_ms)
            until = min(end, (span + 1) * self.span_ms)
            row = self.spans.setdefault(span, {})
            row[team] = row.get(team, 0.0) + (until - at) * threads
            at = until if until > at else end
