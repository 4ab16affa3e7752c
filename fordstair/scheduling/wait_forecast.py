"""How long a request that comes now would wait, by what is queued, what comes in and what is released."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from fordstair.scheduling.fair_queues import FairQueues, QueuedRequest
from fordstair.scheduling.fleet_quotas import FleetQuota
from fordstair.scheduling.quotas import Quotas
from fordstair.scheduling.wait_estimation import (
    ForecastCalibration,
    Inflow,
    ReleaseRate,
    WaitEstimate,
    fluid_work,
)

FORECAST_ITERATIONS = 2  # times that a forecast takes in what will come during the wait that it found
MIN_RATE_SHARE = 0.05  # of the capacity, that is taken to be released at least
DRAINED_PART = 1.0 / 8.0  # of the queue, after which a rejected request may come back
AT_MOST_FACTOR = 2.0  # of that time


class WaitForecast:
    """Forecasts waits from the queues, and learns from how they came out."""

    def __init__(self, queues: FairQueues, quotas: Quotas) -> None:
        self.release_rate = ReleaseRate()
        self.calibration = ForecastCalibration()
        self._queues = queues
        self._quotas = quotas
        self._inflow: dict[tuple[int, int], Inflow] = {}  # by team and class
        self._raw_ms: dict[int, float] = {}  # by waiting request

    @property
    def releases_per_ms(self) -> float:
        """How many requests are released in a millisecond, while something waits."""
        waiting = len(self._queues)
        total = self._queues.waiting_cost
        return self.release_rate.slow * waiting / total if waiting and total > 0.0 else 0.0

    def admitted(self, request: QueuedRequest, raw_ms: float, now_ms: float) -> None:
        """A request waits from now on, with that raw forecast."""
        self._raw_ms[request.id] = raw_ms
        flow = (request.team, request.class_index)
        self._inflow.setdefault(flow, Inflow()).add(now_ms, request.cost)

    def released(self, request: QueuedRequest, now_ms: float) -> None:
        """A request waits no more, and teaches how its forecast compares with its wait."""
        raw_ms = self._raw_ms.pop(request.id, None)
        if raw_ms is not None:
            self.calibration.learn(request.class_index, raw_ms, now_ms - request.arrived_ms)

    def removed(self, id: int) -> None:
        """A request waits no more, and teaches nothing."""
        self._raw_ms.pop(id, None)

    def drain_estimate(self) -> WaitEstimate:
        """Return the time until an eighth of the queue has drained: when to come back."""
        drain_ms = self._queues.waiting_cost * DRAINED_PART / self._rate()
        return WaitEstimate(drain_ms, AT_MOST_FACTOR * drain_ms)

    def raw_ms(
        self,
        request: QueuedRequest,
        now_ms: float,
        free_in_ms: float,
        fleet_quotas: Sequence[FleetQuota] = (),
    ) -> float:
        """Return the raw forecast of the wait of a request that comes now, in ms.

        ``free_in_ms`` is when threads are free for it, were it the first to go. Flows that compete also grow
        while it waits: the wait is found, what comes in during it is added to the competing flows, and it is
        found again.
        """
        if not len(self._queues):
            return _longest(free_in_ms, fleet_quotas, request.threads, 0.0, 0.0, 0.0)
        flow = self._queues.teams[request.team].classes.get(request.class_index)
        ahead = flow.cost if flow is not None else 0.0
        rivals = self._rivals(request.team)
        rate = self._rate()
        inflow = {key: each.at(now_ms) for key, each in self._inflow.items()}
        wait_ms = free_in_ms
        for _ in range(FORECAST_ITERATIONS):
            team_work = self._team_work(request, ahead, wait_ms, inflow)
            all_work = self._all_work(request.team, rivals, team_work, wait_ms, inflow)
            longest_ms = _longest(
                all_work / rate + free_in_ms, fleet_quotas, request.threads, ahead, team_work, all_work
            )
            wait_ms = longest_ms - free_in_ms
        return wait_ms + free_in_ms

    def _rate(self) -> float:
        return self.release_rate.value(self._quotas.capacity * MIN_RATE_SHARE)

    def _rivals(self, team: int) -> list[int]:
        """Return the teams that compete with one: behind a team within its quota come those that borrow."""
        within_quota = self._quotas.is_within_quota(team)
        return [
            other
            for other in self._queues.teams
            if other == team or not within_quota or self._quotas.is_within_quota(other)
        ]

    def _team_work(
        self,
        request: QueuedRequest,
        ahead: float,
        wait_ms: float,
        inflow: Mapping[tuple[int, int], float],
    ) -> float:
        """Return the work of its team that goes before a request, in thread-milliseconds."""
        classes = self._queues.teams[request.team].classes
        costs = {
            class_index: flow.cost + wait_ms * inflow.get((request.team, class_index), 0.0)
            for class_index, flow in classes.items()
        }
        weights = {class_index: 1.0 for class_index in {*costs, request.class_index}}
        return fluid_work(ahead, request.class_index, costs, weights)

    def _all_work(
        self,
        team: int,
        rivals: Iterable[int],
        team_work: float,
        wait_ms: float,
        inflow: Mapping[tuple[int, int], float],
    ) -> float:
        """Return the work of all teams that goes before so much work of one."""
        teams = self._queues.teams
        costs = {
            rival: teams[rival].cost + wait_ms * sum(rate for (of, _), rate in inflow.items() if of == rival)
            for rival in rivals
        }
        weights = {name: flow.weight for name, flow in teams.items()}
        return fluid_work(team_work, team, costs, weights)


def _longest(
    wait_ms: float, quotas: Sequence[FleetQuota], threads: int, own: float, team: float, all_of: float
) -> float:
    """Return the longest of a wait and those that the fleet's quotas impose."""
    return max([wait_ms, *(quota.wait_ms(threads, own, team, all_of) for quota in quotas)])
