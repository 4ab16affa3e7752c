"""What became of the requests of a play in virtual time."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordstair.lab.billing_close import Arrival


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """The attempt that a request has at an engine."""

    engine: str
    number: int
    since_ms: float
    threads: int


@dataclass(slots=True)
class PlayedRequest:
    """What became of one request of a play; times in milliseconds."""

    arrival: Arrival
    team: int
    class_index: int
    how: str = ""  # served, refused, failed
    reason: str = ""
    released_ms: float = math.nan  # from arrival to release
    answered_ms: float = math.nan  # from arrival to answer
    likely_ms: float = math.nan  # the estimate at admission
    at_most_ms: float = math.nan
    thread_ms: float = 0.0  # held at engines
    attempts: int = 0
    running: RunningAttempt | None = None
    priority: int = 1


@dataclass(slots=True)
class ThreadTime:
    """Thread-milliseconds held at engines, by team, in spans of time."""

    span_ms: float = 1_000.0
    spans: dict[int, dict[int, float]] = field(default_factory=dict)

    def add(self, team: int, start: float, end: float, threads: int) -> None:
        """Spread one attempt over the spans that it fell into."""
        at = start
        while at < end:
            span = int(at // self.span_ms)
            until = min(end, (span + 1) * self.span_ms)
            row = self.spans.setdefault(span, {})
            row[team] = row.get(team, 0.0) + (until - at) * threads
            at = until if until > at else end
