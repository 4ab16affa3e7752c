"""Retry-After times of rejected requests, spaced at the rate of release; pure.

Clients that are given the same time come back together, as one wave that is rejected again. So each rejected
request is given a time slot after the previous one, at the rate at which requests are actually released.
"""

from __future__ import annotations

from random import Random

# Jitter of the time given, either way; differences in network latency alone are smaller.
JITTER_FRACTION = 0.2
# Slots beyond the longest time are spread between this fraction of it and all of it.
OVERFLOW_MIN_FRACTION = 0.5


class RetryAfterSchedule:
    """Assigns consecutive time slots to rejected requests."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._last_ms = 0.0

    def next_ms(self, now_ms: float, wait_ms: float, releases_per_ms: float, max_ms: float) -> float:
        """Return the time after which the client may retry, at most ``max_ms``.

        The time is at least ``wait_ms`` (before jitter) and after the last slot given. Where nothing waits
        (``releases_per_ms`` is 0) there are no slots. Beyond ``max_ms`` slots would pile up at the maximum,
        so from there on they are spread over its second half and move no slot.
        """
        next_slot_ms = self._last_ms + 1.0 / releases_per_ms if releases_per_ms > 0.0 else 0.0
        slot_ms = max(now_ms + wait_ms, next_slot_ms)
        if slot_ms - now_ms > max_ms:
            return max_ms * self._random.uniform(OVERFLOW_MIN_FRACTION, 1.0)
        self._last_ms = slot_ms
        return min(
            max_ms, (slot_ms - now_ms) * self._random.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
        )
