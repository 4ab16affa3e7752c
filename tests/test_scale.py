"""What hundreds of mostly quiet gateways break, each tested on single gateways without the bench."""

from __future__ import annotations

import pytest

from fordstair.decisions.actions import CheckHealth
from fordstair.decisions.engine_list import EngineState, ListUpdateKind
from fordstair.decisions.engine_selection import ENGINES_CHECKED_PER_ATTEMPT, MAX_HEALTH_CHECK_CREDIT
from fordstair.decisions.events import EngineListChanged, HealthCheckEnded, RequestArrived, Status
from fordstair.decisions.gateway import HEALTH_CHECK_WAIT_MS
from fordstair.decisions.settings import RetryBudget, Tenant
from fordstair.decisions.tracked_engine import TrackedEngine
from fordstair.decisions.tracked_request import TrackedRequest
from tests.helpers import CLASSES, LOAD, SAFE, Rig, entry, selection_factor, settings

MANY = 250  # gateways


def sends_to(rigs: list[Rig], number: int) -> int:
    return sum(s.engine == f"10.0.0.{number}:80" for rig in rigs for s in rig.sends())


def engine_of(rig: Rig, number: int) -> TrackedEngine:
    return rig.gateway.engines[f"10.0.0.{number}:80"]


def test_a_cold_engine_gets_a_part_from_all_gateways_together_but_not_too_much() -> None:
    # An even part of the cold budget is less than one query at each of the gateways.
    config = settings(instances=MANY, slow_start_overload_factor=3.0, slow_start_window_ms=2000.0)
    rigs = [Rig(config, engines=0, seed=seed) for seed in range(MANY)]
    for rig in rigs:
        rig.members(*(entry(i) for i in range(1, 10)), entry(10, started=990.0), kind=ListUpdateKind.FULL)
        for _ in range(2):
            rig.ask(SAFE, 100.0)
    cold, all_sends = sends_to(rigs, 10), sum(len(rig.sends()) for rig in rigs)
    assert all_sends == 2 * MANY
    budget = 3.0 * 0.3 * 0.85 * 8.0 * 2000.0  # thread-milliseconds within the window
    assert 0 < cold * 100.0 < budget
    assert cold < all_sends / 10  # less than an even part of the traffic


def test_with_every_engine_cold_the_gateways_hold_back_together() -> None:
    rigs = [Rig(settings(instances=MANY), engines=0, seed=seed) for seed in range(MANY)]
    for rig in rigs:
        rig.members(*(entry(i, started=990.0) for i in range(1, 4)), kind=ListUpdateKind.FULL)
        rig.ask(LOAD, 4000.0, ordering_key=1)
    part = sum(len(rig.sends()) for rig in rigs) / MANY
    assert 0.0 < part < 3.0 * 0.3 / 2.0  # of full load: half of what the rule allows
    assert all(rig.sends() or rig.answers(1) for rig in rigs)  # nobody is left without an answer


def costly(rig: Rig) -> TrackedRequest:
    """A request of ten times its class's mean."""
    rig.gateway.cost_model.classes[SAFE].cost.add(100.0)
    request = TrackedRequest.from_event(RequestArrived(0, SAFE, 3000.0), CLASSES[SAFE])
    request.cost = 1000.0
    return request


def press(rig: Rig) -> float:
    """A little pressure, by lateness; without any, buckets do not bind."""
    rig.gateway.load.lateness.value = 0.45
    rig.gateway.load.lateness.updated_at = rig.gateway.now
    return rig.gateway.admission.pressure(rig.gateway.now, SAFE)


def test_buckets_of_many_gateways_do_not_open_full_together() -> None:
    rigs = [Rig(settings(instances=MANY), seed=seed) for seed in range(MANY)]
    assert all(press(rig) > 0.1 for rig in rigs)
    let_in = sum(not rig.gateway.admission.rejection(rig.gateway.now, costly(rig)) for rig in rigs)
    assert 0.2 * MANY < let_in < 0.8 * MANY  # not one each at once, and not none


def test_small_shares_admit_by_chance_and_keep_their_rate() -> None:
    rig = Rig(settings(instances=MANY))
    request, let_in, p = costly(rig), 0, press(rig)
    for _ in range(4000):
        rig.gateway.now += 1000.0
        press(rig)
        let_in += not rig.gateway.admission.rejection(rig.gateway.now, request)
    rate = 24.0 / MANY * (1.0 - p) ** 2  # a second: cores over thread-seconds, an even part, less by pressure
    assert let_in == pytest.approx(rate * 4000.0, rel=0.2)


