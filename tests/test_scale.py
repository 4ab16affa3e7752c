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
from tests.helpers import CLASSES, LOAD, SAFE, GatewayHarness, entry, selection_factor, settings

GATEWAYS = 250


def count_sends_to(harnesses: list[GatewayHarness], number: int) -> int:
    return sum(s.engine == f"10.0.0.{number}:80" for harness in harnesses for s in harness.sends())


def engine_by_number(harness: GatewayHarness, number: int) -> TrackedEngine:
    return harness.gateway.engines[f"10.0.0.{number}:80"]


def test_a_cold_engine_gets_some_work_from_all_gateways_together_within_its_budget() -> None:
    # Guards against a cold engine that gets nothing, since an even share of its budget is less than one query
    # at each of the gateways, and against one that gets too much from all of them together.
    config = settings(instances=GATEWAYS, slow_start_overload_factor=3.0, slow_start_window_ms=2000.0)
    harnesses = [GatewayHarness(config, engines=0, seed=seed) for seed in range(GATEWAYS)]
    for harness in harnesses:
        harness.update_engine_list(
            *(entry(i) for i in range(1, 10)), entry(10, started=990.0), kind=ListUpdateKind.FULL
        )
        for _ in range(2):
            harness.send_request(SAFE, 100.0)
    cold, total = count_sends_to(harnesses, 10), sum(len(harness.sends()) for harness in harnesses)
    assert total == 2 * GATEWAYS
    budget = 3.0 * 0.3 * 0.85 * 8.0 * 2000.0  # thread-milliseconds within the window
    assert 0 < cold * 100.0 < budget
    assert cold < total / 10  # less than an even share of the traffic


def test_with_every_engine_cold_all_gateways_together_stay_within_the_budget() -> None:
    harnesses = [
        GatewayHarness(settings(instances=GATEWAYS), engines=0, seed=seed) for seed in range(GATEWAYS)
    ]
    for harness in harnesses:
        harness.update_engine_list(*(entry(i, started=990.0) for i in range(1, 4)), kind=ListUpdateKind.FULL)
        harness.send_request(LOAD, 4000.0, ordering_key=1)
    load_share = sum(len(harness.sends()) for harness in harnesses) / GATEWAYS
    # As a share of full load, half of what the rule allows.
    assert 0.0 < load_share < 3.0 * 0.3 / 2.0
    assert all(
        harness.sends() or harness.answers(1) for harness in harnesses
    )  # no request is left without an answer


def expensive_request(harness: GatewayHarness) -> TrackedRequest:
    """Return a request whose cost is ten times the mean of its class."""
    harness.gateway.cost_model.classes[SAFE].cost.add(100.0)
    request = TrackedRequest.from_event(RequestArrived(0, SAFE, 3000.0), CLASSES[SAFE])
    request.cost = 1000.0
    return request


def apply_pressure(harness: GatewayHarness) -> float:
    """Cause pressure by lateness, since token buckets reject nothing without it; return the pressure."""
    harness.gateway.load.lateness.value = 0.45
    harness.gateway.load.lateness.updated_at = harness.gateway.now
    return harness.gateway.admission.pressure(harness.gateway.now, SAFE)


def test_token_buckets_of_many_gateways_do_not_all_start_full() -> None:
    harnesses = [GatewayHarness(settings(instances=GATEWAYS), seed=seed) for seed in range(GATEWAYS)]
    assert all(apply_pressure(harness) > 0.1 for harness in harnesses)
    admitted = sum(
        not harness.gateway.admission.rejection(harness.gateway.now, expensive_request(harness))
        for harness in harnesses
    )
    assert 0.2 * GATEWAYS < admitted < 0.8 * GATEWAYS  # neither one at each gateway at once, nor none


def test_a_gateway_with_a_small_share_admits_expensive_requests_at_its_rate() -> None:
    harness = GatewayHarness(settings(instances=GATEWAYS))
    request, admitted, pressure = expensive_request(harness), 0, apply_pressure(harness)
    for _ in range(4000):
        harness.gateway.now += 1000.0
        apply_pressure(harness)
        admitted += not harness.gateway.admission.rejection(harness.gateway.now, request)
    # Per second: cores over thread-seconds, divided evenly between the gateways and reduced by pressure.
    rate = 24.0 / GATEWAYS * (1.0 - pressure) ** 2
    assert admitted == pytest.approx(rate * 4000.0, rel=0.2)


