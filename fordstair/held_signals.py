"""Signals that come while the program starts: held back by the system until there are handlers for them.

The default action of SIGHUP and SIGUSR1 ends a process, and a new configuration may be told at any time.
"""

from __future__ import annotations

import signal

HELD_BACK = frozenset({signal.SIGHUP, signal.SIGUSR1})


def hold_back() -> None:
    """Let them wait from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_BACK)


def deliver() -> None:
    """Deliver those that wait, and all that come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_BACK)
