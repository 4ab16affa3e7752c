"""Enforces one coordinator's allotments on the requests it starts, and measures the demand it reports; pure.

A limit on threads counts them from a request's release to its end. A limit on requests per second is a token
bucket that fills at the rate of the allotment.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from fordstair.budgets.demand import Amounts, Demand
from fordstair.budgets.plan import UNITS_PER_REQUEST_PER_S, FleetLimit
from fordstair.scheduling.fleet_quotas import RateQuota, ThreadQuota

BURST_S = 1.0  # capacity of a token bucket, in seconds of its rate
DEMAND_TIME_CONSTANT_MS = 3_000.0  # time constant of the means of arrivals, which include rejected requests
MIN_DEMAND = 0.05  # smaller means are reported as 0; in threads, or in requests per second
RATE_HEADROOM_FACTOR = 1.2  # requested rate as a multiple of the arrival rate
MIN_WANTED_RATE_UNITS = 2 * UNITS_PER_REQUEST_PER_S  # least rate requested if there are any arrivals
INITIAL_HOLD_MS = 500.0  # assumed hold time of a class until one of its requests has ended
HOLD_LEARNING_RATE = 0.1  # weight of a new value in the means of the hold times
# Square-root staffing (Halfin and Whitt 1981): reserve for bursts, as a multiple of the root of the mean.
STAFFING_FACTOR = 1.0
DEFAULT_TRANSFER_MS = 1_000.0


@dataclass(slots=True)
class _DecayingMean:
    """Exponentially decaying mean of arrivals."""

    value: float = 0.0
    _updated_ms: float = 0.0

    def add(self, now_ms: float, amount: float) -> None:
        """Add an arrival."""
        self.value = self.at(now_ms) + amount / DEMAND_TIME_CONSTANT_MS

    def at(self, now_ms: float) -> float:
        """Return the mean, decayed to the given time."""
        self.value *= math.exp(-max(0.0, now_ms - self._updated_ms) / DEMAND_TIME_CONSTANT_MS)
        self._updated_ms = now_ms
        return self.value


@dataclass(slots=True)
class _MeanHoldTime:
    """Mean time for which threads are held: exact for the first requests, then exponentially decaying.

    Attributes:
        value_ms: The mean; 0 until a request has ended.
    """

    value_ms: float = 0.0
    _weight: float = 0.0

    def add(self, held_ms: float, weight: float = 1.0) -> None:
        """Add the hold time of a request that has ended; its weight is at most 1."""
        self._weight = min(self._weight + weight, 1.0 / HOLD_LEARNING_RATE)
        self.value_ms += (held_ms - self.value_ms) * weight / self._weight


class LocalLimit(Protocol):
    """One of the fleet's limits as enforced by this coordinator. Allotments are in the limit's units."""

    def request_waiting(self, now_ms: float, threads: int, hold_ms: float) -> None:
        """Count an arriving request that is expected to hold its threads for ``hold_ms``."""

    def request_abandoned(self, threads: int) -> None:
        """Count a request that no longer waits."""

    def admits(self, now_ms: float, threads: int, allotment: int) -> bool:
        """Return True if a request may start now."""

    def request_started(self, now_ms: float, threads: int, allotment: int) -> None:
        """Count a request that starts."""

    def request_ended(self, threads: int, held_ms: float) -> None:
        """Count the end of a request that held its threads for ``held_ms``."""

    def in_use(self) -> int:
        """Return the units in use."""

    def needed(self) -> int:
        """Return the units in use and waited for."""

    def wanted(self, now_ms: float) -> int:
        """Return the units that could be used."""

    def forecast(self, now_ms: float, allotment: int) -> ThreadQuota | RateQuota:
        """Return the quota that forecasts the wait of a request that arrives now."""


class ThreadLimit:
    """A limit on threads at engines."""

    def __init__(self, limit: FleetLimit, transfer_ms: float) -> None:
        self._limit = limit
        self._transfer_ms = transfer_ms
        self._in_use = 0
        self._waiting = 0
        self._mean_hold = _MeanHoldTime()
        self._mean_threads = _DecayingMean()  # thread-milliseconds per millisecond

    def request_waiting(self, now_ms: float, threads: int, hold_ms: float) -> None:
        """Count its threads as waited for."""
        self._mean_threads.add(now_ms, threads * hold_ms)
        self._waiting += threads

    def request_abandoned(self, threads: int) -> None:
        """Stop counting its threads as waited for."""
        self._waiting = max(0, self._waiting - threads)

    def admits(self, now_ms: float, threads: int, allotment: int) -> bool:
        """Return True if its threads fit into the allotment."""
        return self._in_use + threads <= allotment

    def request_started(self, now_ms: float, threads: int, allotment: int) -> None:
        """Count its threads as in use."""
        self._in_use += threads

    def request_ended(self, threads: int, held_ms: float) -> None:
        """Free its threads, and learn from their hold time, weighted by the number of threads."""
        self._in_use -= threads
        self._mean_hold.add(held_ms, min(1.0, threads / self._limit.quantum))

    def in_use(self) -> int:
        """Return the threads in use."""
        return self._in_use

    def needed(self) -> int:
        """Return the threads in use and waited for."""
        return self._in_use + self._waiting

    def wanted(self, now_ms: float) -> int:
        """Return the threads that could be used.

        Usage and backlog at one moment say little about the next, so this applies Little's law to recent
        arrivals, including rejected ones, and adds a reserve for bursts.
        """
        mean = self._mean_threads.at(now_ms)
        wanted = mean + STAFFING_FACTOR * math.sqrt(mean * self._limit.quantum) if mean > MIN_DEMAND else 0.0
        return min(self._limit.units, max(self._in_use, math.ceil(wanted)))

    def forecast(self, now_ms: float, allotment: int) -> ThreadQuota:
        """Return the allotment, its use and the requests that compete for it.

        Until a request has ended, threads in use count as about to be free: a guessed hold time must not
        cause a rejection.
        """
        by_team = bool(self._limit.team)
        by_class = bool(self._limit.class_name)
        return ThreadQuota(
            allotment, self._in_use, self._mean_hold.value_ms, by_team, by_class, self._transfer_ms
        )


class RateLimit:
    """A limit on requests per second.

    A request starts while any part of a token is left, so the balance may fall below 0 by less than one
    token. This makes an allotment of less than one request per second usable.
    """

    def __init__(self, limit: FleetLimit, transfer_ms: float) -> None:
        self._limit = limit
        self._transfer_ms = transfer_ms
        self._waiting = 0
        self._tokens = 0.0  # requests
        self._filled_ms = 0.0
        self._mean_rate = _DecayingMean()  # requests per second

    def request_waiting(self, now_ms: float, threads: int, hold_ms: float) -> None:
        """Count one waiting request."""
        self._mean_rate.add(now_ms, 1_000.0)
        self._waiting += 1

    def request_abandoned(self, threads: int) -> None:
        """Count one waiting request less."""
        self._waiting = max(0, self._waiting - 1)

    def admits(self, now_ms: float, threads: int, allotment: int) -> bool:
        """Return True if any part of a token is left."""
        return self._fill(now_ms, allotment) > 0.0

    def request_started(self, now_ms: float, threads: int, allotment: int) -> None:
        """Take a token."""
        self._fill(now_ms, allotment)
        self._tokens -= 1.0

    def request_ended(self, threads: int, held_ms: float) -> None:
        """Do nothing: a token is not returned."""

    def in_use(self) -> int:
        """Return 0: a rate is not held."""
        return 0

    def needed(self) -> int:
        """Return 0: the demand for a rate depends on arrivals only."""
        return 0

    def wanted(self, now_ms: float) -> int:
        """Return the rate that could be used, in the limit's units."""
        mean = self._mean_rate.at(now_ms)
        if mean <= MIN_DEMAND:
            return 0
        wanted = int(UNITS_PER_REQUEST_PER_S * (RATE_HEADROOM_FACTOR * mean + self._waiting / BURST_S))
        return min(self._limit.units, max(MIN_WANTED_RATE_UNITS, wanted))

    def forecast(self, now_ms: float, allotment: int) -> RateQuota:
        """Return the time until a request that arrives now has its token."""
        missing = max(0.0, self._waiting + 1 - self._fill(now_ms, allotment))
        if not allotment:
            return RateQuota(self._transfer_ms)
        return RateQuota(missing * 1_000.0 * UNITS_PER_REQUEST_PER_S / allotment)

    def _fill(self, now_ms: float, allotment: int) -> float:
        """Fill the bucket at the rate of the allotment, and return its tokens."""
        rate_per_s = allotment / UNITS_PER_REQUEST_PER_S
        filled = max(0.0, now_ms - self._filled_ms) / 1_000.0 * rate_per_s
        self._filled_ms = now_ms
        self._tokens = min(rate_per_s * BURST_S, self._tokens + filled)
        return self._tokens


