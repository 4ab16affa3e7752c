"""Carries out the actions of the decision module, with one handler for each type."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from fordstair.core.query_priorities import QueryPriorities
from fordstair.core.request_table import RequestTable
from fordstair.decisions.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendAttempt,
    SetQueryResources,
    StartTimer,
)
from fordstair.decisions.events import Event, TimerFired
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)


class ActionDispatcher:
    """Dispatches actions by type; ignores an action for a request whose task has ended."""

    def __init__(
        self,
        requests: RequestTable,
        priorities: QueryPriorities,
        deadlines: Deadlines,
        dispatch_event: Callable[[Event], None],
    ) -> None:
        self._requests = requests
        self._priorities = priorities
        self._deadlines = deadlines
        self._dispatch_event = dispatch_event
        self._handlers: dict[type[Action], Callable[[Any, float], None]] = {
            SendAttempt: self._send_attempt,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            CancelAttempt: self._cancel_attempt,
            SetQueryResources: self._set_query_resources,
            StartTimer: self._start_timer,
            LogMessage: self._log_message,
        }

    def dispatch(self, action: Action, now_ms: float) -> None:
        """Carry out one action; ``now_ms`` is the monotonic time of the event that led to it."""
        handler = self._handlers.get(type(action))
        if handler is not None:
            handler(action, now_ms)
        else:  # actions for health checks, peers and polled discovery, which this program does not have
            log.warning("decisions.action_ignored", action=action)

    def _send_attempt(self, action: SendAttempt, now_ms: float) -> None:
        if (live := self._requests.get(action.request)) is not None:
            live.pending_send = action
            live.wakeup.set()

    def _reject_request(self, action: RejectRequest, now_ms: float) -> None:
        if (live := self._requests.get(action.request)) is not None:
            self._requests.reject(live, action.retry_after_ms, action.reason)

    def _fail_request(self, action: FailRequest, now_ms: float) -> None:
        if (live := self._requests.get(action.request)) is None:
            return
        log.info(
            "request.failed",
            txn=live.query.transaction_id,
            class_name=live.query.class_name,
            why=action.reason,
            attempts=live.attempt_count,
        )
        self._requests.fail(live, action.reason or "given up")

    def _cancel_attempt(self, action: CancelAttempt, now_ms: float) -> None:
        live = self._requests.get(action.request)
        if live is None or live.attempt_scope is None:
            return
        if live.attempt_count == action.attempt + 1:  # otherwise a later attempt has begun
            live.attempt_scope.cancel()

    def _set_query_resources(self, action: SetQueryResources, now_ms: float) -> None:
        if (live := self._requests.get(action.request)) is not None:
            self._priorities.set_priority(live, action.priority)

    def _start_timer(self, action: StartTimer, now_ms: float) -> None:
        self._deadlines.add(now_ms + action.delay_ms, partial(self._dispatch_event, TimerFired(action.token)))

    def _log_message(self, action: LogMessage, now_ms: float) -> None:
        log.info("decisions.message_logged", text=action.text)
