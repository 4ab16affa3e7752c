"""Several real coordinators in virtual time: repeated exactly, the fleet's budgets kept, its teams served."""

from __future__ import annotations

from functools import partial

from benchmarks.budgets import told
from benchmarks.fleet_service import figures, lapse, plan, run
from fordstair.lab.billing_close import Shape, generate
from fordstair.lab.clockwork import DAY_MS, now_ms, play
from fordstair.lab.machine import Machine
from fordstair.lab.modelled_engine import ModelledEngine
from fordstair.lab.played_request import PlayedRequest
from fordstair.lab.site import QueueSettings, Site


def test_a_play_is_repeated_exactly_by_its_seed() -> None:
    def once(seed: int) -> list[tuple[object, ...]]:
        _, records = run(2, 3.0, seed, fleet=True)
        return [
            (record.outcome, record.reason, record.answered_ms, record.likely_ms == record.likely_ms)
            for record in records
        ]

    first = once(3)
    assert first == once(3)
    assert first != once(4)
    assert {how for how, *_ in first} <= {"served", "refused"}
    assert len(first) > 150


def test_virtual_time_passes_without_waiting() -> None:
    async def scene() -> float:
        import trio

        began = now_ms()
        await trio.sleep(3_600.0)
        return now_ms() - began

    assert play(scene, 1) == 3_600_000.0
    assert DAY_MS > 1.7e12


def test_a_team_within_its_budget_is_served_in_its_aim_while_another_asks_too_much() -> None:
    site, records = run(5, 12.0, 7, fleet=True)
    found = figures(site, records, 5)
    assert found["over"] == 0
    assert found["unanswered"] == 0
    assert max(found["out"].values()) <= 1.0
    assert min(found["in_aim"]["saltbush-power"], found["in_aim"]["pindan-retail"]) >= 0.9
    without = figures(*run(5, 12.0, 7, fleet=False), 5)
    assert without["out"]["karri-energy"] > 1.5  # queues alone keep no budget of the fleet


def test_leases_that_end_under_work_that_goes_on_break_no_whole() -> None:
    found = lapse(5, 15.0, 2)
    assert found["over"] == 0
    assert found["unanswered"] == 0
    assert max(found["out"].values()) <= 1.0


def test_a_member_that_was_idle_lets_a_lookup_through_at_once_while_others_hold_all() -> None:
    """The smallest request needs no share to move: a thread is kept for it wherever anything is wanted."""
    busy = generate(Shape(seconds=10.0, rate_per_s=60.0, shares=(0.0, 0.0, 1.0)), 1)
    quiet = [
        each
        for each in generate(
            Shape(seconds=10.0, rate_per_s=2.0, mix=(1.0, 0.0, 0.0), shares=(0.0, 0.0, 1.0)), 2
        )
        if each.work_ms < 300.0
    ]
    site = Site(
        told(),
        [ModelledEngine(f"e-{n}", Machine(8.0)) for n in range(20)],
        5,
        1,
        QueueSettings(dict(enumerate((0.73, 0.16, 0.11)))),
        plan(5),
    )
    records: list[list[PlayedRequest]] = play(partial(site.run, [busy, quiet, [], [], []], 15_000.0), 1)
    assert sum(record.outcome == "refused" for record in records[0]) > 50  # far more than the team's whole
    waits = sorted(record.released_ms for record in records[1] if record.outcome == "served")
    assert len(waits) >= 0.9 * len(records[1]) >= 9
    assert waits[len(waits) // 2] < 100.0
    assert site.fleet is not None
    assert site.fleet.audit.violations() == 0
