"""``python -m fordstair``: blocks signals before the slow imports, then starts the program."""

from __future__ import annotations

import sys

from fordstair.blocked_signals import block_signals
from fordstair.deferred_modules import defer_modules


def main() -> int:
    """Start one coordinator; return its exit code."""
    block_signals()
    defer_modules()
    from fordstair.entry_point import main as start  # slow, so only with the signals blocked

    return start()


if __name__ == "__main__":
    sys.exit(main())
