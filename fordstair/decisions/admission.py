"""Admission policy: admits an arriving request, or rejects it at once with a reason.

The rules are applied in this order: the tenant's quota, the operator's concurrency limit on the class, this
coordinator's share of the fleet's threads (one over the number of coordinators), and the rate of expensive
requests. The quota and the rate are enforced under pressure only.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from fordstair.decisions.actions import RejectionReason
from fordstair.decisions.cost_model import CostModel
from fordstair.decisions.engine_selection import EngineSelector
from fordstair.decisions.load_estimation import PRESSURE_THRESHOLD, LoadEstimator
from fordstair.decisions.settings import Settings
from fordstair.decisions.token_bucket import TokenBucket
from fordstair.decisions.tracked_engine import TrackedEngine
from fordstair.decisions.tracked_request import TrackedAttempt, TrackedRequest

BURST_S = 1.0
MIN_TENANT_BURST_REQUESTS = 4.0
MIN_EXPENSIVE_BURST_REQUESTS = 1.0
# A request is expensive above this multiple of its class's mean cost, which falls as pressure rises.
EXPENSIVE_FACTOR_AT_ZERO_PRESSURE = 3.0
EXPENSIVE_FACTOR_AT_FULL_PRESSURE = 0.3
# Own threads in flight per core of this coordinator's share of the fleet; throughput falls above it.
THREADS_PER_CORE = 2.0
THREADS_FACTOR_AT_ZERO_PRESSURE = 1.8
HIGH_PRIORITY_THREADS_FACTOR = 1.3
COSTLY_REQUEST_THREADS_FACTOR = 0.6
# Lower bound of the thread limit, for fleets in which each coordinator's share is less than one query.
MIN_QUERIES_IN_FLIGHT = 2.0
# Retry-After as a share of the configured maximum: without pressure, and the addition at full pressure.
RETRY_AFTER_SHARE_AT_ZERO_PRESSURE = 0.25
RETRY_AFTER_SHARE_ADDED_BY_PRESSURE = 0.75


class AdmissionPolicy:
    """Decides whether an arriving request is admitted.

    Quotas are enforced on this coordinator's share of the fleet's quotas.

    Attributes:
        concurrency_limits: Operators' limits on the threads in flight, by class index.
    """

    def __init__(
        self,
        settings: Settings,
        random: Random,
        attempts: Mapping[tuple[int, int], TrackedAttempt],
        cost_model: CostModel,
        load: LoadEstimator,
        selector: EngineSelector,
    ) -> None:
        self._settings = settings
        self._random = random
        self._attempts = attempts
        self._cost_model = cost_model
        self._load = load
        self._selector = selector
        self._tenant_buckets = [TokenBucket() for _ in settings.tenants]
        self._expensive_buckets = [TokenBucket() for _ in settings.classes]
        self.concurrency_limits: dict[int, int] = {}

    def set_concurrency_limit(self, class_index: int, threads: int | None) -> None:
        """Limit the threads that a class may have in flight; None removes the limit."""
        self.concurrency_limits.pop(class_index, None)
        if threads is not None:
            self.concurrency_limits[class_index] = threads

    def rejection(self, now: float, request: TrackedRequest) -> RejectionReason | None:
        """Return the reason to reject a request that arrives now, or None to admit it."""
        engines = self._selector.eligible(request.class_index)
        capacity = self._load.capacity(now, engines)
        pressure = self._load.pressure(now, engines, capacity)
        if self._is_over_quota(now, request, pressure):
            return RejectionReason.OVER_QUOTA
        if self._is_over_concurrency_limit(request):
            return RejectionReason.OVER_CONCURRENCY_LIMIT
        if self._is_over_own_threads(request, engines, capacity, pressure):
            return RejectionReason.NO_CAPACITY
        if self._is_too_costly(now, request, capacity, pressure):
            return RejectionReason.TOO_COSTLY
        return None

    def has_capacity(self, now: float, request: TrackedRequest) -> bool:
        """Return whether an engine is eligible and the thread limits admit a request; changes no state."""
        engines = self._selector.eligible(request.class_index)
        if not engines or self._is_over_concurrency_limit(request):
            return False
        capacity = self._load.capacity(now, engines)
        pressure = self._load.pressure(now, engines, capacity)
        return not self._is_over_own_threads(request, engines, capacity, pressure)

    def pressure(self, now: float, class_index: int) -> float:
        """Return the pressure on a class, from 0 (none) to 1 (full)."""
        engines = self._selector.eligible(class_index)
        return self._load.pressure(now, engines, self._load.capacity(now, engines))

    def retry_after_ms(self, now: float, class_index: int) -> float:
        """Return the Retry-After of a rejection in ms, which grows with pressure; 0 if none is sent."""
        if not self._settings.sends_retry_after:
            return 0.0
        pressure = self.pressure(now, class_index)
        share = RETRY_AFTER_SHARE_AT_ZERO_PRESSURE + RETRY_AFTER_SHARE_ADDED_BY_PRESSURE * pressure
        return self._settings.max_retry_after_ms * share

    def _is_over_quota(self, now: float, request: TrackedRequest, pressure: float) -> bool:
        """Return whether the tenant exceeds its quota while there is pressure."""
        if not 0 <= request.tenant < len(self._tenant_buckets):
            return False
        tenant = self._settings.tenants[request.tenant]
        rate_per_s = tenant.quota_per_s / self._settings.instances
        burst = max(MIN_TENANT_BURST_REQUESTS, rate_per_s * BURST_S)
        has_token = self._tenant_buckets[request.tenant].take(now, rate_per_s, burst, self._random)
        return rate_per_s > 0.0 and pressure > PRESSURE_THRESHOLD and not has_token

    def _is_over_concurrency_limit(self, request: TrackedRequest) -> bool:
        """Return whether the request would exceed the operator's limit on threads of its class."""
        limit = self.concurrency_limits.get(request.class_index)
        if limit is None:
            return False
        in_flight = sum(
            attempt.request.spec.threads
            for attempt in self._attempts.values()
            if attempt.request.class_index == request.class_index and not attempt.query_finished
        )
        return in_flight + request.spec.threads > limit

    def _is_over_own_threads(
        self, request: TrackedRequest, engines: Sequence[TrackedEngine], capacity: float, pressure: float
    ) -> bool:
        """Return whether own threads in flight would exceed this coordinator's share of the fleet's cores."""
        cores = capacity / self._settings.instances
        limit = THREADS_PER_CORE * cores
        limit *= THREADS_FACTOR_AT_ZERO_PRESSURE - (THREADS_FACTOR_AT_ZERO_PRESSURE - 1.0) * pressure
        if self._cost_model.is_high_priority(request.class_index):
            limit *= HIGH_PRIORITY_THREADS_FACTOR
        if request.cost > self._cost_model.class_mean(request.class_index):
            limit *= COSTLY_REQUEST_THREADS_FACTOR
        limit = max(limit, MIN_QUERIES_IN_FLIGHT * request.spec.threads)
        in_flight = sum(engine.own_threads for engine in engines)
        return in_flight + request.spec.threads > limit

    def _is_too_costly(self, now: float, request: TrackedRequest, capacity: float, pressure: float) -> bool:
        """Return whether expensive requests arrive faster than the capacity allows under this pressure.

        The cost above which a request counts as expensive falls as pressure rises.
        """
        threshold = self._cost_model.class_mean(request.class_index) * EXPENSIVE_FACTOR_AT_ZERO_PRESSURE
        threshold *= (EXPENSIVE_FACTOR_AT_FULL_PRESSURE / EXPENSIVE_FACTOR_AT_ZERO_PRESSURE) ** pressure
        if request.cost <= threshold:
            return False
        statistics = self._cost_model.classes[request.class_index]
        statistics.expensive_cost.add(request.cost)
        cores = capacity / self._settings.instances
        rate_per_s = cores * 1000.0 / statistics.expensive_cost.value * (1.0 - pressure) ** 2
        burst = max(MIN_EXPENSIVE_BURST_REQUESTS, rate_per_s * BURST_S)
        bucket = self._expensive_buckets[request.class_index]
        has_token = bucket.take(now, rate_per_s, burst, self._random)
        return not has_token and pressure > PRESSURE_THRESHOLD and statistics.cost.count > 0
