"""Failures that appear with hundreds of mostly idle gateways, tested on single gateways without the bench."""

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

GATEWAYS = 250


def count_sends_to(rigs: list[Rig], number: int) -> int:
    return sum(s.engine == f"10.0.0.{number}:80" for rig in rigs for s in rig.sends())


def engine_by_number(rig: Rig, number: int) -> TrackedEngine:
    return rig.gateway.engines[f"10.0.0.{number}:80"]


def test_a_cold_engine_gets_some_work_from_all_gateways_together_within_its_budget() -> None:
    # Guards against a cold engine that gets nothing, since an even share of its budget is less than one query
    # at each of the gateways, and against one that gets too much from all of them together.
    config = settings(instances=GATEWAYS, slow_start_overload_factor=3.0, slow_start_window_ms=2000.0)
    rigs = [Rig(config, engines=0, seed=seed) for seed in range(GATEWAYS)]
    for rig in rigs:
        rig.members(*(entry(i) for i in range(1, 10)), entry(10, started=990.0), kind=ListUpdateKind.FULL)
        for _ in range(2):
            rig.ask(SAFE, 100.0)
    cold, total = count_sends_to(rigs, 10), sum(len(rig.sends()) for rig in rigs)
    assert total == 2 * GATEWAYS
    budget = 3.0 * 0.3 * 0.85 * 8.0 * 2000.0  # thread-milliseconds within the window
    assert 0 < cold * 100.0 < budget
    assert cold < total / 10  # less than an even share of the traffic


def test_with_every_engine_cold_all_gateways_together_stay_within_the_budget() -> None:
    rigs = [Rig(settings(instances=GATEWAYS), engines=0, seed=seed) for seed in range(GATEWAYS)]
    for rig in rigs:
        rig.members(*(entry(i, started=990.0) for i in range(1, 4)), kind=ListUpdateKind.FULL)
        rig.ask(LOAD, 4000.0, ordering_key=1)
    load_share = sum(len(rig.sends()) for rig in rigs) / GATEWAYS
    # As a share of full load, half of what the rule allows.
    assert 0.0 < load_share < 3.0 * 0.3 / 2.0
    assert all(rig.sends() or rig.answers(1) for rig in rigs)  # no request is left without an answer


def expensive_request(rig: Rig) -> TrackedRequest:
    """Return a request whose cost is ten times the mean of its class."""
    rig.gateway.cost_model.classes[SAFE].cost.add(100.0)
    request = TrackedRequest.from_event(RequestArrived(0, SAFE, 3000.0), CLASSES[SAFE])
    request.cost = 1000.0
    return request


def apply_pressure(rig: Rig) -> float:
    """Cause pressure by lateness, since token buckets reject nothing without it; return the pressure."""
    rig.gateway.load.lateness.value = 0.45
    rig.gateway.load.lateness.updated_at = rig.gateway.now
    return rig.gateway.admission.pressure(rig.gateway.now, SAFE)


def test_token_buckets_of_many_gateways_do_not_all_start_full() -> None:
    rigs = [Rig(settings(instances=GATEWAYS), seed=seed) for seed in range(GATEWAYS)]
    assert all(apply_pressure(rig) > 0.1 for rig in rigs)
    admitted = sum(
        not rig.gateway.admission.rejection(rig.gateway.now, expensive_request(rig)) for rig in rigs
    )
    assert 0.2 * GATEWAYS < admitted < 0.8 * GATEWAYS  # neither one at each gateway at once, nor none


def test_a_gateway_with_a_small_share_admits_expensive_requests_at_its_rate() -> None:
    rig = Rig(settings(instances=GATEWAYS))
    request, admitted, pressure = expensive_request(rig), 0, apply_pressure(rig)
    for _ in range(4000):
        rig.gateway.now += 1000.0
        apply_pressure(rig)
        admitted += not rig.gateway.admission.rejection(rig.gateway.now, request)
    # Per second: cores over thread-seconds, divided evenly between the gateways and reduced by pressure.
    rate = 24.0 / GATEWAYS * (1.0 - pressure) ** 2
    assert admitted == pytest.approx(rate * 4000.0, rel=0.2)


def test_without_pressure_a_gateway_with_a_small_share_rejects_no_expensive_request() -> None:
    rig = Rig(settings(instances=GATEWAYS))
    assert not any(
        rig.gateway.admission.rejection(rig.gateway.now, expensive_request(rig)) for _ in range(20)
    )


