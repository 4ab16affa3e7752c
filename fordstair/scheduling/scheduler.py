"""Decides which waiting request goes to the decision module next, and estimates waits.

The order at each release:

1. One in RELEASES_PER_OLDEST_FIRST releases goes to the request that has waited longest, of any team. This
   bounds every wait: if n older requests wait when a request arrives, at most
   RELEASES_PER_OLDEST_FIRST * (n + 1) releases go before its own, since each run of so many releases takes
   one of those n or the request itself.
2. Otherwise teams within their quota go before teams over it, each group in the order of start tags
   (``fair_queues.py``).

A request is released only within the capacity in threads, beyond which engines do less work, and only if the
decision module has capacity for it; the decision module still decides on engine, retries and rejection.
Requests that can no longer be answered in time are returned by ``pop_overdue``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from fordstair.decisions.settings import RequestClass
from fordstair.scheduling.fair_queues import FairQueues, QueuedRequest
from fordstair.scheduling.fleet_quotas import FleetQuota
from fordstair.scheduling.quotas import DEFAULT_BURST_MS, DEFAULT_DEBT_MS, Quotas
from fordstair.scheduling.shedding import CostShedding
from fordstair.scheduling.wait_estimation import WaitEstimate
from fordstair.scheduling.wait_forecast import WaitForecast

RELEASES_PER_OLDEST_FIRST = 16
RUN_TIME_SLACK_FACTOR = 1.3  # assumed run time of a request, as a multiple of its predicted one
# A request that will miss its latency objective is still started if its class's late weight is at least this.
MIN_LATE_WEIGHT_TO_START = 0.5
MEAN_LEARNING_RATE = 0.05
MAX_COST_RATIO = 20.0  # bound on actual over predicted cost, either way
MIN_COST = 0.01  # thread-milliseconds
MIN_COST_RATIO = 1e-9
MAX_RELEASED = 100_000
DEFAULT_MAX_WAITING = 10_000
NO_REQUEST_ID = -1


class Capacity(Enum):
    """Capacity behind the queue for a request, as reported by the caller of ``Scheduler.release``."""

    AVAILABLE = "available"
    CLASS_FULL = "class full"  # none for this class; other classes may pass
    QUOTA_FULL = "quota full"  # none for this class of this team; others may pass
    FULL = "full"


class QueueRejection(Enum):
    """Reason why a request was rejected or removed from the queue; the value is shown to operators."""

    QUEUE_FULL = "the queue is full"
    EVICTED = "made room for a team within its budget"
    TOO_LATE = "it could not be reached in time"
    TOO_COSTLY = "too costly while others wait"
    ENDING = "the program ends"


@dataclass(frozen=True, slots=True)
class ArrivingRequest:
    """A request that asks for admission to the queue.

    Attributes:
        predicted_cost: Thread-milliseconds as predicted by the decision module.
        latest_start_ms: A start after this time is too late for an answer in time.
        fleet_quotas: This coordinator's quotas of the fleet's budgets that apply to the request.
    """

    id: int
    team: int
    class_index: int
    threads: int
    predicted_cost: float
    latest_start_ms: float
    fleet_quotas: tuple[FleetQuota, ...] = ()


@dataclass(slots=True)
class ReleasedRequest:
    """A released request that has not ended; amounts are in thread-milliseconds.

    Attributes:
        charged: Cost charged to the team's account at release.
        predicted: Predicted cost before correction by the class's cost ratio.
    """

    team: int
    class_index: int
    charged: float
    predicted: float
    released_ms: float
    threads: int


@dataclass(slots=True)
class Admission:
    """Result of an admission.

    Attributes:
        wait: Estimated wait of an admitted request; time after which a rejected one may return.
        rejection: Reason of a rejection; None if the request was admitted.
        evicted: Request evicted to make room, which the caller must answer now.
    """

    wait: WaitEstimate
    rejection: QueueRejection | None = None
    evicted: QueuedRequest | None = None


def latest_useful_start_ms(spec: RequestClass, cost: float, now_ms: float, deadline_ms: float) -> float:
    """Return the latest time at which it is still useful to start a request.

    A request that misses its latency objective earns only the late weight of its class, and delays others
    that could still be in time. So the objective limits the start unless the late weight is at least
    ``MIN_LATE_WEIGHT_TO_START``; then only the deadline does.
    """
    run_ms = RUN_TIME_SLACK_FACTOR * cost / spec.threads
    objective_ms = (
        now_ms + spec.latency_objective_ms + spec.latency_objective_work_factor * cost / spec.threads
    )
    late_answer_is_useful = spec.late_weight >= MIN_LATE_WEIGHT_TO_START
    return (deadline_ms if late_answer_is_useful else min(deadline_ms, objective_ms)) - run_ms


class Scheduler:
    """Orders, sheds and releases waiting requests. Callers pass the time in ms, which may go backwards.

    Args:
        quotas: Fraction of the capacity, by team.
        capacity: Threads that the engines run concurrently for this coordinator.
        max_waiting: Most requests that may wait.
        burst_ms: Largest credit of a team, in milliseconds of its quota's rate.
        debt_ms: Largest debt of a team, in milliseconds of its quota's rate.
    """

    def __init__(
        self,
        quotas: dict[int, float],
        capacity: float,
        *,
        max_waiting: int = DEFAULT_MAX_WAITING,
        burst_ms: float = DEFAULT_BURST_MS,
        debt_ms: float = DEFAULT_DEBT_MS,
    ) -> None:
        self.quotas = Quotas(quotas, capacity, burst_ms, debt_ms)
        self.queues = FairQueues(quotas)
        self.forecast = WaitForecast(self.queues, self.quotas)
        self.shedding = CostShedding()
        self.max_waiting = max_waiting
        self.released: dict[int, ReleasedRequest] = {}
        self.release_count = 0
        self.threads_in_flight = 0
        self._cost_ratio: dict[int, float] = {}  # mean of actual over predicted cost, by class
        self._mean_run_ms = 0.0
        self._releases_since_oldest = 0

    def admit(self, arriving: ArrivingRequest, now_ms: float) -> Admission:
        """Queue a request, or return the reason of its rejection."""
        request = self._to_queued(arriving, now_ms)
        raw_forecast_ms = self.forecast.raw_forecast_ms(
            request, now_ms, self._thread_wait_ms(request), arriving.fleet_quotas
        )
        wait = self.forecast.calibration.correct(request.class_index, raw_forecast_ms)
        within_quota = self.quotas.is_within_quota(request.team)
        evicted: QueuedRequest | None = None
        if len(self.queues) >= self.max_waiting:
            evicted = self._eviction_candidate() if within_quota else None
            if evicted is None:
                return Admission(self.time_to_capacity(), QueueRejection.QUEUE_FULL)
        spare_ms = arriving.latest_start_ms - now_ms
        if now_ms + wait.likely_ms > arriving.latest_start_ms:
            too_late_ms = now_ms + wait.likely_ms - arriving.latest_start_ms
            return Admission(WaitEstimate(too_late_ms, wait.at_most_ms), QueueRejection.TOO_LATE)
        cost = arriving.predicted_cost
        self.shedding.record_arrival(request.class_index, cost)
        if self.shedding.should_shed(request.class_index, cost, wait.likely_ms, spare_ms, within_quota):
            return Admission(wait, QueueRejection.TOO_COSTLY)
        self.forecast.record_admission(request, raw_forecast_ms, now_ms)
        if evicted is not None:
            self.remove(evicted.id)
        self.queues.push(request)
        return Admission(wait, evicted=evicted)

    def release(self, now_ms: float, capacity: Callable[[QueuedRequest], Capacity]) -> QueuedRequest | None:
        """Release the next request to the decision module and return it; return None if none may go now.

        The caller passes the request to the decision module before it calls again, since the request takes
        capacity from the next one.
        """
        self.quotas.earn(now_ms)
        # Pairs of team and class without capacity; None stands for all teams.
        blocked: set[tuple[int | None, int]] = set()
        while (request := self._next_request(blocked)) is not None:
            if self.threads_in_flight and (self.threads_in_flight + request.threads > self.quotas.capacity):
                return None
            available = capacity(request)
            if available is Capacity.FULL:
                return None
            if available is Capacity.AVAILABLE:
                self._release(request, now_ms)
                return request
            blocked.add((None if available is Capacity.CLASS_FULL else request.team, request.class_index))
        return None

    def remove(self, id: int) -> bool:
        """Remove a request whose client has left or was answered; return True if it was waiting."""
        self.forecast.discard(id)
        return self.queues.pop(id) is not None

    def pop_overdue(self, now_ms: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer be answered in time."""
        overdue = list(self.queues.pop_overdue(now_ms))
        for request in overdue:
            self.forecast.discard(request.id)
        return overdue

    def finish(self, id: int, now_ms: float, used: float | None) -> None:
        """Record the end of a released request; an unknown id is ignored.

        ``used`` is the thread-milliseconds that it took, or None if unknown. The difference from what was
        charged at release is charged or refunded now.
        """
        if (request := self.released.pop(id, None)) is None:
            return
        self.threads_in_flight -= request.threads
        run_ms = max(0.0, now_ms - request.released_ms)
        self._mean_run_ms += (run_ms - self._mean_run_ms) * MEAN_LEARNING_RATE
        if used is None:
            used = request.charged
        self.quotas.charge(request.team, used - request.charged)
        if request.predicted > 0.0 and used > 0.0:
            self._learn_cost(request.class_index, used / request.predicted)

    def set_quotas(self, quotas: dict[int, float], now_ms: float) -> None:
        """Apply new quotas, also under traffic; waiting requests stay queued."""
        self.quotas.set_quotas(quotas, now_ms)
        self.queues.set_weights(quotas)

    def expected_wait(self, team: int, class_index: int, threads: int, now_ms: float) -> WaitEstimate:
        """Return the estimated wait of a request of a team and class that arrives now."""
        request = QueuedRequest(NO_REQUEST_ID, team, class_index, 0.0, now_ms, now_ms, threads)
        raw_forecast_ms = self.forecast.raw_forecast_ms(request, now_ms, self._thread_wait_ms(request))
        return self.forecast.calibration.correct(class_index, raw_forecast_ms)

    @property
    def releases_per_ms(self) -> float:
        """Requests released per millisecond while requests wait; 0 where none does."""
        return self.forecast.releases_per_ms

    def time_to_capacity(self) -> WaitEstimate:
        """Return the time until part of the backlog has drained, when a rejected request may return."""
        return self.forecast.drain_estimate()

    def _to_queued(self, arriving: ArrivingRequest, now_ms: float) -> QueuedRequest:
        ratio = self._cost_ratio.get(arriving.class_index, 1.0)
        return QueuedRequest(
            arriving.id,
            arriving.team,
            arriving.class_index,
            max(MIN_COST, arriving.predicted_cost * ratio),
            now_ms,
            arriving.latest_start_ms,
            arriving.threads,
        )

    def _eviction_candidate(self) -> QueuedRequest | None:
        """Return the request to evict from a full queue, never one of a team within its quota."""
        return self.queues.newest_of_largest_backlog(
            team for team in self.quotas.accounts if not self.quotas.is_within_quota(team)
        )

    def _thread_wait_ms(self, request: QueuedRequest) -> float:
        """Return the expected time until threads are free for a request, if it were first in line."""
        excess = self.threads_in_flight + request.threads - self.quotas.capacity
        return max(0.0, excess) / max(1, self.threads_in_flight) * self._mean_run_ms

    def _next_request(self, blocked: set[tuple[int | None, int]]) -> QueuedRequest | None:
        """Return the next request in order that is not blocked by missing capacity."""

        def is_eligible(request: QueuedRequest) -> bool:
            any_team, own_team = (None, request.class_index), (request.team, request.class_index)
            return any_team not in blocked and own_team not in blocked

        if self._oldest_is_due():
            oldest = self.queues.oldest()
            if oldest is not None and is_eligible(oldest):
                return oldest
        borrower: QueuedRequest | None = None
        for team in self.queues.waiting_teams():
            head = next(filter(is_eligible, self.queues.heads(team)), None)
            if head is not None and self.quotas.is_within_quota(team):
                return head
            borrower = borrower or head
        return borrower

    def _oldest_is_due(self) -> bool:
        return self._releases_since_oldest + 1 >= RELEASES_PER_OLDEST_FIRST

    def _release(self, request: QueuedRequest, now_ms: float) -> None:
        self._releases_since_oldest = 0 if self._oldest_is_due() else self._releases_since_oldest + 1
        self.release_count += 1
        busy = len(self.queues) > 1
        self.queues.serve(request)
        self._record_start(request, now_ms)
        if self.forecast.release_rate.add(now_ms, request.cost, busy):
            self.forecast.calibration.discount_errors()

    def _record_start(self, request: QueuedRequest, now_ms: float) -> None:
        ratio = max(MIN_COST_RATIO, self._cost_ratio.get(request.class_index, 1.0))
        self.released[request.id] = ReleasedRequest(
            request.team, request.class_index, request.cost, request.cost / ratio, now_ms, request.threads
        )
        self.threads_in_flight += request.threads
        # A caller that never reports the end of requests must not exhaust the memory.
        if len(self.released) > MAX_RELEASED:
            self.threads_in_flight -= self.released.pop(next(iter(self.released))).threads
        self.quotas.charge(request.team, request.cost)
        self.forecast.record_release(request, now_ms)

    def _learn_cost(self, class_index: int, ratio: float) -> None:
        bounded = min(MAX_COST_RATIO, max(1.0 / MAX_COST_RATIO, ratio))
        mean = self._cost_ratio.get(class_index, 1.0)
        self._cost_ratio[class_index] = mean + (bounded - mean) * MEAN_LEARNING_RATE
