"""Builds the timeline of one request of a soak from its client, coordinator, engines and the faults."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator
from typing import NamedTuple

from fordstair.lab.fault_shim import TIME_MARK
from fordstair.lab.soak.records import AttemptRecord, RequestRecord, SoakRecord

TIMELINE_MARGIN_S = 1.0  # before and after the request; faults in it may explain its outcome
MAX_LOG_LINE_CHARS = 220
_LOG_TIME = re.compile(rf"{TIME_MARK}(\d+\.\d+)")


class Moment(NamedTuple):
    """One event and its time in seconds of the run."""

    at_s: float
    description: str


def request_timeline(record: SoakRecord, txn: str) -> list[str]:
    """Return a line for each event of a request and for the faults near it, in order of time."""
    request = next((each for each in record.requests if each.txn == txn), None)
    attempts = [each for each in record.attempts if each.txn == txn]
    moments = [moment for attempt in attempts for moment in _attempt_moments(attempt)]
    if request is not None:
        moments += _request_moments(request)
    if not moments:
        return [f"nothing is known of {txn}"]
    from_s = min(moment.at_s for moment in moments) - TIMELINE_MARGIN_S
    to_s = max(moment.at_s for moment in moments) + TIMELINE_MARGIN_S
    moments += _fault_moments(record, from_s, to_s)
    if request is not None:
        moments += _log_moments(record, request.coordinator, txn)
        moments += _core_wait_moments(record, request.coordinator, from_s, to_s)
    return [f"{moment.at_s:8.3f} {moment.description}" for moment in sorted(moments)]


def _request_moments(request: RequestRecord) -> Iterator[Moment]:
    first = ", the first on its connection" if request.first else ""
    where = f"{request.coordinator} from port {request.client_port}{first}"
    yield Moment(request.sent_s, f"client: {request.class_name} to {where}, limit {request.limit_s:.2f} s")
    for at_s, outcome in request.answers:
        yield Moment(at_s, f"client: {outcome}")
    if request.abandoned_s < math.inf:
        yield Moment(request.abandoned_s, "client: has gone")
    if request.closed_s < math.inf:
        yield Moment(request.closed_s, "client: its connection was ended")


def _attempt_moments(attempt: AttemptRecord) -> Iterator[Moment]:
    yield Moment(attempt.received_s, f"{attempt.engine}: has it, limit {attempt.limit_ms:.0f} ms")
    if attempt.started_s < math.inf:
        yield Moment(attempt.started_s, f"{attempt.engine}: starts it")
    if attempt.ended_s < math.inf:
        yield Moment(attempt.ended_s, f"{attempt.engine}: {attempt.outcome}")
    if attempt.connection_reset_s < math.inf:
        yield Moment(attempt.connection_reset_s, f"{attempt.engine}: resets the connection that it came on")


def _fault_moments(record: SoakRecord, from_s: float, to_s: float) -> Iterator[Moment]:
    for each in record.injected:
        if each.active.overlap(from_s, to_s) > 0.0 or from_s <= each.active.from_s <= to_s:
            until = f"until {each.active.to_s:.3f}" if each.active.to_s < math.inf else "for good"
            yield Moment(each.active.from_s, f"fault {until}: {each.fault}")


def _log_moments(record: SoakRecord, coordinator: str, txn: str) -> Iterator[Moment]:
    for line in record.logs.get(coordinator, ()):
        if txn in line and (found := _LOG_TIME.search(line)) is not None:
            yield Moment(float(found[1]) - record.clock_base_s, f"{coordinator}: {line[:MAX_LOG_LINE_CHARS]}")


def _core_wait_moments(record: SoakRecord, coordinator: str, from_s: float, to_s: float) -> Iterator[Moment]:
    for each in record.core_waits:
        if each.name == coordinator and each.sampled.overlap(from_s, to_s) > 0.0:
            wait = f"waited {each.waited_s * 1e3:.0f} ms for a core until {each.sampled.to_s:.3f}"
            yield Moment(each.sampled.from_s, f"{coordinator}: {wait}")
