"""Execution of one attempt, from the send guard's check to the AttemptEnded event."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

from fordstair.core.engine_registry import EngineRegistry
from fordstair.core.extensions import Extensions
from fordstair.core.invariants import Invariants
from fordstair.core.live_request import AttemptOutcome, LiveRequest
from fordstair.core.ports import AttemptFailedError, AttemptRequest, Call, Engine, Transport
from fordstair.core.request_memory import FIRST_PAGE_BYTES
from fordstair.core.request_table import RequestTable
from fordstair.core.send_guard import Denial
from fordstair.decisions.actions import SendAttempt
from fordstair.decisions.events import AttemptEnded, AttemptNote, Event, QueryFinished, Status
from fordstair.decisions.settings import Settings
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.memory_budget import MemoryBudget, MemoryUse, Reservation

log = EventLog(__name__)

MAX_RESULT_BYTES = 1024 * 1024  # bounds the memory that one result takes


@dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt of a request at an engine; ``number`` counts from 0 within the request."""

    live: LiveRequest
    engine: Engine
    send: SendAttempt
    number: int

    @property
    def engine_id(self) -> str:
        """The engine's id, also if the engine is no longer listed."""
        return self.send.engine


class AttemptExecutor:
    """Executes attempts, one at a time for each request."""

    def __init__(
        self,
        settings: Settings,
        transports: Mapping[str, Transport],
        deadlines: Deadlines,
        counters: Counters,
        invariants: Invariants,
        requests: RequestTable,
        engines: EngineRegistry,
        extensions: Extensions,
        dispatch: Callable[[Event], None],
        memory: MemoryBudget,
    ) -> None:
        self._settings = settings
        self._transports = transports
        self._deadlines = deadlines
        self._counters = counters
        self._invariants = invariants
        self._requests = requests
        self._engines = engines
        self._extensions = extensions
        self._dispatch = dispatch
        self._memory = memory

    async def execute(self, live: LiveRequest, send: SendAttempt) -> AttemptEnded:
        """Execute one attempt and return its AttemptEnded, which must be dispatched however it ended."""
        number = live.attempt_count
        live.attempt_count += 1
        live.engine = send.engine
        live.deprioritized = False
        engine = self._engines.get(send.engine)
        denial = Denial.ENGINE_CLOSED if engine is None else self._denial(live, engine, send)
        if engine is None or denial is not None:
            # The client disconnected or the engine became unavailable before the attempt could begin. Nothing
            # is sent, but the decision module counts the attempt as in flight until it gets an AttemptEnded.
            self._record_denial(live, send, denial or Denial.ENGINE_CLOSED)
            return AttemptEnded(
                live.id, number, send.engine, Status.NOT_STARTED, 0.0, request_over=live.finished
            )
        return await self._run(Attempt(live, engine, send, number))

    async def _run(self, attempt: Attempt) -> AttemptEnded:
        with Reservation(self._memory, MemoryUse.ANSWERS) as result_memory:
            return await self._run_within(attempt, result_memory)

    async def _run_within(self, attempt: Attempt, result_memory: Reservation) -> AttemptEnded:
        """Run an attempt whose result is gathered within ``result_memory``."""
        live = attempt.live
        self._record_sent(attempt)
        sent_ms = self._deadlines.clock()
        timeout_at_ms = self._timeout_at_ms(attempt, sent_ms)
        outcome = AttemptOutcome()
        call = live.call = self._create_call(attempt, outcome, timeout_at_ms - sent_ms, result_memory)
        with self._deadlines.limit(timeout_at_ms) as live.attempt_scope:
            await self._poll_to_end(attempt, call, outcome, result_memory)
        if live.attempt_scope.cancelled_caught and self._deadlines.clock() >= timeout_at_ms:
            outcome.status = Status.TIMEOUT
        if outcome.status is not Status.OK:  # what may still run must be abandoned before the next attempt
            outcome.may_still_run = not await call.abandon()
        live.send_guard.end(outcome.status, may_still_run=outcome.may_still_run)
        live.attempt_scope = None
        live.call = None
        served_ms = outcome.query_finished_ms if outcome.status is Status.OK else 0.0
        took_ms = (served_ms or self._deadlines.clock()) - sent_ms
        self._record_end(attempt, outcome, took_ms)
        if outcome.status is Status.OK:
            self._requests.serve(live, outcome.pages)
        return AttemptEnded(
            live.id,
            attempt.number,
            attempt.engine_id,
            outcome.status,
            took_ms,
            request_over=live.finished,
            report=outcome.load_report,
            may_still_run=outcome.may_still_run,
            may_connect_late=outcome.may_connect_late,
        )

    def _timeout_at_ms(self, attempt: Attempt, sent_ms: float) -> float:
        """Return when the attempt times out: at the request's deadline, or at its own limit if earlier."""
        if attempt.send.limit_ms > 0.0:
            return min(attempt.live.deadline_ms, sent_ms + attempt.send.limit_ms)
        return attempt.live.deadline_ms

    def _create_call(
        self, attempt: Attempt, outcome: AttemptOutcome, timeout_ms: float, result_memory: Reservation
    ) -> Call:
        # The transport calls _may_send right before the first byte: while it was connecting, the engine may
        # have begun to drain, or the request may have been abandoned.
        live = attempt.live
        return self._transports[attempt.engine.protocol].call(
            AttemptRequest(
                live.query,
                attempt.engine,
                live.priority,
                timeout_ms,
                partial(self._may_send, attempt),
                partial(self._reserve_result, result_memory),
                partial(self._query_finished, attempt, outcome),
            )
        )

    async def _reserve_result(self, result_memory: Reservation, size: int) -> None:
        """Wait until there is room for ``size`` more bytes of a result; raise AttemptFailedError if never."""
        if result_memory.size + size > min(MAX_RESULT_BYTES, self._memory.most_bytes(MemoryUse.ANSWERS)):
            raise AttemptFailedError(Status.ERROR, "the result exceeds the limit on its size")
        await result_memory.extend(size)

    def _query_finished(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Free the engine's threads for other requests while the result is checked."""
        if outcome.query_finished_ms:
            return
        outcome.query_finished_ms = self._deadlines.clock()
        self._dispatch(QueryFinished(attempt.live.id, attempt.number))
        if (queue := self._extensions.admission_queue) is not None:
            queue.release()

    async def _may_send(self, attempt: Attempt) -> bool:
        """Return whether the request may be sent now; no other task runs between the check and the send."""
        live = attempt.live
        await live.reply.drain_input()
        if (denial := self._denial(live, attempt.engine, attempt.send)) is not None:
            self._record_denial(live, attempt.send, denial)
            return False
        now_ms = self._deadlines.clock()
        live.send_guard.begin(now_ms)
        log.debug("attempt.begun", **_log_fields(attempt), left_ms=round(live.deadline_ms - now_ms))
        return True

    def _denial(self, live: LiveRequest, engine: Engine, send: SendAttempt) -> Denial | None:
        """Return why an attempt must not begin now; None if it may."""
        if live.finished:
            return Denial.REQUEST_FINISHED
        if not engine.ready or not self._engines.is_current(engine):
            return Denial.ENGINE_CLOSED
        now = self._deadlines.clock()
        return Denial.WINDOW_OVER if now > send.begin_by else live.send_guard.denial(now)

    async def _poll_to_end(
        self, attempt: Attempt, call: Call, outcome: AttemptOutcome, result_memory: Reservation
    ) -> None:
        """Poll an attempt until it has ended, and record in ``outcome`` how it ended."""
        watch = self._extensions.zone_watch
        try:
            progress = await call.start()
            while progress.running:
                if watch is not None:
                    watch.engine_responded(attempt.live.id, attempt.engine_id)
                if progress.note is not None:
                    self._dispatch(
                        AttemptNote(attempt.live.id, attempt.number, attempt.engine_id, *progress.note)
                    )
                progress = await call.poll()
            outcome.load_report = progress.load_report
            if len(progress.rows) > FIRST_PAGE_BYTES:
                await self._reserve_result(result_memory, len(progress.rows) - FIRST_PAGE_BYTES)
            remaining_bytes = MAX_RESULT_BYTES - len(progress.rows)
            outcome.pages = [progress.rows, *await call.remaining_pages(remaining_bytes)]
            # Set only after the last page: losing a page is an error of an attempt that may have run.
            outcome.status = Status.OK
        except AttemptFailedError as failure:
            outcome.status = failure.status
            outcome.load_report = failure.load_report
            outcome.may_connect_late = failure.may_connect_late
            outcome.reason = str(failure)
            if watch is not None and not failure.reachable:
                watch.connect_failed(attempt.engine_id)

    def _record_denial(self, live: LiveRequest, send: SendAttempt, denial: Denial) -> None:
        """Count an attempt that was denied; fail the request if the denial shows an invariant violation."""
        self._counters.add(f"denied.{denial.name.lower()}")
        if (rule := denial.violates) is None:
            return
        self._invariants.record_violation(
            rule, txn=live.query.transaction_id, engine=send.engine, attempt=live.attempt_count - 1
        )
        self._requests.fail(live, denial.value)

    def _record_sent(self, attempt: Attempt) -> None:
        query = attempt.live.query
        self._counters.add(f"sent.{query.class_name}")
        if (watch := self._extensions.zone_watch) is not None:
            watch.attempt_sent(attempt.live.id)
        if attempt.number:
            self._counters.add(f"retried.{query.class_name}")
            left_ms = round(attempt.live.deadline_ms - self._deadlines.clock())
            log.info("attempt.retried", **_log_fields(attempt), left_ms=left_ms)

    def _record_end(self, attempt: Attempt, outcome: AttemptOutcome, took_ms: float) -> None:
        query, status = attempt.live.query, outcome.status
        attempt.live.used_thread_ms += took_ms * self._settings.classes[query.class_index].threads
        self._counters.add(f"outcome.{status.value}")
        if (watch := self._extensions.zone_watch) is not None:
            watch.attempt_ended(attempt.live.id)
            if status is Status.OK:
                watch.engine_responded(attempt.live.id, attempt.engine_id)
        if status is not Status.OK:
            log.info(
                "attempt.ended",
                **_log_fields(attempt),
                status=status.value,
                not_run=status.proves_not_run,
                may_still_run=outcome.may_still_run,
                after_ms=round(took_ms),
                why=outcome.reason,
            )


def _log_fields(attempt: Attempt) -> dict[str, str | int]:
    """Return the log fields that identify an attempt."""
    query = attempt.live.query
    return {
        "txn": query.transaction_id,
        "class_name": query.class_name,
        "attempt": attempt.number,
        "engine": attempt.engine_id,
    }
