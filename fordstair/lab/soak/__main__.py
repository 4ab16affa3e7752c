"""Runs soaks with many seeds: ``python -m fordstair.lab.soak --seeds 1-20``.

Exits with status 1 if a rule was broken, or if the machine was too busy to judge a seed.
"""

from __future__ import annotations

import argparse
import sys
from dataclasses import replace

from fordstair.lab.soak.judgement import Judgement
from fordstair.lab.soak.run import MAX_LAG_S, Plan, soak

CROWD_CONNECTIONS = 200  # idle and half-written, to each coordinator
CROWD_SEED_INTERVAL = 5
BURST_SEED_INTERVAL = 5
BURST_SEED_REMAINDER = 3


def main() -> int:
    """Run the seeds one after the other, print a report of each, and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m fordstair.lab.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-5", metavar="FIRST-LAST")
    defaults = Plan(0)
    parser.add_argument("--seconds", type=float, default=defaults.seconds)
    parser.add_argument("--coordinators", type=int, default=defaults.coordinators)
    parser.add_argument("--engines", type=int, default=defaults.engines)
    parser.add_argument("--faults-per-s", type=float, default=defaults.faults_per_s)
    parser.add_argument("--rate-per-s", type=float, default=defaults.rate_per_s)
    crowd_help = f"idle connections to each coordinator, for seeds divisible by {CROWD_SEED_INTERVAL}"
    parser.add_argument("--crowd", type=int, default=CROWD_CONNECTIONS, help=crowd_help)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    plan = Plan(
        0, options.seconds, options.coordinators, options.engines, options.faults_per_s, options.rate_per_s
    )
    seeds_with_violations = list[int]()
    seeds_not_judged = list[int]()
    judgement = Judgement()
    for seed in range(int(first), int(last or first) + 1):
        crowd = options.crowd if seed % CROWD_SEED_INTERVAL == 0 else 0
        report = soak(
            replace(plan, seed=seed, crowd=crowd, bursts=seed % BURST_SEED_INTERVAL == BURST_SEED_REMAINDER)
        )
        print(report, flush=True)
        judgement.merge(report.judgement)
        if report.record.worst_lag_s > MAX_LAG_S:
            seeds_not_judged.append(seed)  # the machine was too busy to judge
        elif report.violations:
            seeds_with_violations.append(seed)
    print("all seeds:")
    for line in judgement.lines():
        print(f"  {line}")
    print(f"seeds with violations: {seeds_with_violations or 'none'}")
    print(f"seeds not judged, since the machine was too busy: {seeds_not_judged or 'none'}")
    return 1 if seeds_with_violations or seeds_not_judged else 0


if __name__ == "__main__":
    sys.exit(main())
