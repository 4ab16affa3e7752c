"""The latency objective: until when an answer is worth its class's full weight."""

from __future__ import annotations

from fordstair.decisions.settings import RequestClass
from fordstair.decisions.tracked_request import TrackedRequest

# A request may take that many times its predicted work before its objective counts as missed.
PREDICTION_SLACK = 1.5


def latency_objective_ms(spec: RequestClass, work_ms: float) -> float:
    """Return the objective of a request in ms, by its work in thread-milliseconds."""
    return spec.latency_objective_ms + spec.latency_objective_work_factor * work_ms / spec.threads


def objective_end(now: float, request: TrackedRequest) -> float:
    """Return when the objective of a request that arrives now has passed, by its predicted cost."""
    spec = request.spec
    stretch_ms = spec.latency_objective_work_factor * request.cost * PREDICTION_SLACK / spec.threads
    return now + spec.latency_objective_ms + stretch_ms


def useful_until(request: TrackedRequest, objective_ends_at: float) -> float:
    """Return from when an answer is worth nothing: its deadline, or its objective where late ones earn nothing."""
    if request.spec.late_weight > 0.0:
        return request.deadline
    return min(request.deadline, objective_ends_at)
