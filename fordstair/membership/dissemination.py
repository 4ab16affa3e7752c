"""News to pass on, piggybacked on whatever is sent (SWIM, section 4.1); pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fordstair.membership.messages import Update, size


@dataclass(slots=True)
class _Rumour:
    update: Update
    bytes: int
    number: int
    sent: int = 0


class Dissemination:
    """At most one rumour a member, the newest; each is sent some ``spread`` log10(N + 1) times, then dropped.

    Those sent least go first, the newest of them before the others.
    """

    def __init__(self, spread: int = 4) -> None:
        self.spread = spread
        self._rumours: dict[str, _Rumour] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._rumours)

    def add(self, update: Update) -> None:
        """Spread an update; it takes the place of an older one on the same member."""
        self._number += 1
        self._rumours[update.name] = _Rumour(update, size(update), self._number)

    def forget(self, name: str) -> None:
        """Spread nothing more on a member."""
        self._rumours.pop(name, None)

    def news(self, members: int, room: int, first: Iterable[Update] = ()) -> tuple[Update, ...]:
        """Return what goes on a message with that many bytes of room; ``first`` goes before all rumours."""
        chosen, names = list[Update](), set[str]()
        for update in first:
            chosen.append(update)
            names.add(update.name)
            room -= size(update)
        most = self.spread * max(1, math.ceil(math.log10(members + 1)))
        for rumour in sorted(self._rumours.values(), key=lambda each: (each.sent, -each.number)):
            if len(chosen) >= 32 or room < 60:
                break
            if rumour.bytes > room or rumour.update.name in names:
                continue
            chosen.append(rumour.update)
            room -= rumour.bytes
            rumour.sent += 1
            if rumour.sent >= most:
                del self._rumours[rumour.update.name]
        return tuple(chosen)
