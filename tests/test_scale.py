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
from tests.helpers import CLASSES, LOAD, SAFE, GatewayHarness, entry, selection_factor, settings

MANY = 250  # gateways


def sends_to(harnesses: list[GatewayHarness], number: int) -> int:
    return sum(s.engine == f"10.0.0.{number}:80" for harness in harnesses for s in harness.sends())


def engine_of(harness: GatewayHarness, number: int) -> TrackedEngine:
    return harness.gateway.engines[f"10.0.0.{number}:80"]


def test_a_cold_engine_gets_a_part_from_all_gateways_together_but_not_too_much() -> None:
    # An even part of the cold budget is less than one query at each of the gateways.
    config = settings(instances=MANY, slow_start_overload_factor=3.0, slow_start_window_ms=2000.0)
    harnesses = [GatewayHarness(config, engines=0, seed=seed) for seed in range(MANY)]
    for harness in harnesses:
        harness.update_engine_list(
            *(entry(i) for i in range(1, 10)), entry(10, started=990.0), kind=ListUpdateKind.FULL
        )
        for _ in range(2):
            harness.send_request(SAFE, 100.0)
    cold, all_sends = sends_to(harnesses, 10), sum(len(harness.sends()) for harness in harnesses)
    assert all_sends == 2 * MANY
    budget = 3.0 * 0.3 * 0.85 * 8.0 * 2000.0  # thread-milliseconds within the window
    assert 0 < cold * 100.0 < budget
    assert cold < all_sends / 10  # less than an even part of the traffic


def test_with_every_engine_cold_the_gateways_hold_back_together() -> None:
    harnesses = [GatewayHarness(settings(instances=MANY), engines=0, seed=seed) for seed in range(MANY)]
    for harness in harnesses:
        harness.update_engine_list(*(entry(i, started=990.0) for i in range(1, 4)), kind=ListUpdateKind.FULL)
        harness.send_request(LOAD, 4000.0, ordering_key=1)
    part = sum(len(harness.sends()) for harness in harnesses) / MANY
    assert 0.0 < part < 3.0 * 0.3 / 2.0  # of full load: half of what the rule allows
    assert all(
        harness.sends() or harness.answers(1) for harness in harnesses
    )  # nobody is left without an answer


def costly(harness: GatewayHarness) -> TrackedRequest:
    """A request of ten times its class's mean."""
    harness.gateway.cost_model.classes[SAFE].cost.add(100.0)
    request = TrackedRequest.from_event(RequestArrived(0, SAFE, 3000.0), CLASSES[SAFE])
    request.cost = 1000.0
    return request


def press(harness: GatewayHarness) -> float:
    """A little pressure, by lateness; without any, buckets do not bind."""
    harness.gateway.load.lateness.value = 0.45
    harness.gateway.load.lateness.updated_at = harness.gateway.now
    return harness.gateway.admission.pressure(harness.gateway.now, SAFE)


def test_buckets_of_many_gateways_do_not_open_full_together() -> None:
    harnesses = [GatewayHarness(settings(instances=MANY), seed=seed) for seed in range(MANY)]
    assert all(press(harness) > 0.1 for harness in harnesses)
    let_in = sum(
        not harness.gateway.admission.rejection(harness.gateway.now, costly(harness)) for harness in harnesses
    )
    assert 0.2 * MANY < let_in < 0.8 * MANY  # not one each at once, and not none


def test_small_shares_admit_by_chance_and_keep_their_rate() -> None:
    harness = GatewayHarness(settings(instances=MANY))
    request, let_in, p = costly(harness), 0, press(harness)
    for _ in range(4000):
        harness.gateway.now += 1000.0
        press(harness)
        let_in += not harness.gateway.admission.rejection(harness.gateway.now, request)
    rate = 24.0 / MANY * (1.0 - p) ** 2  # a second: cores over thread-seconds, an even part, less by pressure
    assert let_in == pytest.approx(rate * 4000.0, rel=0.2)


def test_in_calm_a_small_share_refuses_no_heavy_query() -> None:
    harness = GatewayHarness(settings(instances=MANY))
    assert not any(
        harness.gateway.admission.rejection(harness.gateway.now, costly(harness)) for _ in range(20)
    )


def test_a_quiet_gateway_reads_an_engine_without_report_as_loaded_as_the_others() -> None:
    harness = GatewayHarness(engines=4)
    for number in (1, 2, 3):
        harness.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.75,)))
    loads = [
        harness.gateway.load.threads_per_core(harness.gateway.now, engine_of(harness, number))
        for number in (1, 2, 3, 4)
    ]
    assert loads[3] == pytest.approx(loads[0], rel=0.05)
    harness.advance(120000.0)
    assert (
        harness.gateway.load.threads_per_core(harness.gateway.now, engine_of(harness, 4)) < 0.01
    )  # no reports at all: own threads alone


