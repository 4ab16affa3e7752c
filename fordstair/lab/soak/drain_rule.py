"""Nothing is sent to an engine that drains: judged from when a coordinator had been written of the drain."""

from __future__ import annotations

import math
from collections import defaultdict

from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.records import AttemptRecord, Drain, SoakRecord

RULE = "drain"
DRAIN_SLACK_S = 0.55  # after a drain was told an attempt may still begin
TOLD_AFTER_S = 7.0  # whatever discovery has to tell counts as told then, whether it arrived or not
MEASURE_SLACK_S = 0.05
NOT_TOLD = "not told before the drain ended"
CONNECTION_LOST = "discovery's connection did not live on"


def judge_drains(record: SoakRecord, judgement: Judgement) -> None:
    """Judge each pair of a drain and a coordinator."""
    attempts = _by_pair(record)
    for drain in record.drains:
        for coordinator in record.coordinators:
            _judge_pair(record, judgement, drain, coordinator, attempts[coordinator, drain.engine])


def _judge_pair(
    record: SoakRecord,
    judgement: Judgement,
    drain: Drain,
    coordinator: str,
    attempts: list[AttemptRecord],
) -> None:
    told_s, excuse = _told(record, drain, coordinator)
    if told_s >= drain.announced.to_s:
        judgement.excuse(RULE, excuse)
        return
    judgement.judge(RULE)
    for attempt in attempts:
        if not told_s < attempt.begun_s < drain.announced.to_s:
            continue
        late_s = attempt.begun_s - record.stopped_s(coordinator, told_s, attempt.begun_s)
        if late_s > told_s + DRAIN_SLACK_S + MEASURE_SLACK_S:
            what = f"{attempt.txn} of {coordinator} to {drain.engine}, told {told_s:.3f}"
            judgement.violate(Violation(RULE, attempt.begun_s, what, attempt.txn))


def _told(record: SoakRecord, drain: Drain, coordinator: str) -> tuple[float, str]:
    """Return when a coordinator counts as told of a drain, and what excuses it until then."""
    excuse = NOT_TOLD
    for event in record.told:
        if (event.coordinator, event.engine) != (coordinator, drain.engine) or event.number < drain.number:
            continue
        if not drain.announced.from_s <= event.written_s < drain.announced.to_s:
            continue
        if event.connection.ended_s > event.written_s + DRAIN_SLACK_S:
            return min(event.written_s, drain.announced.from_s + TOLD_AFTER_S), ""
        excuse = CONNECTION_LOST
    counts_s = drain.announced.from_s + TOLD_AFTER_S
    return (counts_s if counts_s < drain.announced.to_s else math.inf), excuse


def _by_pair(record: SoakRecord) -> defaultdict[tuple[str, str], list[AttemptRecord]]:
    """Return the attempts by coordinator and engine."""
    coordinators = {request.txn: request.coordinator for request in record.requests}
    pairs: defaultdict[tuple[str, str], list[AttemptRecord]] = defaultdict(list)
    for attempt in record.attempts:
        if (coordinator := coordinators.get(attempt.txn)) is not None:
            pairs[coordinator, attempt.engine].append(attempt)
    return pairs