@dataclass(frozen=True, slots=True)
class _StartedRequest:
    """A started request, and the indexes of the limits that it counts against."""

    indexes: tuple[int, ...]
    class_index: int
    threads: int
    started_ms: float


class LocalLimits:
    """Keeps started requests within this coordinator's allotments.

    Limits, teams and classes are addressed by their index in the sequences passed in.

    Args:
        limits: The limits of the plan.
        teams: Names of the teams.
        classes: Names of the classes.
        allotment: Returns the units that may be used at a time; called for each decision.
        transfer_ms: Time until an allotment has moved to the coordinator that needs it.
    """

    def __init__(
        self,
        limits: Sequence[FleetLimit],
        teams: Sequence[str],
        classes: Sequence[str],
        allotment: Callable[[float], Sequence[int]],
        transfer_ms: float = DEFAULT_TRANSFER_MS,
    ) -> None:
        self._mean_hold_of_class = [_MeanHoldTime() for _ in classes]
        self._allotment = allotment
        self._limits: tuple[LocalLimit, ...] = tuple(
            ThreadLimit(limit, transfer_ms) if limit.kind == "threads" else RateLimit(limit, transfer_ms)
            for limit in limits
        )
        self._started: dict[int, _StartedRequest] = {}  # by request id
        # Indexes of the limits that apply to a team and class.
        self._indexes_of: dict[tuple[int, int], tuple[int, ...]] = {
            (team_index, class_index): tuple(
                index
                for index, limit in enumerate(limits)
                if limit.team in ("", team) and limit.class_name in ("", class_name)
            )
            for team_index, team in enumerate(teams)
            for class_index, class_name in enumerate(classes)
        }

    def hold_ms(self, class_index: int) -> float:
        """Return the mean hold time of a class, or INITIAL_HOLD_MS until one of its requests has ended."""
        return self._mean_hold_of_class[class_index].value_ms or INITIAL_HOLD_MS

    def request_waiting(self, now_ms: float, team: int, class_index: int, threads: int) -> None:
        """Count an arriving request, which waits until it starts or is abandoned."""
        for index in self._indexes(team, class_index):
            self._limits[index].request_waiting(now_ms, threads, self.hold_ms(class_index))

    def request_abandoned(self, team: int, class_index: int, threads: int) -> None:
        """Count a request that no longer waits."""
        for index in self._indexes(team, class_index):
            self._limits[index].request_abandoned(threads)

    def admits(self, now_ms: float, team: int, class_index: int, threads: int) -> bool:
        """Return True if a request may start now within every limit that applies to it."""
        indexes = self._indexes(team, class_index)
        if not indexes:
            return True
        allotment = self._allotment(now_ms)
        return all(self._limits[index].admits(now_ms, threads, allotment[index]) for index in indexes)

    def request_started(self, now_ms: float, id: int, team: int, class_index: int, threads: int) -> None:
        """Count a waiting request that starts."""
        self.request_abandoned(team, class_index, threads)
        indexes = self._indexes(team, class_index)
        if not indexes:
            return
        allotment = self._allotment(now_ms)
        for index in indexes:
            self._limits[index].request_started(now_ms, threads, allotment[index])
        self._started[id] = _StartedRequest(indexes, class_index, threads, now_ms)

    def request_ended(self, now_ms: float, id: int) -> None:
        """Count the end of a request; ignore a request that never started or has already ended."""
        started = self._started.pop(id, None)
        if started is None:
            return
        held_ms = max(0.0, now_ms - started.started_ms)
        self._mean_hold_of_class[started.class_index].add(held_ms)
        for index in started.indexes:
            self._limits[index].request_ended(started.threads, held_ms)

    def in_use(self) -> Amounts:
        """Return the units in use of each limit."""
        return tuple(limit.in_use() for limit in self._limits)

    def needed(self) -> Amounts:
        """Return the units in use and waited for of each limit."""
        return tuple(limit.needed() for limit in self._limits)

    def wanted(self, now_ms: float) -> Amounts:
        """Return the units that could be used of each limit."""
        return tuple(limit.wanted(now_ms) for limit in self._limits)

    def demand(self, now_ms: float) -> Demand:
        """Return the demand to report with the next lease request."""
        return Demand(self.wanted(now_ms), self.needed(), self.in_use())

    def forecast(self, now_ms: float, team: int, class_index: int) -> tuple[ThreadQuota | RateQuota, ...]:
        """Return the quotas that forecast the wait of a request that arrives now."""
        allotment = self._allotment(now_ms)
        return tuple(
            self._limits[index].forecast(now_ms, allotment[index])
            for index in self._indexes(team, class_index)
        )

    def _indexes(self, team: int, class_index: int) -> tuple[int, ...]:
        return self._indexes_of.get((team, class_index), ())
