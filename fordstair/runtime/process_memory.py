"""The process's real memory, as the system counts it."""

from __future__ import annotations

import os
from contextlib import suppress
from ctypes import CDLL
from pathlib import Path

_STATM = Path("/proc/self/statm")  # proc(5): size, resident, shared, ... in pages
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def return_free_memory() -> None:
    """Let the C library's allocator return to the system what it keeps; without effect where it cannot."""
    with suppress(AttributeError):  # malloc_trim(3) is an extension of the GNU C library
        CDLL(None).malloc_trim(0)


def resident_bytes() -> int:
    """Return the size of the process's resident memory; raise OSError if the system does not tell it."""
    return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
