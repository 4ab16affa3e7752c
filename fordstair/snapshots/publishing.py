"""When a frame is due, and what a follower may believe of its age: decisions without clock or I/O."""

from __future__ import annotations

from dataclasses import dataclass

EVERY_MS = 200.0  # between two frames, at least: five a second
BEAT_MS = 400.0  # between two frames, at most: so that a follower knows that nothing is new
CUT_MS = 5_000.0  # a follower that takes a frame no sooner is cut
STALE_MS = 1_000.0  # a picture older than that is shown as stale
FAST_PART = 0.05  # of the time, at most, goes into making pictures: with many rows they come more seldom


@dataclass(slots=True)
class Pace:
    """When the next picture is made; all who follow share it."""

    every_ms: float = EVERY_MS
    beat_ms: float = BEAT_MS
    made_ms: float = float("-inf")
    cost_ms: float = 0.0  # what the last picture took to make

    def made(self, now: float, cost_ms: float) -> None:
        """Note that a picture was made."""
        self.made_ms, self.cost_ms = now, max(0.0, cost_ms)

    def due(self, now: float, changed: bool) -> float:
        """Return how long to wait for the next picture; 0 where it is due."""
        if self.made_ms > now:  # the clock that is handed in has gone back
            self.made_ms = now - self.every_ms
        gap = max(self.every_ms, min(self.beat_ms, self.cost_ms / FAST_PART))
        return max(0.0, self.made_ms + (gap if changed else self.beat_ms) - now)


@dataclass(slots=True)
class Freshness:
    """What a follower knows of the age of what it shows. ``wall`` is Unix time, ``mono`` never steps."""

    stale_ms: float = STALE_MS
    heard_mono: float = float("-inf")
    made_wall: float = 0.0
    lost: str = "not connected yet"

    def heard(self, mono: float, made_wall: float) -> None:
        """A frame has come."""
        self.heard_mono, self.made_wall, self.lost = mono, made_wall, ""

    def broken(self, why: str) -> None:
        """The connection has ended."""
        self.lost = why or "the feed has ended"

    def stale(self, mono: float, wall: float) -> str:
        """Return why what is shown must not be taken as current; empty where it may.

        Both ends are on one machine, so a frame's stamp is compared with the follower's own clock: a frame
        that comes late through a full buffer is old although it has just come.
        """
        if self.lost:
            return self.lost
        if mono - self.heard_mono > self.stale_ms:
            return f"no word for {(mono - self.heard_mono) / 1000.0:.1f} s"
        if wall - self.made_wall > self.stale_ms:
            return f"the feed is {(wall - self.made_wall) / 1000.0:.1f} s behind"
        return ""
