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
    """A request that is being worked on."""

    id: int
    query: Query
    reply: Reply
    taken_ms: float
    deadline_ms: float
    guard: SendGuard
    priority: int = 1
    lowered: bool = False  # runs beyond its team's budget while others wait
    attempts: int = 0
    held_ms: float = 0.0  # thread-milliseconds at engines so far
    engine: str = ""
    over: bool = False  # its final answer is given, or nobody waits for one
    order: SendAttempt | None = None
    ordered: trio.Event = field(default_factory=trio.Event)
    call: Call | None = None
    scope: trio.CancelScope | None = None  # of the attempt that is out

    async def next_order(self) -> SendAttempt | None:
        """Wait for the module's next send; None once the request is over."""
        while self.order is None and not self.over:
            self.ordered = trio.Event()
            await self.ordered.wait()
        order, self.order = self.order, None
        return order

    def end(self) -> None:
        """Nothing more is owed to the client; what is out is given up."""
        self.over = True
        self.ordered.set()
        if self.scope is not None:
            self.scope.cancel()


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended, put down while it is followed."""

    status: Status = Status.CANCELLED
    pages: list[bytes] = field(default_factory=list)
    report: tuple[float, ...] = ()
    may_still_run: bool = False  # it may begin or run yet
    late: bool = False  # its connection may come up yet
    why: str = ""
