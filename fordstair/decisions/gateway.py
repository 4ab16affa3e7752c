"""The decision module's state machine: it turns events into actions, and asks the policies what to decide."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from fordstair.decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectionReason,
    RejectRequest,
    SendAttempt,
    SetQueryResources,
    WatchEngineList,
)
from fordstair.decisions.admission import AdmissionPolicy
from fordstair.decisions.attempt_monitoring import AttemptMonitor
from fordstair.decisions.cost_model import CostModel
from fordstair.decisions.engine_list import EngineId, ListUpdateKind
from fordstair.decisions.engine_selection import EngineSelector
from fordstair.decisions.engine_tracker import EngineAssessment, EngineTracker
from fordstair.decisions.events import (
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    ConcurrencyLimitSet,
    EngineListChanged,
    Event,
    HealthCheckEnded,
    NoteKind,
    QueryFinished,
    RequestArrived,
    RequestWithdrawn,
    Status,
    StreamStarted,
    TimerFired,
)
from fordstair.decisions.latency_objective import (
    LATE_CHECK_INTERVAL_MS,
    accepts_late_answer,
    objective_end,
    useful_until,
)
from fordstair.decisions.load_estimation import LoadEstimator
from fordstair.decisions.outcome_learning import OutcomeLearner
from fordstair.decisions.outlier_detection import OutlierDetector
from fordstair.decisions.query_resources import QueryResources
from fordstair.decisions.request_ordering import OrderingQueue, settled_at
from fordstair.decisions.retries import RetryPolicy, client_may_retry, latest_retry_start
from fordstair.decisions.settings import Discovery, Idempotency, Settings
from fordstair.decisions.slow_start import SlowStart
from fordstair.decisions.statistics import is_usable
from fordstair.decisions.timers import Timers, TimerTarget
from fordstair.decisions.tracked_engine import TrackedEngine
from fordstair.decisions.tracked_request import TrackedAttempt, TrackedRequest

# The final answer is due this long before the client's deadline.
DEADLINE_MARGIN_MS = 10.0
# Delay of a request once its health checks are sent, even if they end earlier.
HEALTH_CHECK_WAIT_MS = 25.0


class Gateway:
    """State machine of one coordinator: pass each event to ``handle`` and execute the actions it returns.

    Times are milliseconds of the events' clock; ``now`` is the time of the latest event. Each ``_on_...``
    method handles one type of event; the other private methods are transitions of requests and attempts.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.engines: dict[EngineId, TrackedEngine] = {}
        self.requests: dict[int, TrackedRequest] = {}
        self.attempts: dict[tuple[int, int], TrackedAttempt] = {}
        random = Random(seed)
        self.cost_model = CostModel(settings)
        self.slow_start = SlowStart(settings, self.cost_model)
        self.load = LoadEstimator(settings, self.slow_start)
        self.outliers = OutlierDetector()
        self.selector = EngineSelector(
            settings, random, self.engines, self.cost_model, self.load, self.outliers, self.slow_start
        )
        self.tracker = EngineTracker(
            settings, self.engines, self.selector.hash_position, self.load, self.outliers, self.slow_start
        )
        self.admission = AdmissionPolicy(
            settings, random, self.attempts, self.cost_model, self.load, self.selector
        )
        self._learner = OutcomeLearner(self.cost_model, self.load, self.outliers)
        self._retries = RetryPolicy(settings)
        self._monitor = AttemptMonitor(settings)
        self._resources = QueryResources(settings, self.cost_model)
        self._queues: dict[int, OrderingQueue] = {}
        self._timers = Timers()
        self.now = 0.0
        self._actions: list[Action] = []
        self._initial_actions: list[Action] = []
        if settings.discovery is Discovery.POLL:
            self._initial_actions.append(WatchEngineList())
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self._on_request_arrived,
            AttemptEnded: self._on_attempt_ended,
            QueryFinished: self._on_query_finished,
            AttemptNote: self._on_attempt_note,
            HealthCheckEnded: self._on_health_check_ended,
            TimerFired: self._on_timer_fired,
            EngineListChanged: self._on_engine_list_changed,
            ClientDisconnected: self._on_request_over,
            StreamStarted: self._on_request_over,
            RequestWithdrawn: self._on_request_withdrawn,
            ConcurrencyLimitSet: self._on_concurrency_limit_set,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event that occurs at a time; return the actions to execute, in order."""
        self.now = now
        self._actions = self._initial_actions
        self._initial_actions = []
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self._actions

    def predicted_cost(self, event: RequestArrived) -> float:
        """Return a request's predicted cost in thread-milliseconds, for a host that queues it first."""
        return self._preview(event).cost

    def has_capacity(self, event: RequestArrived) -> bool:
        """Return whether a request would find capacity now, for a host that queues it; changes no state."""
        return self.admission.has_capacity(self.now, self._preview(event))

    def _preview(self, event: RequestArrived) -> TrackedRequest:
        """Return an arriving request with its predicted cost, without recording its arrival."""
        request = TrackedRequest.from_event(event, self.settings.classes[event.class_index])
        request.cost = self.cost_model.predict(
            request.class_index, request.table_group, request.cost_estimate
        )
        return request

    def assess(self, engine_id: EngineId) -> EngineAssessment | None:
        """Return the assessment of an engine for observers, or None if it is not listed."""
        return self.tracker.assess(self.now, engine_id)

    # Engines

    def _on_engine_list_changed(self, event: EngineListChanged) -> None:
        if event.kind is ListUpdateKind.FAILED:
            self._actions.append(WatchEngineList())
        else:
            self.tracker.update_list(event)

    def _on_health_check_ended(self, event: HealthCheckEnded) -> None:
        engine = self.engines.get(event.engine)
        if engine is None:
            return
        self._retry_silent_attempts(self.tracker.record_health_check(self.now, engine, event.status), engine)
        self._retry_silent_attempts(self.tracker.record_load_report(self.now, engine, event.report), engine)

    def _retry_silent_attempts(self, ejected: bool, engine: TrackedEngine) -> None:
        """If the engine was just ejected, cancel and retry its attempts sent since its last sign of work."""
        if not ejected:
            return
        for attempt in list(self.attempts.values()):
            if attempt.engine is engine and attempt.sent_at >= engine.last_activity_at:
                self._cancel_for_retry(attempt)

    # Requests

    def _on_request_arrived(self, event: RequestArrived) -> None:
        request = TrackedRequest.from_event(event, self.settings.classes[event.class_index])
        request.cost = self.cost_model.predict_arrival(request)
        self._retries.record_arrival(self.now)
        self.selector.record_arrival()
        self.slow_start.record_arrival(request.cost)
        time_left_ms = event.time_left_ms if is_usable(event.time_left_ms) else 0.0
        request.deadline = self.now + time_left_ms - DEADLINE_MARGIN_MS
        objective_ends_at = objective_end(self.now, request)
        request.useful_until = useful_until(request, objective_ends_at)
        self.requests[request.id] = request
        reason = self.admission.rejection(self.now, request)
        if reason is not None:
            self._reject_or_fail(request, reason)
            return
        self._start_timer(max(0.0, min(request.useful_until, objective_ends_at) - self.now), request)
        if request.effective_ordering_key:
            self._enqueue(request)
        else:
            self._send_next_attempt(request)

    def _enqueue(self, request: TrackedRequest) -> None:
        queue = self._queues.setdefault(request.ordering_key, OrderingQueue(request.ordering_key))
        queue.requests.append(request)
        wait_ms = sum(self.cost_model.expected_latency_ms(queued) for queued in queue.requests)
        if self.now + wait_ms > request.deadline:
            self._reject_or_fail(request, RejectionReason.ORDERING_QUEUE_TOO_LONG)
        else:
            self._advance(queue)

    def _on_request_over(self, event: ClientDisconnected | StreamStarted) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            self._finish(request)

    def _on_request_withdrawn(self, event: RequestWithdrawn) -> None:
        request = self.requests.get(event.request)
        if request is not None:
            self._reject_or_fail(request, RejectionReason.SHUTTING_DOWN)

    def _on_concurrency_limit_set(self, event: ConcurrencyLimitSet) -> None:
        self.admission.set_concurrency_limit(event.class_index, event.threads)

    def _reject_or_fail(self, request: TrackedRequest, reason: RejectionReason) -> None:
        """Cancel the current attempt; reject the request if a client's retry is safe, else fail it."""
        if request.current_attempt is not None:
            self._cancel(request.current_attempt)
        if client_may_retry(request):
            self._actions.append(
                RejectRequest(
                    request.id, self.admission.retry_after_ms(self.now, request.class_index), reason
                )
            )
        else:
            self._actions.append(FailRequest(request.id, reason))
        self._finish(request)

    def _finish(self, request: TrackedRequest) -> None:
        request.finished = True
        request.awaits_health_checks = False
        self.requests.pop(request.id, None)
        self._advance(self._queues.get(request.effective_ordering_key))

    def _advance(self, queue: OrderingQueue | None) -> None:
        """Send the key's next request, once no attempt is in flight and the last one has settled."""
        if queue is None or queue.attempts_in_flight or queue.is_advancing:
            return
        queue.is_advancing = True
        while (request := queue.next_request(self.now)) is not None:
            self._send_next_attempt(request)
        queue.is_advancing = False
        if queue.attempts_in_flight:
            return
        if self.now < queue.settles_at:
            self._start_timer(queue.settles_at - self.now, queue)
        elif not queue.requests:
            self._queues.pop(queue.key, None)

    # Attempts

    def _send_next_attempt(self, request: TrackedRequest) -> None:
        """Send the next attempt, check engines first, or end the request if no attempt is possible."""
        request.awaits_health_checks = False
        if not self._retries.may_attempt(self.now, request):
            self._reject_or_fail(request, RejectionReason.NO_FURTHER_ATTEMPT)
            return
        if self._check_engines_first(request):
            return
        engine = self.selector.select(self.now, request)
        if engine is None:
            self._reject_or_fail(request, RejectionReason.NO_ELIGIBLE_ENGINE)
        else:
            self._send(request, engine)

    def _check_engines_first(self, request: TrackedRequest) -> bool:
        engines = self.selector.engines_to_check(self.now, request)
        self._actions.extend(CheckHealth(engine.entry.engine) for engine in engines)
        if engines:
            request.awaits_health_checks = True
            self._start_timer(HEALTH_CHECK_WAIT_MS, request)
        return bool(engines)

    def _send(self, request: TrackedRequest, engine: TrackedEngine) -> None:
        memory_mb = self._resources.memory_grant_mb(request, engine)
        self._actions.append(SetQueryResources(request.id, memory_mb, self._resources.priority(request)))
        begin_by = latest_retry_start(request)
        if request.attempts_sent:
            self._retries.record_retry(self.now)
        expected_ms = self.cost_model.expected_latency_ms(request)
        attempt = TrackedAttempt(request, request.attempts_sent, engine, self.now, expected_ms)
        request.attempts_sent += 1
        request.current_attempt = attempt
        request.last_engine = engine.entry.engine
        request.health_checks_considered = False
        self.attempts[request.id, attempt.number] = attempt
        engine.add_attempt(self.now, request.spec, request.table_group)
        if request.effective_ordering_key:
            self._queues[request.ordering_key].attempts_in_flight += 1
        self._actions.append(SendAttempt(request.id, engine.entry.engine, begin_by=begin_by))
        self._start_timer(self._monitor.first_check_ms(attempt), attempt)

    def _cancel_for_retry(self, attempt: TrackedAttempt) -> None:
        """Cancel an attempt if its class and the retry policy allow another, which starts once it ends."""
        request = attempt.request
        if request.current_attempt is not attempt or request.spec.idempotency is Idempotency.NON_IDEMPOTENT:
            return
        if self._retries.may_attempt(self.now, request):
            self._cancel(attempt)

    def _cancel(self, attempt: TrackedAttempt) -> None:
        if self.settings.may_cancel and not attempt.cancelled:
            attempt.cancelled = True
            self._actions.append(CancelAttempt(attempt.request.id, attempt.number))

    def _on_attempt_note(self, event: AttemptNote) -> None:
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is None:
            return
        attempt.engine.last_activity_at = self.now
        if event.kind is not NoteKind.PROGRESS or not is_usable(event.value):
            return
        if self._monitor.has_bad_plan(self.now, attempt, event.value):
            self._cancel_for_retry(attempt)

    def _on_query_finished(self, event: QueryFinished) -> None:
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is not None:
            attempt.engine.last_activity_at = self.now
            attempt.free_threads(self.now)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        request = attempt.request
        attempt.free_threads(self.now)
        if request.effective_ordering_key:
            self._queues[request.ordering_key].record_attempt_end(
                settled_at(self.now, event.status, self.settings)
            )
        self._learner.learn(self.now, attempt, event)
        self._update_engine_at_end(event)
        attempt.record_end(event.status)
        self._continue_after_end(request, event)
        self._advance(self._queues.get(request.effective_ordering_key))

    def _update_engine_at_end(self, event: AttemptEnded) -> None:
        engine = self.engines.get(event.engine)
        if engine is None:
            return
        if event.status is Status.CONNECT_FAILED and not event.may_connect_late:
            self.tracker.record_connect_failure(self.now, engine)
        self._retry_silent_attempts(self.tracker.record_load_report(self.now, engine, event.report), engine)

    def _continue_after_end(self, request: TrackedRequest, event: AttemptEnded) -> None:
        if event.request_over or event.status is Status.OK:
            self._finish(request)
        elif request.finished:
            return
        elif event.may_still_run:
            # A further attempt could run in parallel with this one.
            self._reject_or_fail(request, RejectionReason.ATTEMPT_MAY_STILL_RUN)
        else:
            self._send_next_attempt(request)

    # Timers

    def _start_timer(self, delay_ms: float, target: TimerTarget) -> None:
        self._actions.append(self._timers.start(delay_ms, target))

    def _on_timer_fired(self, event: TimerFired) -> None:
        target = self._timers.pop_target(event.token)
        if isinstance(target, OrderingQueue):
            self._advance(target)
        elif isinstance(target, TrackedAttempt):
            in_flight = target.request.current_attempt is target and not target.query_finished
            if in_flight and not target.request.finished:
                self._check_attempt(target)
        elif isinstance(target, TrackedRequest):
            self._check_request(target)

    def _check_request(self, request: TrackedRequest) -> None:
        """Send the request if it awaits health checks; else check whether a late answer is still accepted.

        The request has two timers, and either may fire first: both end a wait for health checks.
        """
        if request.awaits_health_checks:
            self._send_next_attempt(request)
        elif request.finished:
            return
        elif accepts_late_answer(self.now, request, self.admission.pressure(self.now, request.class_index)):
            self._start_timer(min(LATE_CHECK_INTERVAL_MS, request.useful_until - self.now), request)
        else:
            self.load.record_missed_objective(self.now, request.spec.priority_weight)
            self._reject_or_fail(request, RejectionReason.TOO_LATE)

    def _check_attempt(self, attempt: TrackedAttempt) -> None:
        """Cancel a silent or overlong attempt for a retry; check it again later unless it was cancelled."""
        if self._monitor.is_silent(attempt):
            self._cancel_for_retry(attempt)
            self._retry_silent_attempts(self.outliers.record_silence(attempt.engine), attempt.engine)
        elif self._monitor.is_overlong(self.now, attempt):
            self._cancel_for_retry(attempt)
        if not attempt.cancelled:
            self._start_timer(self._monitor.next_check_ms(attempt), attempt)
