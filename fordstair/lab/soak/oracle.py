"""Judges the record of a soak by the protocol's rules; does no I/O."""

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

LOAD_CLASS = "meter-load"  # may run at most once
ANSWER_SLACK_S = 0.5  # after the time limit; a later answer counts as lost
ABANDONED_SLACK_S = 0.1  # how long attempts may still begin after the client has gone
LIMIT_SLACK_MS = 150.0  # how far the limit sent to an engine may exceed the time that the client has left
SHUTDOWN_TIMEOUT_S = 4.7  # from SIGTERM until a coordinator has closed all connections
ANSWER_AFTER_PAUSE_S = 0.3  # how long answers may take to leave after a pause
CLOSE_RACE_S = 0.1  # a request sent this shortly before the close of an idle connection may be lost
MEASURE_SLACK_S = 0.05  # for the resolution of the kernel's timestamps of received bytes
MAX_RETRY_AFTER_MS = SETTINGS["limits"]["maxRetryAfterMs"]
SLOW_START = SlowStartSettings(
    cores=ENGINE_CORES,
    initial_capacity_share=SETTINGS["obligations"]["coldFrom"],
    warm_up_s=SETTINGS["obligations"]["coldMs"] / 1e3,
    overload_factor=SETTINGS["obligations"]["fallMultiple"],
    window_s=SETTINGS["obligations"]["fallMs"] / 1e3,
    mean_work_s=mean_work_s(),
)


