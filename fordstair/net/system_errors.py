"""What an error of a system call means: the one place that decides it."""

from __future__ import annotations

import errno
from enum import Enum


class Scope(Enum):
    """What an error tells of."""

    TRANSIENT = "transient"  # of a moment: the same call may succeed soon
    CONNECTION = "connection"  # of one connection, or of the way to one peer
    PROGRAM = "program"  # of this program: calling again is no use


# accept(2), socket(2) and connect(2): no descriptor, no memory, no local port, no network just now, or a peer
# that left before it was accepted.
_TRANSIENT = frozenset(
    {
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EADDRNOTAVAIL,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.EHOSTDOWN,
    }
)
_PROGRAM = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EFAULT, errno.EOPNOTSUPP})

FIRST_PAUSE_MS, LONGEST_PAUSE_MS = 2.0, 25.0


def scope_of(error: OSError, *, binding: bool = False) -> Scope:
    """Return what an error tells of; an unknown one is of its connection."""
    if binding and error.errno == errno.EADDRNOTAVAIL:  # the address is none of this machine's
        return Scope.PROGRAM
    if error.errno in _TRANSIENT:
        return Scope.TRANSIENT
    return Scope.PROGRAM if error.errno in _PROGRAM else Scope.CONNECTION


def refused(error: OSError) -> bool:
    """Whether the error proves that nobody listens there; no other error proves anything."""
    return error.errno == errno.ECONNREFUSED


class Backoff:
    """The pauses between calls that fail for a moment: soon at first, and never a spin."""

    def __init__(self) -> None:
        self._next_ms = FIRST_PAUSE_MS

    def pause_ms(self) -> float:
        """Return how long to wait before the next call."""
        pause_ms, self._next_ms = self._next_ms, min(LONGEST_PAUSE_MS, 2.0 * self._next_ms)
        return pause_ms
