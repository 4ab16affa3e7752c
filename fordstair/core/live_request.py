"""The state of one request in progress, and the outcome of one of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from fordstair.core.ports import Call, Query, Reply
from fordstair.core.send_guard import SendGuard
from fordstair.core.statements import table_group
from fordstair.decisions.actions import SendAttempt
from fordstair.decisions.events import Status


@dataclass(slots=True, eq=False)
class LiveRequest:
    """A request in progress; times are milliseconds of the monotonic clock.

    Attributes:
        deadline_ms: latest time for an answer to reach the client before it stops waiting.
        priority: its own priority, 0 to 3.
        deprioritized: whether it runs at the lowest priority, because its team exceeds its quota while others
            wait.
        attempt_count: the number of attempts so far.
        used_thread_ms: thread-milliseconds used at engines so far.
        engine: id of the engine of the latest attempt.
        finished: whether its final answer has been given, or its client has disconnected.
        pending_send: an attempt that the decision module has requested and that has not begun.
        wakeup: set when a send is pending or the request is finished.
        call: the call of the attempt in flight.
        attempt_scope: the cancel scope of the attempt in flight.
    """

    id: int
    query: Query
    reply: Reply
    received_ms: float
    deadline_ms: float
    send_guard: SendGuard
    priority: int = 1
    deprioritized: bool = False
    attempt_count: int = 0
    used_thread_ms: float = 0.0
    engine: str = ""
    finished: bool = False
    pending_send: SendAttempt | None = None
    wakeup: trio.Event = field(default_factory=trio.Event)
    call: Call | None = None
    attempt_scope: trio.CancelScope | None = None
    _table_group: float | None = None

    @property
    def table_group(self) -> float:
        """The number of the group of tables that its statement uses; the statement is searched once."""
        if self._table_group is None:
            given = self.query.table_group
            text = self.query.statement.decode("utf-8", "replace")
            self._table_group = table_group(text) if given is None else given
        return self._table_group

    async def next_send(self) -> SendAttempt | None:
        """Wait for the decision module's next send; return None once the request is finished."""
        while self.pending_send is None and not self.finished:
            self.wakeup = trio.Event()
            await self.wakeup.wait()
        send = self.pending_send
        self.pending_send = None
        return send

    def abandon(self) -> None:
        """Finish without an answer, and cancel the attempt in flight."""
        self.finished = True
        self.wakeup.set()
        if self.attempt_scope is not None:
            self.attempt_scope.cancel()


@dataclass(slots=True)
class AttemptOutcome:
    """The outcome of an attempt, recorded while it is polled.

    Attributes:
        may_still_run: whether the attempt may still be running at the engine, or may still begin there.
        may_connect_late: whether its connection may still be established.
        query_finished_ms: when the engine had finished the query; 0 if its transport did not say.
        reason: why it failed, for the log.
    """

    status: Status = Status.CANCELLED
    pages: list[bytes] = field(default_factory=list)
    load_report: tuple[float, ...] = ()
    may_still_run: bool = False
    may_connect_late: bool = False
    query_finished_ms: float = 0.0
    reason: str = ""
