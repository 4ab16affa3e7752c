"""Outlier detection: which engines fail, fall silent or are slower than the others, and for how long.

Three scores are kept for each engine, and decay with time: the share of attempts that ended in a fault, a
silence score, and its slowness against the others. They make the factor by which an engine is drawn.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from fordstair.decisions.events import Status
from fordstair.decisions.load_estimation import LoadReport
from fordstair.decisions.tracked_engine import TrackedEngine

SCORE_HALF_LIFE_MS = 6_000.0
SCORE_DECAY_STEP_MS = 250.0
MAX_DECAY_HALF_LIVES = 60.0
ERROR_RATE_EXPONENT = 3
# The reliability of a silent engine is multiplied by this for each point of its silence score.
SILENCE_FACTOR = 0.2
MAX_EFFECTIVE_SILENCE = 3.0
MAX_SILENCE_SCORE = 4.0
# An engine whose silence score reaches this is ejected: attempts that wait there are moved.
EJECTION_SILENCE_SCORE = 1.0
# Points for an attempt or a health check without any answer; those that one served attempt takes back.
SILENCE_INCREMENT = 0.5
SILENCE_DECREMENT_PER_SERVED = 1.0
# The silence score of an engine that reports to be idle though work is due there.
IDLE_SILENCE_SCORE = 2.0
MAX_IDLE_THREADS_SHARE = 0.1
MIN_EXPECTED_THREADS = 2.0
# Under this reliability an engine is not believed to be idle: what fails fast, or is refused, looks idle.
CREDIBLE_RELIABILITY = 0.3
MIN_SPEED = 0.15
SPEED_EXPONENT = 2
MIN_SELECTION_FACTOR = 0.01  # a trickle goes on, which shows when an engine has recovered
# The error rate of an engine whose first error another engine disproved.
PROVEN_ERROR_RATE = 0.4
# An engine that is full counts as at fault, since what hangs fills up.
FAULT_STATUSES = (Status.RESET, Status.CONNECT_FAILED, Status.FULL)


class OutlierDetector:
    """Keeps the scores of engines, and says how far each is to be trusted."""

    def reliability(self, now: float, engine: TrackedEngine) -> float:
        """Return 1 for an engine without faults and silence, towards 0 with them."""
        if now - engine.scores_decayed_at >= SCORE_DECAY_STEP_MS:
            self._decay(now, engine)
        soundness = (1.0 - min(1.0, engine.error_rate.value)) ** ERROR_RATE_EXPONENT
        silence = min(MAX_EFFECTIVE_SILENCE, engine.silence_score)
        return float(soundness * SILENCE_FACTOR**silence)

    def selection_factor(self, reliability: float, engine: TrackedEngine) -> float:
        """Return the factor by which an engine is drawn: its reliability, and its speed against others."""
        speed = min(1.0, max(MIN_SPEED, 1.0 / max(0.01, engine.slowness.value)))
        return max(MIN_SELECTION_FACTOR, reliability * speed**SPEED_EXPONENT)

    def record_silence(self, engine: TrackedEngine, points: float = SILENCE_INCREMENT) -> bool:
        """Add to the silence score; return whether that ejects the engine."""
        before = engine.silence_score
        engine.silence_score = min(MAX_SILENCE_SCORE, before + points)
        return before < EJECTION_SILENCE_SCORE <= before + points

    def record_idle(self, engine: TrackedEngine) -> bool:
        """Raise the silence score of an engine that is idle without reason; return whether that ejects it."""
        return self.record_silence(engine, max(0.0, IDLE_SILENCE_SCORE - engine.silence_score))

    def is_unexpectedly_idle(self, report: LoadReport, expected_threads: float) -> bool:
        """Whether a warm engine hangs: it reports hardly any running threads though it should run some."""
        if math.isnan(report.utilised_threads) or expected_threads < MIN_EXPECTED_THREADS:
            return False
        return report.utilised_threads < MAX_IDLE_THREADS_SHARE * expected_threads

    def record_served(self, now: float, engine: TrackedEngine) -> None:
        """An engine has served an attempt: it is not silent."""
        engine.last_activity_at = now
        engine.silence_score = max(0.0, engine.silence_score - SILENCE_DECREMENT_PER_SERVED)

    def record_status(self, engine: TrackedEngine, status: Status) -> None:
        """Take the end of an attempt into the error rate, where it shows anything of the engine.

        An error shows nothing by itself: it may be the statement's own, and no engine could serve it.
        """
        if status is Status.OK:
            engine.error_rate.add(0.0)
        elif status in FAULT_STATUSES:
            engine.error_rate.add(1.0)

    def record_proven_errors(self, engines: Iterable[TrackedEngine]) -> None:
        """Another engine has served what these answered with an error: the errors were theirs."""
        for engine in engines:
            engine.error_rate.value = max(engine.error_rate.value, PROVEN_ERROR_RATE)
            engine.error_rate.add(1.0)

    @staticmethod
    def _decay(now: float, engine: TrackedEngine) -> None:
        half_lives = min(MAX_DECAY_HALF_LIVES, (now - engine.scores_decayed_at) / SCORE_HALF_LIFE_MS)
        left = 0.5**half_lives
        engine.silence_score *= left
        engine.error_rate.value *= left
        engine.slowness.value = 1.0 + (engine.slowness.value - 1.0) * left
        engine.scores_decayed_at = now
