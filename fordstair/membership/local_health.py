"""How healthy this member judges itself: Lifeguard's local health multiplier, and isolation; pure."""

from __future__ import annotations

MAX_SCORE = 8  # Lifeguard's S: own intervals and timeouts stretch to at most nine times their base
ISOLATED_AFTER_ROUNDS = 3  # probe rounds without any answer, while other members are heard


class LocalHealth:
    """A saturating score from 0, healthy, to ``max_score`` (Lifeguard, section IV-A), and whether isolated.

    Signs of slowness are a probe without an answer, a relay's missing Nack, a suspicion of this member that
    it had to refute, and timers that fired late; an answered probe is a sign of health.

    A member is isolated, beyond the paper, where it hears others but neither targets nor relays answer it:
    what it sends is lost. It must accuse nobody, and let no suspicion expire, until it is answered again.
    """

    def __init__(self, max_score: int = MAX_SCORE) -> None:
        self.score = 0
        self.isolated = False
        self._max_score = max_score
        self._unanswered_rounds = 0

    def add(self, signs: int) -> None:
        """Count signs of slowness; negative ones are signs of health."""
        self.score = max(0, min(self._max_score, self.score + signs))

    def scale(self, interval_ms: float) -> float:
        """Return one of this member's own intervals (ms), stretched by its score."""
        return interval_ms * (self.score + 1)

    def answered(self) -> None:
        """Note a probe round in which the target or a relay has answered."""
        self._unanswered_rounds = 0
        self.isolated = False

    def unanswered(self) -> bool:
        """Note a round that nobody answered while others were heard; True if this shows the isolation."""
        self._unanswered_rounds += 1
        if self.isolated or self._unanswered_rounds < ISOLATED_AFTER_ROUNDS:
            return False
        self.isolated = True
        return True
