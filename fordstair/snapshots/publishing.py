"""When a snapshot is due for those that follow: decided without clock or I/O."""

from __future__ import annotations

from dataclasses import dataclass

MIN_INTERVAL_MS = 200.0  # between two frames: five a second
HEARTBEAT_MS = 400.0  # between two frames, at most: so that a follower knows that nothing has changed
SLOW_FOLLOWER_TIMEOUT_MS = 5_000.0  # for a follower to take a frame
MAX_COLLECTION_SHARE = 0.05  # of the time that goes into collecting: with many rows it is done less often


@dataclass(slots=True)
class SnapshotSchedule:
    """When the next snapshot is collected; all who follow share it."""

    interval_ms: float = MIN_INTERVAL_MS
    heartbeat_ms: float = HEARTBEAT_MS
    collected_ms: float = float("-inf")
    collection_ms: float = 0.0  # what the last collection took

    def record_collection(self, now_ms: float, collection_ms: float) -> None:
        """Note that a snapshot was collected, and how long that took."""
        self.collected_ms = now_ms
        self.collection_ms = max(0.0, collection_ms)

    def due_in_ms(self, now_ms: float, changed: bool) -> float:
        """Return how long to wait for the next snapshot; 0 where it is due."""
        if self.collected_ms > now_ms:  # the clock that is handed in has gone back
            self.collected_ms = now_ms - self.interval_ms
        interval_ms = max(self.interval_ms, min(self.heartbeat_ms, self.collection_ms / MAX_COLLECTION_SHARE))
        return max(0.0, self.collected_ms + (interval_ms if changed else self.heartbeat_ms) - now_ms)
