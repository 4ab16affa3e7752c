"""The queue of an ordering key, whose requests are sent one at a time in the order of arrival.

Used on the simulator only: the coordinator's fronts have no ordering keys.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from fordstair.decisions.events import Status
from fordstair.decisions.settings import Settings
from fordstair.decisions.tracked_request import TrackedRequest

# Statuses with which an attempt may end while its work continues at the engine.
UNCERTAIN_STATUSES = (Status.TIMEOUT, Status.RESET, Status.CANCELLED)
SETTLE_MARGIN_MS = 1.0


def settled_at(now: float, status: Status, settings: Settings) -> float:
    """Return when the next request of a key may be sent after an attempt that ended with this status."""
    if status in UNCERTAIN_STATUSES:
        return now + settings.ordering_settle_ms + SETTLE_MARGIN_MS
    return now


@dataclass(slots=True, eq=False)
class OrderingQueue:
    """The requests of one key.

    Attributes:
        settles_at: Time until which nothing is sent, as an ended attempt may still run.
        is_advancing: Prevents re-entry of the gateway's loop over the queue when it rejects the head.
    """

    key: int
    requests: deque[TrackedRequest] = field(default_factory=deque)
    attempts_in_flight: int = 0
    settles_at: float = -math.inf
    is_advancing: bool = False

    def record_attempt_end(self, settles_at: float) -> None:
        """Record the end of an attempt; no further request of the key is sent until it has settled."""
        self.attempts_in_flight -= 1
        self.settles_at = max(self.settles_at, settles_at)

    def next_request(self, now: float) -> TrackedRequest | None:
        """Return the first unfinished request if it may be sent for the first time; drop finished ones."""
        if self.attempts_in_flight or now < self.settles_at:
            return None
        while self.requests and self.requests[0].finished:
            self.requests.popleft()
        if not self.requests:
            return None
        head = self.requests[0]
        return None if head.attempts_sent or head.awaits_health_checks else head
