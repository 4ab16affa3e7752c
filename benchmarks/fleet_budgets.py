"""Measures fleet budgets: the sum of allotments in force, the used share of limits, the time to reallocate.

    .venv/bin/python -m benchmarks.fleet_budgets [--quick] [--seed N]

In virtual time 5, 40 and 200 real members run on a network with faults, with clocks at their drift bounds; on
loopback five processes of the program receive real traffic behind the relay. The last line is one JSON
object; ``over`` counts the instants at which allotments in force exceeded a limit, and must be 0 everywhere.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import trio

from benchmarks.command import run as run_command
from fordstair.budgets.plan import UNITS_PER_REQUEST_PER_S, BudgetPlan, FleetLimit
from fordstair.lab.budget_fleet import BudgetFleet
from fordstair.lab.budget_trial import FLEET_THREADS, SAMPLE_INTERVAL_S, running_fleet

VOTERS = 5
LEASE_MS = 5_000.0


def plan(count: int, floor_part: float = 0.2) -> BudgetPlan:
    """Return a plan whose limits grow with the fleet: about 6 threads and 20 requests a second per member."""
    limits = (
        FleetLimit("threads", 6 * count + 34, "karri-energy", quantum=4),
        FleetLimit("rate", 20 * UNITS_PER_REQUEST_PER_S * count),
    )
    return BudgetPlan(
        "bench",
        limits,
        tuple(f"m{n}" for n in range(VOTERS)),
        LEASE_MS,
        floor_share=floor_part,
        fleet_size=count,
    )


def varying_demand(count: int, seed: int, skewed: bool, seconds: int) -> dict[str, Any]:
    """Run a fleet without faults under varying demand; return the share of the limits both held and wanted.

    The total demand is 1.3 times the limits, that of each member in whole requests; if ``skewed``, one member
    in ten demands five times as much as the others. Demand changes by up to 30 % every 3 s.
    """
    fleet = BudgetFleet(plan(count), count, seed, skewed=True)
    rng = Random(seed)
    weights = [5.0 if skewed and n % 10 == 0 else 1.0 for n in range(count)]
    mean_demand = [1.3 * limit.units / sum(weights) for limit in fleet.plan.limits]
    demand = dict[str, tuple[int, ...]]()

    def change_demand() -> None:
        for n in range(count):
            demand[f"m{n}"] = tuple(
                round(each * weights[n] * rng.uniform(0.7, 1.3) / limit.quantum) * limit.quantum
                for each, limit in zip(mean_demand, fleet.plan.limits, strict=True)
            )

    change_demand()
    fleet.wanted = lambda name: demand[name]
    fleet.run(15_000)
    used_shares = list[tuple[float, float]]()
    for second in range(seconds):
        if second % 3 == 0:
            change_demand()
        fleet.run(1_000)
        used_shares.append((fleet.used_share(0), fleet.used_share(1)))
    return {
        "used_threads": round(statistics.mean(each[0] for each in used_shares), 3),
        "used_rate": round(statistics.mean(each[1] for each in used_shares), 3),
        "over": fleet.audit.violations(),
        "peak": round(max(fleet.audit.peaks()), 4),
    }


def reallocation_times(count: int, seed: int) -> dict[str, Any]:
    """Return the seconds until allotments move to a member that joins, and from one that leaves or dies."""
    fleet = BudgetFleet(plan(count), count, seed, skewed=True)
    busy_members = {f"m{count - 1}"}
    busy_threads = fleet.plan.lendable[0] // 2
    fleet.wanted = (
        lambda name: (busy_threads, 20 * UNITS_PER_REQUEST_PER_S)
        if name in busy_members
        else (4, 10 * UNITS_PER_REQUEST_PER_S)
    )
    fleet.run(20_000)

    def seconds_until_allotted(name: str) -> float:
        started_ms = fleet.now
        enough = 0.8 * (fleet.plan.lendable[0] - 4 * (len(fleet.members) - 1)) / 1.2
        while fleet.allotments()[name][0] < min(busy_threads, enough) and fleet.now - started_ms < 60_000:
            fleet.run(50)
        return round((fleet.now - started_ms) / 1_000.0, 2)

    figures = dict[str, float]()
    busy_members.clear()
    busy_members.add("late")
    fleet.start("late")
    figures["join_s"] = seconds_until_allotted("late")
    busy_members.clear()
    busy_members.add(f"m{count - 2}")
    figures["demand_moves_s"] = seconds_until_allotted(f"m{count - 2}")
    fleet.leave(f"m{count - 2}")
    busy_members.clear()
    busy_members.add(f"m{count - 3}")
    figures["after_leave_s"] = seconds_until_allotted(f"m{count - 3}")
    fleet.kill(f"m{count - 3}")
    busy_members.clear()
    busy_members.add("late")
    figures["after_death_s"] = seconds_until_allotted("late")
    for name in fleet.plan.voters:
        if name not in fleet.members:
            fleet.start(name)
    fleet.run(10_000)
    leader = fleet.leader
    assert leader is not None
    killed_ms = fleet.now
    fleet.kill(leader)
    while fleet.leader is None and fleet.now - killed_ms < 60_000:
        fleet.run(50)
    figures["next_leader_s"] = round((fleet.now - killed_ms) / 1_000.0, 2)
    busy_members.clear()
    next_busy = (
        next(name for name in fleet.members if name not in fleet.plan.voters and name != "late")
        if count > VOTERS
        else next(name for name in fleet.members if name not in ("late", fleet.leader))
    )
    busy_members.add(next_busy)
    seconds_until_allotted(next_busy)
    figures["after_leaders_death_s"] = round((fleet.now - killed_ms) / 1_000.0, 2)
    return figures | {"over": fleet.audit.violations(), "peak": round(max(fleet.audit.peaks()), 4)}


def inject_faults(count: int, seed: int, steps: int) -> dict[str, Any]:
    """Inject random kills, starts, pauses longer than the lease, partitions and loss; return the peak sum."""
    fleet = BudgetFleet(plan(count), count, seed, skewed=True, loss=0.05)
    rng = Random(seed)
    names = list(fleet.members)
    demand = {name: (rng.randrange(40), rng.randrange(60_000)) for name in names}
    fleet.wanted = lambda name: demand.get(name, (0, 0))
    fleet.run(15_000)
    for _ in range(steps):
        action_draw = rng.random()
        sampled_names = rng.sample(names, max(1, count // 10))
        if action_draw < 0.2:
            for name in sampled_names:
                fleet.start(name)
        elif action_draw < 0.4:
            for name in [name for name in names if name in fleet.members][: count // 2]:
                fleet.network.pause(name, 1.5 * LEASE_MS)
        elif action_draw < 0.6:
            side = set(rng.sample(names, rng.randint(1, count - 1)))
            fleet.network.cut = lambda a, b, side=side: (a in side) != (b in side)  # type: ignore[misc]
        elif action_draw < 0.7 and fleet.leader is not None:
            fleet.kill(fleet.leader)
        else:
            fleet.network.cut = lambda a, b: False
            for name in fleet.plan.voters:
                if name not in fleet.members:
                    fleet.start(name)
        fleet.network.delay_ms = rng.choice(((0.2, 2.0), (50.0, 700.0), (0.2, 3_000.0)))
        demand[rng.choice(names)] = rng.randrange(100), rng.randrange(100_000)
        fleet.run(rng.choice((300.0, 2_000.0, 8_000.0)))
    return {
        "spans": sum(map(len, fleet.audit.spans.values())),
        "over": fleet.audit.violations(),
        "peak": round(max(fleet.audit.peaks()), 4),
    }


async def measure_programs(seconds: float, seed: int) -> dict[str, Any]:
    """Send five processes twice the limit in total, one of them five times as much as each other."""
    with tempfile.TemporaryDirectory(prefix="bud") as folder:
        async with running_fleet(Path(folder), seed=seed) as fleet:
            all_leased_s = await fleet.wait_until_all_leased(20.0)
            rates = dict.fromkeys(fleet.names, 8.0) | {"m0": 40.0}
            tallies, held = await fleet.send_traffic(rates, seconds, 1_600.0)
            audit = fleet.audit()
    # Less was requested at the start and at the end.
    busy_held = held[round(2.0 / SAMPLE_INTERVAL_S) : round((seconds - 1.0) / SAMPLE_INTERVAL_S)]
    return {
        "seconds": seconds,
        "first_share_s": round(all_leased_s, 2),
        "threads_held_most": round(max(held) / FLEET_THREADS, 3),
        "threads_held_mean": round(statistics.mean(busy_held) / FLEET_THREADS, 3),
        "served": {name: tally.counts["served"] for name, tally in sorted(tallies.items())},
        "asked": {name: tally.counts["asked"] for name, tally in sorted(tallies.items())},
        "lost": sum(tally.counts["lost"] for tally in tallies.values()),
        "over": audit.violations(),
        "peak": round(max(audit.peaks()), 4),
    }


def measure(quick: bool, seed: int) -> dict[str, Any]:
    """Return all figures."""
    figures: dict[str, Any] = {}
    for count in (5, 40) if quick else (5, 40, 200):
        started_s = time.monotonic()
        seconds = 10 if quick else 30
        steps = 15 if quick else 40
        figures[str(count)] = {
            "even": varying_demand(count, seed, False, seconds),
            "skewed": varying_demand(count, seed, True, seconds),
            "moves": reallocation_times(count, seed),
            "faults": inject_faults(count, seed, steps),
        }
        elapsed_s = time.monotonic() - started_s
        print(f"{count} members, {elapsed_s:.0f} s: {json.dumps(figures[str(count)])}", flush=True)
    figures["programs"] = trio.run(measure_programs, 8.0 if quick else 30.0, seed)
    print(f"programs: {json.dumps(figures['programs'])}", flush=True)
    parts = [each for count in figures if count.isdigit() for each in figures[count].values()]
    figures["over"] = sum(part["over"] for part in [*parts, figures["programs"]])
    return figures


if __name__ == "__main__":
    run_command(__doc__, measure)
