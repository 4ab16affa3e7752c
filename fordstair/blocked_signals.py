"""Blocks SIGHUP and SIGUSR1 during the start, until their handlers are installed.

Their default action ends the process, and a SIGHUP for a new configuration may arrive at any time.
"""

from __future__ import annotations

import signal

BLOCKED_AT_START = frozenset({signal.SIGHUP, signal.SIGUSR1})


def block_signals() -> None:
    """Block the signals; those that arrive stay pending."""
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_AT_START)


def unblock_signals() -> None:
    """Unblock the signals; pending ones are delivered."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_AT_START)
