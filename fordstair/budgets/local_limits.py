"""One coordinator's allotments as limits on what it starts, and the demand that it reports; pure.

A limit of threads counts them from a request's release to its end. A limit of requests a second is a token
bucket that fills at the allotment's rate.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from fordstair.budgets.demand import Amounts, Demand
from fordstair.budgets.plan import UNITS_PER_REQUEST_PER_S, FleetLimit
from fordstair.scheduling.fleet_quotas import RateQuota, ThreadQuota

BURST_S = 1.0  # of its rate that a token bucket holds at most
DEMAND_MEMORY_MS = 3_000.0  # of what arrives, rejected or not
MIN_DEMAND = 0.05  # of a mean that is still reported: threads, or requests a second
RATE_HEADROOM_FACTOR = 1.2  # of the arrival rate that is asked for
MIN_WANTED_RATE_UNITS = 2 * UNITS_PER_REQUEST_PER_S  # asked for where anything arrives at all
INITIAL_HOLD_MS = 500.0  # asked for on behalf of a request whose class has not been seen to end
HOLD_LEARNING_FACTOR = 0.1  # of a new value, in the means of how long threads are held
STAFFING_FACTOR = 1.0  # square-root staffing (Halfin and Whitt 1981): so many roots of the mean, for bursts
DEFAULT_MOVE_MS = 1_000.0


@dataclass(slots=True)
class _DecayingMean:
    """A rate of arrivals that forgets exponentially."""

    value: float = 0.0
    _at_ms: float = 0.0

    def add(self, now_ms: float, amount: float) -> None:
        """Count an arrival."""
        self.value = self.at(now_ms) + amount / DEMAND_MEMORY_MS

    def at(self, now_ms: float) -> float:
        """Return the mean at a time."""
        self.value *= math.exp(-max(0.0, now_ms - self._at_ms) / DEMAND_MEMORY_MS)
        self._at_ms = now_ms
        return self.value


@dataclass(slots=True)
class _MeanHoldTime:
    """For how long threads are held, in ms: the exact mean of the first requests, then one that forgets."""

    value_ms: float = 0.0  # 0: no request has ended yet
    _weight: float = 0.0

    def add(self, held_ms: float, weight: float = 1.0) -> None:
        """Learn from a request that has ended; its weight is at most 1."""
        self._weight = min(self._weight + weight, 1.0 / HOLD_LEARNING_FACTOR)
        self.value_ms += (held_ms - self.value_ms) * weight / self._weight


class LocalLimit(Protocol):
    """One of the fleet's limits, as it binds this coordinator. Allotments are in the limit's units."""

    def request_waiting(self, now_ms: float, threads: int, hold_ms: float) -> None:
        """Count a request that has arrived, and will hold its threads for about that long."""

    def request_abandoned(self, threads: int) -> None:
        """Count a request that waits no more."""

    def admits(self, now_ms: float, threads: int, allotment: int) -> bool:
        """Whether a request may start now."""

    def request_started(self, now_ms: float, threads: int, allotment: int) -> None:
        """Count a request that starts."""

    def request_ended(self, threads: int, held_ms: float) -> None:
        """Count the end of a request that had started, and held its threads for so long."""

    def in_use(self) -> int:
        """Return the units in use."""

    def needed(self) -> int:
        """Return the units in use and waited for."""

    def wanted(self, now_ms: float) -> int:
        """Return the units that could be used."""

    def forecast(self, now_ms: float, allotment: int) -> ThreadQuota | RateQuota:
        """Return how the allotment binds a request that arrives now, for the forecast of its wait."""


class ThreadLimit:
    """A limit of threads at engines."""

    def __init__(self, limit: FleetLimit, move_ms: float) -> None:
        self._limit = limit
        self._move_ms = move_ms  # in which an allotment comes to where it is wanted
        self._in_use = 0
        self._waiting = 0
        self._mean_hold = _MeanHoldTime()
        self._mean_threads = _DecayingMean()  # thread-milliseconds a millisecond

    def request_waiting(self, now_ms: float, threads: int, hold_ms: float) -> None:
        """Count its threads."""
        self._mean_threads.add(now_ms, threads * hold_ms)
        self._waiting += threads

    def request_abandoned(self, threads: int) -> None:
        """Count its threads no more."""
        self._waiting = max(0, self._waiting - threads)

    def admits(self, now_ms: float, threads: int, allotment: int) -> bool:
        """Whether its threads fit into the allotment."""
        return self._in_use + threads <= allotment

    def request_started(self, now_ms: float, threads: int, allotment: int) -> None:
        """Count its threads as in use."""
        self._in_use += threads

    def request_ended(self, threads: int, held_ms: float) -> None:
        """Free its threads, and learn from how long it held them; a large request tells more."""
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

        What is in use and waits at one moment says little of the next, so this is Little's law over what
        arrived lately, rejected or not, with reserve for bursts.
        """
        mean = self._mean_threads.at(now_ms)
        wanted = mean + STAFFING_FACTOR * math.sqrt(mean * self._limit.quantum) if mean > MIN_DEMAND else 0.0
        return min(self._limit.units, max(self._in_use, math.ceil(wanted)))

    def forecast(self, now_ms: float, allotment: int) -> ThreadQuota:
        """Return the allotment with what is in use, and who competes for it.

        What is in use counts as about to end until a request has ended: a guess must reject nobody.
        """
        by_team = bool(self._limit.team)
        by_class = bool(self._limit.class_name)
        return ThreadQuota(
            allotment, self._in_use, self._mean_hold.value_ms, by_team, by_class, self._move_ms
        )