def test_without_pressure_a_gateway_with_a_small_share_rejects_no_expensive_request() -> None:
    harness = GatewayHarness(settings(instances=GATEWAYS))
    assert not any(
        harness.gateway.admission.rejection(harness.gateway.now, expensive_request(harness))
        for _ in range(20)
    )


def test_an_engine_without_a_load_report_counts_as_loaded_as_the_others() -> None:
    harness = GatewayHarness(engines=4)
    for number in (1, 2, 3):
        harness.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.75,)))
    loads = [
        harness.gateway.load.threads_per_core(harness.gateway.now, engine_by_number(harness, number))
        for number in (1, 2, 3, 4)
    ]
    assert loads[3] == pytest.approx(loads[0], rel=0.05)
    harness.advance(120000.0)
    # No report counts any more; only own threads do.
    assert harness.gateway.load.threads_per_core(harness.gateway.now, engine_by_number(harness, 4)) < 0.01


def test_a_load_report_replaces_an_estimate_that_is_old() -> None:
    harness = GatewayHarness()
    for _ in range(5):
        harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.9,)))
    harness.advance(10000.0)
    harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.3,)))
    assert engine_by_number(harness, 1).other_threads.value == pytest.approx(0.3 * 8.0 / 0.75)


def test_an_expensive_query_checks_a_few_engines_and_goes_to_the_least_busy() -> None:
    harness = GatewayHarness(settings(health_checks=True), engines=30)
    for step in range(20):
        harness.send_request(SAFE, 10.0 if step == 0 else 1.0)
    harness.advance(1000.0)
    before = len(harness.actions_of(CheckHealth))
    r = harness.send_request(LOAD, 4000.0, ordering_key=1)
    checks = harness.actions_of(CheckHealth)[before:]
    assert 2 <= len(checks) <= ENGINES_CHECKED_PER_ATTEMPT
    assert not harness.sends(r)
    for index, check in enumerate(checks):
        harness.feed(HealthCheckEnded(check.engine, Status.OK, 1.0, (0.05 if index == 0 else 0.95,)))
    harness.advance(HEALTH_CHECK_WAIT_MS + 1.0)
    assert harness.sends(r)[0].engine == checks[0].engine


def test_a_query_held_for_health_checks_is_sent_without_results_and_checks_are_limited() -> None:
    harness = GatewayHarness(settings(health_checks=True), engines=30)
    for _ in range(100):
        r = harness.send_request(SAFE, 1000.0)
        harness.advance(HEALTH_CHECK_WAIT_MS + 1.0)
        assert harness.sends(r) or harness.answers(r)
    assert len(harness.actions_of(CheckHealth)) <= MAX_HEALTH_CHECK_CREDIT + 0.4 * 100


def test_an_idle_gateway_starts_no_timers_and_no_health_checks() -> None:
    harness = GatewayHarness(settings(health_checks=True), engines=30)
    harness.advance(60000.0)
    assert not harness.action_log


def test_an_engine_far_less_busy_than_the_fleet_counts_as_hung() -> None:
    harness = GatewayHarness(engines=5)
    for number in (1, 2, 3, 4):
        harness.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.6,)))
    harness.feed(HealthCheckEnded("10.0.0.5:80", Status.OK, 1.0, (0.0,)))
    for _ in range(100):
        r = harness.send_request(SAFE, 100.0)
        if harness.sends(r)[0].engine != "10.0.0.5:80":
            harness.end_attempt(r, Status.OK, 100.0, work_ms=100.0)
    assert count_sends_to([harness], 5) < 10
    harness.advance(60000.0)
    assert (
        selection_factor(harness.gateway, engine_by_number(harness, 5)) > 0.8
    )  # the silence score decays with time


def test_no_engine_of_an_idle_fleet_counts_as_hung() -> None:
    harness = GatewayHarness(engines=5)
    for number in range(1, 6):
        harness.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (0.0,)))
    assert all(e.silence_score == 0.0 for e in harness.gateway.engines.values())


def test_an_unanswered_health_check_counts_as_silence() -> None:
    harness = GatewayHarness()
    harness.feed(HealthCheckEnded("10.0.0.1:80", Status.TIMEOUT, 250.0))
    assert (
        selection_factor(harness.gateway, engine_by_number(harness, 1))
        < 0.6
        <= selection_factor(harness.gateway, engine_by_number(harness, 2))
    )


def test_answers_after_their_latency_objective_raise_pressure_which_falls_again() -> None:
    harness = GatewayHarness()
    for _ in range(30):
        harness.now += 300.0
        r = harness.send_request(SAFE, 100.0)
        if harness.sends(r):
            harness.end_attempt(r, Status.OK, 1500.0, work_ms=100.0)  # the latency objective is 800 ms
    assert harness.gateway.admission.pressure(harness.gateway.now, SAFE) > 0.9
    harness.advance(20000.0)
    assert harness.gateway.admission.pressure(harness.gateway.now, SAFE) == 0.0


