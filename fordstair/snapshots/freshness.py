"""Decides whether a follower's snapshot is current or stale. No I/O and no clock."""

from __future__ import annotations

from dataclasses import dataclass

STALE_AFTER_MS = 1_000.0
MS_PER_S = 1_000.0


@dataclass(slots=True)
class Freshness:
    """When a follower's snapshot was collected and received, and whether its connection has ended.

    Attributes:
        stale_after_ms: The age above which a snapshot is shown as stale.
        received_monotonic_ms: When the latest delta was received.
        collected_unix_ms: When the latest snapshot was collected.
        disconnect_reason: Why there is no connection; empty while there is one.
    """

    stale_after_ms: float = STALE_AFTER_MS
    received_monotonic_ms: float = float("-inf")
    collected_unix_ms: float = 0.0
    disconnect_reason: str = "not connected yet"

    def delta_received(self, monotonic_ms: float, collected_unix_ms: float) -> None:
        """Record that a delta to the snapshot collected at ``collected_unix_ms`` was received."""
        self.received_monotonic_ms = monotonic_ms
        self.collected_unix_ms = collected_unix_ms
        self.disconnect_reason = ""

    def disconnected(self, reason: str) -> None:
        """Record that the connection has ended."""
        self.disconnect_reason = reason or "the feed has ended"

    def staleness(self, monotonic_ms: float, unix_ms: float) -> str:
        """Return why the snapshot is stale, or an empty string if it is current.

        Program and follower run on one machine, so the time of collection is compared with the follower's
        own clock: a frame that was delayed in a full buffer is old although it was just received.
        """
        if self.disconnect_reason:
            return self.disconnect_reason
        silent_ms = monotonic_ms - self.received_monotonic_ms
        if silent_ms > self.stale_after_ms:
            return f"no word for {silent_ms / MS_PER_S:.1f} s"
        behind_ms = unix_ms - self.collected_unix_ms
        if behind_ms > self.stale_after_ms:
            return f"the feed is {behind_ms / MS_PER_S:.1f} s behind"
        return ""
