"""One request while it is worked on, and how an attempt of it ended."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from fordstair.core.ports import Call, Query, Reply
from fordstair.core.send_guard import SendGuard
from fordstair.decisions.actions import SendAttempt
from fordstair.decisions.events import Status


@dataclass(slots=True, eq=False)
class LiveRequest:
    """A request that is being worked on; times are milliseconds of the monotonic clock."""

    id: int
    query: Query
    reply: Reply
    received_ms: float
    deadline_ms: float  # when its client stops waiting
    send_guard: SendGuard
    priority: int = 1  # 0 to 3
    deprioritized: bool = False  # runs beyond its team's quota while others wait
    attempt_count: int = 0
    used_thread_ms: float = 0.0  # thread-milliseconds at engines so far
    engine: str = ""  # of the latest attempt
    finished: bool = False  # its final answer is given, or nobody waits for one
    pending_send: SendAttempt | None = None  # ordered by the decision module, and not begun yet
    wakeup: trio.Event = field(default_factory=trio.Event)  # a send is pending, or the request is finished
    call: Call | None = None
    attempt_scope: trio.CancelScope | None = None  # of the attempt in flight

    async def next_send(self) -> SendAttempt | None:
        """Wait for the decision module's next send; return None once the request is finished."""
        while self.pending_send is None and not self.finished:
            self.wakeup = trio.Event()
            await self.wakeup.wait()
        send = self.pending_send
        self.pending_send = None
        return send

    def abandon(self) -> None:
        """Finish without an answer, and give up the attempt in flight."""
        self.finished = True
        self.wakeup.set()
        if self.attempt_scope is not None:
            self.attempt_scope.cancel()


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended, recorded while it is polled."""

    status: Status = Status.CANCELLED
    pages: list[bytes] = field(default_factory=list)
    load_report: tuple[float, ...] = ()
    may_still_run: bool = False  # it may begin or run yet
    may_connect_late: bool = False  # its connection may come up yet
    reason: str = ""  # of a failure, for the log
