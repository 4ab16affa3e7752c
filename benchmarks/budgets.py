"""Measures budgets, ageing and wait estimates against the program without them, on the same billing close.

    .venv/bin/python -m benchmarks.budgets [--quick | --seconds N] [--seed N]

A billing close is simulated in virtual time: the real decision module with modelled engines, with and without
the scheduler. One team requests 85% of the work with 73% of the shares, and the rate doubles for 20 s.
The last line is one JSON object; ``teams_within`` is the share of 10 s windows with a queue, by team, in
which the engine time of a team differed from its budget by at most 5 percentage points of the total.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
import tracemalloc
from collections import Counter
from typing import Any

from fordstair.configuration.operator_file import decision_settings
from fordstair.configuration.operator_validation import validate_operator_file
from fordstair.decisions.settings import Settings
from fordstair.lab.billing_close import TEAMS, Arrival, TrafficShape, generate
from fordstair.lab.machine import Machine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.replay import total_earned_weight
from fordstair.lab.virtual import START_MS, GatewaySimulation
from fordstair.scheduling.scheduler import RELEASES_PER_OLDEST_FIRST, ArrivingRequest, Capacity, Scheduler

SHARES = (0.73, 0.16, 0.11)
CORES, ENGINES, WINDOW_S = 8.0, 4, 10
THREADS_PER_CORE, BURST_MS, DEBT_MS = 1.5, 8_000.0, 4_000.0


def bench_settings() -> Settings:
    """Return the settings of the decision module for the simulated site."""
    classes = [
        {"name": "lookup", "promise_ms": 1200.0, "aim_stretch": 1.5, "give_up_ms": 6000.0},
        {
            "name": "settlement",
            "promise_ms": 2000.0,
            "aim_stretch": 2.5,
            "give_up_ms": 25000.0,
            "worth": 7.5,
            "late_worth": 0.3,
            "threads": 4,
        },
        {
            "name": "meter-load",
            "effect": "unsafe",
            "load": True,
            "promise_ms": 3000.0,
            "aim_stretch": 3.0,
            "give_up_ms": 20000.0,
            "worth": 4.0,
            "late_worth": 0.6,
            "threads": 2,
        },
    ]
    engines = [{"id": f"e-{n}", "address": f"127.0.0.1:{7000 + n}", "cores": CORES} for n in range(ENGINES)]
    teams = [{"name": name, "share": share} for name, share in zip(TEAMS, SHARES, strict=True)]
    return decision_settings(
        validate_operator_file(
            {"site": {"name": "bench"}, "class": classes, "team": teams, "engine": engines}, require_site=True
        )
    )


def play(
    arrivals: list[Arrival], seed: int, scheduled: bool
) -> tuple[GatewaySimulation, list[PlayedRequest]]:
    """Simulate a billing close; return the world at its end and the record of each request."""
    scheduler = (
        Scheduler(
            dict(enumerate(SHARES)), CORES * ENGINES * THREADS_PER_CORE, burst_ms=BURST_MS, debt_ms=DEBT_MS
        )
        if scheduled
        else None
    )
    world = GatewaySimulation(
        bench_settings(), {f"e-{n}": Machine(CORES) for n in range(ENGINES)}, seed, scheduler
    )
    return world, world.run(arrivals)


def fair_shares(shares: tuple[float, ...], demand: list[float], total: float) -> list[float]:
    """Return the part of a total that each team should hold: its share, or its demand if that is less."""
    allotted, open_teams = [0.0] * len(shares), set(range(len(shares)))
    left = total
    while open_teams and left > 1e-9:
        weight = sum(shares[team] for team in open_teams)
        satisfied = {
            team for team in open_teams if demand[team] - allotted[team] <= left * shares[team] / weight
        }
        for team in satisfied or open_teams:
            allotted[team] += demand[team] - allotted[team] if satisfied else left * shares[team] / weight
        if not satisfied:
            break
        left = total - sum(allotted)
        open_teams -= satisfied
    return allotted


def teams_within(world: GatewaySimulation) -> tuple[float, int]:
    """Return the share of windows, by team, in which its budget was kept, and the number of windows.

    Only 10 s windows with a queue throughout count. A team's budget is its share of what all teams held, or
    its demand if that is less; what others leave is distributed by the same rule. A budget is kept if the
    difference is at most 5 percentage points of the total.
    """
    kept = windows = 0
    teams, requested = range(len(SHARES)), dict[int, list[float]]()
    for record in world.records.values():
        span = int((START_MS + record.arrival.at_ms) // 1000)
        requested.setdefault(span, [0.0] * len(SHARES))[record.team] += record.arrival.work_ms
    first, last = int(START_MS // 1000), max(world.thread_time.spans, default=0)
    for start in range(first, last - WINDOW_S + 1):
        spans = range(start, start + WINDOW_S)
        if not all(world.backlogged_teams.get(span) for span in spans):
            continue
        held = [sum(world.thread_time.spans.get(span, {}).get(team, 0.0) for span in spans) for team in teams]
        demand = [sum(requested[span][team] for span in spans if span in requested) for team in teams]
        # Threads are held for longer than the work takes.
        stretch = max(1.0, sum(held) / max(1.0, sum(demand)))
        budgets = fair_shares(SHARES, [each * stretch for each in demand], sum(held))
        for team in teams:
            windows += 1
            kept += abs(held[team] - budgets[team]) / sum(held) <= 0.05
    return (kept / windows if windows else 1.0), windows


def waits_within(
    records: list[PlayedRequest], spans: tuple[tuple[float, float], ...] = ()
) -> tuple[float, int]:
    """Return the share of waits within 20% or 50 ms of the estimate, and the number of released requests."""
    released = [
        record
        for record in records
        if record.likely_ms == record.likely_ms
        and record.released_ms == record.released_ms
        and (not spans or any(start * 1000.0 <= record.arrival.at_ms < end * 1000.0 for start, end in spans))
    ]
    accurate = sum(
        abs(record.released_ms - record.likely_ms) <= max(50.0, 0.2 * record.released_ms)
        for record in released
    )
    return (accurate / len(released) if released else 1.0), len(released)


def longest_over_bound(waiting: int, seed: int) -> float:
    """Return the longest wait relative to its bound, in releases, for a queue that one team floods."""
    scheduler = Scheduler(dict(enumerate(SHARES)), 64.0, max_waiting=10 * waiting)
    arrival_release_count, older_count = dict[int, int](), dict[int, int]()
    max_ratio, number = 0.0, 0
    for step in range(2 * waiting):
        for team in (0, 0, 1) if step % 3 else (0, 0, 2):
            number += 1
            older_count[number], arrival_release_count[number] = (
                len(scheduler.queues),
                scheduler.release_count,
            )
            scheduler.admit(ArrivingRequest(number, team, (number * seed) % 3, 1, 50.0, 1e15), float(step))
        for _ in range(2):
            if (item := scheduler.release(float(step), lambda _: Capacity.AVAILABLE)) is not None:
                max_ratio = max(
                    max_ratio,
                    (scheduler.release_count - arrival_release_count[item.id])
                    / (RELEASES_PER_OLDEST_FIRST * (older_count[item.id] + 1)),
                )
                scheduler.finish(item.id, float(step), item.cost)
    return max_ratio


def cost_per_request(waiting: int) -> tuple[float, float]:
    """Return the microseconds of one arrival and release, and the bytes per request, at a queue length."""
    traced = waiting <= 1_000  # tracing is slow for a longer queue and shows nothing more
    if traced:
        tracemalloc.start()
    scheduler = Scheduler(dict(enumerate(SHARES)), 64.0, max_waiting=2 * waiting)
    for number in range(waiting):
        scheduler.admit(ArrivingRequest(number, number % 3, number % 2, 1, 50.0, 1e12), 1.0)
    size = tracemalloc.get_traced_memory()[0] / waiting
    if traced:
        tracemalloc.stop()
    repetitions, start = 300, time.perf_counter()
    for number in range(repetitions):
        scheduler.admit(
            ArrivingRequest(waiting + number, number % 3, number % 2, 1, 50.0, 1e12), 2.0 + number
        )
        if (item := scheduler.release(2.0 + number, lambda _: Capacity.AVAILABLE)) is not None:
            scheduler.finish(item.id, 2.0 + number, item.cost)
    return (time.perf_counter() - start) / repetitions * 1e6, size


def run(seconds: float, seed: int) -> dict[str, Any]:
    """Run the simulations, and return all figures."""
    jumps = ((seconds * 0.5, seconds * 0.5 + 20.0),)
    arrivals = generate(TrafficShape(seconds=seconds, doubled=jumps), seed)
    print(
        f"simulating {len(arrivals)} requests over {seconds:.0f} s without the scheduler",
        file=sys.stderr,
        flush=True,
    )
    settings = bench_settings()
    plain, before = play(arrivals, seed, False)
    print("simulating with the scheduler", file=sys.stderr, flush=True)
    world, after = play(arrivals, seed, True)
    within, windows = teams_within(world)
    share, count = waits_within(after)
    jump_share, jump_count = waits_within(after, jumps)
    costs = {waiting: cost_per_request(waiting) for waiting in (100, 1_000, 10_000, 100_000)}
    by_team = {
        name: [
            round(
                sum(r.outcome == "served" for r in records if r.team == team)
                / max(1, sum(r.team == team for r in records)),
                3,
            )
            for records in (before, after)
        ]
        for team, name in enumerate(TEAMS)
    }
    return {
        "teams_within": round(within, 3),
        "wait_within_20pct": round(share, 3),
        "wait_within_20pct_after_jump": round(jump_share, 3),
        "longest_wait_over_bound": round(longest_over_bound(1_000, seed), 3),
        "worth_ratio": round(
            total_earned_weight(after, settings) / max(1e-9, total_earned_weight(before, settings)), 3
        ),
        "us_per_request": {str(n): round(us, 1) for n, (us, _) in costs.items()},
        "bytes_per_waiting": {str(n): round(size) for n, (_, size) in costs.items() if size},
        "served_part_without_with": by_team,
        "windows": windows,
        "waits": count,
        "waits_jump": jump_count,
        "priority_changes": world.priority_changes,
        "requests": len(arrivals),
        "reasons": dict(Counter(r.reason for r in after if r.outcome != "served").most_common(6)),
        "reasons_without": dict(Counter(r.reason for r in before if r.outcome != "served").most_common(6)),
        "answered_once": all(record.outcome for record in (*before, *after)),
    }


def main() -> None:
    """Measure, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seconds", type=float, default=600.0, help="length of the close, in virtual time")
    parser.add_argument("--quick", action="store_true", help="same as --seconds 60")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(json.dumps(run(60.0 if options.quick else options.seconds, options.seed)))


if __name__ == "__main__":
    main()
