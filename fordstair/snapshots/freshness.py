"""What a follower may believe of the age of its snapshot: decided without clock or I/O."""

from __future__ import annotations

from dataclasses import dataclass

STALE_MS = 1_000.0  # a snapshot older than that is shown as stale
MS_PER_S = 1_000.0


@dataclass(slots=True)
class Freshness:
    """What a follower knows of the age of the snapshot that it shows."""

    stale_ms: float = STALE_MS
    received_monotonic_ms: float = float("-inf")
    collected_unix_ms: float = 0.0
    disconnect_reason: str = "not connected yet"

    def delta_received(self, monotonic_ms: float, collected_unix_ms: float) -> None:
        """A delta has come, of a snapshot that was collected at that Unix time."""
        self.received_monotonic_ms = monotonic_ms
        self.collected_unix_ms = collected_unix_ms
        self.disconnect_reason = ""

    def disconnected(self, reason: str) -> None:
        """The connection has ended."""
        self.disconnect_reason = reason or "the feed has ended"

    def staleness(self, monotonic_ms: float, unix_ms: float) -> str:
        """Return why what is shown must not be taken as current; empty where it may.

        Both ends are on one machine, so a frame's time is compared with the follower's own clock: one that
        comes late through a full buffer is old although it has just come.
        """
        if self.disconnect_reason:
            return self.disconnect_reason
        silent_ms = monotonic_ms - self.received_monotonic_ms
        if silent_ms > self.stale_ms:
            return f"no word for {silent_ms / MS_PER_S:.1f} s"
        behind_ms = unix_ms - self.collected_unix_ms
        if behind_ms > self.stale_ms:
            return f"the feed is {behind_ms / MS_PER_S:.1f} s behind"
        return ""
