"""Attempt monitoring: when a running attempt is checked, and when it is cancelled to try elsewhere."""

from __future__ import annotations

from fordstair.decisions.cost_model import BAD_PLAN_FACTOR
from fordstair.decisions.settings import Settings
from fordstair.decisions.tracked_request import TrackedAttempt

FIRST_CHECK_FACTOR = 3.0  # times the expected latency
MIN_CHECK_INTERVAL_MS = 300.0
# Without progress notes, a run of so many times its expected latency counts as a bad plan.
OVERLONG_FACTOR = 3.5
# Progress tells nothing of a plan before this.
MIN_ELAPSED_FOR_PROGRESS_MS = 500.0
MIN_PROGRESS = 0.01
# A new attempt costs about one expected latency, and may be unlucky as well.
MIN_REMAINING_FACTOR = 2.0


class AttemptMonitor:
    """Says when an attempt is checked, and what its silence or its progress means."""

    def __init__(self, settings: Settings) -> None:
        self._has_progress_notes = bool(settings.progress_interval_ms)

    def first_check_ms(self, attempt: TrackedAttempt) -> float:
        """Return the time from sending an attempt to its first check."""
        return max(MIN_CHECK_INTERVAL_MS, FIRST_CHECK_FACTOR * attempt.expected_latency_ms)

    def next_check_ms(self, attempt: TrackedAttempt) -> float:
        """Return the time from one check of an attempt to the next."""
        return max(MIN_CHECK_INTERVAL_MS, attempt.expected_latency_ms)

    def is_silent(self, attempt: TrackedAttempt) -> bool:
        """Whether its engine has shown no sign of work since the attempt was sent."""
        return attempt.engine.last_activity_at < attempt.sent_at

    def is_overlong(self, now: float, attempt: TrackedAttempt) -> bool:
        """Whether an attempt at a live engine has run too long; asked at its checks.

        Where progress notes come, they tell a bad plan from a long run, and the time alone proves nothing. A
        query that waits for loads is likely to be waiting for one, which another engine may not have.
        """
        if self._has_progress_notes:
            return False
        if attempt.request.spec.waits_for_loads:
            return True
        return now - attempt.sent_at > OVERLONG_FACTOR * attempt.expected_latency_ms

    def has_bad_plan(self, now: float, attempt: TrackedAttempt, progress: float) -> bool:
        """Whether a new attempt costs less than waiting this one out, by the share that it has done."""
        elapsed_ms = now - attempt.sent_at
        if elapsed_ms <= MIN_ELAPSED_FOR_PROGRESS_MS:
            return False
        total_ms = elapsed_ms / max(MIN_PROGRESS, progress)
        if total_ms <= BAD_PLAN_FACTOR * attempt.expected_latency_ms:
            return False
        return total_ms - elapsed_ms > MIN_REMAINING_FACTOR * attempt.expected_latency_ms
