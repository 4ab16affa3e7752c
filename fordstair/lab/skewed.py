"""The program with a leases' clock that runs at another rate: ``python -m fordstair.lab.skewed RATE ...``.

For trials of the bound on drift alone. The audit is written by the right clock.
"""

from __future__ import annotations

import sys

from fordstair.budgets import transport


def main() -> None:
    """Change the clock, and run the program on the remaining arguments."""
    rate = float(sys.argv.pop(1))
    start = transport.lease_ms()
    right = transport.lease_ms
    transport.lease_ms = lambda: start + (right() - start) * rate
    transport.right_ms = lambda own: start + (own - start) / rate
    from fordstair.__main__ import main as program

    program()


if __name__ == "__main__":
    main()
