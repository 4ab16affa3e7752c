"""Decides when the next snapshot is due for the consoles that follow. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

# At most five snapshots a second.
MIN_INTERVAL_MS = 200.0
# Without changes a snapshot is due after this time: it shows followers that nothing has changed.
HEARTBEAT_MS = 400.0
# A follower that does not take a frame and acknowledge it in this time is disconnected.
SLOW_FOLLOWER_TIMEOUT_MS = 5_000.0
# Snapshots with many rows are collected less often, down to the heartbeat rate, so that collecting takes no
# larger share of the time.
MAX_COLLECTION_SHARE = 0.05


@dataclass(slots=True)
class SnapshotSchedule:
    """Decides when the next snapshot is collected; all followers share it.

    Attributes:
        interval_ms: The shortest time between two snapshots.
        heartbeat_ms: The time until the next snapshot if nothing changes; also the longest interval.
        collected_ms: When the latest snapshot was collected.
        collection_ms: How long collecting it took.
    """

    interval_ms: float = MIN_INTERVAL_MS
    heartbeat_ms: float = HEARTBEAT_MS
    collected_ms: float = float("-inf")
    collection_ms: float = 0.0

    def record_collection(self, now_ms: float, collection_ms: float) -> None:
        """Record that a snapshot was collected, and how long that took."""
        self.collected_ms = now_ms
        self.collection_ms = max(0.0, collection_ms)

    def due_in_ms(self, now_ms: float, changed: bool) -> float:
        """Return the time (ms) until the next snapshot is due; 0 if it is due now."""
        if self.collected_ms > now_ms:  # The caller's clock went back.
            self.collected_ms = now_ms - self.interval_ms
        interval_ms = max(self.interval_ms, min(self.heartbeat_ms, self.collection_ms / MAX_COLLECTION_SHARE))
        return max(0.0, self.collected_ms + (interval_ms if changed else self.heartbeat_ms) - now_ms)
