"""One request from its arrival to its final answer, and one attempt of it that is in flight."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fordstair.decisions.engine_list import EngineEntry, EngineId
from fordstair.decisions.events import RequestArrived
from fordstair.decisions.settings import RequestClass
from fordstair.decisions.statistics import is_usable
from fordstair.decisions.tracked_engine import TrackedEngine


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """One request's state; times are ms of the events' clock, costs thread-milliseconds."""

    id: int
    class_index: int
    spec: RequestClass
    tenant: int
    table_group: float
    ordering_key: int
    cost_estimate: float  # as the client stated it; 0 if it did not
    memory_estimate_mb: float  # as the client stated it; 0 if it did not
    cost: float = 0.0  # as predicted here
    deadline: float = 0.0  # last moment for the final answer
    useful_until: float = 0.0  # from then on an answer is worth nothing
    attempts_sent: int = 0
    finished: bool = False
    current_attempt: TrackedAttempt | None = None
    may_have_run_since: float | None = None  # send of the first ended attempt that may have run
    may_have_run_on: EngineEntry | None = None
    last_engine: EngineId | None = None
    engines_with_errors: list[TrackedEngine] = field(default_factory=list)
    health_checks_considered: bool = False  # before its next attempt, even if none was needed
    awaits_health_checks: bool = False

    @classmethod
    def from_event(cls, event: RequestArrived, spec: RequestClass) -> TrackedRequest:
        """Return the request as it arrived; odd estimates count as none."""
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
    def binding_ordering_key(self) -> int:
        """The key whose order binds this request; 0 where none does."""
        return self.ordering_key if self.spec.ordered_by_key else 0


@dataclass(slots=True, eq=False)
class TrackedAttempt:
    """One attempt that is in flight."""

    request: TrackedRequest
    number: int
    engine: TrackedEngine
    sent_at: float
    expected_latency_ms: float
    cancelled: bool = False
