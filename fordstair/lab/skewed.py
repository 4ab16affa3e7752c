"""The program with a leases' clock that runs at another rate: ``python -m fordstair.lab.skewed RATE ...``.

For trials of the bound on drift alone. The audit is written by the right clock.
"""

from __future__ import annotations

import sys

from fordstair.budgets import transport


def main() -> None:
    """Change the clock, and run the program on the remaining arguments."""
    rate = float(sys.argv.pop(1))
    true_clock_ms = transport.lease_clock_ms
    start_ms = true_clock_ms()
    transport.lease_clock_ms = lambda: start_ms + (true_clock_ms() - start_ms) * rate
    transport.audit_clock_ms = lambda lease_ms: start_ms + (lease_ms - start_ms) / rate
    from fordstair.__main__ import main as program

    program()


if __name__ == "__main__":
    main()
