"""The gossip queue: updates to piggyback on whatever is sent (SWIM, section 4.1); pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fordstair.membership.messages import Update, encoded_bytes

RETRANSMIT_FACTOR = 4  # SWIM's lambda: an update is sent so many times log10(N + 1), rounded up
MAX_PIGGYBACKED = 32  # updates on one message
MIN_UPDATE_BYTES = 60  # with less space left, no further update is tried


@dataclass(slots=True)
class _Queued:
    update: Update
    size_bytes: int
    number: int  # in order of queueing
    times_sent: int = 0


class Dissemination:
    """At most one queued update a member, the newest; each is dropped once it was sent often enough.

    Those sent least go first, the newest of them before the others.
    """

    def __init__(self) -> None:
        self._queue: dict[str, _Queued] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, update: Update) -> None:
        """Queue an update; it replaces an older one on the same member."""
        self._number += 1
        self._queue[update.name] = _Queued(update, encoded_bytes(update), self._number)

    def discard(self, name: str) -> None:
        """Spread nothing more on a member."""
        self._queue.pop(name, None)

    def select(self, member_count: int, space_bytes: int, first: Iterable[Update] = ()) -> tuple[Update, ...]:
        """Return the updates for a message with that much space; ``first`` goes before those queued."""
        selected = list(first)
        names = {update.name for update in selected}
        space_bytes -= sum(encoded_bytes(update) for update in selected)
        max_times = RETRANSMIT_FACTOR * max(1, math.ceil(math.log10(member_count + 1)))
        for queued in sorted(self._queue.values(), key=lambda each: (each.times_sent, -each.number)):
            if len(selected) >= MAX_PIGGYBACKED or space_bytes < MIN_UPDATE_BYTES:
                break
            if queued.size_bytes > space_bytes or queued.update.name in names:
                continue
            selected.append(queued.update)
            space_bytes -= queued.size_bytes
            queued.times_sent += 1
            if queued.times_sent >= max_times:
                del self._queue[queued.update.name]
        return tuple(selected)
