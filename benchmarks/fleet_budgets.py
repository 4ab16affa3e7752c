"""Budgets of the whole fleet: the sum of allotments in force, what of the limits is used, how fast it moves.

    .venv/bin/python -m benchmarks.fleet_budgets [--quick] [--seed N]

In virtual time the real members run on a network with faults and clocks at their bounds, at 5, 40 and 200;
on loopback five processes of the program take real traffic behind the relay. The last line is one JSON
object; ``over`` counts instants at which allotments in force passed a limit, and must be 0 everywhere.
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
    """Return a plan whose limits grow with the fleet: some 6 threads and 20 requests a second a member."""
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


def steady(count: int, seed: int, skewed: bool, seconds: int) -> dict[str, Any]:
    """Play a fleet without faults whose demand wavers; return what part of the limits is held and wanted.

    All together want 1.3 times the limits, each in whole requests; where skewed, one member in ten wants five
    times what the others do. Demand changes by up to 30 % each 3 s.
    """
    fleet = BudgetFleet(plan(count), count, seed, skewed=True)
    rng = Random(seed)
    weights = [5.0 if skewed and n % 10 == 0 else 1.0 for n in range(count)]
    mean = [1.3 * whole.units / sum(weights) for whole in fleet.plan.limits]
    wants = dict[str, tuple[int, ...]]()

    def waver() -> None:
        for n in range(count):
            wants[f"m{n}"] = tuple(
                round(each * weights[n] * rng.uniform(0.7, 1.3) / whole.quantum) * whole.quantum
                for each, whole in zip(mean, fleet.plan.limits, strict=True)
            )

    waver()
    fleet.wanted = lambda name: wants[name]
    fleet.run(15_000)
    used = list[tuple[float, float]]()
    for second in range(seconds):
        if second % 3 == 0:
            waver()
        fleet.run(1_000)
        used.append((fleet.used_share(0), fleet.used_share(1)))
    return {
        "used_threads": round(statistics.mean(each[0] for each in used), 3),
        "used_rate": round(statistics.mean(each[1] for each in used), 3),
        "over": fleet.audit.violations(),
        "peak": round(max(fleet.audit.peaks()), 4),
    }


def moves(count: int, seed: int) -> dict[str, Any]:
    """Return in how many seconds allotments move to a member that joins, and from one that leaves or dies."""
    fleet = BudgetFleet(plan(count), count, seed, skewed=True)
    hot = {f"m{count - 1}"}
    big = fleet.plan.lendable[0] // 2
    fleet.wanted = (
        lambda name: (big, 20 * UNITS_PER_REQUEST_PER_S) if name in hot else (4, 10 * UNITS_PER_REQUEST_PER_S)
    )
    fleet.run(20_000)

    def until(name: str) -> float:
        began = fleet.now
        least = 0.8 * (fleet.plan.lendable[0] - 4 * (len(fleet.members) - 1)) / 1.2
        while fleet.allotments()[name][0] < min(big, least) and fleet.now - began < 60_000:
            fleet.run(50)
        return round((fleet.now - began) / 1_000.0, 2)

    figures = dict[str, float]()
    hot.clear()
    hot.add("late")
    fleet.start("late")
    figures["join_s"] = until("late")
    hot.clear()
    hot.add(f"m{count - 2}")
    figures["demand_moves_s"] = until(f"m{count - 2}")
    fleet.leave(f"m{count - 2}")
    hot.clear()
    hot.add(f"m{count - 3}")
    figures["after_leave_s"] = until(f"m{count - 3}")
    fleet.kill(f"m{count - 3}")
    hot.clear()
    hot.add("late")
    figures["after_death_s"] = until("late")
    for name in fleet.plan.voters:
        if name not in fleet.members:
            fleet.start(name)
    fleet.run(10_000)
    leader = fleet.leader
    assert leader is not None
    began = fleet.now
    fleet.kill(leader)
    while fleet.leader is None and fleet.now - began < 60_000:
        fleet.run(50)
    figures["next_leader_s"] = round((fleet.now - began) / 1_000.0, 2)
    hot.clear()
    mover = (
        next(name for name in fleet.members if name not in fleet.plan.voters and name != "late")
        if count > VOTERS
        else next(name for name in fleet.members if name not in ("late", fleet.leader))
    )
    hot.add(mover)
    until(mover)
    figures["after_leaders_death_s"] = round((fleet.now - began) / 1_000.0, 2)
    return figures | {"over": fleet.audit.violations(), "peak": round(max(fleet.audit.peaks()), 4)}


def faults(count: int, seed: int, steps: int) -> dict[str, Any]:
    """Play kills, starts, pauses past the lease, cuts and losses at random; return the greatest sum."""
    fleet = BudgetFleet(plan(count), count, seed, skewed=True, loss=0.05)
    rng = Random(seed)
    names = list(fleet.members)
    wants = {name: (rng.randrange(40), rng.randrange(60_000)) for name in names}
    fleet.wanted = lambda name: wants.get(name, (0, 0))
    fleet.run(15_000)
    for _ in range(steps):
        act = rng.random()
        some = rng.sample(names, max(1, count // 10))
        if act < 0.2:
            for name in some:
                fleet.start(name)
        elif act < 0.4:
            for name in [name for name in names if name in fleet.members][: count // 2]:
                fleet.network.pause(name, 1.5 * LEASE_MS)
        elif act < 0.6:
            side = set(rng.sample(names, rng.randint(1, count - 1)))
            fleet.network.cut = lambda a, b, side=side: (a in side) != (b in side)  # type: ignore[misc]
        elif act < 0.7 and fleet.leader is not None:
            fleet.kill(fleet.leader)
        else:
            fleet.network.cut = lambda a, b: False
            for name in fleet.plan.voters:
                if name not in fleet.members:
                    fleet.start(name)
        fleet.network.delay_ms = rng.choice(((0.2, 2.0), (50.0, 700.0), (0.2, 3_000.0)))
        wants[rng.choice(names)] = rng.randrange(100), rng.randrange(100_000)
        fleet.run(rng.choice((300.0, 2_000.0, 8_000.0)))
    return {
        "spans": sum(map(len, fleet.audit.spans.values())),
        "over": fleet.audit.violations(),
        "peak": round(max(fleet.audit.peaks()), 4),
    }


async def programs(seconds: float, seed: int) -> dict[str, Any]:
    """Five programs, one asked for five times the mean of the others, together for twice the limit."""
    with tempfile.TemporaryDirectory(prefix="bud") as folder:
        async with running_fleet(Path(folder), seed=seed) as fleet:
            first = await fleet.wait_until_all_leased(20.0)
            rates = dict.fromkeys(fleet.names, 8.0) | {"m0": 40.0}
            tallies, held = await fleet.send_traffic(rates, seconds, 1_600.0)
            audit = fleet.audit()
    # as it began and ended, less was asked for
    busy = held[round(2.0 / SAMPLE_INTERVAL_S) : round((seconds - 1.0) / SAMPLE_INTERVAL_S)]
    return {
        "seconds": seconds,
        "first_share_s": round(first, 2),
        "threads_held_most": round(max(held) / FLEET_THREADS, 3),
        "threads_held_mean": round(statistics.mean(busy) / FLEET_THREADS, 3),
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
        began = time.monotonic()
        seconds = 10 if quick else 30
        steps = 15 if quick else 40
        figures[str(count)] = {
            "even": steady(count, seed, False, seconds),
            "skewed": steady(count, seed, True, seconds),
            "moves": moves(count, seed),
            "faults": faults(count, seed, steps),
        }
        took = time.monotonic() - began
        print(f"{count} members, {took:.0f} s: {json.dumps(figures[str(count)])}", flush=True)
    figures["programs"] = trio.run(programs, 8.0 if quick else 30.0, seed)
    print(f"programs: {json.dumps(figures['programs'])}", flush=True)
    parts = [each for count in figures if count.isdigit() for each in figures[count].values()]
    figures["over"] = sum(part["over"] for part in [*parts, figures["programs"]])
    return figures


if __name__ == "__main__":
    run_command(__doc__, measure)
