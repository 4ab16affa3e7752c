"""Spreads the processing of newly arrived requests over several turns of the event loop.

Requests that arrived while the program was paused or busy are all read in one turn. If all were also
processed in that turn, they would count as in flight before any of them could end, and would delay the tasks
of attempts that are already in flight.
"""

from __future__ import annotations

from collections import deque

import trio

from fordstair.core.ports import ClientActivity

ARRIVALS_PER_TURN = 2  # one from a known client and one from a new client if both are waiting


class ArrivalPacer:
    """Admits ARRIVALS_PER_TURN requests in each turn of the event loop; the others wait in order of arrival.

    Requests of new clients have a queue of their own, so that a burst of them does not hold back those of
    known clients. Requests of clients that have several open already are admitted when no other one waits.
    """

    def __init__(self) -> None:
        self._admitted_this_turn = 0
        self._queues = {activity: deque[trio.Event]() for activity in ClientActivity}
        self._turn_used = trio.Event()  # set once a request has been admitted in this turn

    async def run(self) -> None:
        """Begin a new turn after each one in which a request was admitted, until cancelled."""
        while True:
            await self._turn_used.wait()  # yields even if already set, so the next turn begins
            self._turn_used = trio.Event()
            self._admitted_this_turn = 0
            self._admit(ClientActivity.KNOWN, ARRIVALS_PER_TURN - 1)
            for activity in (ClientActivity.NEW, ClientActivity.KNOWN, ClientActivity.BUSY):
                self._admit(activity, ARRIVALS_PER_TURN - self._admitted_this_turn)

    def admit_nowait(self, activity: ClientActivity) -> bool:
        """Admit a request if its queue is empty and this turn has room; return whether it was admitted."""
        if self._queues[activity] or self._admitted_this_turn >= ARRIVALS_PER_TURN:
            return False
        self._count_admission()
        return True

    async def wait(self, activity: ClientActivity) -> None:
        """Wait in the queue until the request is admitted; if cancelled, leave the queue."""
        queue = self._queues[activity]
        admitted = trio.Event()
        queue.append(admitted)
        try:
            await admitted.wait()
        except trio.Cancelled:
            if not admitted.is_set():
                queue.remove(admitted)
            raise

    def admit_all(self) -> None:
        """Admit all requests that are waiting now."""
        for activity, queue in self._queues.items():
            self._admit(activity, len(queue))

    def _admit(self, activity: ClientActivity, count: int) -> None:
        queue = self._queues[activity]
        for _ in range(min(count, len(queue))):
            queue.popleft().set()
            self._count_admission()

    def _count_admission(self) -> None:
        self._admitted_this_turn += 1
        self._turn_used.set()
