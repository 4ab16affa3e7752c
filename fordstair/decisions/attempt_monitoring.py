"""Attempt monitoring: when a running attempt is checked, and when it is cancelled for a retry elsewhere."""

from __future__ import annotations

from fordstair.decisions.cost_model import BAD_PLAN_FACTOR
from fordstair.decisions.settings import Settings
from fordstair.decisions.tracked_request import TrackedAttempt

FIRST_CHECK_LATENCY_FACTOR = 3.0
MIN_CHECK_INTERVAL_MS = 300.0
# Without progress notes, a run longer than this many times the expected latency counts as a bad plan.
OVERLONG_FACTOR = 3.5
# Progress does not indicate a bad plan before this much time.
MIN_ELAPSED_FOR_PROGRESS_MS = 500.0
MIN_PROGRESS = 0.01
# Expected latencies that must remain of a bad plan: a new attempt takes about one, and may be slow as well.
MIN_REMAINING_FACTOR = 2.0


class AttemptMonitor:
    """Decides when an attempt is checked, and whether it is silent, overlong or has a bad plan."""

    def __init__(self, settings: Settings) -> None:
        self._has_progress_notes = bool(settings.progress_interval_ms)

    def first_check_ms(self, attempt: TrackedAttempt) -> float:
        """Return the time from sending an attempt to its first check."""
        return max(MIN_CHECK_INTERVAL_MS, FIRST_CHECK_LATENCY_FACTOR * attempt.expected_latency_ms)

    def next_check_ms(self, attempt: TrackedAttempt) -> float:
        """Return the time from one check of an attempt to the next."""
        return max(MIN_CHECK_INTERVAL_MS, attempt.expected_latency_ms)

    def is_silent(self, attempt: TrackedAttempt) -> bool:
        """Return whether the engine has shown no sign of work since the attempt was sent."""
        return attempt.engine.last_activity_at < attempt.sent_at

    def is_overlong(self, now: float, attempt: TrackedAttempt) -> bool:
        """Return whether an attempt at an engine that is not silent has run too long; asked at its checks.

        False if engines send progress notes: these distinguish a bad plan from a long run, which elapsed
        time alone does not. True for a class that waits for loads: the query is probably waiting for one,
        and another engine may not be running it.
        """
        if self._has_progress_notes:
            return False
        if attempt.request.spec.waits_for_loads:
            return True
        return now - attempt.sent_at > OVERLONG_FACTOR * attempt.expected_latency_ms

    def has_bad_plan(self, now: float, attempt: TrackedAttempt, progress: float) -> bool:
        """Return whether a new attempt should take less time than the rest of this one, by its progress."""
        elapsed_ms = now - attempt.sent_at
        if elapsed_ms <= MIN_ELAPSED_FOR_PROGRESS_MS:
            return False
        total_ms = elapsed_ms / max(MIN_PROGRESS, progress)
        if total_ms <= BAD_PLAN_FACTOR * attempt.expected_latency_ms:
            return False
        return total_ms - elapsed_ms > MIN_REMAINING_FACTOR * attempt.expected_latency_ms
