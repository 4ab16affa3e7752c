"""How a gateway reacts to each kind of failure; one small test per symptom."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from fordstair.decisions.actions import RejectRequest, SetQueryResources
from fordstair.decisions.engine_list import EngineState, ListUpdateKind
from fordstair.decisions.events import AttemptNote, HealthCheckEnded, NoteKind, RequestArrived, Status
from fordstair.decisions.settings import Idempotency, RequestClass, RetryBudget, Tenant
from fordstair.decisions.tracked_engine import TrackedEngine
from fordstair.decisions.tracked_request import TrackedRequest
from tests.helpers import CLASSES, LOAD, SAFE, GatewayHarness, entry, selection_factor, settings

HEAVY = RequestClass(
    "heavy",
    Idempotency.IDEMPOTENT,
    latency_objective_ms=1500,
    latency_objective_work_factor=2.5,
    client_timeout_ms=20000,
    priority_weight=7,
    late_weight=0.3,
    threads=2,
)


def engine(harness: GatewayHarness, number: int) -> TrackedEngine:
    return harness.gateway.engines[f"10.0.0.{number}:80"]


def serve(harness: GatewayHarness, rounds: int, slow: dict[int, float] | None = None) -> Counter[int]:
    """Serve quick requests one by one and count them by engine number.

    ``slow`` maps an engine's number to the factor by which its latency is longer.
    """
    chosen: Counter[int] = Counter()
    for _ in range(rounds):
        r = harness.send_request(SAFE, 100.0)
        number = int(harness.sends(r)[-1].engine[7])
        chosen[number] += 1
        harness.advance(20.0)
        harness.end_attempt(r, Status.OK, 100.0 * (slow or {}).get(number, 1.0), work_ms=100.0)
    return chosen


def sample_selections(harness: GatewayHarness, count: int = 300) -> Counter[int]:
    """Select an engine repeatedly for an idempotent request; count the selections by engine number."""
    request = TrackedRequest.from_event(RequestArrived(0, SAFE, 3000.0), CLASSES[SAFE])
    picks = [harness.gateway.selector.select(harness.gateway.now, request) for _ in range(count)]
    return Counter(int(e.entry.engine[7]) for e in picks if e is not None)


@pytest.mark.parametrize("status", [Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.FULL])
def test_an_engine_that_fails_fast_is_avoided_and_recovers(status: Status) -> None:
    harness = GatewayHarness()
    serve(harness, 30)
    means = harness.gateway.cost_model.class_mean(SAFE)
    for _ in range(60):
        r = harness.send_request(SAFE, 100.0)
        while not harness.answers(r) and harness.sends(r)[-1].engine == "10.0.0.1:80":
            harness.end_attempt(r, status, 1.0)
        if not harness.answers(r):
            harness.end_attempt(r, Status.OK, 100.0, work_ms=100.0)
        harness.now += 5.0
    assert sample_selections(harness)[1] < 30
    # Fast errors are not samples of a query's cost.
    assert harness.gateway.cost_model.class_mean(SAFE) == pytest.approx(means, rel=0.05)
    harness.advance(30000.0)
    assert sample_selections(harness)[1] > 50


def test_a_silent_engine_raises_its_silence_score_and_its_requests_are_retried_elsewhere() -> None:
    harness = GatewayHarness(settings(max_attempts=4))
    serve(harness, 30)
    asked = [harness.send_request(SAFE, 100.0) for _ in range(12)]
    hung = [r for r in asked if harness.sends(r)[0].engine == "10.0.0.1:80"]
    assert hung
    for r in asked:
        if r not in hung:
            harness.end_attempt(r, Status.OK, 100.0, work_ms=100.0)
    harness.advance(400.0)
    assert all(harness.cancels(r) for r in hung)
    for r in hung:
        harness.end_attempt(r, Status.CANCELLED, 400.0)
        assert harness.sends(r)[-1].engine != "10.0.0.1:80"
    assert engine(harness, 1).silence_score >= 1.0 or len(hung) < 2
    harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.1,)))
    assert engine(harness, 1).silence_score > 0.0  # a health check only shows that the process is alive


def test_a_slow_engine_gets_fewer_requests_and_recovers_with_time() -> None:
    harness = GatewayHarness()
    chosen = serve(harness, 300, {1: 6.0})
    assert chosen[1] < 0.6 * min(chosen[2], chosen[3])
    harness.advance(40000.0)
    assert sample_selections(harness)[1] > 50


def test_engines_that_all_become_slow_at_once_are_not_avoided() -> None:
    harness = GatewayHarness()
    serve(harness, 60)
    serve(harness, 120, {1: 3.0, 2: 3.0, 3: 3.0})
    assert all(selection_factor(harness.gateway, e) > 0.4 for e in harness.gateway.engines.values())


def test_pressure_includes_silent_engines_when_most_are_silent() -> None:
    harness = GatewayHarness()
    for number in (1, 2):
        engine(harness, number).silence_score = 3.0
        engine(harness, number).own_threads = 80
    assert harness.gateway.admission.pressure(harness.gateway.now, SAFE) == 1.0


def test_load_reports_affect_selection_and_lose_weight_with_age() -> None:
    harness = GatewayHarness(settings(instances=3))
    for _ in range(10):
        harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.9,)))
        harness.feed(HealthCheckEnded("10.0.0.2:80", Status.OK, 1.0, (0.05,)))
        harness.feed(HealthCheckEnded("10.0.0.3:80", Status.OK, 1.0, (0.05,)))
    assert sample_selections(harness)[1] < 30
    harness.advance(60000.0)
    # Only own threads still count, and there are none.
    assert harness.gateway.load.threads_per_core(harness.gateway.now, engine(harness, 1)) < 0.01


def test_own_attempts_count_as_load_at_once_without_load_reports() -> None:
    harness = GatewayHarness(settings(load_report_fields=()))
    for _ in range(24):
        harness.send_request(SAFE, 100.0)
    threads = [e.own_threads for e in harness.gateway.engines.values()]
    assert min(threads) >= 3


@pytest.mark.parametrize("odd", [math.nan, math.inf, -1.0, 1e30])
def test_invalid_figures_neither_crash_the_gateway_nor_distort_its_estimates(odd: float) -> None:
    harness = GatewayHarness()
    serve(harness, 20)
    before = harness.gateway.cost_model.class_mean(SAFE)
    harness.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, odd, (odd,)))
    r = harness.send_request(
        SAFE, odd if not math.isfinite(odd) or odd < 0 else 100.0, memory_mb=odd, table_group=odd
    )
    harness.end_attempt(r, Status.OK, odd if not math.isfinite(odd) else 100.0, work_ms=0.0, memory_mb=0.0)
    harness.update_engine_list(
        entry(5, started=odd if math.isfinite(odd) else 0.0, kind=9), kind=ListUpdateKind.DELTA
    )
    for _ in range(10):
        harness.feed(AttemptNote(harness.send_request(SAFE), 0, "10.0.0.1:80", NoteKind.PROGRESS, odd))
    assert harness.gateway.cost_model.class_mean(SAFE) == pytest.approx(before, rel=0.2)
    assert all(
        math.isfinite(harness.gateway.load.threads_per_core(harness.gateway.now, e))
        for e in harness.gateway.engines.values()
    )


def test_a_single_engine_with_a_start_time_in_the_future_is_used_while_the_clock_stands_still() -> None:
    harness = GatewayHarness(settings(slow_start_ms=0.0), engines=0)
    harness.update_engine_list(entry(1, started=9e9), kind=ListUpdateKind.FULL)
    for _ in range(50):
        harness.end_attempt(harness.send_request(), Status.OK, 0.0)
    assert len(harness.sends()) == 50


def test_a_bad_plan_shown_by_progress_reports_is_cancelled_and_retried_elsewhere() -> None:
    harness = GatewayHarness(settings(classes=(HEAVY,), progress_interval_ms=1000.0))
    r = harness.send_request(0, 2000.0, time_left_ms=20000.0)
    first = harness.sends(r)[0].engine
    harness.advance(1000.0)
    harness.feed(AttemptNote(r, 0, first, NoteKind.PROGRESS, 0.5))
    assert not harness.cancels(r)
    harness.advance(1000.0)
    harness.feed(AttemptNote(r, 0, first, NoteKind.PROGRESS, 0.1))
    assert harness.cancels(r)
    harness.end_attempt(r, Status.CANCELLED, 2000.0)
    assert harness.sends(r)[-1].engine != first


def test_a_bad_plan_without_progress_reports_is_cancelled_by_elapsed_time() -> None:
    harness = GatewayHarness(settings(classes=(HEAVY,)))
    r = harness.send_request(0, 2000.0, time_left_ms=20000.0)
    # The engine responds to other requests.
    harness.gateway.engines[harness.sends(r)[0].engine].last_activity_at = harness.now + 1.0
    harness.advance(2900.0)
    assert not harness.cancels(r)
    harness.advance(2500.0)
    assert harness.cancels(r)


def test_pressure_rejects_expensive_requests_first_and_at_once() -> None:
    harness = GatewayHarness(settings(classes=(HEAVY,)))
    for _ in range(30):
        r = harness.send_request(0, 2000.0, time_left_ms=20000.0)
        harness.end_attempt(r, Status.OK, 1000.0, work_ms=2000.0)
    for e in harness.gateway.engines.values():
        e.own_threads = 13  # 1.6 threads per core
    heavy, light = (
        harness.send_request(0, 8000.0, time_left_ms=20000.0),
        harness.send_request(0, 100.0, time_left_ms=20000.0),
    )
    while not harness.actions_of(RejectRequest, heavy):
        heavy = harness.send_request(0, 8000.0, time_left_ms=20000.0)
        assert heavy < 60, "the token bucket of expensive requests never runs empty"
    assert harness.sends(light)
    assert not harness.sends(heavy)


def test_requests_over_a_tenants_quota_are_rejected_under_pressure_only() -> None:
    config = settings(classes=(HEAVY,), tenants=(Tenant("one", 5.0), Tenant("two", 5.0)))
    harness = GatewayHarness(config)
    calm = [harness.send_request(0, 10.0, tenant=0, time_left_ms=9000.0) for _ in range(12)]
    assert all(harness.sends(r) for r in calm)
    for e in harness.gateway.engines.values():
        e.own_threads = 12
    assert harness.actions_of(RejectRequest, harness.send_request(0, 10.0, tenant=0, time_left_ms=9000.0))
    harness.send_request(0, 10.0, tenant=1, time_left_ms=9000.0)
    harness.now += 1000.0  # its token bucket started at a random level and is full by now
    assert harness.sends(harness.send_request(0, 10.0, tenant=1, time_left_ms=9000.0))


def test_memory_grants_follow_the_measured_memory() -> None:
    harness = GatewayHarness()
    for _ in range(200):
        harness.end_attempt(
            harness.send_request(SAFE, 100.0, memory_mb=100.0),
            Status.OK,
            100.0,
            work_ms=100.0,
            memory_mb=200.0,
        )
    terms = harness.actions_of(SetQueryResources)[-1]
    assert 195.0 < terms.memory_mb < 230.0
    r = harness.send_request(SAFE, 100.0, memory_mb=1e9)
    assert (
        harness.actions_of(SetQueryResources, r)[-1].memory_mb == 16384.0
    )  # the most that one query may be granted


def test_a_load_avoids_an_engine_that_runs_a_load_of_the_same_table_group() -> None:
    harness = GatewayHarness(engines=3)
    load = harness.send_request(LOAD, 3000.0, table_group=4.0)
    holder = harness.sends(load)[0].engine
    elsewhere = [harness.send_request(LOAD, 3000.0, table_group=4.0) for _ in range(2)]
    assert sum(harness.sends(r)[0].engine != holder for r in elsewhere) >= 1


def test_a_restarted_engine_starts_without_its_old_silence_score() -> None:
    harness = GatewayHarness()
    engine(harness, 1).silence_score = 4.0
    harness.advance(5000.0)
    harness.update_engine_list(entry(1, started=harness.now))
    assert engine(harness, 1).silence_score == 0.0
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, engine(harness, 1)) < 0.5
    harness.update_engine_list(entry(1, EngineState.DRAINING, started=harness.now))
    assert 1 not in sample_selections(harness)


def test_a_new_gateway_admits_expensive_requests() -> None:
    harness = GatewayHarness(settings(classes=(HEAVY,)))
    assert harness.sends(harness.send_request(0, 50.0, time_left_ms=9000.0))
    assert harness.sends(harness.send_request(0, 90000.0, time_left_ms=90000.0))


def test_the_same_seed_gives_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        harness = GatewayHarness(seed=7)
        serve(harness, 50)
        logs.append(harness.action_log)
    assert logs[0] == logs[1]


def test_an_engine_that_refused_connections_counts_as_cold() -> None:
    harness = GatewayHarness(settings(max_attempts=1))
    for _ in range(20):
        r = harness.send_request(SAFE, 100.0)
        harness.end_attempt(
            r, Status.CONNECT_FAILED if harness.sends(r)[0].engine == "10.0.0.1:80" else Status.OK, 1.0
        )
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, engine(harness, 1)) < 0.5
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, engine(harness, 2)) == 1.0
    harness.advance(11000.0)
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, engine(harness, 1)) == 1.0


def test_an_engine_counts_as_cold_after_a_failed_connection_and_not_after_a_late_one() -> None:
    harness = GatewayHarness(settings(max_attempts=1))
    for _ in range(20):
        r = harness.send_request(SAFE, 100.0)
        late = harness.sends(r)[0].engine == "10.0.0.1:80"
        harness.end_attempt(r, Status.CONNECT_FAILED if late else Status.OK, 250.0, may_connect_late=late)
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, engine(harness, 1)) == 1.0
    # Connections to it are slow, so it is avoided although it counts as warm.
    assert harness.gateway.outliers.reliability(harness.gateway.now, engine(harness, 1)) < 0.6
    harness.feed(HealthCheckEnded("10.0.0.1:80", Status.CONNECT_FAILED, 3_000.0))
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, engine(harness, 1)) < 0.5
    assert harness.gateway.slow_start.warm_up_factor(harness.gateway.now, engine(harness, 2)) == 1.0


def test_retries_are_limited_without_a_configured_retry_budget() -> None:
    harness = GatewayHarness(settings(max_attempts=5))
    for _ in range(100):
        r = harness.send_request(SAFE, 100.0)
        while not harness.answers(r):
            harness.end_attempt(r, Status.FULL, 0.2)
    assert len(harness.sends()) <= 100 + 10 + 50


def test_a_failing_engine_is_not_preferred_because_it_is_idle() -> None:
    harness = GatewayHarness()
    engine(harness, 1).error_rate.value = 0.9  # it fails at once, so it never has attempts in flight
    for number in (2, 3):
        engine(harness, number).own_threads = 16
    assert sample_selections(harness, 1000)[1] < 50


def test_the_limit_on_own_threads_also_rejects_light_requests_until_one_ends() -> None:
    # Guards against light requests that are admitted without limit under pressure, until the engines page
    # memory to disk and no query ends.
    harness = GatewayHarness(
        settings(classes=(HEAVY,), instances=2), engines=2
    )  # 16 cores, 8 of them this gateway's share
    asked = [harness.send_request(0, 10.0, time_left_ms=20000.0) for _ in range(40)]
    sent = [r for r in asked if harness.sends(r)]
    assert 1.0 <= 2 * len(sent) / 8 <= 3.0  # threads per core
    assert all(harness.actions_of(RejectRequest, r) for r in asked if r not in sent)
    harness.end_attempt(sent[0], Status.OK, 10.0)
    assert harness.sends(harness.send_request(0, 10.0, time_left_ms=20000.0))


def test_a_faulty_statement_does_not_raise_the_error_rate_of_engines() -> None:
    # Guards against engines that are avoided because of a client's faulty statement, to which each engine
    # responds with an error.
    ample = RetryBudget(100.0, 1.0, 5000.0)
    harness = GatewayHarness(settings(retry_budget=ample), engines=4)
    for _ in range(10):
        bad = harness.send_request(SAFE)
        while not harness.answers(bad):
            harness.end_attempt(bad, Status.ERROR, 1.0)
        assert len(harness.sends(bad)) == 2  # after errors from two engines, a third attempt gains nothing
    assert all(one.error_rate.value == 0.0 for one in harness.gateway.engines.values())
    good = harness.send_request(SAFE)
    harness.end_attempt(good, Status.ERROR, 1.0)
    harness.end_attempt(good)
    sick = harness.gateway.engines[harness.sends(good)[0].engine]
    assert sick.error_rate.value == 1.0  # another engine served the same request


@pytest.mark.parametrize("jam", [False, True])
def test_a_late_query_runs_on_without_pressure_and_is_abandoned_at_its_objective_in_overload(
    jam: bool,
) -> None:
    # Guards against late queries that prolong an overload: they are worth little, but hold their threads.
    harness = GatewayHarness(settings(classes=(HEAVY,), progress_interval_ms=500.0))
    r = harness.send_request(0, 100.0, time_left_ms=20000.0)
    for step in range(30):
        harness.advance(100.0)
        harness.feed(AttemptNote(r, 0, harness.sends(r)[0].engine, NoteKind.PROGRESS, 0.5 + step / 100.0))
        if jam:
            harness.gateway.load.lateness.add_at(harness.gateway.now, 2.0)
    assert bool(harness.answers(r)) == jam