def test_in_calm_a_small_share_refuses_no_heavy_query() -> None:
    rig = Rig(settings(instances=MANY))
    assert not any(rig.gateway.admission.rejection(rig.gateway.now, costly(rig)) for _ in range(20))


def test_a_quiet_gateway_reads_an_engine_without_report_as_loaded_as_the_others() -> None:
    rig = Rig(engines=4)
    for number in (1, 2, 3):
        rig.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.75,)))
    loads = [
        rig.gateway.load.threads_per_core(rig.gateway.now, engine_of(rig, number)) for number in (1, 2, 3, 4)
    ]
    assert loads[3] == pytest.approx(loads[0], rel=0.05)
    rig.pass_time(120000.0)
    assert (
        rig.gateway.load.threads_per_core(rig.gateway.now, engine_of(rig, 4)) < 0.01
    )  # no reports at all: own threads alone


def test_a_fresh_report_replaces_one_that_is_old() -> None:
    rig = Rig()
    for _ in range(5):
        rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.9,)))
    rig.pass_time(10000.0)
    rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.3,)))
    assert engine_of(rig, 1).other_threads.value == pytest.approx(0.3 * 8.0 / 0.75)


def test_a_heavy_query_looks_at_a_few_engines_and_goes_to_the_least_busy() -> None:
    rig = Rig(settings(health_checks=True), engines=30)
    for step in range(20):
        rig.ask(SAFE, 10.0 if step == 0 else 1.0)
    rig.pass_time(1000.0)
    before = len(rig.of(CheckHealth))
    r = rig.ask(LOAD, 4000.0, ordering_key=1)
    asked = rig.of(CheckHealth)[before:]
    assert 2 <= len(asked) <= ENGINES_CHECKED_PER_ATTEMPT
    assert not rig.sends(r)
    for place, probe in enumerate(asked):
        rig.feed(HealthCheckEnded(probe.engine, Status.OK, 1.0, (0.05 if place == 0 else 0.95,)))
    rig.pass_time(HEALTH_CHECK_WAIT_MS + 1.0)
    assert rig.sends(r)[0].engine == asked[0].engine


def test_a_held_query_goes_out_without_any_answer_and_probes_are_rationed() -> None:
    rig = Rig(settings(health_checks=True), engines=30)
    for _ in range(100):
        r = rig.ask(SAFE, 1000.0)
        rig.pass_time(HEALTH_CHECK_WAIT_MS + 1.0)
        assert rig.sends(r) or rig.answers(r)
    assert len(rig.of(CheckHealth)) <= MAX_HEALTH_CHECK_CREDIT + 0.4 * 100


def test_an_idle_gateway_sets_no_timers_and_sends_no_probes() -> None:
    rig = Rig(settings(health_checks=True), engines=30)
    rig.pass_time(60000.0)
    assert not rig.log


def test_an_engine_far_too_idle_for_the_fleet_counts_as_hung() -> None:
    rig = Rig(engines=5)
    for number in (1, 2, 3, 4):
        rig.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.6,)))
    rig.feed(HealthCheckEnded("10.0.0.5:80", Status.OK, 1.0, (0.0,)))
    for _ in range(100):
        r = rig.ask(SAFE, 100.0)
        if rig.sends(r)[0].engine != "10.0.0.5:80":
            rig.end(r, Status.OK, 100.0, work_ms=100.0)
    assert sends_to([rig], 5) < 10
    rig.pass_time(60000.0)
    assert selection_factor(rig.gateway, engine_of(rig, 5)) > 0.8  # forgiven in time


def test_an_idle_fleet_marks_nobody_for_idleness() -> None:
    rig = Rig(engines=5)
    for number in range(1, 6):
        rig.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.0,)))
    assert all(e.silence_score == 0.0 for e in rig.gateway.engines.values())


def test_an_unanswered_probe_is_a_silence() -> None:
    rig = Rig()
    rig.feed(HealthCheckEnded("10.0.0.1:80", Status.TIMEOUT, 250.0))
    assert (
        selection_factor(rig.gateway, engine_of(rig, 1))
        < 0.6
        <= selection_factor(rig.gateway, engine_of(rig, 2))
    )


def test_answers_late_against_their_aims_raise_pressure_and_it_falls_again() -> None:
    rig = Rig()
    for _ in range(30):
        rig.now += 300.0
        r = rig.ask(SAFE, 100.0)
        if rig.sends(r):
            rig.end(r, Status.OK, 1500.0, work_ms=100.0)  # the aim is 800 ms
    assert rig.gateway.admission.pressure(rig.gateway.now, SAFE) > 0.9
    rig.pass_time(20000.0)
    assert rig.gateway.admission.pressure(rig.gateway.now, SAFE) == 0.0


