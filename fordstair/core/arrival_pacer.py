"""Spreads the arrivals of requests over turns of the event loop.

What has come while the program was paused or busy is read in one turn. Handed on in that turn as well, all of
it would count as in flight before any of it can end, and keep the tasks waiting whose attempts are under way.
"""

from __future__ import annotations

from collections import deque

import trio

ARRIVALS_PER_TURN = 2  # one from clients that were here before, and one from new ones, where both wait


class ArrivalPacer:
    """Lets ARRIVALS_PER_TURN requests pass in one turn of the event loop; the others wait in their order.

    The first requests of new clients wait in a line of their own: in a flood of them the others go on.
    """

    def __init__(self) -> None:
        self._passed = 0  # in this turn
        self._known: deque[trio.Event] = deque()  # of clients that have had a request before
        self._new: deque[trio.Event] = deque()
        self._wakeup = trio.Event()  # set once something has passed in this turn

    async def run(self) -> None:
        """Begin a new turn after each one in which something has passed, until cancelled."""
        while True:
            await self._wakeup.wait()  # for the next turn, also where it is set
            self._wakeup = trio.Event()
            self._passed = 0
            self._release(self._known, ARRIVALS_PER_TURN - 1)
            self._release(self._new, ARRIVALS_PER_TURN - self._passed)
            self._release(self._known, ARRIVALS_PER_TURN - self._passed)

    def pass_now(self, *, new_client: bool) -> bool:
        """Let a request pass if none of its line waits and the turn has room; return whether it may."""
        if self._line(new_client) or self._passed >= ARRIVALS_PER_TURN:
            return False
        self._note_passed()
        return True

    async def wait(self, *, new_client: bool) -> None:
        """Wait behind the others of its line until one more request may pass."""
        line = self._line(new_client)
        may_pass = trio.Event()
        line.append(may_pass)
        try:
            await may_pass.wait()
        except trio.Cancelled:
            if not may_pass.is_set():
                line.remove(may_pass)
            raise

    def release_all(self) -> None:
        """Let all pass that wait now."""
        self._release(self._known, len(self._known))
        self._release(self._new, len(self._new))

    def _line(self, new_client: bool) -> deque[trio.Event]:
        return self._new if new_client else self._known

    def _release(self, line: deque[trio.Event], count: int) -> None:
        for _ in range(min(count, len(line))):
            line.popleft().set()
            self._note_passed()

    def _note_passed(self) -> None:
        self._passed += 1
        self._wakeup.set()
