"""Several real coordinators in virtual time: determinism, and the limits of the fleet's budgets."""

from __future__ import annotations

from functools import partial

from benchmarks.budgets import bench_settings
from benchmarks.fleet_service import figures, lapse, plan, run
from fordstair.lab.billing_close import TrafficShape, generate
from fordstair.lab.clockwork import START_UNIX_MS, now_ms, run_in_virtual_time
from fordstair.lab.machine import Machine
from fordstair.lab.modelled_engine import ModelledEngine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.site import QueueSettings, Site


def test_simulation_is_deterministic_by_seed() -> None:
    def simulate(seed: int) -> list[tuple[object, ...]]:
        _, records = run(2, 3.0, seed, fleet=True)
        return [
            (record.outcome, record.reason, record.answered_ms, record.likely_ms == record.likely_ms)
            for record in records
        ]

    first = simulate(3)
    assert first == simulate(3)
    assert first != simulate(4)
    assert {outcome for outcome, *_ in first} <= {"served", "refused"}
    assert len(first) > 150


def test_virtual_time_passes_without_waiting() -> None:
    async def scene() -> float:
        import trio

        started_ms = now_ms()
        await trio.sleep(3_600.0)
        return now_ms() - started_ms

    assert run_in_virtual_time(scene, 1) == 3_600_000.0
    assert START_UNIX_MS > 1.7e12


def test_team_within_its_budget_meets_its_objective_while_another_exceeds_its_own() -> None:
    site, records = run(5, 12.0, 7, fleet=True)
    result = figures(site, records, 5)
    assert result["over"] == 0
    assert result["unanswered"] == 0
    assert max(result["out"].values()) <= 1.0
    assert min(result["in_aim"]["saltbush-power"], result["in_aim"]["pindan-retail"]) >= 0.9
    queues_only = figures(*run(5, 12.0, 7, fleet=False), 5)
    # Queues alone do not enforce the fleet's budgets.
    assert queues_only["out"]["karri-energy"] > 1.5


def test_leases_that_expire_while_work_continues_exceed_no_limit() -> None:
    result = lapse(5, 15.0, 2)
    assert result["over"] == 0
    assert result["unanswered"] == 0
    assert max(result["out"].values()) <= 1.0


def test_idle_member_admits_lookups_at_once_while_others_hold_all_threads() -> None:
    """Every member with demand keeps a thread for the smallest request, so no lease has to move for it."""
    overload = generate(TrafficShape(seconds=10.0, rate_per_s=60.0, shares=(0.0, 0.0, 1.0)), 1)
    lookups = [
        arrival
        for arrival in generate(
            TrafficShape(seconds=10.0, rate_per_s=2.0, mix=(1.0, 0.0, 0.0), shares=(0.0, 0.0, 1.0)), 2
        )
        if arrival.work_ms < 300.0
    ]
    site = Site(
        bench_settings(),
        [ModelledEngine(f"e-{n}", Machine(8.0)) for n in range(20)],
        5,
        1,
        QueueSettings(dict(enumerate((0.73, 0.16, 0.11)))),
        plan(5),
    )
    records: list[list[PlayedRequest]] = run_in_virtual_time(
        partial(site.run, [overload, lookups, [], [], []], 15_000.0), 1
    )
    # The team asks for far more than its limit.
    assert sum(record.outcome == "refused" for record in records[0]) > 50
    waits = sorted(record.released_ms for record in records[1] if record.outcome == "served")
    assert len(waits) >= 0.9 * len(records[1]) >= 9
    assert waits[len(waits) // 2] < 100.0
    assert site.fleet is not None
    assert site.fleet.audit.violations() == 0