def test_an_engine_without_a_load_report_counts_as_loaded_as_the_others() -> None:
    rig = Rig(engines=4)
    for number in (1, 2, 3):
        rig.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.75,)))
    loads = [
        rig.gateway.load.threads_per_core(rig.gateway.now, engine_by_number(rig, number))
        for number in (1, 2, 3, 4)
    ]
    assert loads[3] == pytest.approx(loads[0], rel=0.05)
    rig.pass_time(120000.0)
    # No report counts any more; only own threads do.
    assert rig.gateway.load.threads_per_core(rig.gateway.now, engine_by_number(rig, 4)) < 0.01


def test_a_load_report_replaces_an_estimate_that_is_old() -> None:
    rig = Rig()
    for _ in range(5):
        rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.9,)))
    rig.pass_time(10000.0)
    rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.3,)))
    assert engine_by_number(rig, 1).other_threads.value == pytest.approx(0.3 * 8.0 / 0.75)


def test_an_expensive_query_checks_a_few_engines_and_goes_to_the_least_busy() -> None:
    rig = Rig(settings(health_checks=True), engines=30)
    for step in range(20):
        rig.ask(SAFE, 10.0 if step == 0 else 1.0)
    rig.pass_time(1000.0)
    before = len(rig.of(CheckHealth))
    r = rig.ask(LOAD, 4000.0, ordering_key=1)
    checks = rig.of(CheckHealth)[before:]
    assert 2 <= len(checks) <= ENGINES_CHECKED_PER_ATTEMPT
    assert not rig.sends(r)
    for index, check in enumerate(checks):
        rig.feed(HealthCheckEnded(check.engine, Status.OK, 1.0, (0.05 if index == 0 else 0.95,)))
    rig.pass_time(HEALTH_CHECK_WAIT_MS + 1.0)
    assert rig.sends(r)[0].engine == checks[0].engine


def test_a_query_held_for_health_checks_is_sent_without_results_and_checks_are_limited() -> None:
    rig = Rig(settings(health_checks=True), engines=30)
    for _ in range(100):
        r = rig.ask(SAFE, 1000.0)
        rig.pass_time(HEALTH_CHECK_WAIT_MS + 1.0)
        assert rig.sends(r) or rig.answers(r)
    assert len(rig.of(CheckHealth)) <= MAX_HEALTH_CHECK_CREDIT + 0.4 * 100


def test_an_idle_gateway_starts_no_timers_and_no_health_checks() -> None:
    rig = Rig(settings(health_checks=True), engines=30)
    rig.pass_time(60000.0)
    assert not rig.log


def test_an_engine_far_less_busy_than_the_fleet_counts_as_hung() -> None:
    rig = Rig(engines=5)
    for number in (1, 2, 3, 4):
        rig.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.6,)))
    rig.feed(HealthCheckEnded("10.0.0.5:80", Status.OK, 1.0, (0.0,)))
    for _ in range(100):
        r = rig.ask(SAFE, 100.0)
        if rig.sends(r)[0].engine != "10.0.0.5:80":
            rig.end(r, Status.OK, 100.0, work_ms=100.0)
    assert count_sends_to([rig], 5) < 10
    rig.pass_time(60000.0)
    assert selection_factor(rig.gateway, engine_by_number(rig, 5)) > 0.8  # the silence score decays with time


def test_no_engine_of_an_idle_fleet_counts_as_hung() -> None:
    rig = Rig(engines=5)
    for number in range(1, 6):
        rig.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.0,)))
    assert all(e.silence_score == 0.0 for e in rig.gateway.engines.values())


def test_an_unanswered_health_check_counts_as_silence() -> None:
    rig = Rig()
    rig.feed(HealthCheckEnded("10.0.0.1:80", Status.TIMEOUT, 250.0))
    assert (
        selection_factor(rig.gateway, engine_by_number(rig, 1))
        < 0.6
        <= selection_factor(rig.gateway, engine_by_number(rig, 2))
    )


