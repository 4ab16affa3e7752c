"""One coordinator's share of the fleet's budgets as limits on what goes out, and what it could use; pure.

Threads are counted from a request's release to its end. Requests a second are a bucket that fills at the
share's rate and holds at most BURST_S of it; the last request may take it below zero by less than one, so
that a share of less than one request a second is worth something too.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fordstair.budgets.whole import MILLI, Whole
from fordstair.scheduling.fleet_quotas import RateQuota, ThreadQuota

BURST_S = 1.0
DEMAND_MS = 3_000.0  # memory of what comes, turned away or not
DEMAND_OVER = 1.2  # times that rate is asked for
WANT_LEAST = 2 * MILLI  # of a rate, asked for where anything comes at all
HOLD_MS = 500.0  # that a request is taken to hold its threads until that is known
HOLD_STEP = 0.1  # of the means of that
SPARE = 1.0  # square-root staffing (Halfin and Whitt 1981): so many times the root of the mean, for bursts


@dataclass(slots=True)
class Bucket:
    """What one budget has out or to spend."""

    threads: int = 0  # out now
    waiting: int = 0  # threads or requests that wait for it
    hold_ms: float = HOLD_MS  # how long a thread of it is held, on average
    tokens: float = 0.0  # requests, for rates
    at_ms: float = 0.0
    rate: float = 0.0  # of requests a second, or of thread-seconds a second: a mean that forgets
    rate_ms: float = 0.0


@dataclass(slots=True)
class Held:
    """A request that is out."""

    indexes: tuple[int, ...]
    class_index: int
    threads: int
    since_ms: float


class Caps:
    """Whether a request fits into this coordinator's shares; ``shares`` is asked at each look."""

    def __init__(
        self,
        wholes: Sequence[Whole],
        teams: Sequence[str],
        classes: Sequence[str],
        shares: Callable[[float], Sequence[int]],
        moves_ms: float = 1_000.0,
    ) -> None:
        self.wholes, self.shares, self.moves_ms = tuple(wholes), shares, moves_ms
        self.holds_ms = [HOLD_MS] * len(classes)  # how long a request holds its threads, on average, by class
        self.buckets = [Bucket() for _ in wholes]
        self._held: dict[int, Held] = {}  # by request
        self._of: dict[tuple[int, int], tuple[int, ...]] = {
            (team, class_index): tuple(
                index
                for index, whole in enumerate(wholes)
                if whole.team in ("", of_team) and whole.class_name in ("", of_class)
            )
            for team, of_team in enumerate(teams)
            for class_index, of_class in enumerate(classes)
        }

    def arrives(self, now: float, team: int, class_index: int, threads: int) -> None:
        """Note a request that will want its turn."""
        for index in self._of.get((team, class_index), ()):
            bucket, held_ms = self.buckets[index], threads * self.holds_ms[class_index]
            self._fade(bucket, now)
            if self.wholes[index].kind == "threads":
                bucket.rate += held_ms / DEMAND_MS
                bucket.waiting += threads
            else:
                bucket.rate += 1_000.0 / DEMAND_MS
                bucket.waiting += 1

    def gives_up(self, team: int, class_index: int, threads: int) -> None:
        """Note that one waits no more."""
        for index in self._of.get((team, class_index), ()):
            bucket = self.buckets[index]
            if self.wholes[index].kind == "threads":
                bucket.waiting = max(0, bucket.waiting - threads)
            else:
                bucket.waiting = max(0, bucket.waiting - 1)

    def fits(self, now: float, team: int, class_index: int, threads: int) -> bool:
        """Whether one may go now."""
        indexes = self._of.get((team, class_index), ())
        if not indexes:
            return True
        shares = self.shares(now)
        for index in indexes:
            bucket = self.buckets[index]
            if self.wholes[index].kind == "threads":
                if bucket.threads + threads > shares[index]:
                    return False
            elif self._earn(bucket, now, shares[index]) <= 0.0:
                return False
        return True

    def starts(self, now: float, id: int, team: int, class_index: int, threads: int) -> None:
        """Note that one goes; it has waited until now."""
        indexes, shares = self._of.get((team, class_index), ()), self.shares(now)
        self.gives_up(team, class_index, threads)
        for index in indexes:
            bucket = self.buckets[index]
            if self.wholes[index].kind == "threads":
                bucket.threads += threads
            else:
                self._earn(bucket, now, shares[index])
                bucket.tokens -= 1.0
        if indexes:
            self._held[id] = Held(indexes, class_index, threads, now)

    def ends(self, now: float, id: int) -> None:
        """Note that one holds nothing any more."""
        if (held := self._held.pop(id, None)) is None:
            return
        took_ms = max(0.0, now - held.since_ms)
        self.holds_ms[held.class_index] += (took_ms - self.holds_ms[held.class_index]) * HOLD_STEP
        for index in held.indexes:
            if self.wholes[index].kind == "threads":
                bucket, part = self.buckets[index], held.threads / self.wholes[index].quantum
                bucket.threads -= held.threads
                bucket.hold_ms += (took_ms - bucket.hold_ms) * min(1.0, part) * HOLD_STEP

    def needs(self) -> tuple[int, ...]:
        """Return the threads that are out and waited for; a rate is asked for by what comes alone."""
        return tuple(
            bucket.threads + bucket.waiting if whole.kind == "threads" else 0
            for whole, bucket in zip(self.wholes, self.buckets, strict=True)
        )

    def uses(self) -> tuple[int, ...]:
        """Return the threads that are out; what a rate lets out is not held."""
        return tuple(bucket.threads for bucket in self.buckets)

    def wants(self, now: float) -> tuple[int, ...]:
        """Return what could be used of each budget.

        What is out and waits at one moment says little of the next; so threads are asked for by Little's law
        over what came lately, turned away or not, each with the time that its class holds its threads.
        """
        told = list[int]()
        for whole, bucket in zip(self.wholes, self.buckets, strict=True):
            self._fade(bucket, now)
            if whole.kind == "threads":
                mean = bucket.rate
                wanted = mean + SPARE * math.sqrt(mean * whole.quantum) if mean > 0.05 else 0.0
                told.append(min(whole.units, max(bucket.threads, math.ceil(wanted))))
                continue
            rate = int(MILLI * (DEMAND_OVER * bucket.rate + bucket.waiting / BURST_S))
            told.append(min(whole.units, max(WANT_LEAST, rate) if bucket.rate > 0.05 else 0))
        return tuple(told)

    def binding(self, now: float, team: int, class_index: int) -> tuple[ThreadQuota | RateQuota, ...]:
        """Return the shares that one which comes now needs, for the forecast of its wait."""
        told, shares = list[ThreadQuota | RateQuota](), self.shares(now)
        for index in self._of.get((team, class_index), ()):
            bucket, share, whole = self.buckets[index], shares[index], self.wholes[index]
            if whole.kind == "threads":
                told.append(
                    ThreadQuota(
                        share,
                        bucket.threads,
                        bucket.hold_ms,
                        bool(whole.team),
                        bool(whole.class_name),
                        self.moves_ms,
                    )
                )
                continue
            short = bucket.waiting + 1 - self._earn(bucket, now, share)
            told.append(RateQuota(max(0.0, short) * 1_000.0 * MILLI / share if share else self.moves_ms))
        return tuple(told)

    def _earn(self, bucket: Bucket, now: float, share: int) -> float:
        rate = share / MILLI
        earned = max(0.0, now - bucket.at_ms) / 1_000.0 * rate
        bucket.at_ms = now
        bucket.tokens = min(rate * BURST_S, bucket.tokens + earned)
        return bucket.tokens

    def _fade(self, bucket: Bucket, now: float) -> None:
        bucket.rate *= math.exp(-max(0.0, now - bucket.rate_ms) / DEMAND_MS)
        bucket.rate_ms = now
