"""The system's clocks, and a watch for steps of the wall clock."""

import time


def now_ms() -> float:
    """Return the system's Unix time in milliseconds."""
    return time.time() * 1000.0


def monotonic_ms() -> float:
    """Return milliseconds of a clock that is never stepped; its origin means nothing."""
    return time.monotonic() * 1000.0


class StepWatch:
    """Finds steps of the wall clock by its offset from the monotonic one."""

    def __init__(self, threshold_ms: float = 250.0) -> None:
        self.threshold_ms = threshold_ms
        self._offset_ms = now_ms() - monotonic_ms()

    def look(self) -> float:
        """Return by how far the wall clock was stepped since the last look; 0 where it was not."""
        offset_ms = now_ms() - monotonic_ms()
        step_ms, self._offset_ms = offset_ms - self._offset_ms, offset_ms
        return step_ms if abs(step_ms) >= self.threshold_ms else 0.0
