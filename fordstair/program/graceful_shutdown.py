"""Draining after SIGTERM: accept for a while, let open requests end, answer the rest before SIGKILL.

The platform sends SIGKILL ``KILL_GRACE_MS`` after the longest client deadline. All must be answered by then:
the decision module answers what is still open ``ANSWER_BEFORE_KILL_MS`` earlier, and the answers are flushed.
"""

from __future__ import annotations

from collections.abc import Sequence

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.net.clients.rpc_front import RpcFront
from fordstair.program.fronts import FrontAcceptor
from fordstair.runtime.deadlines import Deadlines

ACCEPT_MS = 700.0  # new connections and requests still come for so long
LONGEST_DEADLINE_MS = 3_000.0  # at most, whatever the classes' timeouts are
KILL_GRACE_MS = 700.0
ANSWER_BEFORE_KILL_MS = 550.0
FLUSH_MS = 300.0  # for the answers to leave
BACKLOG_POLL_MS = 1.0
OPEN_POLL_MS = 20.0
FLUSH_POLL_MS = 10.0


class GracefulShutdown:
    """Ends one coordinator's work within the time that the platform leaves."""

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
        """Return once all is answered, or time is up; cancel ``accepting`` when no new client may come.

        ``requested_ms`` is the earliest moment at which the drain may have been asked for; None: just now.
        The time to SIGKILL counts from there, and the time for new clients from the latest, which is now.
        """
        self._coordinator.draining = True
        now_ms = self._deadlines.clock()
        answer_ms = self._kill_ms(now_ms if requested_ms is None else requested_ms) - ANSWER_BEFORE_KILL_MS
        await self._deadlines.sleep(min(ACCEPT_MS, answer_ms - now_ms))
        await self._accept_backlog(answer_ms)
        for scope in accepting:
            scope.cancel()
        while self._deadlines.clock() < answer_ms and self._coordinator.open_count:
            await self._deadlines.sleep(OPEN_POLL_MS)
        self._coordinator.withdraw_all()
        self._rpc.close()
        await self._flush()

    async def _flush(self) -> None:
        """Wait until all is closed, for FLUSH_MS of which a pause of the program takes one poll at most."""
        for _ in range(round(FLUSH_MS / FLUSH_POLL_MS)):
            if self._all_closed():
                return
            await self._deadlines.sleep(FLUSH_POLL_MS)

    def _kill_ms(self, requested_ms: float) -> float:
        """Return when SIGKILL comes, for a drain that was asked for at that time."""
        longest_ms = max(spec.client_timeout_ms for spec in self._coordinator.settings.classes)
        return requested_ms + min(LONGEST_DEADLINE_MS, longest_ms) + KILL_GRACE_MS

    async def _accept_backlog(self, until_ms: float) -> None:
        """Wait until who has connected by now is accepted, or the time for the last answers has come.

        Closing a listener resets the connections that wait at it, and the requests sent on them are lost.
        """
        while self._deadlines.clock() < until_ms and any(
            listener.socket.is_readable() for listener in self._acceptor.listeners
        ):
            await self._deadlines.sleep(BACKLOG_POLL_MS)

    def _all_closed(self) -> bool:
        """Whether all is answered and flushed, also for clients that were accepted a moment ago."""
        return not (self._acceptor.open_connections or self._coordinator.live)
