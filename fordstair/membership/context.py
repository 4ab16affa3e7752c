"""The context that the components of one member's state machine share."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.local_health import LocalHealth
from fordstair.membership.timers import Action, TimerHandle, Timers

JITTER_FACTOR = 0.1  # intervals vary by this share, so that members do not synchronize


@dataclass(slots=True)
class MemberContext:
    """Configuration, time, timers, random numbers, counters and local health of one member.

    Attributes:
        now_ms: The current time (ms), which each call of the state machine sets.
    """

    config: MembershipConfig
    random: Random
    timers: Timers = field(default_factory=Timers)
    counts: Counter[str] = field(default_factory=Counter)
    local_health: LocalHealth = field(default_factory=LocalHealth)
    now_ms: float = 0.0
    _sequence: int = 0

    def __post_init__(self) -> None:
        self._sequence = self.random.getrandbits(24)

    def next_sequence(self) -> int:
        """Return the next sequence number for a probe."""
        self._sequence = (self._sequence + 1) % 2**32
        return self._sequence

    def call_later(self, delay_ms: float, action: Action) -> TimerHandle:
        """Set a timer that runs the action after a delay (ms)."""
        return self.timers.add(self.now_ms + delay_ms, action)

    def jittered(self, interval_ms: float) -> float:
        """Return the interval (ms) with random jitter."""
        return interval_ms * self.random.uniform(1.0 - JITTER_FACTOR, 1.0 + JITTER_FACTOR)
