"""Which waiting request goes to the decision module next, and what those that wait may expect.

The order, at each release:

1. Each OLDEST_FIRST_EVERY-th release goes to the request that has waited longest, of whatever team. This
   bounds every wait: of a request with n older ones waiting when it came, at most
   OLDEST_FIRST_EVERY * (n + 1) releases go before its own, since each run of so many releases takes one of
   those n, or itself.
2. Else teams within their quota go before those that borrow; among each, by start tags (``fair_queues.py``).

Nothing is released beyond the capacity in threads, past which engines do less work, nor unless the decision
module has capacity for it: the decision module still decides on engine, retries and rejection. What cannot be
answered in time any more is given back at once.
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

OLDEST_FIRST_EVERY = 16  # releases
RUN_SLACK = 1.3  # times its work that a request is taken to run
IN_TIME_LATE_WEIGHT = 0.5  # from this late weight of its class on, a late answer is worth starting for
COST_RATIO_STEP = 0.05  # of the means of what requests take
MAX_COST_RATIO = 20.0  # taken over predicted, either way
MIN_COST = 0.01  # thread-milliseconds
MIN_COST_RATIO = 1e-9
MAX_RELEASED = 100_000
DEFAULT_MAX_WAITING = 10_000
NO_REQUEST = -1


class Capacity(Enum):
    """Whether there is capacity for a request behind the queue."""

    AVAILABLE = "available"
    CLASS_FULL = "class full"  # not for this class: others may pass
    QUOTA_FULL = "quota full"  # not for this class of this team: others may pass
    FULL = "full"


class QueueRejection(Enum):
    """Why a request does not wait; the value is shown to operators."""

    QUEUE_FULL = "the queue is full"
    EVICTED = "made room for a team within its budget"
    TOO_LATE = "it could not be reached in time"
    TOO_COSTLY = "too costly while others wait"
    ENDING = "the program ends"


@dataclass(frozen=True, slots=True)
class ArrivingRequest:
    """A request as a scheduler is told of it."""

    id: int
    team: int
    class_index: int
    threads: int
    predicted_cost: float  # by the decision module, in thread-milliseconds
    latest_start_ms: float
    fleet_quotas: tuple[FleetQuota, ...] = ()  # this coordinator's, as far as the request needs them


@dataclass(slots=True)
class ReleasedRequest:
    """A released request, until it has ended; amounts are thread-milliseconds."""

    team: int
    class_index: int
    charged: float
    predicted: float  # without the class's cost ratio
    released_ms: float
    threads: int


@dataclass(slots=True)
class Admission:
    """What came of an arrival: it waits, with an estimate; or it is rejected, with when to come back."""

    wait: WaitEstimate
    rejection: QueueRejection | None = None
    evicted: QueuedRequest | None = None  # to make room for it; to be answered now


def latest_useful_start_ms(spec: RequestClass, cost: float, now_ms: float, deadline_ms: float) -> float:
    """Return the last moment at which a start is still worth it.

    A start that comes too late for the latency objective earns the class's late weight alone, and holds up
    others that could still be in time: unless half of the weight is left then, the objective is what counts.
    """
    run_ms = RUN_SLACK * cost / spec.threads
    objective_ms = (
        now_ms + spec.latency_objective_ms + spec.latency_objective_work_factor * cost / spec.threads
    )
    late_is_worth_it = spec.late_weight >= IN_TIME_LATE_WEIGHT
    return (deadline_ms if late_is_worth_it else min(deadline_ms, objective_ms)) - run_ms


class Scheduler:
    """Orders, sheds and releases waiting requests. Callers pass the time in ms, which may go backwards.

    Args:
        quotas: parts of the capacity, by team.
        capacity: threads that the engines run at a time for this coordinator.
        max_waiting: requests.
        burst_ms: of its quota's rate that a team may save up.
        debt_ms: of its quota's rate that a team may owe.
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
        self.threads_in_flight = 0  # of what is released and has not ended
        self._cost_ratio: dict[int, float] = {}  # by class: what is taken over what was predicted
        self._mean_run_ms = 0.0  # of released requests
        self._releases_since_oldest = 0

    def admit(self, arriving: ArrivingRequest, now_ms: float) -> Admission:
        """Take a request in, or say why it need not wait."""
        request = self._queued(arriving, now_ms)
        raw_ms = self.forecast.raw_ms(request, now_ms, self._free_in_ms(request), arriving.fleet_quotas)
        wait = self.forecast.calibration.correct(request.class_index, raw_ms)
        within_quota = self.quotas.is_within_quota(request.team)
        evicted: QueuedRequest | None = None
        if len(self.queues) >= self.max_waiting:
            evicted = self._newest_beyond_quota() if within_quota else None
            if evicted is None:
                return Admission(self.wait_for_capacity(), QueueRejection.QUEUE_FULL)
        spare_ms = arriving.latest_start_ms - now_ms
        if now_ms + wait.likely_ms > arriving.latest_start_ms:
            too_late_ms = now_ms + wait.likely_ms - arriving.latest_start_ms
            return Admission(WaitEstimate(too_late_ms, wait.at_most_ms), QueueRejection.TOO_LATE)
        cost = arriving.predicted_cost
        self.shedding.record_arrival(request.class_index, cost)
        if self.shedding.should_shed(request.class_index, cost, wait.likely_ms, spare_ms, within_quota):
            return Admission(wait, QueueRejection.TOO_COSTLY)
        self.forecast.admitted(request, raw_ms, now_ms)
        if evicted is not None:
            self.remove(evicted.id)
        self.queues.push(request)
        return Admission(wait, evicted=evicted)

    def release(self, now_ms: float, capacity: Callable[[QueuedRequest], Capacity]) -> QueuedRequest | None:
        """Return the one request that is to be handed to the decision module now; None where none is.

        To be called again once the decision module was told of it, since it has taken capacity from the next.
        """
        self.quotas.earn(now_ms)
        blocked: set[tuple[int | None, int]] = set()  # by team and class, or by class for all teams
        while (request := self._next(blocked)) is not None:
            if self.threads_in_flight and (self.threads_in_flight + request.threads > self.quotas.capacity):
                return None
            behind = capacity(request)
            if behind is Capacity.FULL:
                return None
            if behind is Capacity.AVAILABLE:
                self._release(request, now_ms)
                return request
            blocked.add((None if behind is Capacity.CLASS_FULL else request.team, request.class_index))
        return None

    def remove(self, id: int) -> bool:
        """A client has left, or was answered: return whether its request was waiting."""
        self.forecast.removed(id)
        return self.queues.pop(id) is not None

    def pop_overdue(self, now_ms: float) -> list[QueuedRequest]:
        """Return those that can no longer be answered in time; they wait no more."""
        overdue = list(self.queues.pop_overdue(now_ms))
        for request in overdue:
            self.forecast.removed(request.id)
        return overdue

    def finish(self, id: int, now_ms: float, used: float | None) -> None:
        """A released request has ended; ``used``: the thread-milliseconds it took, None where unknown."""
        if (request := self.released.pop(id, None)) is None:
            return
        self.threads_in_flight -= request.threads
        run_ms = max(0.0, now_ms - request.released_ms)
        self._mean_run_ms += (run_ms - self._mean_run_ms) * COST_RATIO_STEP
        if used is None:
            used = request.charged
        self.quotas.charge(request.team, used - request.charged)  # what was underestimated is charged now
        if request.predicted > 0.0 and used > 0.0:
            self._learn_cost(request.class_index, used / request.predicted)

    def set_quotas(self, quotas: dict[int, float], now_ms: float) -> None:
        """Apply new quotas, under traffic; whatever waits goes on waiting."""
        self.quotas.set_quotas(quotas, now_ms)
        self.queues.set_weights(quotas)

    def expected_wait(self, team: int, class_index: int, threads: int, now_ms: float) -> WaitEstimate:
        """Return what a request of a team and class may expect if it comes now."""
        request = QueuedRequest(NO_REQUEST, team, class_index, 0.0, now_ms, now_ms, threads)
        raw_ms = self.forecast.raw_ms(request, now_ms, self._free_in_ms(request))
        return self.forecast.calibration.correct(class_index, raw_ms)

    @property
    def releases_per_ms(self) -> float:
        """How many requests are released in a millisecond, while something waits."""
        return self.forecast.releases_per_ms

    def wait_for_capacity(self) -> WaitEstimate:
        """Return the time until a part of the queue has drained: when to come back."""
        return self.forecast.drain_estimate()

    def _queued(self, arriving: ArrivingRequest, now_ms: float) -> QueuedRequest:
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

    def _newest_beyond_quota(self) -> QueuedRequest | None:
        """Return who is evicted from a full queue: nobody of a team within its quota."""
        return self.queues.newest_of(
            team for team in self.quotas.accounts if not self.quotas.is_within_quota(team)
        )

    def _free_in_ms(self, request: QueuedRequest) -> float:
        """Return how long it takes until threads are free for a request, were it the first to go."""
        excess = self.threads_in_flight + request.threads - self.quotas.capacity
        return max(0.0, excess) / max(1, self.threads_in_flight) * self._mean_run_ms

    def _next(self, blocked: set[tuple[int | None, int]]) -> QueuedRequest | None:
        """Return the request whose turn it is, past what has no capacity."""

        def may_go(request: QueuedRequest) -> bool:
            of_class, of_team = (None, request.class_index), (request.team, request.class_index)
            return of_class not in blocked and of_team not in blocked

        if self._oldest_is_due():
            oldest = self.queues.oldest()
            if oldest is not None and may_go(oldest):
                return oldest
        borrower: QueuedRequest | None = None
        for team in self.queues.waiting_teams():
            head = next(filter(may_go, self.queues.heads(team)), None)
            if head is not None and self.quotas.is_within_quota(team):
                return head
            borrower = borrower or head
        return borrower

    def _oldest_is_due(self) -> bool:
        return self._releases_since_oldest + 1 >= OLDEST_FIRST_EVERY

    def _release(self, request: QueuedRequest, now_ms: float) -> None:
        self._releases_since_oldest = 0 if self._oldest_is_due() else self._releases_since_oldest + 1
        self.release_count += 1
        busy = len(self.queues) > 1
        self.queues.serve(request)
        self._start(request, now_ms)
        if self.forecast.release_rate.add(now_ms, request.cost, busy):
            self.forecast.calibration.rate_shifted()

    def _start(self, request: QueuedRequest, now_ms: float) -> None:
        ratio = max(MIN_COST_RATIO, self._cost_ratio.get(request.class_index, 1.0))
        self.released[request.id] = ReleasedRequest(
            request.team, request.class_index, request.cost, request.cost / ratio, now_ms, request.threads
        )
        self.threads_in_flight += request.threads
        if len(self.released) > MAX_RELEASED:  # whoever forgets to tell an end must not fill the memory
            self.threads_in_flight -= self.released.pop(next(iter(self.released))).threads
        self.quotas.charge(request.team, request.cost)
        self.forecast.released(request, now_ms)

    def _learn_cost(self, class_index: int, ratio: float) -> None:
        seen = min(MAX_COST_RATIO, max(1.0 / MAX_COST_RATIO, ratio))
        mean = self._cost_ratio.get(class_index, 1.0)
        self._cost_ratio[class_index] = mean + (seen - mean) * COST_RATIO_STEP
