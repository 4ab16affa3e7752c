"""Classifies the errors of system calls, and provides the backoff for retries."""

from __future__ import annotations

import errno
from enum import Enum


class ErrorScope(Enum):
    """What an error affects.

    Attributes:
        TRANSIENT: the same call may soon succeed.
        CONNECTION: the error affects one connection, or the route to one peer.
        PROGRAM: the error affects this program; a retry is useless.
    """

    TRANSIENT = "transient"
    CONNECTION = "connection"
    PROGRAM = "program"


# accept(2), socket(2) and connect(2): no descriptor, memory, local port or network is available at the
# moment, or a peer disconnected before it was accepted.
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
    """Return what an error affects; an unknown one counts as affecting its connection.

    ``binding``: the error comes from bind(2), where EADDRNOTAVAIL means that the address is not local.
    """
    if binding and error.errno == errno.EADDRNOTAVAIL:
        return ErrorScope.PROGRAM
    if error.errno in _TRANSIENT:
        return ErrorScope.TRANSIENT
    return ErrorScope.PROGRAM if error.errno in _PROGRAM else ErrorScope.CONNECTION


def is_connection_refused(error: OSError) -> bool:
    """Return whether the error proves that no process listens at the address; no other error proves it."""
    return error.errno == errno.ECONNREFUSED


class Backoff:
    """Exponential backoff between retries of a system call: short at first, and never a busy loop."""

    def __init__(self) -> None:
        self._next_ms = INITIAL_BACKOFF_MS

    def next_ms(self) -> float:
        """Return the delay before the next retry."""
        delay_ms = self._next_ms
        self._next_ms = min(MAX_BACKOFF_MS, BACKOFF_FACTOR * delay_ms)
        return delay_ms
