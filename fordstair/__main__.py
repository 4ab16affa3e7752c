"""``python -m fordstair``: hold signals back before the long imports, then start."""

from __future__ import annotations

import sys

from fordstair.held_signals import hold_back


def main() -> int:
    """Start one coordinator; return its exit code."""
    hold_back()
    from fordstair.entry_point import main as start  # only now: this takes a while

    return start()


if __name__ == "__main__":
    sys.exit(main())