def test_a_jam_shows_in_answers_that_never_came() -> None:
    rig = Rig()
    for _ in range(12):
        rig.ask(SAFE, 100.0)
        rig.pass_time(400.0)
    rig.pass_time(3000.0)
    assert rig.gateway.load.lateness.value > 0.35


def test_the_free_attempts_of_a_quiet_gateway_are_few() -> None:
    rig = Rig(settings(max_attempts=5))
    r = rig.ask(SAFE, 100.0)
    while not rig.answers(r):
        rig.end(r, Status.FULL, 0.2)
    assert len(rig.sends(r)) <= 2


def test_a_tenant_with_few_arrivals_has_room_for_chance_but_not_for_a_burst() -> None:
    config = settings(tenants=(Tenant("one", 250.0),), instances=MANY)  # one a second here
    rig = Rig(config)
    for number in (1, 2, 3):
        rig.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (1.0,)))
    steady = 0
    for step in range(60):
        rig.now += 400.0 if step % 2 else 1600.0  # uneven, at the quota
        rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (1.0,)))
        r = rig.ask(SAFE, 10.0)
        steady += not rig.answers(r)
        if not rig.answers(r):
            rig.end(r, Status.OK, 10.0, work_ms=10.0)
    assert steady >= 50
    burst = [rig.ask(SAFE, 10.0) for _ in range(40)]
    rig.gateway.load.lateness.value = 1.0
    rig.gateway.load.lateness.updated_at = rig.now
    burst += [rig.ask(SAFE, 10.0) for _ in range(40)]
    assert sum(bool(rig.answers(r)) for r in burst) >= 35


def test_engines_taken_in_waves_get_nothing_new_and_cold_successors_little() -> None:
    rig = Rig(engines=10)
    for wave in range(3):
        gone, come = entry(1 + wave, EngineState.DRAINING), entry(20 + wave, started=rig.now)
        rig.members(gone, come)
        before = len(rig.sends())
        for _ in range(40):
            rig.end(rig.ask(SAFE, 100.0), Status.OK, 100.0, work_ms=100.0)
        later = [s.engine for s in rig.sends()[before:]]
        assert len(later) == 40
        assert gone.engine not in later
        assert later.count(come.engine) <= 8
        rig.pass_time(1000.0)


def test_an_engine_that_ages_loses_its_draws_then_crashes_and_comes_back_cold() -> None:
    rig = Rig(engines=4)
    for step in range(200):
        r = rig.ask(SAFE, 100.0)
        old = rig.sends(r)[0].engine == "10.0.0.1:80"
        rig.end(r, Status.OK, 100.0 * (1.0 + step / 20.0 if old else 1.0), work_ms=100.0)
        rig.now += 50.0
    late = [s.engine for s in rig.sends()[-80:]]
    assert late.count("10.0.0.1:80") < 0.6 * 80 / 4
    rig.members(entry(1, started=rig.now))
    aged = engine_of(rig, 1)
    assert rig.gateway.outliers.reliability(rig.gateway.now, aged) == 1.0
    assert aged.slowness.value == 1.0
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, aged) < 0.5


def test_a_shift_to_the_heaviest_class_raises_its_mean_and_is_not_refused_for_good() -> None:
    rig = Rig()
    for _ in range(40):
        rig.now += 200.0
        rig.end(rig.ask(LOAD, 4000.0), Status.OK, 2000.0, work_ms=4000.0)
    answers = [rig.answers(rig.ask(LOAD, 4000.0)) for _ in range(5)]
    assert rig.gateway.cost_model.class_mean(LOAD) == pytest.approx(4000.0, rel=0.1)
    assert not any(answers)


@pytest.mark.parametrize("instances", [1, 7, 10**6])
@pytest.mark.parametrize("engines", [0, 1, 300])
def test_any_number_of_gateways_and_engines(instances: int, engines: int) -> None:
    budget = RetryBudget(3.0, 0.1, 5000.0)
    rig = Rig(settings(instances=instances, health_checks=True, retry_budget=budget), engines=0)
    listed = [entry(i, started=500.0 if i % 2 else 0.0) for i in range(1, engines + 1)]
    rig.feed(EngineListChanged(ListUpdateKind.FULL, tuple(listed)))
    for step in range(30):
        rig.feed(EngineListChanged(ListUpdateKind.FULL, tuple(listed[step % 2 :: 2] or listed)))
        r = rig.ask(SAFE, 50.0 * (1 + step % 3))
        rig.pass_time(HEALTH_CHECK_WAIT_MS + 1.0)
        assert bool(rig.sends(r)) != bool(rig.answers(r))
        if rig.sends(r):
            rig.end(r, Status.OK, 100.0, work_ms=100.0)