class Oracle:
    """Judges one run.

    The kernel's timestamps date what engines and clients received, so the lag of this program needs no slack
    there. It may notice the end of a connection late; ``lag_slack_s`` allows for that alone.
    """

    def __init__(self, record: SoakRecord) -> None:
        self.record = record
        self.lag_slack_s = MEASURE_SLACK_S + record.worst_lag_s
        self.requests = {each.txn: each for each in record.requests}
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in record.attempts:
            self.attempts[attempt.txn].append(attempt)
        self._judgement: Judgement | None = None

    def judgement(self) -> Judgement:
        """Return the judged and excused cases and the violations, by rule."""
        if self._judgement is None:
            self._judgement = Judgement()
            self._judge_attempts(self._judgement)
            self._judge_requests(self._judgement)
            judge_drains(self.record, self._judgement)
            judge_slow_starts(self.record, SLOW_START, self._judgement)
            process_rules.judge_processes(self.record, self._judgement)
        return self._judgement

    def violations(self) -> list[Violation]:
        """Return all violations, in order of time."""
        return sorted(self.judgement().violations, key=lambda each: each.at_s)

    # Attempts

    def _judge_attempts(self, judgement: Judgement) -> None:
        for txn, attempts in self.attempts.items():
            request = self.requests.get(txn)
            if request is None:
                description = f"{txn} at {attempts[0].engine}"
                judgement.add_violation(
                    Violation("unknown request", attempts[0].received_s, description, txn)
                )
                continue
            self._judge_duplicates(judgement, request, attempts)
            self._judge_parallel(judgement, request, attempts)
            for attempt in attempts:
                self._judge_limit(judgement, request, attempt)
                self._judge_abandoned(judgement, request, attempt)
                self._judge_forwarded(judgement, request, attempt)

    def _judge_duplicates(
        self, judgement: Judgement, request: RequestRecord, attempts: list[AttemptRecord]
    ) -> None:
        if request.class_name != LOAD_CLASS:
            return
        judgement.count_judged("duplicate")
        ran = [each for each in attempts if each.outcome != "refused"]
        if len(ran) > 1:
            engines = ", ".join(f"{each.engine} {each.received_s:.3f} {each.outcome}" for each in ran)
            description = f"{request.txn} of {request.coordinator}: {engines}"
            judgement.add_violation(Violation("duplicate", ran[1].received_s, description, request.txn))

    def _judge_parallel(
        self, judgement: Judgement, request: RequestRecord, attempts: list[AttemptRecord]
    ) -> None:
        judgement.count_judged("parallel")
        runs = sorted(
            (each for each in attempts if each.started_s < math.inf), key=lambda each: each.started_s
        )
        for earlier, later in itertools.pairwise(runs):
            if later.started_s + self.lag_slack_s < earlier.ended_s:
                earlier_attempt = (
                    f"{earlier.engine} {earlier.started_s:.3f} to {earlier.ended_s:.3f} {earlier.outcome}"
                )
                description = f"{request.txn} at {later.engine} beside {earlier_attempt}"
                judgement.add_violation(Violation("parallel", later.started_s, description, request.txn))

    def _judge_limit(self, judgement: Judgement, request: RequestRecord, attempt: AttemptRecord) -> None:
        judgement.count_judged("limit")
        left_s = request.sent_s + request.limit_s - attempt.received_s
        slack_s = MEASURE_SLACK_S + self._not_running_s(request, request.sent_s, attempt.received_s)
        if attempt.limit_ms > (left_s + slack_s) * 1e3 + LIMIT_SLACK_MS:
            where = f"{attempt.txn} of {request.coordinator}, sent {request.sent_s:.3f}, at {attempt.engine}"
            description = f"{where}: {attempt.limit_ms} ms where {left_s:.3f} s are left"
            judgement.add_violation(Violation("limit", attempt.received_s, description, attempt.txn))

    def _judge_abandoned(self, judgement: Judgement, request: RequestRecord, attempt: AttemptRecord) -> None:
        judgement.count_judged("begun for nobody")
        adjusted_begin_s = attempt.begun_s - self._not_running_s(
            request, request.abandoned_s, attempt.begun_s
        )
        if adjusted_begin_s > request.abandoned_s + ABANDONED_SLACK_S + MEASURE_SLACK_S:
            description = f"{attempt.txn} of {request.coordinator} gone at {request.abandoned_s:.3f}"
            judgement.add_violation(Violation("begun for nobody", attempt.begun_s, description, attempt.txn))

    def _judge_forwarded(self, judgement: Judgement, request: RequestRecord, attempt: AttemptRecord) -> None:
        """Judge that the class name and the statement are forwarded byte for byte."""
        if attempt.started_s == math.inf:
            judgement.count_excused("handed on", "not taken up")
            return
        judgement.count_judged("handed on")
        if (attempt.class_name, attempt.statement) != (request.class_name, request.statement):
            description = (
                f"{attempt.txn} at {attempt.engine}: {attempt.class_name} {attempt.statement[:60]!r}"
            )
            judgement.add_violation(Violation("handed on", attempt.received_s, description, attempt.txn))

    # Requests

    def _judge_requests(self, judgement: Judgement) -> None:
        for request in self.record.requests:
            if len(request.answers) > 1:
                at_s = request.answers[1][0]
                judgement.add_violation(Violation("second answer", at_s, request.txn, request.txn))
            elif any(outcome == "spoilt" for _, outcome in request.answers):
                at_s = request.answers[0][0]
                judgement.add_violation(Violation("spoilt answer", at_s, request.txn, request.txn))
            else:
                self._judge_answer(judgement, request)
            self._judge_retry_after(judgement, request)

    def _judge_answer(self, judgement: Judgement, request: RequestRecord) -> None:
        if (reason := self._find_excuse(request)) is not None:
            judgement.count_excused("lost", reason)
            return
        judgement.count_judged("lost")
        deadline_s = request.sent_s + request.limit_s
        not_running_s = self._not_running_s(request, request.sent_s, deadline_s + 5.0)
        latest_answer_s = deadline_s + ANSWER_SLACK_S + MEASURE_SLACK_S + not_running_s
        name = f"{request.txn} {request.class_name} of {request.coordinator}, sent {request.sent_s:.3f}"
        if not request.answers:
            at_s = min(latest_answer_s, request.closed_s)
            judgement.add_violation(Violation("lost", at_s, f"{name}: no answer", request.txn))
        elif request.answers[0][0] > latest_answer_s:
            description = f"{name}: an answer after {latest_answer_s:.3f}"
            judgement.add_violation(Violation("lost", request.answers[0][0], description, request.txn))

    def _judge_retry_after(self, judgement: Judgement, request: RequestRecord) -> None:
        """Judge that a refusal states a retry delay, no longer than the most that clients observe."""
        if not request.answers or request.answers[0][1] != "refused":
            return
        judgement.count_judged("retry after")
        retry_after = request.retry_after
        if retry_after is None or not retry_after.isdecimal() or float(retry_after) > MAX_RETRY_AFTER_MS:
            description = f"{request.txn} of {request.coordinator}: later {retry_after!r}"
            judgement.add_violation(Violation("retry after", request.answers[0][0], description, request.txn))

    def _not_running_s(self, request: RequestRecord, from_s: float, to_s: float) -> float:
        """Return how long the request's coordinator was paused or had no core."""
        return self.record.not_running_s(request.coordinator, from_s, to_s)

    def _find_excuse(self, request: RequestRecord) -> str | None:
        """Return why the request need not get an answer in time; None if the evidence gives no reason."""
        if request.abandoned_s < math.inf:
            return "its client has gone"
        if request.answers:
            return None
        excuses = {
            "killed": self._killed,
            "crossed an end": self._raced_shutdown,
            "killed in a pause": self._killed_while_paused,
            "shut unread": self._closed_unread,
            "connection failed": self._connection_failed,
        }
        return next((reason for reason, holds in excuses.items() if holds(request)), None)

    def _killed(self, request: RequestRecord) -> bool:
        """Return whether a kill ended the request's connection."""
        return any(
            kill.name == request.coordinator
            and kill.at_s <= request.closed_s <= kill.at_s + CLOSE_RACE_S + self.lag_slack_s
            for kill in self.record.kills
        )

    def _killed_while_paused(self, request: RequestRecord) -> bool:
        """Return whether the platform's SIGKILL came during a pause of the coordinator or soon after one."""
        pauses = self.record.active_spans(FaultKind.PAUSE, request.coordinator)
        return any(
            pause.from_s < end.killed_s < pause.to_s + ANSWER_AFTER_PAUSE_S + self.lag_slack_s
            for end in self.record.planned_shutdowns
            if end.name == request.coordinator and end.killed_s <= request.closed_s
            for pause in pauses
        )

    def _closed_unread(self, request: RequestRecord) -> bool:
        """Return whether the coordinator may have closed the connection unread, to shed idle clients.

        That may happen to a new connection, and to an idle one if the request was sent as it was closed.
        """
        crossed = request.closed_s - request.sent_s < CLOSE_RACE_S + self.lag_slack_s
        return self.record.crowded and (request.first or crossed) and not self.attempts[request.txn]

    def _connection_failed(self, request: RequestRecord) -> bool:
        """Return whether a call that the shim made fail ended the client's connection."""
        return any(
            failed.coordinator == request.coordinator
            and failed.client_port == request.client_port
            and failed.at_s <= request.closed_s
            for failed in self.record.failed_connections
        )

    def _raced_shutdown(self, request: RequestRecord) -> bool:
        """Return whether a planned shutdown closed the connection just after the request was sent.

        The coordinator may have stopped accepting requests before it arrived.
        """
        ending = any(
            span.from_s <= request.closed_s <= span.to_s + 1.0
            for span in self.record.active_spans(FaultKind.TERMINATE, request.coordinator)
        )
        ending = ending or any(
            end.name == request.coordinator
            and end.sigterm_s <= request.closed_s <= end.sigterm_s + SHUTDOWN_TIMEOUT_S
            for end in self.record.planned_shutdowns
        )
        return ending and request.closed_s - request.sent_s < CLOSE_RACE_S + self.lag_slack_s
