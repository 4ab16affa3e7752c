"""A cold engine is sent what it can bear: judged over all coordinators, by work in sliding windows."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from fordstair.lab.engine import statement_work_ms
from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.records import AttemptRecord, ColdStart, SoakRecord

RULE = "slow start"
TOLD_SHARE = 2.0 / 3.0  # of what made an engine fall, that came from coordinators which were told
SMALL_BUDGET = 30.0  # requests, under which the slack for chance is larger
NOT_ANNOUNCED = "not announced"


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """What the settings say of engines that warm up."""

    cores: float
    cold_share: float  # of the capacity, at the start
    warm_s: float
    fall_multiple: float  # of the present capacity, that makes an engine fall
    window_s: float
    mean_work_s: float  # of a request

    def budget(self, age_s: float) -> float:
        """Return how many requests of mean work an engine bears in a window that begins at that age."""
        warmth = min(1.0, self.cold_share + (1.0 - self.cold_share) * age_s / self.warm_s)
        work_s = self.fall_multiple * self.cores * warmth * self.window_s
        allowed = work_s / self.mean_work_s
        slack = 3.0 * math.sqrt(allowed) + 3.0 if allowed < SMALL_BUDGET else 2.0 * math.sqrt(allowed) + 2.0
        return allowed + slack


def judge_slow_starts(record: SoakRecord, settings: SlowStartSettings, judgement: Judgement) -> None:
    """Judge each cold start of which discovery has told."""
    coordinators = {request.txn: request.coordinator for request in record.requests}
    for start in record.cold_starts:
        if not start.announced:
            judgement.excuse(RULE, NOT_ANNOUNCED)
            continue
        judgement.judge(RULE)
        if (fall := _first_fall(record, start, settings)) is None:
            continue
        told = sum(
            record.told_start_s(coordinators.get(attempt.txn, ""), start) <= attempt.read_s
            for attempt in fall
        )
        if told > TOLD_SHARE * len(fall):
            what = (
                f"{start.engine}, cold at {start.at_s:.3f}: {len(fall)} attempts, {told} of them by told ones"
            )
            judgement.violate(Violation(RULE, fall[-1].read_s, what))


def _first_fall(
    record: SoakRecord, start: ColdStart, settings: SlowStartSettings
) -> list[AttemptRecord] | None:
    """Return the attempts of the first window that an engine cannot bear; None where there is none."""
    for window in _windows(record, start, settings):
        age_s = max(0.0, window[-1].read_s - settings.window_s - start.at_s)
        requests = (
            sum(statement_work_ms(attempt.statement) for attempt in window) / 1e3 / settings.mean_work_s
        )
        if requests > settings.budget(age_s):
            return window
    return None


def _windows(
    record: SoakRecord, start: ColdStart, settings: SlowStartSettings
) -> Iterator[list[AttemptRecord]]:
    """Yield what began in each window that ends with an attempt, while the engine warms up."""
    end_s = min(start.at_s + settings.warm_s, record.next_cold_start_s(start))
    begun = sorted(
        (
            attempt
            for attempt in record.attempts
            if attempt.engine == start.engine
            and start.at_s <= attempt.read_s < end_s
            and attempt.started_s < math.inf
        ),
        key=lambda attempt: attempt.read_s,
    )
    first = 0
    for last, attempt in enumerate(begun):
        while begun[first].read_s < attempt.read_s - settings.window_s:
            first += 1
        yield begun[first : last + 1]
