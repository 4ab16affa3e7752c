"""This member's estimate of its own health: Lifeguard's local health multiplier, and isolation; pure."""

from __future__ import annotations

MAX_SCORE = 8  # Lifeguard's S: own intervals and timeouts grow to at most nine times their base
ISOLATED_AFTER_ROUNDS = 3  # unanswered probe rounds, while messages of other members arrive


class LocalHealth:
    """A saturating score from 0 (healthy) to ``max_score`` (Lifeguard, section IV-A), and isolation.

    Signs of slowness are a probe without an answer, a relay's missing Nack, a suspicion of this member that
    it had to refute, and timers that fired late; an answered probe is a sign of health.

    Isolation is an addition to the paper. A member is isolated if it receives messages of others, but neither
    targets nor relays answer it: what it sends is lost. It must suspect nobody, and let no suspicion expire,
    until it is answered again.
    """

    def __init__(self, max_score: int = MAX_SCORE) -> None:
        self.score = 0
        self.isolated = False
        self._max_score = max_score
        self._unanswered_rounds = 0

    def add(self, signs: int) -> None:
        """Add signs of slowness to the score; negative numbers are signs of health."""
        self.score = max(0, min(self._max_score, self.score + signs))

    def scale(self, interval_ms: float) -> float:
        """Return an interval (ms) of this member, multiplied according to its score."""
        return interval_ms * (self.score + 1)

    def record_answered_round(self) -> None:
        """Record a probe round in which the target or a relay answered; it ends an isolation."""
        self._unanswered_rounds = 0
        self.isolated = False

    def record_unanswered_round(self) -> bool:
        """Record a round without an answer though others were received; return True if isolation begins."""
        self._unanswered_rounds += 1
        if self.isolated or self._unanswered_rounds < ISOLATED_AFTER_ROUNDS:
            return False
        self.isolated = True
        return True
