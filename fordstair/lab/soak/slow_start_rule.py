"""Rule: a cold engine is not overloaded, judged by the work from all coordinators in sliding windows."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from fordstair.lab.engine import statement_work_ms
from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.records import AttemptRecord, ColdStart, SoakRecord

RULE = "slow start"
# An overload is a violation only if more than this share of it came from coordinators that were notified.
NOTIFIED_SHARE = 2.0 / 3.0
SMALL_BUDGET_REQUESTS = 30.0  # below this the slack for random variation is larger
NOT_ANNOUNCED = "not announced"


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """The settings for the slow start of an engine.

    Attributes:
        initial_capacity_share: The share of its capacity that an engine has at its start.
        overload_factor: The multiple of its present capacity that overloads an engine.
        mean_work_s: The mean work of a request.
    """

    cores: float
    initial_capacity_share: float
    warm_up_s: float
    overload_factor: float
    window_s: float
    mean_work_s: float

    def max_requests(self, age_s: float) -> float:
        """Return how many requests of mean work may begin in a window that starts at that engine age."""
        capacity_share = min(
            1.0, self.initial_capacity_share + (1.0 - self.initial_capacity_share) * age_s / self.warm_up_s
        )
        work_s = self.overload_factor * self.cores * capacity_share * self.window_s
        mean_requests = work_s / self.mean_work_s
        slack = (
            3.0 * math.sqrt(mean_requests) + 3.0
            if mean_requests < SMALL_BUDGET_REQUESTS
            else 2.0 * math.sqrt(mean_requests) + 2.0
        )
        return mean_requests + slack


def judge_slow_starts(record: SoakRecord, settings: SlowStartSettings, judgement: Judgement) -> None:
    """Judge each cold start that discovery has announced."""
    coordinators = {request.txn: request.coordinator for request in record.requests}
    for start in record.cold_starts:
        if not start.announced:
            judgement.count_excused(RULE, NOT_ANNOUNCED)
            continue
        judgement.count_judged(RULE)
        if (overload := _first_overload(record, start, settings)) is None:
            continue
        notified_count = sum(
            record.start_notified_s(coordinators.get(attempt.txn, ""), start) <= attempt.received_s
            for attempt in overload
        )
        if notified_count > NOTIFIED_SHARE * len(overload):
            description = (
                f"{start.engine}, cold at {start.at_s:.3f}: "
                f"{len(overload)} attempts, {notified_count} of them by told ones"
            )
            judgement.add_violation(Violation(RULE, overload[-1].received_s, description))


def _first_overload(
    record: SoakRecord, start: ColdStart, settings: SlowStartSettings
) -> list[AttemptRecord] | None:
    """Return the attempts of the first window that overloads the engine; None if there is none."""
    for window in _windows(record, start, settings):
        age_s = max(0.0, window[-1].received_s - settings.window_s - start.at_s)
        requests = (
            sum(statement_work_ms(attempt.statement) for attempt in window) / 1e3 / settings.mean_work_s
        )
        if requests > settings.max_requests(age_s):
            return window
    return None


def _windows(
    record: SoakRecord, start: ColdStart, settings: SlowStartSettings
) -> Iterator[list[AttemptRecord]]:
    """Yield the attempts in each window that ends with an attempt, while the engine warms up."""
    end_s = min(start.at_s + settings.warm_up_s, record.next_cold_start_s(start))
    started = sorted(
        (
            attempt
            for attempt in record.attempts
            if attempt.engine == start.engine
            and start.at_s <= attempt.received_s < end_s
            and attempt.started_s < math.inf
        ),
        key=lambda attempt: attempt.received_s,
    )
    first = 0
    for last, attempt in enumerate(started):
        while started[first].received_s < attempt.received_s - settings.window_s:
            first += 1
        yield started[first : last + 1]
