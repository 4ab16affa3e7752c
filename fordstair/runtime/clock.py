"""The system's clocks; the coordinator reads them only through this module.

All spans, deadlines and windows are in milliseconds of the monotonic clock, as plain floats, because neither
an operator nor a time server can step that clock. Unix time has a type of its own, which cannot be added to
or compared with those floats. It is used only where a protocol, a file or a log requires it, and is converted
to or from monotonic time there.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NewType

MonotonicMs = NewType("MonotonicMs", float)
MIN_STEP_MS = 250.0  # smaller changes of the wall clock are treated as drift


@dataclass(frozen=True, slots=True, order=True)
class UnixMs:
    """A Unix time in milliseconds.

    The difference between two of them is not a reliable duration, because the wall clock may be stepped.
    """

    value: float


def monotonic_now() -> MonotonicMs:
    """Return the time of the monotonic clock, whose origin is arbitrary."""
    return MonotonicMs(time.monotonic() * 1_000.0)


def unix_now() -> UnixMs:
    """Return the time of the wall clock."""
    return UnixMs(time.time() * 1_000.0)


class AnchoredClock:
    """Converts between Unix and monotonic time by one reading of both clocks; ignores later steps."""

    def __init__(
        self, monotonic: Callable[[], float] = monotonic_now, unix: Callable[[], UnixMs] = unix_now
    ) -> None:
        self._monotonic = monotonic
        self._offset_ms = unix().value - monotonic()

    def now(self) -> UnixMs:
        """Return the current Unix time, as if the wall clock had not been stepped since the reading."""
        return self.unix(self._monotonic())

    def unix(self, monotonic_ms: float) -> UnixMs:
        """Convert a monotonic time to Unix time."""
        return UnixMs(monotonic_ms + self._offset_ms)

    def monotonic(self, unix_time: UnixMs) -> MonotonicMs:
        """Convert a Unix time to monotonic time."""
        return MonotonicMs(unix_time.value - self._offset_ms)


class WallClock:
    """Converts monotonic times to wall-clock times for display; adjusts to steps of the wall clock."""

    def __init__(
        self, monotonic: Callable[[], float] = monotonic_now, unix: Callable[[], UnixMs] = unix_now
    ) -> None:
        self._monotonic = monotonic
        self._unix = unix
        self._offset_ms = self._measure_offset()

    def follow_step(self) -> float:
        """Adjust to a step of the wall clock; return its size in milliseconds, or 0 if there was none."""
        step_ms = self._measure_offset() - self._offset_ms
        if abs(step_ms) < MIN_STEP_MS:
            return 0.0
        self._offset_ms += step_ms
        return step_ms

    def unix(self, monotonic_ms: float) -> UnixMs:
        """Convert a monotonic time to Unix time; equal times give equal results between two steps."""
        return UnixMs(monotonic_ms + self._offset_ms)

    def _measure_offset(self) -> float:
        return self._unix().value - self._monotonic()
