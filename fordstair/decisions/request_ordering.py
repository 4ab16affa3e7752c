"""The queue of an ordering key: its requests are sent one after the other, in the order of arrival.

Used on the simulator only: the coordinator's fronts know no ordering keys.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from fordstair.decisions.events import Status
from fordstair.decisions.settings import Settings
from fordstair.decisions.tracked_request import TrackedRequest

# How an attempt may end while its work goes on at the engine.
UNCERTAIN_STATUSES = (Status.TIMEOUT, Status.RESET, Status.CANCELLED)
SETTLE_MARGIN_MS = 1.0


def settled_at(now: float, status: Status, settings: Settings) -> float:
    """Return when the next request of a key may be sent after an attempt that ended so."""
    if status in UNCERTAIN_STATUSES:
        return now + settings.ordering_settle_ms + SETTLE_MARGIN_MS
    return now


@dataclass(slots=True, eq=False)
class OrderingQueue:
    """The requests of one key."""

    key: int
    requests: deque[TrackedRequest] = field(default_factory=deque)
    attempts_in_flight: int = 0
    settles_at: float = -math.inf
    is_advancing: bool = False  # guards against advancing anew from within, when the head is rejected

    def record_attempt_end(self, settles_at: float) -> None:
        """Count an attempt that has ended; nothing more of the key is sent until it has settled."""
        self.attempts_in_flight -= 1
        self.settles_at = max(self.settles_at, settles_at)

    def next_request(self, now: float) -> TrackedRequest | None:
        """Return the request whose turn it is to be sent for the first time; finished ones are dropped."""
        if self.attempts_in_flight or now < self.settles_at:
            return None
        while self.requests and self.requests[0].finished:
            self.requests.popleft()
        if not self.requests:
            return None
        head = self.requests[0]
        return None if head.attempts_sent or head.awaits_health_checks else head
