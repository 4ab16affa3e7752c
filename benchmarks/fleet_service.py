"""What teams get of a fleet's budgets, and what waits they are told: real coordinators in virtual time.

    .venv/bin/python -m benchmarks.fleet_service [--quick] [--seed N]

Each coordinator is the program's core, queues, decision module and part in the fleet's budgets; engines,
clients and the network are modelled. Three teams, 85 % of the work asked by one with 73 % of the shares, all
together for about what the engines hold; one coordinator in ten is asked for five times what the others are.
The same traffic is played with queues alone. The last line is one JSON object: ``in_aim`` is the part of a
team's requests answered within their aim, ``waits`` the part of those released whose wait was told within
20 % or 50 ms, ``over`` the instants at which shares in force passed a whole (0), ``out`` the most threads
that a team had at engines, over its whole. In ``lapse`` nobody hears anybody for two terms, and all leases
end under work that goes on.
"""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from benchmarks.budgets import CORES, SHARES, THREADS_A_CORE, told, waits_within
from benchmarks.command import run as run_command
from fordstair.budgets.plan import BudgetPlan, FleetLimit
from fordstair.lab.billing_close import TEAMS, Shape, generate
from fordstair.lab.clockwork import play
from fordstair.lab.machine import Machine
from fordstair.lab.modelled_engine import ModelledEngine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.replay import in_aim
from fordstair.lab.site import QueueSettings, Site

ENGINES_EACH = 4  # of a coordinator
RATE_EACH = 40.0  # requests a second, of a coordinator
VOTERS = 5
WARM_MS = 15_000.0
LEASE_MS = 5_000.0


def plan(count: int) -> BudgetPlan:
    """Return a budget in threads for each team: its share of what the engines hold."""
    threads = CORES * ENGINES_EACH * count * THREADS_A_CORE
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
    """Play one site; return it and what became of all requests."""
    weights = [5.0 if n % 10 == 0 else 1.0 for n in range(count)]
    traffic = [
        generate(
            Shape(seconds=seconds, rate_per_s=RATE_EACH * count * weight / sum(weights)), seed * 1_000 + n
        )
        for n, weight in enumerate(weights)
    ]
    engines = [ModelledEngine(f"e-{n}", Machine(CORES)) for n in range(ENGINES_EACH * count)]
    site = Site(
        told(), engines, count, seed, QueueSettings(dict(enumerate(SHARES))), plan(count) if fleet else None
    )
    records = play(partial(site.run, traffic, WARM_MS, script), seed)
    return site, [record for mine in records for record in mine]


def figures(site: Site, records: list[PlayedRequest], count: int) -> dict[str, Any]:
    """Return one play's figures."""
    mine = {team: [record for record in records if record.team == n] for n, team in enumerate(TEAMS)}
    limits = [whole.units for whole in plan(count).limits]
    share, counted = waits_within(records)
    return {
        "in_aim": {
            team: round(statistics.mean(in_aim(record, site.settings) for record in rows), 3)
            for team, rows in mine.items()
        },
        "out": {
            team: round(max(held.get(n, 0) for _, held in site.held_threads) / limits[n], 3)
            for n, team in enumerate(TEAMS)
        },
        "waits": round(share, 3),
        "waits_told": counted,
        "requests": len(records),
        "unanswered": sum(not record.outcome for record in records),
        "over": site.fleet.audit.violations() if site.fleet is not None else 0,
    }


def lapse(count: int, seconds: float, seed: int) -> dict[str, Any]:
    """Let nobody hear anybody for two terms, a third into the traffic."""

    def script(site: Site) -> None:
        fleet = site.fleet
        assert fleet is not None

        def cut(on: bool) -> None:
            fleet.network.cut = lambda source, to: on

        site.at(seconds * 1e3 / 3.0, partial(cut, True))
        site.at(seconds * 1e3 / 3.0 + 2.0 * LEASE_MS, partial(cut, False))

    return figures(*run(count, seconds, seed, fleet=True, script=script), count)


def measure(quick: bool, seed: int) -> dict[str, Any]:
    """Return all figures."""
    plays = [(5, 15.0, [seed])] if quick else [(5, 45.0, [seed, seed + 1, seed + 2]), (40, 12.0, [seed])]
    found: dict[str, Any] = {}
    for count, seconds, seeds in plays:
        for one in seeds:
            began = time.monotonic()
            row = {
                how: figures(*run(count, seconds, one, fleet=fleet), count)
                for how, fleet in (("queues", False), ("fleet", True))
            }
            found[f"{count}/{one}"] = row
            print(
                f"{count} coordinators, seed {one}, {time.monotonic() - began:.0f} s: {json.dumps(row)}",
                flush=True,
            )
    found["lapse"] = lapse(5, 15.0 if quick else 45.0, seed)
    parts = [row for key, row in found.items() if key != "lapse"]
    small = [part["fleet"]["in_aim"][team] for part in parts for team in TEAMS[1:]]
    found["in_aim_within_budget"] = round(statistics.mean(small), 3)
    found["in_aim_within_budget_queues"] = round(
        statistics.mean(part["queues"]["in_aim"][team] for part in parts for team in TEAMS[1:]), 3
    )
    found["waits_within_20pct"] = round(statistics.mean(part["fleet"]["waits"] for part in parts), 3)
    found["over"] = sum(part["fleet"]["over"] for part in parts) + found["lapse"]["over"]
    return found


if __name__ == "__main__":
    run_command(__doc__, measure)
