"""``python -m fordstair``: block signals before the long imports, then start."""

from __future__ import annotations

import sys

from fordstair.blocked_signals import block


def main() -> int:
    """Start one coordinator; return its exit code."""
    block()
    from fordstair.entry_point import main as start  # only now: this takes a while

    return start()


if __name__ == "__main__":
    sys.exit(main())
