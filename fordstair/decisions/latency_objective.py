"""The latency objective: until when an answer is worth its class's full weight."""

from __future__ import annotations

from fordstair.decisions.load_estimation import PRESSURE_THRESHOLD
from fordstair.decisions.settings import RequestClass
from fordstair.decisions.tracked_request import TrackedRequest

# A request may take this many times its predicted work before its objective counts as missed.
PREDICTION_SLACK = 1.5
# Interval between checks whether a late answer is still accepted.
LATE_CHECK_INTERVAL_MS = 250.0


def latency_objective_ms(spec: RequestClass, work_ms: float) -> float:
    """Return the latency objective of a request in ms, given its work in thread-milliseconds."""
    return spec.latency_objective_ms + spec.latency_objective_work_factor * work_ms / spec.threads


def objective_end(now: float, request: TrackedRequest) -> float:
    """Return when the latency objective of a request that arrives now ends, given its predicted cost."""
    spec = request.spec
    stretch_ms = spec.latency_objective_work_factor * request.cost * PREDICTION_SLACK / spec.threads
    return now + spec.latency_objective_ms + stretch_ms


def useful_until(request: TrackedRequest, objective_ends_at: float) -> float:
    """Return the time from which an answer is worth nothing.

    That is the deadline, or the end of the objective if it is earlier and the class gives late answers no
    weight.
    """
    if request.spec.late_weight > 0.0:
        return request.deadline
    return min(request.deadline, objective_ends_at)


def accepts_late_answer(now: float, request: TrackedRequest, pressure: float) -> bool:
    """Return whether to wait for an answer after the objective; asked at its end and at later checks.

    Late answers are accepted while they have any weight, but not under pressure, where the capacity that they
    occupy prolongs the overload.
    """
    return now < request.useful_until and pressure <= PRESSURE_THRESHOLD
