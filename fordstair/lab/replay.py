"""Replays recorded or generated traffic in virtual time under an operator's file, budgets off and on."""

from __future__ import annotations

import math
from collections import Counter
from pathlib import Path
from typing import Any

from fordstair.configuration.operator_file import decision_settings
from fordstair.configuration.operator_schema import BudgetsTable, File
from fordstair.decisions.settings import Settings
from fordstair.lab.billing_close import Arrival, read_arrivals
from fordstair.lab.machine import Machine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.virtual import GatewaySimulation
from fordstair.scheduling.scheduler import Scheduler


def compare(path: Path, file: File, seed: int) -> dict[str, dict[str, Any]]:
    """Return the figures of each team and of all, without budgets and with them.

    The budgets are the file's, or the default ones. Raises ValueError for a request whose class or team the
    file does not have.
    """
    settings = decision_settings(file)
    arrivals = list(read_arrivals(path))
    known = ({each.name for each in settings.classes}, {each.name for each in settings.tenants})
    for number, arrival in enumerate(arrivals, 1):
        if arrival.class_name not in known[0] or arrival.team not in known[1]:
            raise ValueError(
                f"{path}: line {number}: the operator's file lacks class {arrival.class_name!r} or team "
                f"{arrival.team!r}"
            )
    without_budgets = replay(file, settings, arrivals, seed, None)
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
        f"{variant} {name}": figures
        for variant, records in (
            ("without", without_budgets),
            ("with", replay(file, settings, arrivals, seed, scheduler)),
        )
        for name, figures in figures_by_team(records, settings).items()
    }


def replay(
    file: File, settings: Settings, arrivals: list[Arrival], seed: int, scheduler: Scheduler | None
) -> list[PlayedRequest]:
    """Replay the traffic once; return what became of each request."""
    machines = {each.id: Machine(each.cores) for each in file.engines}
    return GatewaySimulation(settings, machines, seed, scheduler).run(arrivals)


def total_earned_weight(records: list[PlayedRequest], settings: Settings) -> float:
    """Return the sum of the requests' earned weights."""
    return sum(earned_weight(record, settings) for record in records)


def earned_weight(record: PlayedRequest, settings: Settings) -> float:
    """Return a request's weight if served within its latency objective, a part if later, else 0."""
    spec = settings.classes[record.class_index]
    if record.outcome != "served":
        return 0.0
    return spec.priority_weight * (1.0 if met_objective(record, settings) else spec.late_weight)


def met_objective(record: PlayedRequest, settings: Settings) -> bool:
    """Return whether a request was served within its latency objective."""
    spec = settings.classes[record.class_index]
    objective_ms = (
        spec.latency_objective_ms + spec.latency_objective_work_factor * record.arrival.work_ms / spec.threads
    )
    return record.outcome == "served" and record.answered_ms <= objective_ms


def figures_by_team(records: list[PlayedRequest], settings: Settings) -> dict[str, dict[str, Any]]:
    """Return the figures of each team, and of all requests under ``all``."""
    groups = {
        tenant.name: [each for each in records if each.team == team]
        for team, tenant in enumerate(settings.tenants)
    }
    figures = dict[str, dict[str, Any]]()
    for name, group in {**groups, "all": records}.items():
        outcomes = Counter(each.outcome for each in group)
        waits = sorted(each.released_ms for each in group if not math.isnan(each.released_ms))
        figures[name] = {
            "asked": len(group),
            **{outcome: outcomes[outcome] for outcome in ("served", "refused", "failed")},
            "worth": round(total_earned_weight(group, settings), 1),
            "wait_p50_ms": round(waits[len(waits) // 2]) if waits else 0,
            "wait_p99_ms": round(waits[len(waits) * 99 // 100]) if waits else 0,
        }
    return figures
