"""Signals that come while the program starts: blocked until there are handlers for them.

The default action of SIGHUP and SIGUSR1 ends a process, and a new configuration may be announced at any time.
"""

from __future__ import annotations

import signal

BLOCKED_AT_START = frozenset({signal.SIGHUP, signal.SIGUSR1})


def block() -> None:
    """Let them stay pending from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_AT_START)


def unblock() -> None:
    """Deliver those that are pending, and all that come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_AT_START)
