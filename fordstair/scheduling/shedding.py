"""Whom to turn away while a queue stands: the costly ones of a class first, and of teams beyond their budget.

The design page's rule, "under pressure the heavy queries of a class are refused more than its light ones", is
the module's on engines' pressure. A queue before the module keeps that pressure off the engines, so the same
rule has to read the queue: pressure is the wait to come over the time that the request can spare.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

CALM, FULL = 3.0, 0.25  # times the class's mean cost that may wait: without pressure, and at 1
STARTS, ENDS = 0.1, 0.9  # parts of the time to spare at which pressure starts, and is 1
LENIENT = 0.5  # part of the pressure that a team within its budget feels
STEP = 0.02


@dataclass(slots=True)
class Shedding:
    """The classes' mean costs as they arrive, and the rule."""

    means: dict[int, float] = field(default_factory=dict)

    def see(self, class_index: int, work_ms: float) -> None:
        """Take one arrival's predicted work into its class's mean."""
        before = self.means.setdefault(class_index, work_ms)
        self.means[class_index] = before + (work_ms - before) * STEP

    def too_costly(
        self, class_index: int, work_ms: float, wait_ms: float, spare_ms: float, within: bool
    ) -> bool:
        """Whether to turn a request away now, for what it costs."""
        if spare_ms <= 0.0 or not math.isfinite(wait_ms):
            return True
        pressure = (wait_ms / spare_ms - STARTS) / (ENDS - STARTS) * (LENIENT if within else 1.0)
        pressure = min(1.0, max(0.0, pressure))
        if not pressure:
            return False
        most: float = CALM * (FULL / CALM) ** pressure
        return work_ms > most * self.means.get(class_index, work_ms)
