"""Spreads the arrivals of requests over turns of the event loop.

What has come while the program was paused or busy is read in one turn. Handed on in that turn as well, all of
it would count as in flight before any of it can end, and keep the tasks waiting whose attempts are under way.
"""

from __future__ import annotations

from collections import deque

import trio

ARRIVALS_PER_TURN = 2


class ArrivalPacer:
    """Lets ARRIVALS_PER_TURN requests pass in one turn of the event loop; the others wait in their order."""

    def __init__(self) -> None:
        self._passed = 0  # in this turn
        self._waiting: deque[trio.Event] = deque()
        self._wakeup = trio.Event()  # set once something has passed in this turn

    async def run(self) -> None:
        """Begin a new turn after each one in which something has passed, until cancelled."""
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            self._passed = 0
            while self._waiting and self._passed < ARRIVALS_PER_TURN:
                self._waiting.popleft().set()
                self._note_passed()
            await trio.lowlevel.checkpoint()

    def pass_now(self) -> bool:
        """Let a request pass if nobody waits and the turn has room; return whether it has passed."""
        if self._waiting or self._passed >= ARRIVALS_PER_TURN:
            return False
        self._note_passed()
        return True

    async def wait(self) -> None:
        """Wait behind the others until one more request may pass."""
        may_pass = trio.Event()
        self._waiting.append(may_pass)
        try:
            await may_pass.wait()
        except trio.Cancelled:
            if not may_pass.is_set():
                self._waiting.remove(may_pass)
            raise

    def release_all(self) -> None:
        """Let all pass that wait now."""
        while self._waiting:
            self._waiting.popleft().set()

    def _note_passed(self) -> None:
        self._passed += 1
        self._wakeup.set()
