"""A token bucket that fits fleets: many coordinators share one rate without a common rhythm."""

from __future__ import annotations

import math
from random import Random


class TokenBucket:
    """A token bucket that starts at a random fill, and lends its last part of a token by chance.

    Both keep hundreds of coordinators, each with a small part of one rate, from admitting in step or never.
    """

    __slots__ = ("refilled_at", "tokens")

    def __init__(self) -> None:
        self.tokens = math.nan  # until first use
        self.refilled_at = 0.0

    def take(self, now: float, rate_per_s: float, burst: float, random: Random) -> bool:
        """Refill at the rate, up to the burst; take a token if there is one, or a part of one by chance."""
        if math.isnan(self.tokens):
            self.tokens = burst * random.random()
            self.refilled_at = now
        self.tokens = min(burst, self.tokens + max(0.0, now - self.refilled_at) * rate_per_s / 1000.0)
        self.refilled_at = now
        if self.tokens < 1.0 and random.random() >= self.tokens:
            return False
        self.tokens -= 1.0
        return True