def test_requests_without_an_answer_raise_lateness() -> None:
    harness = GatewayHarness()
    for _ in range(12):
        harness.send_request(SAFE, 100.0)
        harness.advance(400.0)
    harness.advance(3000.0)
    assert harness.gateway.load.lateness.value > 0.35


def test_a_quiet_gateway_has_few_retries_without_a_configured_retry_budget() -> None:
    harness = GatewayHarness(settings(max_attempts=5))
    r = harness.send_request(SAFE, 100.0)
    while not harness.answers(r):
        harness.end_attempt(r, Status.FULL, 0.2)
    assert len(harness.sends(r)) <= 2


def test_a_tenant_with_a_small_quota_may_arrive_unevenly_but_not_in_a_burst() -> None:
    config = settings(tenants=(Tenant("one", 250.0),), instances=GATEWAYS)  # one per second at this gateway
    harness = GatewayHarness(config)
    for number in (1, 2, 3):
        harness.feed(HealthCheckEnded(f"10.0.0.{number}:80", Status.OK, 1.0, (1.0,)))
    admitted_at_quota = 0
    for step in range(60):
        harness.now += 400.0 if step % 2 else 1600.0  # at uneven intervals, on average at the quota
        harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (1.0,)))
        r = harness.send_request(SAFE, 10.0)
        admitted_at_quota += not harness.answers(r)
        if not harness.answers(r):
            harness.end_attempt(r, Status.OK, 10.0, work_ms=10.0)
    assert admitted_at_quota >= 50
    burst = [harness.send_request(SAFE, 10.0) for _ in range(40)]
    harness.gateway.load.lateness.value = 1.0
    harness.gateway.load.lateness.updated_at = harness.now
    burst += [harness.send_request(SAFE, 10.0) for _ in range(40)]
    assert sum(bool(harness.answers(r)) for r in burst) >= 35


def test_engines_replaced_in_waves_get_no_new_attempts_and_their_cold_successors_few() -> None:
    harness = GatewayHarness(engines=10)
    for wave in range(3):
        gone, successor = entry(1 + wave, EngineState.DRAINING), entry(20 + wave, started=harness.now)
        harness.update_engine_list(gone, successor)
        before = len(harness.sends())
        for _ in range(40):
            harness.end_attempt(harness.send_request(SAFE, 100.0), Status.OK, 100.0, work_ms=100.0)
        later = [s.engine for s in harness.sends()[before:]]
        assert len(later) == 40
        assert gone.engine not in later
        assert later.count(successor.engine) <= 8
        harness.advance(1000.0)


def test_an_engine_that_slows_down_is_avoided_and_counts_as_cold_after_a_restart() -> None:
    harness = GatewayHarness(engines=4)
    for step in range(200):
        r = harness.send_request(SAFE, 100.0)
        old = harness.sends(r)[0].engine == "10.0.0.1:80"
        harness.end_attempt(r, Status.OK, 100.0 * (1.0 + step / 20.0 if old else 1.0), work_ms=100.0)
        harness.now += 50.0
    late = [s.engine for s in harness.sends()[-80:]]
    assert late.count("10.0.0.1:80") < 0.6 * 80 / 4
    harness.update_engine_list(entry(1, started=harness.now))
    restarted = engine_by_number(harness, 1)
    assert harness.gateway.outliers.reliability(harness.gateway.now, restarted) == 1.0
    assert restarted.slowness.value == 1.0
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, restarted) < 0.5


def test_a_shift_to_the_most_expensive_class_raises_its_mean_and_is_admitted() -> None:
    harness = GatewayHarness()
    for _ in range(40):
        harness.now += 200.0
        harness.end_attempt(harness.send_request(LOAD, 4000.0), Status.OK, 2000.0, work_ms=4000.0)
    answers = [harness.answers(harness.send_request(LOAD, 4000.0)) for _ in range(5)]
    assert harness.gateway.cost_model.class_mean(LOAD) == pytest.approx(4000.0, rel=0.1)
    assert not any(answers)


@pytest.mark.parametrize("instances", [1, 7, 10**6])
@pytest.mark.parametrize("engines", [0, 1, 300])
def test_each_request_is_sent_or_answered_with_any_number_of_gateways_and_engines(
    instances: int, engines: int
) -> None:
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
