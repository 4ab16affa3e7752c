"""The story of one request of a soak in one order: its client, coordinator and engines, and the faults."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator
from typing import NamedTuple

from fordstair.lab.fault_shim import TIME_MARK
from fordstair.lab.soak.records import AttemptRecord, RequestRecord, SoakRecord

MARGIN_S = 1.0  # before and after the request, for what explains it
MAX_CHARS = 220  # of a line of a log
_LOG_TIME = re.compile(rf"{TIME_MARK}(\d+\.\d+)")


class Moment(NamedTuple):
    """Something that happened, by the time of the run."""

    at_s: float
    what: str


def story(record: SoakRecord, txn: str) -> list[str]:
    """Return a line for each thing that happened to a request, or near it, in order of time."""
    request = next((each for each in record.requests if each.txn == txn), None)
    attempts = [each for each in record.attempts if each.txn == txn]
    moments = [moment for attempt in attempts for moment in _attempt(attempt)]
    if request is not None:
        moments += _request(request)
    if not moments:
        return [f"nothing is known of {txn}"]
    from_s = min(moment.at_s for moment in moments) - MARGIN_S
    to_s = max(moment.at_s for moment in moments) + MARGIN_S
    moments += _faults(record, from_s, to_s)
    if request is not None:
        moments += _log(record, request.coordinator, txn)
        moments += _core_waits(record, request.coordinator, from_s, to_s)
    return [f"{moment.at_s:8.3f} {moment.what}" for moment in sorted(moments)]


def _request(request: RequestRecord) -> Iterator[Moment]:
    first = ", the first on its connection" if request.first else ""
    where = f"{request.coordinator} from port {request.client_port}{first}"
    yield Moment(request.sent_s, f"client: {request.class_name} to {where}, limit {request.limit_s:.2f} s")
    for at_s, how in request.answers:
        yield Moment(at_s, f"client: {how}")
    if request.gone_s < math.inf:
        yield Moment(request.gone_s, "client: has gone")
    if request.closed_s < math.inf:
        yield Moment(request.closed_s, "client: its connection was ended")


def _attempt(attempt: AttemptRecord) -> Iterator[Moment]:
    yield Moment(attempt.read_s, f"{attempt.engine}: has it, limit {attempt.limit_ms:.0f} ms")
    if attempt.started_s < math.inf:
        yield Moment(attempt.started_s, f"{attempt.engine}: starts it")
    if attempt.ended_s < math.inf:
        yield Moment(attempt.ended_s, f"{attempt.engine}: {attempt.how}")
    if attempt.connection_ended_s < math.inf:
        yield Moment(attempt.connection_ended_s, f"{attempt.engine}: resets the connection that it came on")


def _faults(record: SoakRecord, from_s: float, to_s: float) -> Iterator[Moment]:
    for each in record.injected:
        if each.held.overlap(from_s, to_s) > 0.0 or from_s <= each.held.from_s <= to_s:
            until = f"until {each.held.to_s:.3f}" if each.held.to_s < math.inf else "for good"
            yield Moment(each.held.from_s, f"fault {until}: {each.fault}")


def _log(record: SoakRecord, coordinator: str, txn: str) -> Iterator[Moment]:
    for line in record.logs.get(coordinator, ()):
        if txn in line and (found := _LOG_TIME.search(line)) is not None:
            yield Moment(float(found[1]) - record.clock_base_s, f"{coordinator}: {line[:MAX_CHARS]}")


def _core_waits(record: SoakRecord, coordinator: str, from_s: float, to_s: float) -> Iterator[Moment]:
    for each in record.core_waits:
        if each.name == coordinator and each.sampled.overlap(from_s, to_s) > 0.0:
            what = f"waited {each.waited_s * 1e3:.0f} ms for a core until {each.sampled.to_s:.3f}"
            yield Moment(each.sampled.from_s, f"{coordinator}: {what}")
