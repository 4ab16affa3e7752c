"""What an error of a system call means, and the pauses between retries of one."""

from __future__ import annotations

import errno
from enum import Enum


class ErrorScope(Enum):
    """What an error concerns."""

    TRANSIENT = "transient"  # a moment: the same call may succeed soon
    CONNECTION = "connection"  # one connection, or the route to one peer
    PROGRAM = "program"  # this program: a retry is of no use


# accept(2), socket(2) and connect(2): no descriptor, memory, local port or network at this moment, or a peer
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

INITIAL_BACKOFF_MS = 2.0
MAX_BACKOFF_MS = 25.0
BACKOFF_FACTOR = 2.0


def error_scope(error: OSError, *, binding: bool = False) -> ErrorScope:
    """Return what an error concerns; an unknown one concerns its connection.

    ``binding``: it came from bind(2), where an address that is not available is not this machine's.
    """
    if binding and error.errno == errno.EADDRNOTAVAIL:
        return ErrorScope.PROGRAM
    if error.errno in _TRANSIENT:
        return ErrorScope.TRANSIENT
    return ErrorScope.PROGRAM if error.errno in _PROGRAM else ErrorScope.CONNECTION


def is_connection_refused(error: OSError) -> bool:
    """Whether the error proves that nobody listens there; no other error proves anything."""
    return error.errno == errno.ECONNREFUSED


class Backoff:
    """Exponential pauses between retries of a system call: short at first, and never a spin."""

    def __init__(self) -> None:
        self._next_ms = INITIAL_BACKOFF_MS

    def next_ms(self) -> float:
        """Return how long to wait before the next retry."""
        pause_ms = self._next_ms
        self._next_ms = min(MAX_BACKOFF_MS, BACKOFF_FACTOR * pause_ms)
        return pause_ms
