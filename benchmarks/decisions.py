"""Processor time of a lookup in the decision module, from its arrival to its outcome, by number of engines.

    .venv/bin/python -m benchmarks.decisions [--before DIR] [--quick] [--seed N]

With ``--before``, the checkout in DIR and this one play the same lookups in turns: each play is a process of
its own, and the order changes from round to round, so that what else the machine does falls on both alike.
The last line is one JSON object: for each number of engines the median over the rounds of microseconds a
lookup for each variant, the ratio of the medians (present over before), and whether both decided alike. The
ratio is to stay within RATIO_BOUND.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
PLAY = Path(__file__).with_name("decision_play.py")
RATIO_BOUND = 1.05  # of processor time, present over before
ROUNDS = 7
QUICK_ROUNDS = 3
LOOKUPS = {8: 4_000, 50: 3_000, 200: 2_500}  # by number of engines; the first half fills the engines


def play(checkout: Path, engine_count: int, lookups: int, seed: int) -> dict[str, Any]:
    """Play once with a checkout's decision module; return the figures."""
    environment = os.environ | {"PYTHONPATH": str(checkout)}
    command = [sys.executable, str(PLAY), str(engine_count), str(lookups), str(seed)]
    done = subprocess.run(command, cwd=checkout, env=environment, check=True, capture_output=True, text=True)
    figures: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
    return figures


def measure(
    checkouts: dict[str, Path], engine_count: int, rounds: int, lookups: int, seed: int
) -> dict[str, Any]:
    """Let the variants take turns at one number of engines; return their medians and the ratio."""
    played: dict[str, list[dict[str, Any]]] = {variant: [] for variant in checkouts}
    for number in range(rounds):
        order = list(checkouts) if number % 2 == 0 else list(reversed(checkouts))
        for variant in order:
            played[variant].append(play(checkouts[variant], engine_count, lookups, seed + number))
    medians = {
        variant: statistics.median(figures["cpu_us_per_lookup"] for figures in all_figures)
        for variant, all_figures in played.items()
    }
    result: dict[str, Any] = {f"{variant}_us": round(median, 2) for variant, median in medians.items()}
    if "before" in medians:
        result["ratio"] = round(medians["present"] / medians["before"], 4)
        result["same_actions"] = all(
            present["actions"] == before["actions"]
            for present, before in zip(played["present"], played["before"], strict=True)
        )
    return result


def main() -> int:
    """Measure as the command line says; return 1 where a ratio is over the bound or decisions differ."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", type=Path, metavar="DIR", help="a checkout of the commit to compare with")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    checkouts = {"present": ROOT}
    if options.before is not None:
        checkouts = {"before": options.before.resolve(), **checkouts}
    rounds = QUICK_ROUNDS if options.quick else ROUNDS
    figures: dict[str, Any] = {"rounds": rounds, "lookups": LOOKUPS, "bound": RATIO_BOUND, "engines": {}}
    for engine_count, lookups in LOOKUPS.items():
        result = measure(checkouts, engine_count, rounds, lookups, options.seed)
        figures["engines"][engine_count] = result
        print(f"{engine_count} engines: {result}", flush=True)
    results = figures["engines"].values()
    figures["passed"] = all(
        result.get("ratio", 0.0) <= RATIO_BOUND and result.get("same_actions", True) for result in results
    )
    print(json.dumps(figures))
    return 0 if figures["passed"] else 1


if __name__ == "__main__":
    sys.exit(main())
