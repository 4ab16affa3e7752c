"""Learning from the ends of attempts: costs, latencies, and the scores of engines."""

from __future__ import annotations

from fordstair.decisions.cost_model import CostModel
from fordstair.decisions.events import AttemptEnded, Status
from fordstair.decisions.latency_objective import latency_objective_ms
from fordstair.decisions.load_estimation import LoadEstimator
from fordstair.decisions.outlier_detection import OutlierDetector
from fordstair.decisions.statistics import is_usable
from fordstair.decisions.tracked_request import TrackedAttempt


class OutcomeLearner:
    """Passes the end of each attempt to the cost model, the load estimator and the outlier detector."""

    def __init__(self, cost_model: CostModel, load: LoadEstimator, outliers: OutlierDetector) -> None:
        self._cost_model = cost_model
        self._load = load
        self._outliers = outliers

    def learn(self, now: float, attempt: TrackedAttempt, event: AttemptEnded) -> None:
        """Learn from an attempt that has ended; work and latency that are not usable are ignored."""
        engine = attempt.engine
        if event.status is Status.OK and is_usable(event.work_ms) and is_usable(event.latency_ms):
            self._learn_served(now, attempt, event)
        elif attempt.cancelled or event.status in (Status.CANCELLED, Status.TIMEOUT):
            self._cost_model.learn_stopped(attempt.request, engine, now - attempt.sent_at)
        if event.status is Status.ERROR:
            attempt.request.engines_with_errors.append(engine)
        if event.status is Status.OK:
            self._outliers.record_proven_errors(attempt.request.engines_with_errors)
        self._outliers.record_status(engine, event.status)

    def _learn_served(self, now: float, attempt: TrackedAttempt, event: AttemptEnded) -> None:
        request = attempt.request
        self._cost_model.learn_served(
            request, attempt.engine, event.work_ms, event.latency_ms, event.memory_mb
        )
        self._outliers.record_served(now, attempt.engine)
        objective_ms = latency_objective_ms(request.spec, event.work_ms or request.cost)
        self._load.record_latency(now, event.latency_ms, objective_ms, request.spec.priority_weight)