def test_a_fresh_report_replaces_one_that_is_old() -> None:
    harness = GatewayHarness()
    for _ in range(5):
        harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.9,)))
    harness.advance(10000.0)
    harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.3,)))
    assert engine_of(harness, 1).other_threads.value == pytest.approx(0.3 * 8.0 / 0.75)


def test_a_heavy_query_looks_at_a_few_engines_and_goes_to_the_least_busy() -> None:
    harness = GatewayHarness(settings(health_checks=True), engines=30)
    for step in range(20):
        harness.send_request(SAFE, 10.0 if step == 0 else 1.0)
    harness.advance(1000.0)
    before = len(harness.actions_of(CheckHealth))
    r = harness.send_request(LOAD, 4000.0, ordering_key=1)
    asked = harness.actions_of(CheckHealth)[before:]
    assert 2 <= len(asked) <= ENGINES_CHECKED_PER_ATTEMPT
    assert not harness.sends(r)
    for place, probe in enumerate(asked):
        harness.feed(HealthCheckEnded(probe.engine, Status.OK, 1.0, (0.05 if place == 0 else 0.95,)))
    harness.advance(HEALTH_CHECK_WAIT_MS + 1.0)
    assert harness.sends(r)[0].engine == asked[0].engine


def test_a_held_query_goes_out_without_any_answer_and_probes_are_rationed() -> None:
    harness = GatewayHarness(settings(health_checks=True), engines=30)
    for _ in range(100):
        r = harness.send_request(SAFE, 1000.0)
        harness.advance(HEALTH_CHECK_WAIT_MS + 1.0)
        assert harness.sends(r) or harness.answers(r)
    assert len(harness.actions_of(CheckHealth)) <= MAX_HEALTH_CHECK_CREDIT + 0.4 * 100


def test_an_idle_gateway_sets_no_timers_and_sends_no_probes() -> None:
    harness = GatewayHarness(settings(health_checks=True), engines=30)
    harness.advance(60000.0)
    assert not harness.action_log


def test_an_engine_far_too_idle_for_the_fleet_counts_as_hung() -> None:
    harness = GatewayHarness(engines=5)
    for number in (1, 2, 3, 4):
        harness.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.6,)))
    harness.feed(HealthCheckEnded("10.0.0.5:80", Status.OK, 1.0, (0.0,)))
    for _ in range(100):
        r = harness.send_request(SAFE, 100.0)
        if harness.sends(r)[0].engine != "10.0.0.5:80":
            harness.end_attempt(r, Status.OK, 100.0, work_ms=100.0)
    assert sends_to([harness], 5) < 10
    harness.advance(60000.0)
    assert selection_factor(harness.gateway, engine_of(harness, 5)) > 0.8  # forgiven in time


def test_an_idle_fleet_marks_nobody_for_idleness() -> None:
    harness = GatewayHarness(engines=5)
    for number in range(1, 6):
        harness.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.0,)))
    assert all(e.silence_score == 0.0 for e in harness.gateway.engines.values())


def test_an_unanswered_probe_is_a_silence() -> None:
    harness = GatewayHarness()
    harness.feed(HealthCheckEnded("10.0.0.1:80", Status.TIMEOUT, 250.0))
    assert (
        selection_factor(harness.gateway, engine_of(harness, 1))
        < 0.6
        <= selection_factor(harness.gateway, engine_of(harness, 2))
    )


def test_answers_late_against_their_aims_raise_pressure_and_it_falls_again() -> None:
    harness = GatewayHarness()
    for _ in range(30):
        harness.now += 300.0
        r = harness.send_request(SAFE, 100.0)
        if harness.sends(r):
            harness.end_attempt(r, Status.OK, 1500.0, work_ms=100.0)  # the aim is 800 ms
    assert harness.gateway.admission.pressure(harness.gateway.now, SAFE) > 0.9
    harness.advance(20000.0)
    assert harness.gateway.admission.pressure(harness.gateway.now, SAFE) == 0.0


def test_a_jam_shows_in_answers_that_never_came() -> None:
    harness = GatewayHarness()
    for _ in range(12):
        harness.send_request(SAFE, 100.0)
        harness.advance(400.0)
    harness.advance(3000.0)
    assert harness.gateway.load.lateness.value > 0.35


