"""Plays recorded or generated traffic against an operator's file in virtual time, budgets on and off."""

from __future__ import annotations

import math
from collections import Counter
from pathlib import Path
from typing import Any

from fordstair.configuration.operator_file import decision_settings
from fordstair.configuration.operator_schema import BudgetsTable, File
from fordstair.decisions.settings import Settings
from fordstair.lab.billing_close import Arrival, read
from fordstair.lab.machine import Machine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.virtual import GatewaySimulation
from fordstair.scheduling.scheduler import Scheduler


def compare(path: Path, file: File, seed: int) -> dict[str, dict[str, Any]]:
    """Return figures by team and in all, without budgets and with the file's (or the default ones)."""
    settings = decision_settings(file)
    arrivals = list(read(path))
    known = ({each.name for each in settings.classes}, {each.name for each in settings.tenants})
    for number, arrival in enumerate(arrivals, 1):
        if arrival.class_name not in known[0] or arrival.team not in known[1]:
            raise ValueError(
                f"{path}: line {number}: the file knows no class {arrival.class_name!r} of a team "
                f"{arrival.team!r}"
            )
    plain = play(file, settings, arrivals, seed, None)
    budgets = file.budgets or BudgetsTable()
    cores = sum(each.cores for each in file.engines)
    scheduler = Scheduler(
        {number: team.share for number, team in enumerate(file.teams)},
        cores * budgets.threads_per_core,
        max_waiting=budgets.max_waiting,
        burst_ms=budgets.burst_ms,
        debt_ms=budgets.debt_ms,
    )
    return {
        f"{how} {name}": figures
        for how, records in (("without", plain), ("with", play(file, settings, arrivals, seed, scheduler)))
        for name, figures in tables(records, settings).items()
    }


def play(
    file: File, settings: Settings, arrivals: list[Arrival], seed: int, scheduler: Scheduler | None
) -> list[PlayedRequest]:
    """Play the traffic once."""
    machines = {each.id: Machine(each.cores) for each in file.engines}
    return GatewaySimulation(settings, machines, seed, scheduler).run(arrivals)


def priority_weight(records: list[PlayedRequest], settings: Settings) -> float:
    """Return the worth served: whole within the wanted time, a part after it."""
    return sum(earned(record, settings) for record in records)


def earned(record: PlayedRequest, settings: Settings) -> float:
    """Return the worth of one request, as it was served."""
    spec = settings.classes[record.class_index]
    if record.outcome != "served":
        return 0.0
    return spec.priority_weight * (1.0 if in_aim(record, settings) else spec.late_weight)


def in_aim(record: PlayedRequest, settings: Settings) -> bool:
    """Whether a request was answered within its wanted time."""
    spec = settings.classes[record.class_index]
    aim_ms = (
        spec.latency_objective_ms + spec.latency_objective_work_factor * record.arrival.work_ms / spec.threads
    )
    return record.outcome == "served" and record.answered_ms <= aim_ms


def tables(records: list[PlayedRequest], settings: Settings) -> dict[str, dict[str, Any]]:
    """Return the figures of each team, and of all."""
    groups = {
        tenant.name: [each for each in records if each.team == team]
        for team, tenant in enumerate(settings.tenants)
    }
    shown = dict[str, dict[str, Any]]()
    for name, group in {**groups, "all": records}.items():
        how = Counter(each.outcome for each in group)
        waits = sorted(each.released_ms for each in group if not math.isnan(each.released_ms))
        shown[name] = {
            "asked": len(group),
            **{end: how[end] for end in ("served", "refused", "failed")},
            "worth": round(priority_weight(group, settings), 1),
            "wait_p50_ms": round(waits[len(waits) // 2]) if waits else 0,
            "wait_p99_ms": round(waits[len(waits) * 99 // 100]) if waits else 0,
        }
    return shown
