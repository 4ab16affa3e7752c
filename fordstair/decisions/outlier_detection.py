"""Outlier detection: which engines fail, are silent or slower than the others, and for how long.

Each engine has three scores that decay with time: its error rate (the share of attempts that ended in a
fault), its silence score, and its slowness relative to the others. They determine its selection factor.
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
# An engine whose silence score reaches this is ejected: attempts that wait there are cancelled and retried.
EJECTION_SILENCE_SCORE = 1.0
# Points added for an attempt or health check without any answer, and subtracted for a served attempt.
SILENCE_INCREMENT = 0.5
SILENCE_DECREMENT_PER_SERVED = 1.0
# Silence score of an engine that reports to be idle although it should have work.
IDLE_SILENCE_SCORE = 2.0
MAX_IDLE_THREADS_SHARE = 0.1
MIN_EXPECTED_THREADS = 2.0
# Below this reliability a low load of an engine is not trusted: one that fails fast or refuses looks idle.
CREDIBLE_RELIABILITY = 0.3
MIN_SPEED = 0.15
SPEED_EXPONENT = 2
# Keeps a few attempts going to a bad engine, which shows when it has recovered.
MIN_SELECTION_FACTOR = 0.01
# Lower bound of an engine's error rate once another engine has served what it answered with an error.
PROVEN_ERROR_RATE = 0.4
# FULL counts as a fault, since an engine that hangs fills up.
FAULT_STATUSES = (Status.RESET, Status.CONNECT_FAILED, Status.FULL)


class OutlierDetector:
    """Maintains the scores of engines, and derives their reliability and selection factor."""

    def reliability(self, now: float, engine: TrackedEngine) -> float:
        """Return an engine's reliability: 1 without faults and silence, falling towards 0 with them."""
        if now - engine.scores_decayed_at >= SCORE_DECAY_STEP_MS:
            self._decay(now, engine)
        success_factor = (1.0 - min(1.0, engine.error_rate.value)) ** ERROR_RATE_EXPONENT
        silence = min(MAX_EFFECTIVE_SILENCE, engine.silence_score)
        return float(success_factor * SILENCE_FACTOR**silence)

    def selection_factor(self, reliability: float, engine: TrackedEngine) -> float:
        """Return an engine's weight factor in the draw, from its reliability and its relative speed."""
        speed = min(1.0, max(MIN_SPEED, 1.0 / max(0.01, engine.slowness.value)))
        return max(MIN_SELECTION_FACTOR, reliability * speed**SPEED_EXPONENT)

    def record_silence(self, engine: TrackedEngine, points: float = SILENCE_INCREMENT) -> bool:
        """Add to the silence score; return whether that ejects the engine."""
        before = engine.silence_score
        engine.silence_score = min(MAX_SILENCE_SCORE, before + points)
        return before < EJECTION_SILENCE_SCORE <= before + points

    def record_idle(self, engine: TrackedEngine) -> bool:
        """Raise the silence score of an unexpectedly idle engine; return whether that ejects it."""
        return self.record_silence(engine, max(0.0, IDLE_SILENCE_SCORE - engine.silence_score))

    def is_unexpectedly_idle(self, report: LoadReport, expected_threads: float) -> bool:
        """Return whether a warm engine appears to hang: it reports far fewer threads than expected."""
        if math.isnan(report.utilised_threads) or expected_threads < MIN_EXPECTED_THREADS:
            return False
        return report.utilised_threads < MAX_IDLE_THREADS_SHARE * expected_threads

    def record_served(self, now: float, engine: TrackedEngine) -> None:
        """Record that an engine has served an attempt, which lowers its silence score."""
        engine.last_activity_at = now
        engine.silence_score = max(0.0, engine.silence_score - SILENCE_DECREMENT_PER_SERVED)

    def record_status(self, engine: TrackedEngine, status: Status) -> None:
        """Update the error rate with the end of an attempt, if its status says anything about the engine.

        ERROR alone does not: the statement itself may be at fault, so that no engine could serve it.
        """
        if status is Status.OK:
            engine.error_rate.add(0.0)
        elif status in FAULT_STATUSES:
            engine.error_rate.add(1.0)

    def record_proven_errors(self, engines: Iterable[TrackedEngine]) -> None:
        """Count an error against each engine that returned one for a request that another engine served."""
        for engine in engines:
            engine.error_rate.value = max(engine.error_rate.value, PROVEN_ERROR_RATE)
            engine.error_rate.add(1.0)

    @staticmethod
    def _decay(now: float, engine: TrackedEngine) -> None:
        half_lives = min(MAX_DECAY_HALF_LIVES, (now - engine.scores_decayed_at) / SCORE_HALF_LIFE_MS)
        decay = 0.5**half_lives
        engine.silence_score *= decay
        engine.error_rate.value *= decay
        engine.slowness.value = 1.0 + (engine.slowness.value - 1.0) * decay
        engine.scores_decayed_at = now
