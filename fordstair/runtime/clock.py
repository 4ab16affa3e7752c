"""The system's clocks, and the only place that reads them.

All spans, deadlines and windows are counted in milliseconds of the monotonic clock, as plain floats: no
operator and no time server steps it. Unix time is a type of its own that neither adds to nor compares with
those floats. It is read where a wire, a disk or a log wants it, and is turned into the program's time
there.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NewType

MonotonicMs = NewType("MonotonicMs", float)
MIN_STEP_MS = 250.0  # a smaller change of the wall clock counts as drift


@dataclass(frozen=True, slots=True, order=True)
class UnixMs:
    """A Unix time in milliseconds. The wall clock may be stepped: two of them do not tell a span."""

    value: float


def monotonic_now() -> MonotonicMs:
    """Return the time by the monotonic clock, whose origin means nothing."""
    return MonotonicMs(time.monotonic() * 1_000.0)


def unix_now() -> UnixMs:
    """Return the time by the wall clock."""
    return UnixMs(time.time() * 1_000.0)


class AnchoredClock:
    """Relates Unix time to monotonic time by one reading of both clocks: later steps change nothing."""

    def __init__(
        self, monotonic: Callable[[], float] = monotonic_now, unix: Callable[[], UnixMs] = unix_now
    ) -> None:
        self._monotonic = monotonic
        self._offset_ms = unix().value - monotonic()

    def now(self) -> UnixMs:
        """Return the Unix time by the wall clock as it stood at the anchor."""
        return self.unix(self._monotonic())

    def unix(self, moment_ms: float) -> UnixMs:
        """Return the Unix time of a moment of the monotonic clock."""
        return UnixMs(moment_ms + self._offset_ms)

    def monotonic(self, moment: UnixMs) -> MonotonicMs:
        """Return the monotonic time of a Unix time."""
        return MonotonicMs(moment.value - self._offset_ms)


class WallClock:
    """Converts moments of the monotonic clock to the wall clock's time, for people; follows its steps."""

    def __init__(
        self, monotonic: Callable[[], float] = monotonic_now, unix: Callable[[], UnixMs] = unix_now
    ) -> None:
        self._monotonic = monotonic
        self._unix = unix
        self._offset_ms = self._measure()

    def follow_step(self) -> float:
        """Follow a step of the wall clock; return by how many milliseconds it was stepped, 0 for none."""
        step_ms = self._measure() - self._offset_ms
        if abs(step_ms) < MIN_STEP_MS:
            return 0.0
        self._offset_ms += step_ms
        return step_ms

    def unix(self, moment_ms: float) -> UnixMs:
        """Return a moment of the monotonic clock as the wall clock shows it; equal moments stay equal."""
        return UnixMs(moment_ms + self._offset_ms)

    def _measure(self) -> float:
        return self._unix().value - self._monotonic()
