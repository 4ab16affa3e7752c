"""Spreads the reading of large messages over several turns of the event loop."""

from __future__ import annotations

from collections import deque

import trio

LARGE_READS_PER_TURN = 8


class ReadPacer:
    """Lets LARGE_READS_PER_TURN reads pass in each turn of the event loop; the others wait in order.

    Hundreds of clients that send large messages at once would otherwise make a turn so long that everybody
    else is answered late.
    """

    def __init__(self) -> None:
        self._waiting = deque[trio.Event]()
        self._read_this_turn = 0

    async def wait(self) -> None:
        """Wait for the place of the caller in a turn; if cancelled by then, do not go on."""
        if not self._waiting and self._read_this_turn < LARGE_READS_PER_TURN:
            self._read_this_turn += 1
            if self._read_this_turn == 1:
                trio.lowlevel.spawn_system_task(self._run_turns)
        else:
            await self._wait_for_place()
        await trio.lowlevel.checkpoint_if_cancelled()  # its connection may have been closed meanwhile

    async def _wait_for_place(self) -> None:
        place = trio.Event()
        self._waiting.append(place)
        try:
            await place.wait()
        except trio.Cancelled:
            if not place.is_set():
                self._waiting.remove(place)
            raise

    async def _run_turns(self) -> None:
        """Begin a new turn until nobody has read in the last one."""
        while self._read_this_turn:
            await trio.lowlevel.cancel_shielded_checkpoint()
            self._read_this_turn = min(LARGE_READS_PER_TURN, len(self._waiting))
            for _ in range(self._read_this_turn):
                self._waiting.popleft().set()
