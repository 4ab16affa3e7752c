"""Processor time of a lookup in the decision module, from its arrival to its outcome, by number of engines.

    .venv/bin/python -m benchmarks.decisions [--before DIR] [--quick] [--seed N]

With ``--before``, the checkout in DIR and this one play the same lookups, each in a process of its own, and
take turns on one CPU in slices of some tens of lookups; the order changes from slice to slice, so that what
else the machine does falls on both alike. The last line is one JSON object: for each number of engines the
medians over all slices of microseconds a lookup, the ratio of these medians (present over before), the median
of the slices' own ratios, and whether both decided alike. This last ratio is to stay within RATIO_BOUND: one
checkout against itself gave 1.004 to 1.008 where the ratio of the medians gave 0.99 to 1.04.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
PLAY = Path(__file__).with_name("decision_play.py")
RATIO_BOUND = 1.05  # of processor time, present over before
LOOKUPS = {8: 6_000, 50: 3_000, 200: 2_500}  # by number of engines; the first half fills the engines
SLICES = 30
ROUNDS = 3  # each with a seed and a CPU of its own
QUICK_ROUNDS = 1


class Variant:
    """A checkout's decision module, in a process that has recorded its play and waits for its turns."""

    def __init__(self, checkout: Path, engine_count: int, lookups: int, seed: int, cpu: int) -> None:
        arguments = [str(number) for number in (engine_count, lookups, SLICES, seed, cpu)]
        self.process = subprocess.Popen(
            [sys.executable, str(PLAY), *arguments],
            cwd=checkout,
            env=os.environ | {"PYTHONPATH": str(checkout), "PYTHONHASHSEED": str(seed)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read(self) -> dict[str, Any]:
        """Return the next object that the process prints."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise SystemExit(f"decisions: the play has ended with status {self.process.wait()}")
        figures: dict[str, Any] = json.loads(line)
        return figures

    def time_slice(self) -> float:
        """Let it take one turn; return its microseconds a lookup."""
        assert self.process.stdin is not None
        self.process.stdin.write("next\n")
        self.process.stdin.flush()
        return float(self.read()["cpu_us_per_lookup"])

    def end(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.communicate()


@dataclass(slots=True)
class Round:
    """The times of one play."""

    times_us: dict[str, list[float]]  # by variant: a lookup's, for each slice
    same_actions: bool


def play_round(checkouts: dict[str, Path], engine_count: int, lookups: int, seed: int) -> Round:
    """Let the variants take turns over one play; return their times by slice."""
    cpus = sorted(os.sched_getaffinity(0))
    cpu = cpus[seed % len(cpus)]
    variants = {name: Variant(path, engine_count, lookups, seed, cpu) for name, path in checkouts.items()}
    try:
        played = [variant.read() for variant in variants.values()]
        result = Round({name: [] for name in variants}, all(each == played[0] for each in played))
        for number in range(SLICES):
            order = list(variants) if number % 2 == 0 else list(reversed(variants))
            for name in order:
                result.times_us[name].append(variants[name].time_slice())
        return result
    finally:
        for variant in variants.values():
            variant.end()


def measure(checkouts: dict[str, Path], engine_count: int, rounds: int, seed: int) -> dict[str, Any]:
    """Play the rounds at one number of engines; return the medians and the ratios."""
    played = [
        play_round(checkouts, engine_count, LOOKUPS[engine_count], seed + number) for number in range(rounds)
    ]
    times_us = {name: [time for each in played for time in each.times_us[name]] for name in checkouts}
    medians = {name: statistics.median(times) for name, times in times_us.items()}
    result: dict[str, Any] = {f"{name}_us": round(median, 2) for name, median in medians.items()}
    if "before" in checkouts:
        slice_ratios = [
            present / before for before, present in zip(times_us["before"], times_us["present"], strict=True)
        ]
        result["ratio_of_medians"] = round(medians["present"] / medians["before"], 4)
        result["ratio"] = round(statistics.median(slice_ratios), 4)
        result["same_actions"] = all(each.same_actions for each in played)
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
    figures: dict[str, Any] = {
        "rounds": rounds,
        "slices": SLICES,
        "lookups": LOOKUPS,
        "bound": RATIO_BOUND,
        "engines": {},
    }
    for engine_count in LOOKUPS:
        result = measure(checkouts, engine_count, rounds, options.seed)
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
