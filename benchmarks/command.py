"""The command line of several benchmarks: --quick, --seed, and one JSON object as the last line."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable
from typing import Any


def run(description: str | None, measure: Callable[[bool, int], dict[str, Any]]) -> None:
    """Call ``measure`` with the options ``quick`` and ``seed`` of the command line, and print its figures."""
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(json.dumps(measure(options.quick, options.seed)))
