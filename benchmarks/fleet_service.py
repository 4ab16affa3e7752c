"""Measures the service that teams get under fleet budgets, and their wait estimates, in virtual time.

    .venv/bin/python -m benchmarks.fleet_service [--quick] [--seed N]

Each coordinator runs the program's core, queues, decision module and budget member; engines, clients and the
network are modelled. There are three teams; one requests 85 % of the work with 73 % of the shares, and all
together request about what the engines can do. One coordinator in ten gets five times the requests of the
others. The same traffic is also run with queues alone. The last line is one JSON object: ``in_aim`` is the
share of a team's requests answered within their latency objective, ``waits`` the share of released requests
whose wait was within 20 % or 50 ms of the estimate, ``over`` the number of instants at which allotments in
force exceeded a limit (must be 0), ``out`` the peak number of threads that a team used at engines, relative
to its limit. In ``lapse`` the network delivers nothing for two lease terms: all leases expire under load.
"""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from benchmarks.budgets import CORES, SHARES, THREADS_PER_CORE, bench_settings, waits_within
from benchmarks.command import run as run_command
from fordstair.budgets.plan import BudgetPlan, FleetLimit
from fordstair.lab.billing_close import TEAMS, TrafficShape, generate
from fordstair.lab.clockwork import run_in_virtual_time
from fordstair.lab.machine import Machine
from fordstair.lab.modelled_engine import ModelledEngine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.replay import met_objective
from fordstair.lab.site import QueueSettings, Site

ENGINES_PER_COORDINATOR = 4
RATE_PER_COORDINATOR = 40.0  # requests a second
VOTERS = 5
WARM_MS = 15_000.0
LEASE_MS = 5_000.0


def plan(count: int) -> BudgetPlan:
    """Return a plan that limits each team to its share of all engines' threads."""
    threads = CORES * ENGINES_PER_COORDINATOR * count * THREADS_PER_CORE
    limits = tuple(
        FleetLimit("threads", int(threads * share), team, quantum=4)
        for share, team in zip(SHARES, TEAMS, strict=True)
    )
    return BudgetPlan(
        "bench", limits, tuple(f"m{n}" for n in range(min(VOTERS, count))), LEASE_MS, fleet_size=count
    )


def run(
    count: int,
    seconds: float,
    seed: int,
    *,
    fleet: bool,
    script: Callable[[Site], object] = lambda site: None,
) -> tuple[Site, list[PlayedRequest]]:
    """Simulate one site; return it and the records of all requests."""
    weights = [5.0 if n % 10 == 0 else 1.0 for n in range(count)]
    traffic = [
        generate(
            TrafficShape(seconds=seconds, rate_per_s=RATE_PER_COORDINATOR * count * weight / sum(weights)),
            seed * 1_000 + n,
        )
        for n, weight in enumerate(weights)
    ]
    engines = [ModelledEngine(f"e-{n}", Machine(CORES)) for n in range(ENGINES_PER_COORDINATOR * count)]
    site = Site(
        bench_settings(),
        engines,
        count,
        seed,
        QueueSettings(dict(enumerate(SHARES))),
        plan(count) if fleet else None,
    )
    records = run_in_virtual_time(partial(site.run, traffic, WARM_MS, script), seed)
    return site, [record for coordinator_records in records for record in coordinator_records]


def figures(site: Site, records: list[PlayedRequest], count: int) -> dict[str, Any]:
    """Return the figures of one simulation."""
    records_by_team = {
        team: [record for record in records if record.team == n] for n, team in enumerate(TEAMS)
    }
    limits = [limit.units for limit in plan(count).limits]
    share, released_count = waits_within(records)
    return {
        "in_aim": {
            team: round(statistics.mean(met_objective(record, site.settings) for record in rows), 3)
            for team, rows in records_by_team.items()
        },
        "out": {
            team: round(max(held.get(n, 0) for _, held in site.held_threads) / limits[n], 3)
            for n, team in enumerate(TEAMS)
        },
        "waits": round(share, 3),
        "waits_told": released_count,
        "requests": len(records),
        "unanswered": sum(not record.outcome for record in records),
        "over": site.fleet.audit.violations() if site.fleet is not None else 0,
    }


def lapse(count: int, seconds: float, seed: int) -> dict[str, Any]:
    """Cut all links for two lease terms, after a third of the traffic; return the figures."""

    def script(site: Site) -> None:
        fleet = site.fleet
        assert fleet is not None

        def set_cut(cut: bool) -> None:
            fleet.network.cut = lambda source, to: cut

        site.at(seconds * 1e3 / 3.0, partial(set_cut, True))
        site.at(seconds * 1e3 / 3.0 + 2.0 * LEASE_MS, partial(set_cut, False))

    return figures(*run(count, seconds, seed, fleet=True, script=script), count)


def measure(quick: bool, seed: int) -> dict[str, Any]:
    """Return all figures."""
    runs = [(5, 15.0, [seed])] if quick else [(5, 45.0, [seed, seed + 1, seed + 2]), (40, 12.0, [seed])]
    results: dict[str, Any] = {}
    for count, seconds, seeds in runs:
        for run_seed in seeds:
            started_s = time.monotonic()
            row = {
                mode: figures(*run(count, seconds, run_seed, fleet=fleet), count)
                for mode, fleet in (("queues", False), ("fleet", True))
            }
            results[f"{count}/{run_seed}"] = row
            print(
                f"{count} coordinators, seed {run_seed}, {time.monotonic() - started_s:.0f} s: "
                f"{json.dumps(row)}",
                flush=True,
            )
    results["lapse"] = lapse(5, 15.0 if quick else 45.0, seed)
    parts = [row for key, row in results.items() if key != "lapse"]
    within_budget = [part["fleet"]["in_aim"][team] for part in parts for team in TEAMS[1:]]
    results["in_aim_within_budget"] = round(statistics.mean(within_budget), 3)
    results["in_aim_within_budget_queues"] = round(
        statistics.mean(part["queues"]["in_aim"][team] for part in parts for team in TEAMS[1:]), 3
    )
    results["waits_within_20pct"] = round(statistics.mean(part["fleet"]["waits"] for part in parts), 3)
    results["over"] = sum(part["fleet"]["over"] for part in parts) + results["lapse"]["over"]
    return results


if __name__ == "__main__":
    run_command(__doc__, measure)
