"""Graceful shutdown: keep accepting briefly, let open requests finish, answer the rest before SIGKILL.

The platform sends SIGKILL ``KILL_GRACE_MS`` after the longest client deadline. All requests must be answered
by then: ``ANSWER_BEFORE_KILL_MS`` before SIGKILL the decision module answers those that are still open, and
the answers are flushed.
"""

from __future__ import annotations

from collections.abc import Sequence

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.rpc_front import RpcFront
from fordstair.program.fronts import FrontAcceptor
from fordstair.runtime.deadlines import Deadlines

ACCEPT_WINDOW_MS = 700.0  # clients may still connect and send requests for this long
MAX_CLIENT_DEADLINE_MS = 3_000.0  # caps the classes' timeouts when SIGKILL is predicted
KILL_GRACE_MS = 700.0
ANSWER_BEFORE_KILL_MS = 550.0
FLUSH_TIMEOUT_MS = 300.0
BACKLOG_POLL_MS = 1.0
OPEN_REQUESTS_POLL_MS = 20.0
FLUSH_POLL_MS = 10.0


class GracefulShutdown:
    """Drains one coordinator before the platform sends SIGKILL."""

    def __init__(
        self,
        coordinator: Coordinator,
        deadlines: Deadlines,
        acceptor: FrontAcceptor,
        rpc: RpcFront,
    ) -> None:
        self._coordinator = coordinator
        self._deadlines = deadlines
        self._acceptor = acceptor
        self._rpc = rpc

    async def drain(self, accepting: Sequence[trio.CancelScope], requested_ms: float | None = None) -> None:
        """Return once all requests are answered or time is up; cancel ``accepting`` to stop accepting.

        ``requested_ms`` is the earliest moment at which the drain may have been requested; None means now.
        The time until SIGKILL counts from it. The accept window counts from now, the latest such moment.
        """
        self._coordinator.draining = True
        now_ms = self._deadlines.clock()
        final_answer_ms = (
            self._sigkill_time_ms(now_ms if requested_ms is None else requested_ms) - ANSWER_BEFORE_KILL_MS
        )
        await self._deadlines.sleep(min(ACCEPT_WINDOW_MS, final_answer_ms - now_ms))
        await self._accept_backlog(final_answer_ms)
        for scope in accepting:
            scope.cancel()
        while self._deadlines.clock() < final_answer_ms and self._coordinator.open_count:
            await self._deadlines.sleep(OPEN_REQUESTS_POLL_MS)
        self._coordinator.withdraw_all()
        self._rpc.close()
        await self._flush()

    async def _flush(self) -> None:
        """Wait until all is closed, for at most FLUSH_TIMEOUT_MS.

        Counts polls instead of reading the clock, so that a pause of the process uses up one poll at most.
        """
        for _ in range(round(FLUSH_TIMEOUT_MS / FLUSH_POLL_MS)):
            if self._all_closed():
                return
            await self._deadlines.sleep(FLUSH_POLL_MS)

    def _sigkill_time_ms(self, requested_ms: float) -> float:
        """Return when the platform sends SIGKILL after a drain was requested at that time."""
        longest_ms = max(spec.client_timeout_ms for spec in self._coordinator.settings.classes)
        return requested_ms + min(MAX_CLIENT_DEADLINE_MS, longest_ms) + KILL_GRACE_MS

    async def _accept_backlog(self, until_ms: float) -> None:
        """Wait until the listeners' backlogs are empty, or until ``until_ms``.

        Closing a listener resets the connections in its backlog, and the requests sent on them are lost.
        """
        while self._deadlines.clock() < until_ms and any(
            listener.socket.is_readable() for listener in self._acceptor.listeners
        ):
            await self._deadlines.sleep(BACKLOG_POLL_MS)

    def _all_closed(self) -> bool:
        """Return whether all is answered and flushed, also for clients that were accepted a moment ago."""
        return not (self._acceptor.open_connections or self._coordinator.live)
