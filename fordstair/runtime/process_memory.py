"""The process's real memory, as the system counts it."""

from __future__ import annotations

import os
from pathlib import Path

_STATM = Path("/proc/self/statm")  # proc(5): size, resident, shared, ... in pages
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the size of the process's resident memory; raise OSError if the system does not tell it."""
    return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
