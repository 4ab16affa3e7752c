"""Measures the decision module's processor time for a lookup, from arrival to outcome, by number of engines.

    .venv/bin/python -m benchmarks.decisions [--before DIR] [--quick] [--seed N]

With ``--before``, the checkout in DIR and this one handle the same lookups, each in a separate process, and
alternate on one CPU in slices of some tens of lookups; the order changes from slice to slice, so that other
load on the machine affects both alike. The last line is one JSON object: for each number of engines the
medians over all slices of microseconds per lookup, the ratio of these medians (present over before), the
median of the ratios of single slices, and whether both made the same decisions. The median of the ratios must
stay within RATIO_BOUND: one checkout against itself gave 1.004 to 1.008, where the ratio of the medians gave
0.99 to 1.04.
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
LOOKUPS = {8: 6_000, 50: 3_000, 200: 2_500}  # by number of engines; the first half is not timed
SLICES = 30
ROUNDS = 3  # each with another seed and CPU
QUICK_ROUNDS = 1


class Variant:
    """The process that runs ``decision_play`` with a checkout's decision module, one slice on request."""

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
            raise SystemExit(f"decisions: decision_play.py exited with status {self.process.wait()}")
        figures: dict[str, Any] = json.loads(line)
        return figures

    def time_slice(self) -> float:
        """Run one slice; return its microseconds per lookup."""
        assert self.process.stdin is not None
        self.process.stdin.write("next\n")
        self.process.stdin.flush()
        return float(self.read()["cpu_us_per_lookup"])

    def stop(self) -> None:
        """Kill the process, and wait until it has ended."""
        self.process.kill()
        self.process.communicate()


@dataclass(slots=True)
class Round:
    """The times of one round.

    Attributes:
        times_us: The microseconds per lookup of each slice, by variant.
        same_actions: True if all variants made the same decisions.
    """

    times_us: dict[str, list[float]]
    same_actions: bool


def play_round(checkouts: dict[str, Path], engine_count: int, lookups: int, seed: int) -> Round:
    """Run all slices with the variants alternating; return their times."""
    cpus = sorted(os.sched_getaffinity(0))
    cpu = cpus[seed % len(cpus)]
    variants = {name: Variant(path, engine_count, lookups, seed, cpu) for name, path in checkouts.items()}
    try:
        summaries = [variant.read() for variant in variants.values()]
        result = Round({name: [] for name in variants}, all(each == summaries[0] for each in summaries))
        for number in range(SLICES):
            order = list(variants) if number % 2 == 0 else list(reversed(variants))
            for name in order:
                result.times_us[name].append(variants[name].time_slice())
        return result
    finally:
        for variant in variants.values():
            variant.stop()


def measure(checkouts: dict[str, Path], engine_count: int, rounds: int, seed: int) -> dict[str, Any]:
    """Run the rounds with one number of engines; return the medians and the ratios."""
    results = [
        play_round(checkouts, engine_count, LOOKUPS[engine_count], seed + number) for number in range(rounds)
    ]
    times_us = {name: [time for each in results for time in each.times_us[name]] for name in checkouts}
    medians = {name: statistics.median(times) for name, times in times_us.items()}
    figures: dict[str, Any] = {f"{name}_us": round(median, 2) for name, median in medians.items()}
    if "before" in checkouts:
        slice_ratios = [
            present / before for before, present in zip(times_us["before"], times_us["present"], strict=True)
        ]
        figures["ratio_of_medians"] = round(medians["present"] / medians["before"], 4)
        figures["ratio"] = round(statistics.median(slice_ratios), 4)
        figures["same_actions"] = all(each.same_actions for each in results)
    return figures


def main() -> int:
    """Measure and print the figures; return 1 if a ratio exceeds the bound or decisions differ."""
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