class RateLimit:
    """A limit of requests a second; the last request may take the tokens below 0 by less than one.

    So an allotment of less than one request a second is of use too.
    """

    def __init__(self, limit: FleetLimit, move_ms: float) -> None:
        self._limit = limit
        self._move_ms = move_ms  # in which an allotment comes to where it is wanted
        self._waiting = 0
        self._tokens = 0.0  # requests
        self._filled_ms = 0.0
        self._mean_rate = _DecayingMean()  # requests a second

    def request_waiting(self, now_ms: float, threads: int, hold_ms: float) -> None:
        """Count one request."""
        self._mean_rate.add(now_ms, 1_000.0)
        self._waiting += 1

    def request_abandoned(self, threads: int) -> None:
        """Count one request less."""
        self._waiting = max(0, self._waiting - 1)

    def admits(self, now_ms: float, threads: int, allotment: int) -> bool:
        """Whether any token is left."""
        return self._fill(now_ms, allotment) > 0.0

    def request_started(self, now_ms: float, threads: int, allotment: int) -> None:
        """Take a token."""
        self._fill(now_ms, allotment)
        self._tokens -= 1.0

    def request_ended(self, threads: int, held_ms: float) -> None:
        """Do nothing: a token is not given back."""

    def in_use(self) -> int:
        """Return 0: a rate is not held."""
        return 0

    def needed(self) -> int:
        """Return 0: a rate is asked for by what arrives alone."""
        return 0

    def wanted(self, now_ms: float) -> int:
        """Return the rate that could be used, in the limit's units."""
        mean = self._mean_rate.at(now_ms)
        if mean <= MIN_DEMAND:
            return 0
        wanted = int(UNITS_PER_REQUEST_PER_S * (RATE_HEADROOM_FACTOR * mean + self._waiting / BURST_S))
        return min(self._limit.units, max(MIN_WANTED_RATE_UNITS, wanted))

    def forecast(self, now_ms: float, allotment: int) -> RateQuota:
        """Return the time until one that arrives now has its token."""
        missing = max(0.0, self._waiting + 1 - self._fill(now_ms, allotment))
        if not allotment:
            return RateQuota(self._move_ms)
        return RateQuota(missing * 1_000.0 * UNITS_PER_REQUEST_PER_S / allotment)

    def _fill(self, now_ms: float, allotment: int) -> float:
        """Fill the bucket at the allotment's rate, and return its tokens."""
        rate_per_s = allotment / UNITS_PER_REQUEST_PER_S
        filled = max(0.0, now_ms - self._filled_ms) / 1_000.0 * rate_per_s
        self._filled_ms = now_ms
        self._tokens = min(rate_per_s * BURST_S, self._tokens + filled)
        return self._tokens


@dataclass(frozen=True, slots=True)
class _Started:
    """A request that holds what it has taken."""

    indexes: tuple[int, ...]
    class_index: int
    threads: int
    started_ms: float


