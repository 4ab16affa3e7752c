"""Forecasts the wait of a request that arrives now from the backlog and the rates of arrival and release."""

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

# Each iteration adds the work that arrives during the wait found by the one before.
FORECAST_ITERATIONS = 2
MIN_RATE_FRACTION = 0.05  # lowest assumed release rate, as a fraction of the capacity
DRAINED_FRACTION = 1.0 / 8.0  # a rejected request may return once this fraction of the backlog has drained
AT_MOST_FACTOR = 2.0  # bound on the time to drain, as a multiple of its estimate


class WaitForecast:
    """Forecasts waits from the queues, and calibrates the forecasts with observed waits."""

    def __init__(self, queues: FairQueues, quotas: Quotas) -> None:
        self.release_rate = ReleaseRate()
        self.calibration = ForecastCalibration()
        self._queues = queues
        self._quotas = quotas
        self._inflow: dict[tuple[int, int], Inflow] = {}  # by team and class
        self._raw_forecasts_ms: dict[int, float] = {}  # by waiting request

    @property
    def releases_per_ms(self) -> float:
        """Requests released per millisecond while requests wait; 0 where none does."""
        waiting = len(self._queues)
        total = self._queues.waiting_cost
        return self.release_rate.slow * waiting / total if waiting and total > 0.0 else 0.0

    def record_admission(self, request: QueuedRequest, raw_forecast_ms: float, now_ms: float) -> None:
        """Record that a request starts to wait, with its raw forecast."""
        self._raw_forecasts_ms[request.id] = raw_forecast_ms
        flow = (request.team, request.class_index)
        self._inflow.setdefault(flow, Inflow()).add(now_ms, request.cost)

    def record_release(self, request: QueuedRequest, now_ms: float) -> None:
        """Record the release of a request, and learn from its forecast and its wait."""
        raw_forecast_ms = self._raw_forecasts_ms.pop(request.id, None)
        if raw_forecast_ms is not None:
            self.calibration.learn(request.class_index, raw_forecast_ms, now_ms - request.arrived_ms)

    def discard(self, id: int) -> None:
        """Drop the forecast of a request that left the queue without a release."""
        self._raw_forecasts_ms.pop(id, None)

    def drain_estimate(self) -> WaitEstimate:
        """Return the time until an eighth of the backlog has drained, when a rejected request may return."""
        drain_ms = self._queues.waiting_cost * DRAINED_FRACTION / self._rate()
        return WaitEstimate(drain_ms, AT_MOST_FACTOR * drain_ms)

    def raw_forecast_ms(
        self,
        request: QueuedRequest,
        now_ms: float,
        thread_wait_ms: float,
        fleet_quotas: Sequence[FleetQuota] = (),
    ) -> float:
        """Return the uncalibrated forecast of the wait of a request that arrives now, in milliseconds.

        ``thread_wait_ms`` is the time until threads are free for it, if it were first in line. Competing
        flows grow while the request waits, so each iteration adds to them the work that arrives during the
        wait found so far, and computes the wait again.
        """
        if not len(self._queues):
            return _longest_wait_ms(thread_wait_ms, fleet_quotas, request.threads, 0.0, 0.0, 0.0)
        flow = self._queues.teams[request.team].classes.get(request.class_index)
        ahead = flow.cost if flow is not None else 0.0
        competitors = self._competing_teams(request.team)
        rate = self._rate()
        inflow = {key: each.at(now_ms) for key, each in self._inflow.items()}
        wait_ms = thread_wait_ms
        for _ in range(FORECAST_ITERATIONS):
            team_work = self._team_work(request, ahead, wait_ms, inflow)
            total_work = self._total_work(request.team, competitors, team_work, wait_ms, inflow)
            longest_ms = _longest_wait_ms(
                total_work / rate + thread_wait_ms,
                fleet_quotas,
                request.threads,
                ahead,
                team_work,
                total_work,
            )
            wait_ms = longest_ms - thread_wait_ms
        return wait_ms + thread_wait_ms

    def _rate(self) -> float:
        return self.release_rate.forecast_rate(self._quotas.capacity * MIN_RATE_FRACTION)

    def _competing_teams(self, team: int) -> list[int]:
        """Return a team and its competitors; teams over quota do not compete with a team within its quota."""
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
        """Return the thread-milliseconds of its own team that go before a request."""
        classes = self._queues.teams[request.team].classes
        costs = {
            class_index: flow.cost + wait_ms * inflow.get((request.team, class_index), 0.0)
            for class_index, flow in classes.items()
        }
        weights = {class_index: 1.0 for class_index in {*costs, request.class_index}}
        return fluid_work(ahead, request.class_index, costs, weights)

    def _total_work(
        self,
        team: int,
        competitors: Iterable[int],
        team_work: float,
        wait_ms: float,
        inflow: Mapping[tuple[int, int], float],
    ) -> float:
        """Return the thread-milliseconds of all teams that go before ``team_work`` of one team."""
        teams = self._queues.teams
        costs = {
            competitor: teams[competitor].cost
            + wait_ms * sum(rate for (of, _), rate in inflow.items() if of == competitor)
            for competitor in competitors
        }
        weights = {name: flow.weight for name, flow in teams.items()}
        return fluid_work(team_work, team, costs, weights)


def _longest_wait_ms(
    wait_ms: float,
    quotas: Sequence[FleetQuota],
    threads: int,
    class_work: float,
    team_work: float,
    total_work: float,
) -> float:
    """Return the longest of a wait and the waits that the fleet's quotas impose."""
    return max([wait_ms, *(quota.wait_ms(threads, class_work, team_work, total_work) for quota in quotas)])
