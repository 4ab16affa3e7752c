"""The rules of the protocol, judged on what a soak has seen; pure."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict

from fordstair.lab.platform_settings import SETTINGS
from fordstair.lab.soak import process_rules
from fordstair.lab.soak.drain_rule import judge_drains
from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.plan import ENGINE_CORES, FaultKind
from fordstair.lab.soak.records import AttemptRecord, RequestRecord, SoakRecord
from fordstair.lab.soak.request_kinds import mean_work_s
from fordstair.lab.soak.slow_start_rule import SlowStartSettings, judge_slow_starts

UNSAFE_CLASS = "meter-load"
ANSWER_SLACK_S = 0.5  # after its time an answer earns nothing; later than that it is lost
GONE_SLACK_S = 0.1  # after a client has gone an attempt may still begin
LIMIT_SLACK_MS = 150.0  # by which a deadline told to an engine may exceed what the client has left
END_S = 4.7  # from SIGTERM, in which a planned end has closed all connections
ANSWER_AFTER_PAUSE_S = 0.3  # after a pause, for the answers to be given and to leave
CROSSING_S = 0.1  # a request may cross the close of a resting connection
MEASURE_SLACK_S = 0.05  # for the clock ticks in which the kernel dates bytes
MAX_RETRY_AFTER_MS = SETTINGS["limits"]["maxRetryAfterMs"]
SLOW_START = SlowStartSettings(
    cores=ENGINE_CORES,
    cold_share=SETTINGS["obligations"]["coldFrom"],
    warm_s=SETTINGS["obligations"]["coldMs"] / 1e3,
    fall_multiple=SETTINGS["obligations"]["fallMultiple"],
    window_s=SETTINGS["obligations"]["fallMs"] / 1e3,
    mean_work_s=mean_work_s(),
)


class Oracle:
    """Judges one run.

    What engines and clients got is dated by the kernel, so that this program's own lag widens nothing there.
    It sees late that a connection has ended: ``late_slack_s`` is for that alone.
    """

    def __init__(self, record: SoakRecord) -> None:
        self.record = record
        self.late_slack_s = MEASURE_SLACK_S + record.worst_lag_s
        self.requests = {each.txn: each for each in record.requests}
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in record.attempts:
            self.attempts[attempt.txn].append(attempt)
        self._judgement: Judgement | None = None

    def judgement(self) -> Judgement:
        """Return what was judged, excused and violated, by rule."""
        if self._judgement is None:
            self._judgement = Judgement()
            self._judge_attempts(self._judgement)
            self._judge_requests(self._judgement)
            judge_drains(self.record, self._judgement)
            judge_slow_starts(self.record, SLOW_START, self._judgement)
            process_rules.judge_processes(self.record, self._judgement)
        return self._judgement

    def violations(self) -> list[Violation]:
        """Return every broken rule, in order of time."""
        return sorted(self.judgement().violations, key=lambda each: each.at_s)

    # Attempts

    def _judge_attempts(self, judgement: Judgement) -> None:
        for txn, attempts in self.attempts.items():
            request = self.requests.get(txn)
            if request is None:
                what = f"{txn} at {attempts[0].engine}"
                judgement.violate(Violation("unknown request", attempts[0].read_s, what, txn))
                continue
            self._judge_duplicates(judgement, request, attempts)
            self._judge_parallel(judgement, request, attempts)
            for attempt in attempts:
                self._judge_limit(judgement, request, attempt)
                self._judge_begin(judgement, request, attempt)
                self._judge_fields(judgement, request, attempt)

    def _judge_duplicates(
        self, judgement: Judgement, request: RequestRecord, attempts: list[AttemptRecord]
    ) -> None:
        if request.class_name != UNSAFE_CLASS:
            return
        judgement.judge("duplicate")
        ran = [each for each in attempts if each.how != "refused"]
        if len(ran) > 1:
            engines = ", ".join(f"{each.engine} {each.read_s:.3f} {each.how}" for each in ran)
            what = f"{request.txn} of {request.coordinator}: {engines}"
            judgement.violate(Violation("duplicate", ran[1].read_s, what, request.txn))

    def _judge_parallel(
        self, judgement: Judgement, request: RequestRecord, attempts: list[AttemptRecord]
    ) -> None:
        judgement.judge("parallel")
        runs = sorted(
            (each for each in attempts if each.started_s < math.inf), key=lambda each: each.started_s
        )
        for one, other in itertools.pairwise(runs):
            if other.started_s + self.late_slack_s < one.ended_s:
                beside = f"{one.engine} {one.started_s:.3f} to {one.ended_s:.3f} {one.how}"
                what = f"{request.txn} at {other.engine} beside {beside}"
                judgement.violate(Violation("parallel", other.started_s, what, request.txn))

    def _judge_limit(self, judgement: Judgement, request: RequestRecord, attempt: AttemptRecord) -> None:
        judgement.judge("limit")
        left_s = request.sent_s + request.limit_s - attempt.read_s
        spare_s = MEASURE_SLACK_S + self._paused(request, request.sent_s, attempt.read_s)
        if attempt.limit_ms > (left_s + spare_s) * 1e3 + LIMIT_SLACK_MS:
            where = f"{attempt.txn} of {request.coordinator}, sent {request.sent_s:.3f}, at {attempt.engine}"
            what = f"{where}: {attempt.limit_ms} ms where {left_s:.3f} s are left"
            judgement.violate(Violation("limit", attempt.read_s, what, attempt.txn))

    def _judge_begin(self, judgement: Judgement, request: RequestRecord, attempt: AttemptRecord) -> None:
        judgement.judge("begun for nobody")
        begun_s = attempt.begun_s - self._paused(request, request.gone_s, attempt.begun_s)
        if begun_s > request.gone_s + GONE_SLACK_S + MEASURE_SLACK_S:
            what = f"{attempt.txn} of {request.coordinator} gone at {request.gone_s:.3f}"
            judgement.violate(Violation("begun for nobody", attempt.begun_s, what, attempt.txn))

    def _judge_fields(self, judgement: Judgement, request: RequestRecord, attempt: AttemptRecord) -> None:
        """Judge what is handed on byte for byte."""
        if attempt.started_s == math.inf:
            judgement.excuse("handed on", "not taken up")
            return
        judgement.judge("handed on")
        if (attempt.class_name, attempt.statement) != (request.class_name, request.statement):
            what = f"{attempt.txn} at {attempt.engine}: {attempt.class_name} {attempt.statement[:60]!r}"
            judgement.violate(Violation("handed on", attempt.read_s, what, attempt.txn))

    # Requests

    def _judge_requests(self, judgement: Judgement) -> None:
        for request in self.record.requests:
            if len(request.answers) > 1:
                at_s = request.answers[1][0]
                judgement.violate(Violation("second answer", at_s, request.txn, request.txn))
            elif any(how == "spoilt" for _, how in request.answers):
                at_s = request.answers[0][0]
                judgement.violate(Violation("spoilt answer", at_s, request.txn, request.txn))
            else:
                self._judge_answer(judgement, request)
            self._judge_retry_after(judgement, request)

    def _judge_answer(self, judgement: Judgement, request: RequestRecord) -> None:
        if (reason := self._excuse(request)) is not None:
            judgement.excuse("lost", reason)
            return
        judgement.judge("lost")
        due_s = request.sent_s + request.limit_s
        paused_s = self._paused(request, request.sent_s, due_s + 5.0)
        late_s = due_s + ANSWER_SLACK_S + MEASURE_SLACK_S + paused_s
        name = f"{request.txn} {request.class_name} of {request.coordinator}, sent {request.sent_s:.3f}"
        if not request.answers:
            at_s = min(late_s, request.closed_s)
            judgement.violate(Violation("lost", at_s, f"{name}: no answer", request.txn))
        elif request.answers[0][0] > late_s:
            what = f"{name}: an answer after {late_s:.3f}"
            judgement.violate(Violation("lost", request.answers[0][0], what, request.txn))

    def _judge_retry_after(self, judgement: Judgement, request: RequestRecord) -> None:
        """Judge that a refusal says when to come again, within what clients heed."""
        if not request.answers or request.answers[0][1] != "refused":
            return
        judgement.judge("retry after")
        told = request.retry_after
        if told is None or not told.isdecimal() or float(told) > MAX_RETRY_AFTER_MS:
            what = f"{request.txn} of {request.coordinator}: later {told!r}"
            judgement.violate(Violation("retry after", request.answers[0][0], what, request.txn))

    def _paused(self, request: RequestRecord, from_s: float, to_s: float) -> float:
        """Return for how long its coordinator was stopped, or had no core, as was seen of its process."""
        return self.record.stopped_s(request.coordinator, from_s, to_s)

    def _excuse(self, request: RequestRecord) -> str | None:
        """Return the evidence by which nobody owes it an answer; None where there is none."""
        if request.gone_s < math.inf:
            return "its client has gone"
        if request.answers:
            return None
        excuses = {
            "killed": self._killed,
            "crossed an end": self._crossed_an_end,
            "killed in a pause": self._killed_in_a_pause,
            "shut unread": self._shut_unread,
            "connection failed": self._connection_failed,
        }
        return next((reason for reason, holds in excuses.items() if holds(request)), None)

    def _killed(self, request: RequestRecord) -> bool:
        """Whether a kill ended the connection that it was open on."""
        return any(
            kill.name == request.coordinator
            and kill.at_s <= request.closed_s <= kill.at_s + CROSSING_S + self.late_slack_s
            for kill in self.record.kills
        )

    def _killed_in_a_pause(self, request: RequestRecord) -> bool:
        """Whether the platform's SIGKILL met a program that was stopped, or had just been."""
        pauses = self.record.held(FaultKind.PAUSE, request.coordinator)
        return any(
            pause.from_s < end.killed_s < pause.to_s + ANSWER_AFTER_PAUSE_S + self.late_slack_s
            for end in self.record.planned_ends
            if end.name == request.coordinator and end.killed_s <= request.closed_s
            for pause in pauses
        )

    def _shut_unread(self, request: RequestRecord) -> bool:
        """Whether its connection was shut unread, as it may be where idle clients fill the room.

        That is a new connection, or a resting one whose close the request has crossed.
        """
        crossed = request.closed_s - request.sent_s < CROSSING_S + self.late_slack_s
        return self.record.crowded and (request.first or crossed) and not self.attempts[request.txn]

    def _connection_failed(self, request: RequestRecord) -> bool:
        """Whether a failing call told the coordinator that its client's connection had failed."""
        return any(
            failed.coordinator == request.coordinator
            and failed.client_port == request.client_port
            and failed.at_s <= request.closed_s
            for failed in self.record.failed_connections
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
        return ending and request.closed_s - request.sent_s < CROSSING_S + self.late_slack_s