class LocalLimits:
    """Whether a request fits into this coordinator's allotments; ``allotment`` is asked at each decision."""

    def __init__(
        self,
        limits: Sequence[FleetLimit],
        teams: Sequence[str],
        classes: Sequence[str],
        allotment: Callable[[float], Sequence[int]],
        move_ms: float = DEFAULT_MOVE_MS,
    ) -> None:
        self._mean_hold_of_class = [_MeanHoldTime() for _ in classes]
        self._allotment = allotment
        self._limits: tuple[LocalLimit, ...] = tuple(
            ThreadLimit(limit, move_ms) if limit.kind == "threads" else RateLimit(limit, move_ms)
            for limit in limits
        )
        self._started: dict[int, _Started] = {}  # by request
        self._indexes_of: dict[tuple[int, int], tuple[int, ...]] = {  # limits by team and class
            (team_index, class_index): tuple(
                index
                for index, limit in enumerate(limits)
                if limit.team in ("", team) and limit.class_name in ("", class_name)
            )
            for team_index, team in enumerate(teams)
            for class_index, class_name in enumerate(classes)
        }

    def hold_ms(self, class_index: int) -> float:
        """Return for how long a request of a class holds its threads, on average."""
        return self._mean_hold_of_class[class_index].value_ms or INITIAL_HOLD_MS

    def request_waiting(self, now_ms: float, team: int, class_index: int, threads: int) -> None:
        """Count a request that has arrived and wants to start."""
        for index in self._indexes(team, class_index):
            self._limits[index].request_waiting(now_ms, threads, self.hold_ms(class_index))

    def request_abandoned(self, team: int, class_index: int, threads: int) -> None:
        """Count a request that waits no more."""
        for index in self._indexes(team, class_index):
            self._limits[index].request_abandoned(threads)

    def admits(self, now_ms: float, team: int, class_index: int, threads: int) -> bool:
        """Whether a request may start now."""
        indexes = self._indexes(team, class_index)
        if not indexes:
            return True
        allotment = self._allotment(now_ms)
        return all(self._limits[index].admits(now_ms, threads, allotment[index]) for index in indexes)

    def request_started(self, now_ms: float, id: int, team: int, class_index: int, threads: int) -> None:
        """Count a request that starts, and has waited until now."""
        self.request_abandoned(team, class_index, threads)
        indexes = self._indexes(team, class_index)
        if not indexes:
            return
        allotment = self._allotment(now_ms)
        for index in indexes:
            self._limits[index].request_started(now_ms, threads, allotment[index])
        self._started[id] = _Started(indexes, class_index, threads, now_ms)

    def request_ended(self, now_ms: float, id: int) -> None:
        """Count the end of a request; one that never started, or has ended, is no error."""
        started = self._started.pop(id, None)
        if started is None:
            return
        held_ms = max(0.0, now_ms - started.started_ms)
        self._mean_hold_of_class[started.class_index].add(held_ms)
        for index in started.indexes:
            self._limits[index].request_ended(started.threads, held_ms)

    def in_use(self) -> Amounts:
        """Return what is in use of each limit."""
        return tuple(limit.in_use() for limit in self._limits)

    def needed(self) -> Amounts:
        """Return what is in use and waited for of each limit."""
        return tuple(limit.needed() for limit in self._limits)

    def wanted(self, now_ms: float) -> Amounts:
        """Return what could be used of each limit."""
        return tuple(limit.wanted(now_ms) for limit in self._limits)

    def demand(self, now_ms: float) -> Demand:
        """Return all three, for the next lease request."""
        return Demand(self.wanted(now_ms), self.needed(), self.in_use())

    def forecast(self, now_ms: float, team: int, class_index: int) -> tuple[ThreadQuota | RateQuota, ...]:
        """Return how the allotments bind a request that arrives now, for the forecast of its wait."""
        allotment = self._allotment(now_ms)
        return tuple(
            self._limits[index].forecast(now_ms, allotment[index])
            for index in self._indexes(team, class_index)
        )

    def _indexes(self, team: int, class_index: int) -> tuple[int, ...]:
        return self._indexes_of.get((team, class_index), ())
