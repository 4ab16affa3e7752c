"""Measures the loss of a zone that comes back cold: the requests served, and those sent in vain.

    .venv/bin/python -m benchmarks.zones [--quick] [--seed N]

Each of three zones (halls) has engines and coordinators; the program's core and decision module run in
virtual time. One zone falls silent under traffic, its engines are removed from the engine list some seconds
later, and all of them come back at once, cold. The last line is one JSON object.
"""

from __future__ import annotations

import statistics
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from benchmarks.budgets import CORES, bench_settings
from benchmarks.command import run as run_command
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.decisions.events import Status
from fordstair.decisions.settings import Settings
from fordstair.lab.billing_close import TrafficShape, generate
from fordstair.lab.clockwork import run_in_virtual_time
from fordstair.lab.machine import Machine
from fordstair.lab.modelled_engine import ModelledEngine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.replay import total_earned_weight
from fordstair.lab.site import Site

ZONES = 3
# When the zone falls silent, how much later its engines leave the list, and when it comes back.
SILENT_MS, DELIST_DELAY_MS, RETURN_MS = 10_000.0, 4_000.0, 20_000.0
LOAD_SHARE = 0.75  # of the capacity of all engines
INITIAL_CAPACITY, SLOW_START_MS, OVERLOAD_FACTOR, WINDOW_MS = 0.32, 15_000.0, 2.5, 1_000.0


def site_settings(coordinators: int) -> Settings:
    """Return the settings of one coordinator in a fleet of that size."""
    return replace(
        bench_settings(),
        instances=coordinators,
        slow_start_initial_capacity=INITIAL_CAPACITY,
        slow_start_ms=SLOW_START_MS,
        slow_start_overload_factor=OVERLOAD_FACTOR,
        slow_start_window_ms=WINDOW_MS,
    )


def script(site: Site) -> None:
    """Schedule the failure of zone 1: it falls silent, leaves the engine list, and comes back cold."""
    failed = [server for server in site.engines.values() if server.entry.zone == 1]

    def fail() -> None:
        for server in failed:
            server.silent = True

    def come_back() -> None:
        for server in failed:
            server.restart_cold()
        site.announce(ListUpdateKind.FULL, site.engines, (100.0, 1_500.0))

    site.at(SILENT_MS, fail)
    remaining = [name for name, server in site.engines.items() if server not in failed]
    site.at(
        SILENT_MS + DELIST_DELAY_MS, lambda: site.announce(ListUpdateKind.FULL, remaining, (0.0, 1_000.0))
    )
    site.at(RETURN_MS, come_back)


def cold_peak(site: Site) -> float:
    """Return the most work that a cold engine got within WINDOW_MS, relative to what the settings allow."""
    peak = 0.0
    for server in site.engines.values():
        start, cores = server.entry.started_ms, server.machine.cores
        arrivals = [
            (at, work) for at, work in server.arrived_work if start and start <= at < start + SLOW_START_MS
        ]
        window_work, first = 0.0, 0
        for at, work in arrivals:
            window_work += work
            while arrivals[first][0] <= at - WINDOW_MS:
                window_work -= arrivals[first][1]
                first += 1
            capacity_share = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * (at - start) / SLOW_START_MS
            peak = max(peak, window_work / (OVERLOAD_FACTOR * capacity_share * cores * WINDOW_MS))
    return peak


def figures(site: Site, records: Sequence[PlayedRequest], seconds: float) -> dict[str, Any]:
    """Return the figures of one simulation."""
    settings = site.settings

    def served_share(start: float, end: float) -> float:
        rows = [record for record in records if start <= record.arrival.at_ms < end]
        requested = sum(settings.classes[record.class_index].priority_weight for record in rows)
        return round(total_earned_weight(rows, settings) / max(1e-9, requested), 3)

    spans = [(at, at + 5_000.0) for at in range(0, int(seconds * 1e3) - 5_000, 1_000)]
    silent = [record for record in records if SILENT_MS <= record.arrival.at_ms < SILENT_MS + DELIST_DELAY_MS]
    outcomes = [each.coordinator.counters.snapshot() for each in site.coordinators]
    loads = Counter[str]()  # starts of each load, at all engines
    for server in site.engines.values():
        loads.update(server.load_starts)
    return {
        "before": served_share(0.0, SILENT_MS),
        "first_4s": served_share(SILENT_MS, SILENT_MS + DELIST_DELAY_MS),
        "dark": served_share(SILENT_MS, RETURN_MS),
        "after": served_share(RETURN_MS, seconds * 1e3),
        "worst_5s": min(served_share(*span) for span in spans),
        "failed": sum(record.outcome == "failed" for record in records),
        "refused_dark": round(statistics.mean(record.outcome == "refused" for record in silent), 3),
        "connect_failed": sum(each.get(f"outcome.{Status.CONNECT_FAILED.value}", 0) for each in outcomes),
        "cold_peak": round(cold_peak(site), 2),
        "loads": len(loads),
        "loads_run_twice": sum(count > 1 for count in loads.values()),
        "unanswered": sum(not record.outcome for record in records),
        "requests": len(records),
    }


def run(
    coordinators: int, engines: int, seconds: float, seed: int, *, eject_silent_zones: bool
) -> tuple[Site, list[PlayedRequest]]:
    """Simulate one site; return it and the records of all requests."""
    mean_work_ms = sum(
        share * ms for share, ms in zip(TrafficShape().mix, TrafficShape().work_ms, strict=True)
    )
    rate = LOAD_SHARE * CORES * engines * 1e3 / mean_work_ms / coordinators
    traffic = [
        generate(TrafficShape(seconds=seconds, rate_per_s=rate, shares=(0.73, 0.16, 0.11)), seed * 1_000 + n)
        for n in range(coordinators)
    ]
    servers = [
        ModelledEngine(
            f"e-{n}", Machine(CORES, cold_capacity=INITIAL_CAPACITY, warm_up_ms=SLOW_START_MS), zone=n % ZONES
        )
        for n in range(engines)
    ]
    site = Site(
        site_settings(coordinators), servers, coordinators, seed, eject_silent_zones=eject_silent_zones
    )
    records = run_in_virtual_time(partial(site.run, traffic, 1_000.0, script), seed)
    return site, [record for coordinator_records in records for record in coordinator_records]


def measure(quick: bool, seed: int) -> dict[str, Any]:
    """Return all figures."""
    coordinators, engines, seconds = (6, 9, 30.0) if quick else (40, 60, 40.0)
    started_s = time.monotonic()
    results = {
        mode: figures(*run(coordinators, engines, seconds, seed, eject_silent_zones=ejects), seconds)
        for mode, ejects in (("present", False), ("halls", True))
    }
    print(f"{coordinators} coordinators, {engines} engines: {time.monotonic() - started_s:.0f} s", flush=True)
    return results


if __name__ == "__main__":
    run_command(__doc__, measure)