def test_the_free_attempts_of_a_quiet_gateway_are_few() -> None:
    harness = GatewayHarness(settings(max_attempts=5))
    r = harness.send_request(SAFE, 100.0)
    while not harness.answers(r):
        harness.end_attempt(r, Status.FULL, 0.2)
    assert len(harness.sends(r)) <= 2


def test_a_tenant_with_few_arrivals_has_room_for_chance_but_not_for_a_burst() -> None:
    config = settings(tenants=(Tenant("one", 250.0),), instances=MANY)  # one a second here
    harness = GatewayHarness(config)
    for number in (1, 2, 3):
        harness.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (1.0,)))
    steady = 0
    for step in range(60):
        harness.now += 400.0 if step % 2 else 1600.0  # uneven, at the quota
        harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (1.0,)))
        r = harness.send_request(SAFE, 10.0)
        steady += not harness.answers(r)
        if not harness.answers(r):
            harness.end_attempt(r, Status.OK, 10.0, work_ms=10.0)
    assert steady >= 50
    burst = [harness.send_request(SAFE, 10.0) for _ in range(40)]
    harness.gateway.load.lateness.value = 1.0
    harness.gateway.load.lateness.updated_at = harness.now
    burst += [harness.send_request(SAFE, 10.0) for _ in range(40)]
    assert sum(bool(harness.answers(r)) for r in burst) >= 35


def test_engines_taken_in_waves_get_nothing_new_and_cold_successors_little() -> None:
    harness = GatewayHarness(engines=10)
    for wave in range(3):
        gone, come = entry(1 + wave, EngineState.DRAINING), entry(20 + wave, started=harness.now)
        harness.update_engine_list(gone, come)
        before = len(harness.sends())
        for _ in range(40):
            harness.end_attempt(harness.send_request(SAFE, 100.0), Status.OK, 100.0, work_ms=100.0)
        later = [s.engine for s in harness.sends()[before:]]
        assert len(later) == 40
        assert gone.engine not in later
        assert later.count(come.engine) <= 8
        harness.advance(1000.0)


def test_an_engine_that_ages_loses_its_draws_then_crashes_and_comes_back_cold() -> None:
    harness = GatewayHarness(engines=4)
    for step in range(200):
        r = harness.send_request(SAFE, 100.0)
        old = harness.sends(r)[0].engine == "10.0.0.1:80"
        harness.end_attempt(r, Status.OK, 100.0 * (1.0 + step / 20.0 if old else 1.0), work_ms=100.0)
        harness.now += 50.0
    late = [s.engine for s in harness.sends()[-80:]]
    assert late.count("10.0.0.1:80") < 0.6 * 80 / 4
    harness.update_engine_list(entry(1, started=harness.now))
    aged = engine_of(harness, 1)
    assert harness.gateway.outliers.reliability(harness.gateway.now, aged) == 1.0
    assert aged.slowness.value == 1.0
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, aged) < 0.5


def test_a_shift_to_the_heaviest_class_raises_its_mean_and_is_not_refused_for_good() -> None:
    harness = GatewayHarness()
    for _ in range(40):
        harness.now += 200.0
        harness.end_attempt(harness.send_request(LOAD, 4000.0), Status.OK, 2000.0, work_ms=4000.0)
    answers = [harness.answers(harness.send_request(LOAD, 4000.0)) for _ in range(5)]
    assert harness.gateway.cost_model.class_mean(LOAD) == pytest.approx(4000.0, rel=0.1)
    assert not any(answers)


@pytest.mark.parametrize("instances", [1, 7, 10**6])
@pytest.mark.parametrize("engines", [0, 1, 300])
def test_any_number_of_gateways_and_engines(instances: int, engines: int) -> None:
    budget = RetryBudget(3.0, 0.1, 5000.0)
    harness = GatewayHarness(
        settings(instances=instances, health_checks=True, retry_budget=budget), engines=0
    )
    listed = [entry(i, started=500.0 if i % 2 else 0.0) for i in range(1, engines + 1)]
    harness.feed(EngineListChanged(ListUpdateKind.FULL, tuple(listed)))
    for step in range(30):
        harness.feed(EngineListChanged(ListUpdateKind.FULL, tuple(listed[step % 2 :: 2] or listed)))
        r = harness.send_request(SAFE, 50.0 * (1 + step % 3))
        harness.advance(HEALTH_CHECK_WAIT_MS + 1.0)
        assert bool(harness.sends(r)) != bool(harness.answers(r))
        if harness.sends(r):
            harness.end_attempt(r, Status.OK, 100.0, work_ms=100.0)
