"""How healthy this member judges itself: Lifeguard's local health multiplier (section IV-A); pure."""

from __future__ import annotations

WORST = 8  # the paper's S: timeouts stretch to at most nine times their base


class Awareness:
    """A saturating counter from 0, healthy, to ``WORST``: every sign that this member is slow raises it.

    Signs are a probe without an answer, a helper's missing Nack, a suspicion of itself that it had to refute,
    and timers of its own that fired late. An answered probe lowers it.
    """

    def __init__(self, worst: int = WORST) -> None:
        self.score, self.worst = 0, worst

    def add(self, signs: int) -> None:
        """Count signs of slowness; negative ones are signs of health."""
        self.score = max(0, min(self.worst, self.score + signs))

    def scale(self, ms: float) -> float:
        """Return a time of this member's own, stretched by its health."""
        return ms * (self.score + 1)
