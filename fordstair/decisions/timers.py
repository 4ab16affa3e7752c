"""The timers that a gateway has requested from its host, by token."""

from __future__ import annotations

from typing import TypeAlias

from fordstair.decisions.actions import StartTimer
from fordstair.decisions.request_ordering import OrderingQueue
from fordstair.decisions.tracked_request import TrackedAttempt, TrackedRequest

TimerTarget: TypeAlias = TrackedRequest | TrackedAttempt | OrderingQueue


class Timers:
    """Maps the token of each running timer to its target."""

    def __init__(self) -> None:
        self._targets: dict[int, TimerTarget] = {}
        self._last_token = 0

    def start(self, delay_ms: float, target: TimerTarget) -> StartTimer:
        """Return the action that starts a timer for a target."""
        self._last_token += 1
        self._targets[self._last_token] = target
        return StartTimer(self._last_token, delay_ms)

    def pop_target(self, token: int) -> TimerTarget | None:
        """Remove and return a timer's target; None for a token that is unknown or has already fired."""
        return self._targets.pop(token, None)
