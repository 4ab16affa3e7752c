"""Rule: a coordinator sends nothing to a draining engine once discovery has notified it of the drain."""

from __future__ import annotations

import math
from collections import defaultdict

from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.records import AttemptRecord, Drain, SoakRecord

RULE = "drain"
DRAIN_SLACK_S = 0.55  # how long attempts may still begin after the notification
NOTIFIED_AFTER_S = 7.0  # after that a coordinator counts as notified, whether the event arrived or not
MEASURE_SLACK_S = 0.05
NOT_NOTIFIED = "not told before the drain ended"
CONNECTION_LOST = "discovery's connection did not live on"


def judge_drains(record: SoakRecord, judgement: Judgement) -> None:
    """Judge every coordinator at every drain."""
    attempts = _attempts_by_pair(record)
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
    notified_s, excuse = _notification_time(record, drain, coordinator)
    if notified_s >= drain.announced.to_s:
        judgement.count_excused(RULE, excuse)
        return
    judgement.count_judged(RULE)
    for attempt in attempts:
        if not notified_s < attempt.begun_s < drain.announced.to_s:
            continue
        adjusted_begin_s = attempt.begun_s - record.not_running_s(coordinator, notified_s, attempt.begun_s)
        if adjusted_begin_s > notified_s + DRAIN_SLACK_S + MEASURE_SLACK_S:
            description = f"{attempt.txn} of {coordinator} to {drain.engine}, told {notified_s:.3f}"
            judgement.add_violation(Violation(RULE, attempt.begun_s, description, attempt.txn))


def _notification_time(record: SoakRecord, drain: Drain, coordinator: str) -> tuple[float, str]:
    """Return when a coordinator counts as notified of a drain, and the excuse if it never does."""
    excuse = NOT_NOTIFIED
    for each in record.drain_notifications:
        if (each.coordinator, each.engine) != (
            coordinator,
            drain.engine,
        ) or each.event_number < drain.event_number:
            continue
        if not drain.announced.from_s <= each.written_s < drain.announced.to_s:
            continue
        if each.connection.ended_s > each.written_s + DRAIN_SLACK_S:
            return min(each.written_s, drain.announced.from_s + NOTIFIED_AFTER_S), ""
        excuse = CONNECTION_LOST
    latest_s = drain.announced.from_s + NOTIFIED_AFTER_S
    return (latest_s if latest_s < drain.announced.to_s else math.inf), excuse


def _attempts_by_pair(record: SoakRecord) -> defaultdict[tuple[str, str], list[AttemptRecord]]:
    """Return the attempts, by coordinator and engine."""
    coordinators = {request.txn: request.coordinator for request in record.requests}
    pairs: defaultdict[tuple[str, str], list[AttemptRecord]] = defaultdict(list)
    for attempt in record.attempts:
        if (coordinator := coordinators.get(attempt.txn)) is not None:
            pairs[coordinator, attempt.engine].append(attempt)
    return pairs
