"""A token bucket for fleets, in which many coordinators share one rate without synchronisation."""

from __future__ import annotations

import math
from random import Random


class TokenBucket:
    """A token bucket with a random initial fill, which grants a partial token with a matching probability.

    Both prevent hundreds of coordinators, each with a small share of one rate, from admitting in lockstep or
    never.
    """

    __slots__ = ("refilled_at", "tokens")

    def __init__(self) -> None:
        # NaN until first use, when the burst is known.
        self.tokens = math.nan
        self.refilled_at = 0.0

    def take(self, now: float, rate_per_s: float, burst: float, random: Random) -> bool:
        """Refill at the rate up to the burst; return whether a token was taken.

        With less than one token left, the probability of taking it is the part that is left.
        """
        if math.isnan(self.tokens):
            self.tokens = burst * random.random()
            self.refilled_at = now
        self.tokens = min(burst, self.tokens + max(0.0, now - self.refilled_at) * rate_per_s / 1000.0)
        self.refilled_at = now
        if self.tokens < 1.0 and random.random() >= self.tokens:
            return False
        self.tokens -= 1.0
        return True
