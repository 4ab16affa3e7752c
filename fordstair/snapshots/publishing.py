"""When a frame is due, and what a follower may believe of its age: decisions without clock or I/O."""

from __future__ import annotations

from dataclasses import dataclass

EVERY_MS = 200.0  # between two frames, at least: five a second
BEAT_MS = 400.0  # between two frames, at most: so that a follower knows that nothing is new
CUT_MS = 5_000.0  # a follower that takes a frame no sooner is cut
STALE_MS = 1_000.0  # a picture older than that is shown as stale
FAST_PART = 0.05  # of the time, at most, goes into making pictures: with many rows they come more seldom


@dataclass(slots=True)
class SnapshotSchedule:
    """When the next picture is made; all who follow share it."""

    interval_ms: float = EVERY_MS
    heartbeat_ms: float = BEAT_MS
    collected_ms: float = float("-inf")
    collection_ms: float = 0.0  # what the last picture took to make

    def record_collection(self, now: float, collection_ms: float) -> None:
        """Note that a picture was made."""
        self.collected_ms, self.collection_ms = now, max(0.0, collection_ms)

    def due_in_ms(self, now: float, changed: bool) -> float:
        """Return how long to wait for the next picture; 0 where it is due."""
        if self.collected_ms > now:  # the clock that is handed in has gone back
            self.collected_ms = now - self.interval_ms
        gap = max(self.interval_ms, min(self.heartbeat_ms, self.collection_ms / FAST_PART))
        return max(0.0, self.collected_ms + (gap if changed else self.heartbeat_ms) - now)


@dataclass(slots=True)
class Freshness:
    """What a follower knows of the age of the snapshot that it shows."""

    stale_ms: float = STALE_MS
    received_monotonic_ms: float = float("-inf")
    collected_unix_ms: float = 0.0
    disconnect_reason: str = "not connected yet"

    def delta_received(self, monotonic_ms: float, collected_unix_ms: float) -> None:
        """A frame has come."""
        self.received_monotonic_ms, self.collected_unix_ms, self.disconnect_reason = (
            monotonic_ms,
            collected_unix_ms,
            "",
        )

    def disconnected(self, why: str) -> None:
        """The connection has ended."""
        self.disconnect_reason = why or "the feed has ended"

    def staleness(self, monotonic_ms: float, unix_ms: float) -> str:
        """Return why what is shown must not be taken as current; empty where it may.

        Both ends are on one machine, so a frame's stamp is compared with the follower's own clock: a frame
        that comes late through a full buffer is old although it has just come.
        """
        if self.disconnect_reason:
            return self.disconnect_reason
        if monotonic_ms - self.received_monotonic_ms > self.stale_ms:
            return f"no word for {(monotonic_ms - self.received_monotonic_ms) / 1000.0:.1f} s"
        if unix_ms - self.collected_unix_ms > self.stale_ms:
            return f"the feed is {(unix_ms - self.collected_unix_ms) / 1000.0:.1f} s behind"
        return ""
