"""The rules of the protocol, judged on what a soak has seen; pure."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from fordstair.lab.soak.plan import CONNECTION_CALLS, FaultKind
from fordstair.lab.soak.records import AttemptRecord, RequestRecord, SoakRecord

UNSAFE_CLASS = "meter-load"
ANSWER_SLACK_S = 0.5  # after its time an answer earns nothing; later than that it is lost
GONE_SLACK_S = 0.1  # after a client has gone an attempt may still begin
LIMIT_SLACK_MS = 150.0  # by which a deadline told to an engine may exceed what the client has left
DRAIN_SLACK_S = 0.55  # after a drain was told an attempt may still begin
END_S = 4.7  # from SIGTERM, in which a planned end has closed all connections
ANSWER_AFTER_PAUSE_S = 0.3  # after a pause, for the answers to be given and to leave
CROSSING_S = 0.1  # a request may cross the close of a resting connection
MEASURE_SLACK_S = 0.05  # this program sees bytes a little later than they come
DISCOVERY_KINDS = (FaultKind.SILENCE_DISCOVERY, FaultKind.RESET_DISCOVERY)
# What a coordinator was doing in these keeps it from hearing of a drain in time.
DEAF_KINDS = (
    FaultKind.PAUSE,
    FaultKind.FAIL_CALL,
    FaultKind.INTERRUPT_CALLS,
    FaultKind.SHORTEN_CALL,
    FaultKind.RELOAD,
    FaultKind.KILL,
    FaultKind.TERMINATE,
)
DEAF_FOR_S = 7.0  # afterwards what discovery tells counts as told, whether it arrived or not


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: str
    at_s: float
    what: str
    txn: str = ""  # of the request that it is about

    def __str__(self) -> str:
        return f"{self.at_s:.3f} {self.rule}: {self.what}"


class Oracle:
    """Judges one run."""

    def __init__(self, record: SoakRecord) -> None:
        self.record = record
        self.slack_s = MEASURE_SLACK_S + record.worst_lag_s
        self.requests = {each.txn: each for each in record.requests}
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in record.attempts:
            self.attempts[attempt.txn].append(attempt)

    def violations(self) -> list[Violation]:
        """Return every broken rule, in order of time."""
        found = [
            *self._duplicates(),
            *self._parallel(),
            *self._answers(),
            *self._attempts_of_nobody(),
            *self._limits(),
            *self._drains(),
            *self._crashes(),
        ]
        return sorted(found, key=lambda each: each.at_s)

    def _duplicates(self) -> Iterator[Violation]:
        for txn, attempts in self.attempts.items():
            request = self.requests.get(txn)
            ran = [each for each in attempts if each.how != "refused"]
            if request is not None and request.class_name == UNSAFE_CLASS and len(ran) > 1:
                engines = ", ".join(f"{each.engine} {each.read_s:.3f} {each.how}" for each in ran)
                yield Violation("duplicate", ran[1].read_s, f"{txn} of {request.coordinator}: {engines}", txn)

    def _parallel(self) -> Iterator[Violation]:
        for txn, attempts in self.attempts.items():
            runs = sorted(
                (each for each in attempts if each.started_s < math.inf), key=lambda each: each.started_s
            )
            for one, other in itertools.pairwise(runs):
                if other.started_s + self.slack_s < one.ended_s:
                    beside = f"{one.engine} {one.started_s:.3f} to {one.ended_s:.3f} {one.how}"
                    yield Violation(
                        "parallel", other.started_s, f"{txn} at {other.engine} beside {beside}", txn
                    )

    def _answers(self) -> Iterator[Violation]:
        for request in self.record.requests:
            if len(request.answers) > 1:
                yield Violation("second answer", request.answers[1][0], request.txn, request.txn)
            elif any(how == "spoilt" for _, how in request.answers):
                yield Violation("spoilt answer", request.answers[0][0], request.txn, request.txn)
            elif request.gone_s == math.inf and not self._lost_by_a_kill(request):
                yield from self._answer_in_time(request)

    def _answer_in_time(self, request: RequestRecord) -> Iterator[Violation]:
        due_s = request.sent_s + request.limit_s
        late_s = due_s + ANSWER_SLACK_S + self.slack_s + self._paused(request, request.sent_s, due_s + 5.0)
        name = f"{request.txn} {request.class_name} of {request.coordinator}, sent {request.sent_s:.3f}"
        if not request.answers:
            if not self._excused(request):
                yield Violation("lost", min(late_s, request.closed_s), f"{name}: no answer", request.txn)
        elif request.answers[0][0] > late_s:
            what = f"{name}: an answer after {late_s:.3f}"
            yield Violation("lost", request.answers[0][0], what, request.txn)

    def _paused(self, request: RequestRecord, from_s: float, to_s: float) -> float:
        spans = self.record.held(FaultKind.PAUSE, request.coordinator)
        return sum(span.overlap(from_s, to_s) for span in spans)

    def _lost_by_a_kill(self, request: RequestRecord) -> bool:
        until_s = request.answers[0][0] if request.answers else request.sent_s + request.limit_s + 1.0
        return any(
            span.overlap(request.sent_s - 0.05, until_s) > 0.0
            for span in self.record.held(FaultKind.KILL, request.coordinator)
        )

    def _excused(self, request: RequestRecord) -> bool:
        """Whether nobody owes it an answer, though it was written and its client stayed."""
        return (
            self._crossed_an_end(request)
            or self._killed_in_a_pause(request)
            or self._shut_unread(request)
            or self._connection_failed(request)
        )

    def _killed_in_a_pause(self, request: RequestRecord) -> bool:
        """Whether the platform's SIGKILL met a program that was stopped, or had just been."""
        pauses = self.record.held(FaultKind.PAUSE, request.coordinator)
        return any(
            pause.from_s < end.killed_s < pause.to_s + ANSWER_AFTER_PAUSE_S + self.slack_s
            for end in self.record.planned_ends
            if end.name == request.coordinator and end.killed_s <= request.closed_s
            for pause in pauses
        )

    def _shut_unread(self, request: RequestRecord) -> bool:
        """Whether its connection was shut unread, as it may be where idle clients fill the room.

        That is a new connection, or a resting one whose close the request has crossed.
        """
        crossed = request.closed_s - request.sent_s < CROSSING_S + self.slack_s
        return self.record.crowded and (request.first or crossed) and not self.attempts[request.txn]

    def _connection_failed(self, request: RequestRecord) -> bool:
        """Whether a failing send or recv told the coordinator that the client's connection had failed."""
        return any(
            each.fault.kind is FaultKind.FAIL_CALL
            and each.fault.call in CONNECTION_CALLS
            and each.fault.name == request.coordinator
            and each.held.from_s <= request.closed_s <= each.held.to_s + CROSSING_S + self.slack_s
            for each in self.record.injected
        )

    def _crossed_an_end(self, request: RequestRecord) -> bool:
        """Whether it came as a planned end closed its connection, or after the last one was accepted."""
        ending = any(
            span.from_s <= request.closed_s <= span.to_s + 1.0
            for span in self.record.held(FaultKind.TERMINATE, request.coordinator)
        )
        ending = ending or any(
            end.name == request.coordinator and end.signalled_s <= request.closed_s <= end.signalled_s + END_S
            for end in self.record.planned_ends
        )
        return ending and request.closed_s - request.sent_s < CROSSING_S + self.slack_s

    def _attempts_of_nobody(self) -> Iterator[Violation]:
        for attempt in self.record.attempts:
            request = self.requests.get(attempt.txn)
            if request is None:
                what = f"{attempt.txn} at {attempt.engine}"
                yield Violation("unknown request", attempt.read_s, what, attempt.txn)
                continue
            begun_s = attempt.read_s - self._paused(request, request.gone_s, attempt.read_s)
            if begun_s > request.gone_s + GONE_SLACK_S + self.slack_s:
                yield Violation(
                    "begun for nobody",
                    attempt.read_s,
                    f"{attempt.txn} of {request.coordinator} gone at {request.gone_s:.3f}",
                    attempt.txn,
                )

    def _limits(self) -> Iterator[Violation]:
        for attempt in self.record.attempts:
            if (request := self.requests.get(attempt.txn)) is None:
                continue
            left_s = request.sent_s + request.limit_s - attempt.read_s
            spare_s = self.slack_s + self._paused(request, request.sent_s, attempt.read_s)
            if attempt.limit_ms > (left_s + spare_s) * 1e3 + LIMIT_SLACK_MS:
                where = (
                    f"{attempt.txn} of {request.coordinator}, sent {request.sent_s:.3f}, at {attempt.engine}"
                )
                what = f"{where}: {attempt.limit_ms} ms where {left_s:.3f} s are left"
                yield Violation("limit", attempt.read_s, what, attempt.txn)

    def _drains(self) -> Iterator[Violation]:
        for attempt in self.record.attempts:
            if (request := self.requests.get(attempt.txn)) is None:
                continue
            for drain in self.record.drains:
                announced_s = drain.announced.from_s
                announced_s += (
                    DEAF_FOR_S if self._deaf(request.coordinator, announced_s, attempt.read_s) else 0.0
                )
                if (
                    drain.engine == attempt.engine
                    and announced_s + DRAIN_SLACK_S + self.slack_s < attempt.read_s < drain.announced.to_s
                ):
                    what = (
                        f"{attempt.txn} of {request.coordinator} to {attempt.engine}, told {announced_s:.3f}"
                    )
                    yield Violation("drain", attempt.read_s, what, attempt.txn)

    def _deaf(self, coordinator: str, from_s: float, to_s: float) -> bool:
        spans = [span for kind in DEAF_KINDS for span in self.record.held(kind, coordinator)]
        spans += [span for kind in DISCOVERY_KINDS for span in self.record.held(kind)]
        return any(span.from_s <= to_s and span.to_s >= from_s - 3.0 for span in spans)

    def _crashes(self) -> Iterator[Violation]:
        for end in self.record.ends:
            if not end.wanted:
                yield Violation("crash", end.at_s, f"{end.name} exited with {end.code}")
        for line in self.record.log_faults:
            yield Violation("log", math.inf, line)
