"""Soaks with many seeds: ``python -m fordstair.lab.soak --seeds 1-20``; exits with 1 if a rule was broken."""

from __future__ import annotations

import argparse
import sys
from dataclasses import replace

from fordstair.lab.soak.judgement import Judgement
from fordstair.lab.soak.run import MAX_LAG_S, Plan, soak

CROWD = 200  # idle and half-written connections to one coordinator
CROWD_EVERY = 5  # seeds
BURSTS_EVERY = 5  # seeds
BURSTS_AT = 3  # the remainder of these


def main() -> int:
    """Run the seeds one after the other, and print a report of each."""
    parser = argparse.ArgumentParser(prog="python -m fordstair.lab.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-5", metavar="FIRST-LAST")
    usual = Plan(0)
    parser.add_argument("--seconds", type=float, default=usual.seconds)
    parser.add_argument("--coordinators", type=int, default=usual.coordinators)
    parser.add_argument("--engines", type=int, default=usual.engines)
    parser.add_argument("--faults-per-s", type=float, default=usual.faults_per_s)
    parser.add_argument("--rate-per-s", type=float, default=usual.rate_per_s)
    crowd_help = f"idle connections to a coordinator, in each seed divisible by {CROWD_EVERY}"
    parser.add_argument("--crowd", type=int, default=CROWD, help=crowd_help)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    plan = Plan(
        0, options.seconds, options.coordinators, options.engines, options.faults_per_s, options.rate_per_s
    )
    broken = list[int]()
    late = list[int]()
    judgement = Judgement()
    for seed in range(int(first), int(last or first) + 1):
        crowd = options.crowd if seed % CROWD_EVERY == 0 else 0
        report = soak(replace(plan, seed=seed, crowd=crowd, bursts=seed % BURSTS_EVERY == BURSTS_AT))
        print(report, flush=True)
        judgement.add(report.judgement)
        if report.record.worst_lag_s > MAX_LAG_S:
            late.append(seed)  # the machine was too busy to judge
        elif report.violations:
            broken.append(seed)
    print("all seeds:")
    for line in judgement.lines():
        print(f"  {line}")
    print(f"seeds with violations: {broken or 'none'}")
    print(f"seeds not judged, since the machine was too busy: {late or 'none'}")
    return 1 if broken or late else 0


if __name__ == "__main__":
    sys.exit(main())
