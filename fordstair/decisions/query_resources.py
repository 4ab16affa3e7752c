"""The resources that an attempt gets at its engine: memory, and the priority of its running work."""

from __future__ import annotations

from fordstair.decisions.cost_model import CostModel
from fordstair.decisions.settings import Settings
from fordstair.decisions.tracked_engine import TrackedEngine
from fordstair.decisions.tracked_request import TrackedRequest

# Priorities of the protocol, from 0 to 3; a query's share of its engine grows with its priority.
HIGH_PRIORITY = 3
NORMAL_PRIORITY = 2
LOW_PRIORITY = 1
DEFAULT_PRIORITY = 1
# Used for an engine whose memory is unknown; larger than any grant.
UNKNOWN_MEMORY_MB = 1e9


class QueryResources:
    """Decides on the memory grant and the priority right before an attempt is sent."""

    def __init__(self, settings: Settings, cost_model: CostModel) -> None:
        self._settings = settings
        self._cost_model = cost_model

    def memory_grant_mb(self, request: TrackedRequest, engine: TrackedEngine) -> float:
        """Return the memory to grant; 0 leaves it to the engine."""
        if not self._settings.memory_grants:
            return 0.0
        largest = self._settings.largest_memory_grant_share * (engine.memory_mb or UNKNOWN_MEMORY_MB)
        return min(largest, self._cost_model.memory_grant_mb(request))

    def priority(self, request: TrackedRequest) -> int:
        """Return the priority: high for a high-priority class, else low for a costly request, or normal."""
        if not self._settings.priorities:
            return DEFAULT_PRIORITY
        if self._cost_model.is_high_priority(request.class_index):
            return HIGH_PRIORITY
        is_costly = request.cost > self._cost_model.class_mean(request.class_index)
        return LOW_PRIORITY if is_costly else NORMAL_PRIORITY