def test_answers_after_their_latency_objective_raise_pressure_which_falls_again() -> None:
    rig = Rig()
    for _ in range(30):
        rig.now += 300.0
        r = rig.ask(SAFE, 100.0)
        if rig.sends(r):
            rig.end(r, Status.OK, 1500.0, work_ms=100.0)  # the latency objective is 800 ms
    assert rig.gateway.admission.pressure(rig.gateway.now, SAFE) > 0.9
    rig.pass_time(20000.0)
    assert rig.gateway.admission.pressure(rig.gateway.now, SAFE) == 0.0


def test_requests_without_an_answer_raise_lateness() -> None:
    rig = Rig()
    for _ in range(12):
        rig.ask(SAFE, 100.0)
        rig.pass_time(400.0)
    rig.pass_time(3000.0)
    assert rig.gateway.load.lateness.value > 0.35


def test_a_quiet_gateway_has_few_retries_without_a_configured_retry_budget() -> None:
    rig = Rig(settings(max_attempts=5))
    r = rig.ask(SAFE, 100.0)
    while not rig.answers(r):
        rig.end(r, Status.FULL, 0.2)
    assert len(rig.sends(r)) <= 2


def test_a_tenant_with_a_small_quota_may_arrive_unevenly_but_not_in_a_burst() -> None:
    config = settings(tenants=(Tenant("one", 250.0),), instances=GATEWAYS)  # one per second at this gateway
    rig = Rig(config)
    for number in (1, 2, 3):
        rig.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (1.0,)))
    admitted_at_quota = 0
    for step in range(60):
        rig.now += 400.0 if step % 2 else 1600.0  # at uneven intervals, on average at the quota
        rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (1.0,)))
        r = rig.ask(SAFE, 10.0)
        admitted_at_quota += not rig.answers(r)
        if not rig.answers(r):
            rig.end(r, Status.OK, 10.0, work_ms=10.0)
    assert admitted_at_quota >= 50
    burst = [rig.ask(SAFE, 10.0) for _ in range(40)]
    rig.gateway.load.lateness.value = 1.0
    rig.gateway.load.lateness.updated_at = rig.now
    burst += [rig.ask(SAFE, 10.0) for _ in range(40)]
    assert sum(bool(rig.answers(r)) for r in burst) >= 35


def test_engines_replaced_in_waves_get_no_new_attempts_and_their_cold_successors_few() -> None:
    rig = Rig(engines=10)
    for wave in range(3):
        gone, successor = entry(1 + wave, EngineState.DRAINING), entry(20 + wave, started=rig.now)
        rig.members(gone, successor)
        before = len(rig.sends())
        for _ in range(40):
            rig.end(rig.ask(SAFE, 100.0), Status.OK, 100.0, work_ms=100.0)
        later = [s.engine for s in rig.sends()[before:]]
        assert len(later) == 40
        assert gone.engine not in later
        assert later.count(successor.engine) <= 8
        rig.pass_time(1000.0)


def test_an_engine_that_slows_down_is_avoided_and_counts_as_cold_after_a_restart() -> None:
    rig = Rig(engines=4)
    for step in range(200):
        r = rig.ask(SAFE, 100.0)
        old = rig.sends(r)[0].engine == "10.0.0.1:80"
        rig.end(r, Status.OK, 100.0 * (1.0 + step / 20.0 if old else 1.0), work_ms=100.0)
        rig.now += 50.0
    late = [s.engine for s in rig.sends()[-80:]]
    assert late.count("10.0.0.1:80") < 0.6 * 80 / 4
    rig.members(entry(1, started=rig.now))
    restarted = engine_by_number(rig, 1)
    assert rig.gateway.outliers.reliability(rig.gateway.now, restarted) == 1.0
    assert restarted.slowness.value == 1.0
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, restarted) < 0.5


def test_a_shift_to_the_most_expensive_class_raises_its_mean_and_is_admitted() -> None:
    rig = Rig()
    for _ in range(40):
        rig.now += 200.0
        rig.end(rig.ask(LOAD, 4000.0), Status.OK, 2000.0, work_ms=4000.0)
    answers = [rig.answers(rig.ask(LOAD, 4000.0)) for _ in range(5)]
    assert rig.gateway.cost_model.class_mean(LOAD) == pytest.approx(4000.0, rel=0.1)
    assert not any(answers)


@pytest.mark.parametrize("instances", [1, 7, 10**6])
@pytest.mark.parametrize("engines", [0, 1, 300])
def test_each_request_is_sent_or_answered_with_any_number_of_gateways_and_engines(
    instances: int, engines: int
) -> None:
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
