"""Runs the program with a lease clock of another rate: ``python -m fordstair.lab.skewed RATE ...``.

Used only in trials of the bound on clock drift. The audit is written by the unskewed clock.
"""

from __future__ import annotations

import sys

from fordstair.budgets import transport


def main() -> None:
    """Skew the lease clock, and run the program on the remaining arguments."""
    rate = float(sys.argv.pop(1))
    unskewed_clock_ms = transport.lease_clock_ms
    start_ms = unskewed_clock_ms()
    transport.lease_clock_ms = lambda: start_ms + (unskewed_clock_ms() - start_ms) * rate
    transport.audit_clock_ms = lambda lease_ms: start_ms + (lease_ms - start_ms) / rate
    from fordstair.__main__ import main as program

    program()


if __name__ == "__main__":
    main()
