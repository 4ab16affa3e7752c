"""The one clock: Unix time in milliseconds, as engines, clients and the module count it."""

import time


def now_ms() -> float:
    """Return the system's Unix time in milliseconds."""
    return time.time() * 1000.0
