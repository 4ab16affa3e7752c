"""State of one request from its arrival to its final answer, and of one of its attempts in flight."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordstair.decisions.engine_list import EngineEntry, EngineId
from fordstair.decisions.events import RequestArrived, Status
from fordstair.decisions.settings import RequestClass
from fordstair.decisions.statistics import is_usable
from fordstair.decisions.tracked_engine import TrackedEngine


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """One request's state; times are milliseconds of the events' clock, costs are thread-milliseconds.

    Attributes:
        cost_estimate: The client's estimate; 0 if it gave none.
        memory_estimate_mb: The client's estimate; 0 if it gave none.
        cost: The predicted cost.
        deadline: Latest time for the final answer.
        useful_until: Time from which an answer is worth nothing.
        may_have_run_since: Send time of the first ended attempt that may have run.
        may_have_run_on: Engine of that attempt.
        last_engine: Engine of the latest attempt.
        health_checks_considered: Health checks were considered for the next attempt, even if none was needed.
    """

    id: int
    class_index: int
    spec: RequestClass
    tenant: int
    table_group: float
    ordering_key: int
    cost_estimate: float
    memory_estimate_mb: float
    cost: float = 0.0
    deadline: float = 0.0
    useful_until: float = 0.0
    attempts_sent: int = 0
    finished: bool = False
    current_attempt: TrackedAttempt | None = None
    may_have_run_since: float | None = None
    may_have_run_on: EngineEntry | None = None
    last_engine: EngineId | None = None
    engines_with_errors: list[TrackedEngine] = field(default_factory=list)
    health_checks_considered: bool = False
    awaits_health_checks: bool = False

    @classmethod
    def from_event(cls, event: RequestArrived, spec: RequestClass) -> TrackedRequest:
        """Return the request as it arrived; estimates that are negative or not finite count as not given."""
        return cls(
            id=event.request,
            class_index=event.class_index,
            spec=spec,
            tenant=event.tenant,
            table_group=event.table_group if math.isfinite(event.table_group) else 0.0,
            ordering_key=event.ordering_key,
            cost_estimate=event.cost_ms if is_usable(event.cost_ms) else 0.0,
            memory_estimate_mb=event.memory_mb if is_usable(event.memory_mb) else 0.0,
        )

    @property
    def effective_ordering_key(self) -> int:
        """The ordering key if the request's class is ordered by key, else 0."""
        return self.ordering_key if self.spec.ordered_by_key else 0


@dataclass(slots=True, eq=False)
class TrackedAttempt:
    """One attempt that is in flight.

    Attributes:
        query_finished: The engine has finished the query, and no longer uses threads for it.
    """

    request: TrackedRequest
    number: int
    engine: TrackedEngine
    sent_at: float
    expected_latency_ms: float
    cancelled: bool = False
    query_finished: bool = False

    def free_threads(self, now: float) -> None:
        """Count the attempt's threads as free, once: its query has finished, or the attempt has ended."""
        if not self.query_finished:
            self.query_finished = True
            self.engine.remove_attempt(now, self.request.spec, self.request.table_group)

    def record_end(self, status: Status) -> None:
        """Record at the request that the attempt has ended, and whether it may have run."""
        request = self.request
        if not status.proves_not_run and request.may_have_run_since is None:
            request.may_have_run_since = self.sent_at
            request.may_have_run_on = self.engine.entry
        if request.current_attempt is self:
            request.current_attempt = None
