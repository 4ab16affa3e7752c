"""The Retry-After times of rejected requests: one after the other, as there is capacity; pure.

Whoever is given the same time comes back with all others, as one wave that is rejected again. So each is
given a place behind those before it, at the rate at which requests are really released.
"""

from __future__ import annotations

from random import Random

JITTER = 0.2  # of the time given, either way: clients' ways differ less than that
OVERFLOW_FROM = 0.5  # of the longest time: places beyond it are spread over what follows


class RetryAfterSchedule:
    """Places in time behind one another."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._last_ms = 0.0

    def next_ms(self, now_ms: float, wait_ms: float, releases_per_ms: float, max_ms: float) -> float:
        """Return how long to stay away, at most ``max_ms``: ``wait_ms``, and behind the last one given.

        Where nothing waits (``releases_per_ms`` is 0) there is no queue to stand in. Past ``max_ms`` places
        would only pile up: from there on they are spread over its second half.
        """
        behind_ms = self._last_ms + 1.0 / releases_per_ms if releases_per_ms > 0.0 else 0.0
        at_ms = max(now_ms + wait_ms, behind_ms)
        if at_ms - now_ms > max_ms:
            return max_ms * self._random.uniform(OVERFLOW_FROM, 1.0)
        self._last_ms = at_ms
        return min(max_ms, (at_ms - now_ms) * self._random.uniform(1.0 - JITTER, 1.0 + JITTER))
