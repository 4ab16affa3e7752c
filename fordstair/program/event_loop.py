"""Runs a coordinator in an event loop of its own."""

from __future__ import annotations

import signal

import trio

from fordstair.program.coordinator_program import Program


def run_program(program: Program) -> None:
    """Run until the program has drained; raise ConfigError, or a group that contains one."""
    trio.run(_run_until_drained, program)


async def _run_until_drained(program: Program) -> None:
    """Run the program, then no longer let signals wake the event loop.

    trio closes the sockets that signals wake it with before it unregisters them: Python would report a signal
    that arrives in between on standard error, as an OSError.
    """
    try:
        await program.run(limit_memory=True)
    finally:
        signal.set_wakeup_fd(-1)
