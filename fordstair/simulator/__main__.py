"""Runs the host of the simulator's instances: ``python -m fordstair.simulator``."""

import sys

from fordstair.simulator.host import main

if __name__ == "__main__":
    sys.exit(main())
