"""What the parts of one member's state machine share."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from fordstair.membership.configuration import MembershipConfig
from fordstair.membership.local_health import LocalHealth
from fordstair.membership.timers import Action, TimerHandle, Timers

JITTER_FACTOR = 0.1  # of each interval, either way: members must not act in step


@dataclass(slots=True)
class MemberContext:
    """Configuration, time, timers, random numbers, counters and the local health of one member."""

    config: MembershipConfig
    random: Random
    timers: Timers = field(default_factory=Timers)
    counts: Counter[str] = field(default_factory=Counter)
    local_health: LocalHealth = field(default_factory=LocalHealth)
    now_ms: float = 0.0  # set at each entry of the state machine
    _sequence: int = 0

    def __post_init__(self) -> None:
        self._sequence = self.random.getrandbits(24)

    def next_sequence(self) -> int:
        """Return a sequence number for a probe."""
        self._sequence = (self._sequence + 1) % 2**32
        return self._sequence

    def after(self, delay_ms: float, action: Action) -> TimerHandle:
        """Set a timer from now."""
        return self.timers.add(self.now_ms + delay_ms, action)

    def jittered(self, interval_ms: float) -> float:
        """Return an interval (ms), a little shorter or longer at random."""
        return interval_ms * self.random.uniform(1.0 - JITTER_FACTOR, 1.0 + JITTER_FACTOR)
