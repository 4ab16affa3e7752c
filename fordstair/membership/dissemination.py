"""The gossip queue: updates to piggyback on outgoing messages (SWIM, section 4.1); pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fordstair.membership.messages import Update, encoded_bytes

# SWIM's lambda: an update is sent this many times log10(N + 1), rounded up.
RETRANSMIT_FACTOR = 4
MAX_PIGGYBACKED_UPDATES = 32
MIN_UPDATE_BYTES = 60  # with less space left, selection stops


@dataclass(slots=True)
class _QueuedUpdate:
    """A queued update; ``number`` counts the updates in the order in which they were queued."""

    update: Update
    size_bytes: int
    number: int
    times_sent: int = 0


class Dissemination:
    """Queues the newest update on each member, and drops it once it was sent often enough.

    Updates that were sent least often are selected first, and of these the newest.
    """

    def __init__(self) -> None:
        self._queue: dict[str, _QueuedUpdate] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, update: Update) -> None:
        """Queue an update, replacing the queued one on the same member."""
        self._number += 1
        self._queue[update.name] = _QueuedUpdate(update, encoded_bytes(update), self._number)

    def discard(self, name: str) -> None:
        """Drop the queued update on a member."""
        self._queue.pop(name, None)

    def select(
        self, member_count: int, space_bytes: int, required: Iterable[Update] = ()
    ) -> tuple[Update, ...]:
        """Return updates that fit into the space: ``required`` in any case, then queued ones."""
        selected = list(required)
        names = {update.name for update in selected}
        space_bytes -= sum(encoded_bytes(update) for update in selected)
        max_times = RETRANSMIT_FACTOR * max(1, math.ceil(math.log10(member_count + 1)))
        for queued in sorted(self._queue.values(), key=lambda queued: (queued.times_sent, -queued.number)):
            if len(selected) >= MAX_PIGGYBACKED_UPDATES or space_bytes < MIN_UPDATE_BYTES:
                break
            if queued.size_bytes > space_bytes or queued.update.name in names:
                continue
            selected.append(queued.update)
            space_bytes -= queued.size_bytes
            queued.times_sent += 1
            if queued.times_sent >= max_times:
                del self._queue[queued.update.name]
        return tuple(selected)
