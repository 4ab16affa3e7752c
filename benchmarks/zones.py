"""A hall that goes dark and comes back cold: what is served, and what is sent in vain.

    .venv/bin/python -m benchmarks.zones [--quick] [--seed N]

Three halls, each with its engines and coordinators; the program's core and module in virtual time. One hall
falls silent under traffic, the register takes its engines off the list some seconds later, and all of them
come back at once, cold. The last line is one JSON object.
"""

from __future__ import annotations

import statistics
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from benchmarks.budgets import CORES, told
from benchmarks.command import run as run_command
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.decisions.events import Status
from fordstair.decisions.settings import Settings
from fordstair.lab.billing_close import Shape, generate
from fordstair.lab.clockwork import play
from fordstair.lab.machine import Machine
from fordstair.lab.modelled_engine import ModelledEngine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.replay import priority_weight
from fordstair.lab.site import Site

HALLS = 3
DARK_MS, LISTED_MS, BACK_MS = 10_000.0, 4_000.0, 20_000.0  # goes dark; off the list after that; comes back
PART = 0.75  # of what the engines can do, asked for
COLD_FROM, COLD_MS, FALL_MULTIPLE, FALL_MS = 0.32, 15_000.0, 2.5, 1_000.0


def site_settings(coordinators: int) -> Settings:
    """Return the settings of one of so many coordinators."""
    return replace(
        told(),
        instances=coordinators,
        slow_start_initial_capacity=COLD_FROM,
        slow_start_ms=COLD_MS,
        slow_start_overload_factor=FALL_MULTIPLE,
        slow_start_window_ms=FALL_MS,
    )


def script(site: Site) -> None:
    """Hall 1 goes dark, is taken off the list, and is back cold."""
    lost = [server for server in site.engines.values() if server.entry.zone == 1]

    def dark() -> None:
        for server in lost:
            server.silent = True

    def back() -> None:
        for server in lost:
            server.restart_cold()
        site.announce(ListUpdateKind.FULL, site.engines, (100.0, 1_500.0))

    site.at(DARK_MS, dark)
    left = [name for name, server in site.engines.items() if server not in lost]
    site.at(DARK_MS + LISTED_MS, lambda: site.announce(ListUpdateKind.FULL, left, (0.0, 1_000.0)))
    site.at(BACK_MS, back)


def cold_peak(site: Site) -> float:
    """Return the most work that a cold engine got within FALL_MS, over what it may get by the settings."""
    most = 0.0
    for server in site.engines.values():
        start, cores = server.entry.started_ms, server.machine.cores
        came = [(at, work) for at, work in server.arrived_work if start and start <= at < start + COLD_MS]
        held, first = 0.0, 0
        for at, work in came:
            held += work
            while came[first][0] <= at - FALL_MS:
                held -= came[first][1]
                first += 1
            warmth = COLD_FROM + (1.0 - COLD_FROM) * (at - start) / COLD_MS
            most = max(most, held / (FALL_MULTIPLE * warmth * cores * FALL_MS))
    return most


def figures(site: Site, records: Sequence[PlayedRequest], seconds: float) -> dict[str, Any]:
    """Return one play's figures."""
    settings = site.settings

    def part(start: float, end: float) -> float:
        rows = [record for record in records if start <= record.arrival.at_ms < end]
        asked = sum(settings.classes[record.class_index].priority_weight for record in rows)
        return round(priority_weight(rows, settings) / max(1e-9, asked), 3)

    spans = [(at, at + 5_000.0) for at in range(0, int(seconds * 1e3) - 5_000, 1_000)]
    dark = [record for record in records if DARK_MS <= record.arrival.at_ms < DARK_MS + LISTED_MS]
    outcomes = [each.coordinator.counters.snapshot() for each in site.coordinators]
    loads = Counter[str]()  # how often each began, anywhere
    for server in site.engines.values():
        loads.update(server.load_starts)
    return {
        "before": part(0.0, DARK_MS),
        "first_4s": part(DARK_MS, DARK_MS + LISTED_MS),
        "dark": part(DARK_MS, BACK_MS),
        "after": part(BACK_MS, seconds * 1e3),
        "worst_5s": min(part(*span) for span in spans),
        "failed": sum(record.outcome == "failed" for record in records),
        "refused_dark": round(statistics.mean(record.outcome == "refused" for record in dark), 3),
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
    """Play one site; return it and all records."""
    work = sum(part * ms for part, ms in zip(Shape().mix, Shape().work_ms, strict=True))
    rate = PART * CORES * engines * 1e3 / work / coordinators
    traffic = [
        generate(Shape(seconds=seconds, rate_per_s=rate, shares=(0.73, 0.16, 0.11)), seed * 1_000 + n)
        for n in range(coordinators)
    ]
    servers = [
        ModelledEngine(f"e-{n}", Machine(CORES, cold_capacity=COLD_FROM, warm_up_ms=COLD_MS), zone=n % HALLS)
        for n in range(engines)
    ]
    site = Site(
        site_settings(coordinators), servers, coordinators, seed, eject_silent_zones=eject_silent_zones
    )
    records = play(partial(site.run, traffic, 1_000.0, script), seed)
    return site, [record for mine in records for record in mine]


def measure(quick: bool, seed: int) -> dict[str, Any]:
    """Return all figures."""
    coordinators, engines, seconds = (6, 9, 30.0) if quick else (40, 60, 40.0)
    began = time.monotonic()
    found = {
        how: figures(*run(coordinators, engines, seconds, seed, eject_silent_zones=ejects), seconds)
        for how, ejects in (("present", False), ("halls", True))
    }
    print(f"{coordinators} coordinators, {engines} engines: {time.monotonic() - began:.0f} s", flush=True)
    return found


if __name__ == "__main__":
    run_command(__doc__, measure)
