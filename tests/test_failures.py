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
from tests.helpers import CLASSES, LOAD, SAFE, Rig, entry, selection_factor, settings

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


def engine(rig: Rig, number: int) -> TrackedEngine:
    return rig.gateway.engines[f"10.0.0.{number}:80"]


def serve(rig: Rig, rounds: int, slow: dict[int, float] | None = None) -> Counter[int]:
    """Serve quick requests one by one and count them by engine number.

    ``slow`` maps an engine's number to the factor by which its latency is longer.
    """
    chosen: Counter[int] = Counter()
    for _ in range(rounds):
        r = rig.ask(SAFE, 100.0)
        number = int(rig.sends(r)[-1].engine[7])
        chosen[number] += 1
        rig.pass_time(20.0)
        rig.end(r, Status.OK, 100.0 * (slow or {}).get(number, 1.0), work_ms=100.0)
    return chosen


def sample_selections(rig: Rig, count: int = 300) -> Counter[int]:
    """Select an engine repeatedly for an idempotent request; count the selections by engine number."""
    request = TrackedRequest.from_event(RequestArrived(0, SAFE, 3000.0), CLASSES[SAFE])
    picks = [rig.gateway.selector.select(rig.gateway.now, request) for _ in range(count)]
    return Counter(int(e.entry.engine[7]) for e in picks if e is not None)


@pytest.mark.parametrize("status", [Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.FULL])
def test_an_engine_that_fails_fast_is_avoided_and_recovers(status: Status) -> None:
    rig = Rig()
    serve(rig, 30)
    means = rig.gateway.cost_model.class_mean(SAFE)
    for _ in range(60):
        r = rig.ask(SAFE, 100.0)
        while not rig.answers(r) and rig.sends(r)[-1].engine == "10.0.0.1:80":
            rig.end(r, status, 1.0)
        if not rig.answers(r):
            rig.end(r, Status.OK, 100.0, work_ms=100.0)
        rig.now += 5.0
    assert sample_selections(rig)[1] < 30
    # Fast errors are not samples of a query's cost.
    assert rig.gateway.cost_model.class_mean(SAFE) == pytest.approx(means, rel=0.05)
    rig.pass_time(30000.0)
    assert sample_selections(rig)[1] > 50


def test_a_silent_engine_raises_its_silence_score_and_its_requests_are_retried_elsewhere() -> None:
    rig = Rig(settings(max_attempts=4))
    serve(rig, 30)
    asked = [rig.ask(SAFE, 100.0) for _ in range(12)]
    hung = [r for r in asked if rig.sends(r)[0].engine == "10.0.0.1:80"]
    assert hung
    for r in asked:
        if r not in hung:
            rig.end(r, Status.OK, 100.0, work_ms=100.0)
    rig.pass_time(400.0)
    assert all(rig.cancels(r) for r in hung)
    for r in hung:
        rig.end(r, Status.CANCELLED, 400.0)
        assert rig.sends(r)[-1].engine != "10.0.0.1:80"
    assert engine(rig, 1).silence_score >= 1.0 or len(hung) < 2
    rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.1,)))
    assert engine(rig, 1).silence_score > 0.0  # a health check only shows that the process is alive


def test_a_slow_engine_gets_fewer_requests_and_recovers_with_time() -> None:
    rig = Rig()
    chosen = serve(rig, 300, {1: 6.0})
    assert chosen[1] < 0.6 * min(chosen[2], chosen[3])
    rig.pass_time(40000.0)
    assert sample_selections(rig)[1] > 50


def test_engines_that_all_become_slow_at_once_are_not_avoided() -> None:
    rig = Rig()
    serve(rig, 60)
    serve(rig, 120, {1: 3.0, 2: 3.0, 3: 3.0})
    assert all(selection_factor(rig.gateway, e) > 0.4 for e in rig.gateway.engines.values())


def test_pressure_includes_silent_engines_when_most_are_silent() -> None:
    rig = Rig()
    for number in (1, 2):
        engine(rig, number).silence_score = 3.0
        engine(rig, number).own_threads = 80
    assert rig.gateway.admission.pressure(rig.gateway.now, SAFE) == 1.0


def test_load_reports_affect_selection_and_lose_weight_with_age() -> None:
    rig = Rig(settings(instances=3))
    for _ in range(10):
        rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, 1.0, (0.9,)))
        rig.feed(HealthCheckEnded("10.0.0.2:80", Status.OK, 1.0, (0.05,)))
        rig.feed(HealthCheckEnded("10.0.0.3:80", Status.OK, 1.0, (0.05,)))
    assert sample_selections(rig)[1] < 30
    rig.pass_time(60000.0)
    # Only own threads still count, and there are none.
    assert rig.gateway.load.threads_per_core(rig.gateway.now, engine(rig, 1)) < 0.01


def test_own_attempts_count_as_load_at_once_without_load_reports() -> None:
    rig = Rig(settings(load_report_fields=()))
    for _ in range(24):
        rig.ask(SAFE, 100.0)
    threads = [e.own_threads for e in rig.gateway.engines.values()]
    assert min(threads) >= 3


@pytest.mark.parametrize("odd", [math.nan, math.inf, -1.0, 1e30])
def test_invalid_figures_neither_crash_the_gateway_nor_distort_its_estimates(odd: float) -> None:
    rig = Rig()
    serve(rig, 20)
    before = rig.gateway.cost_model.class_mean(SAFE)
    rig.feed(HealthCheckEnded("10.0.0.1:80", Status.OK, odd, (odd,)))
    r = rig.ask(SAFE, odd if not math.isfinite(odd) or odd < 0 else 100.0, memory_mb=odd, table_group=odd)
    rig.end(r, Status.OK, odd if not math.isfinite(odd) else 100.0, work_ms=0.0, memory_mb=0.0)
    rig.members(entry(5, started=odd if math.isfinite(odd) else 0.0, kind=9), kind=ListUpdateKind.DELTA)
    for _ in range(10):
        rig.feed(AttemptNote(rig.ask(SAFE), 0, "10.0.0.1:80", NoteKind.PROGRESS, odd))
    assert rig.gateway.cost_model.class_mean(SAFE) == pytest.approx(before, rel=0.2)
    assert all(
        math.isfinite(rig.gateway.load.threads_per_core(rig.gateway.now, e))
        for e in rig.gateway.engines.values()
    )


def test_a_single_engine_with_a_start_time_in_the_future_is_used_while_the_clock_stands_still() -> None:
    rig = Rig(settings(slow_start_ms=0.0), engines=0)
    rig.members(entry(1, started=9e9), kind=ListUpdateKind.FULL)
    for _ in range(50):
        rig.end(rig.ask(), Status.OK, 0.0)
    assert len(rig.sends()) == 50


def test_a_bad_plan_shown_by_progress_reports_is_cancelled_and_retried_elsewhere() -> None:
    rig = Rig(settings(classes=(HEAVY,), progress_interval_ms=1000.0))
    r = rig.ask(0, 2000.0, time_left_ms=20000.0)
    first = rig.sends(r)[0].engine
    rig.pass_time(1000.0)
    rig.feed(AttemptNote(r, 0, first, NoteKind.PROGRESS, 0.5))
    assert not rig.cancels(r)
    rig.pass_time(1000.0)
    rig.feed(AttemptNote(r, 0, first, NoteKind.PROGRESS, 0.1))
    assert rig.cancels(r)
    rig.end(r, Status.CANCELLED, 2000.0)
    assert rig.sends(r)[-1].engine != first


def test_a_bad_plan_without_progress_reports_is_cancelled_by_elapsed_time() -> None:
    rig = Rig(settings(classes=(HEAVY,)))
    r = rig.ask(0, 2000.0, time_left_ms=20000.0)
    # The engine responds to other requests.
    rig.gateway.engines[rig.sends(r)[0].engine].last_activity_at = rig.now + 1.0
    rig.pass_time(2900.0)
    assert not rig.cancels(r)
    rig.pass_time(2500.0)
    assert rig.cancels(r)


def test_pressure_rejects_expensive_requests_first_and_at_once() -> None:
    rig = Rig(settings(classes=(HEAVY,)))
    for _ in range(30):
        r = rig.ask(0, 2000.0, time_left_ms=20000.0)
        rig.end(r, Status.OK, 1000.0, work_ms=2000.0)
    for e in rig.gateway.engines.values():
        e.own_threads = 13  # 1.6 threads per core
    heavy, light = rig.ask(0, 8000.0, time_left_ms=20000.0), rig.ask(0, 100.0, time_left_ms=20000.0)
    while not rig.of(RejectRequest, heavy):
        heavy = rig.ask(0, 8000.0, time_left_ms=20000.0)
        assert heavy < 60, "the token bucket of expensive requests never runs empty"
    assert rig.sends(light)
    assert not rig.sends(heavy)


def test_requests_over_a_tenants_quota_are_rejected_under_pressure_only() -> None:
    config = settings(classes=(HEAVY,), tenants=(Tenant("one", 5.0), Tenant("two", 5.0)))
    rig = Rig(config)
    calm = [rig.ask(0, 10.0, tenant=0, time_left_ms=9000.0) for _ in range(12)]
    assert all(rig.sends(r) for r in calm)
    for e in rig.gateway.engines.values():
        e.own_threads = 12
    assert rig.of(RejectRequest, rig.ask(0, 10.0, tenant=0, time_left_ms=9000.0))
    rig.ask(0, 10.0, tenant=1, time_left_ms=9000.0)
    rig.now += 1000.0  # its token bucket started at a random level and is full by now
    assert rig.sends(rig.ask(0, 10.0, tenant=1, time_left_ms=9000.0))


def test_memory_grants_follow_the_measured_memory() -> None:
    rig = Rig()
    for _ in range(200):
        rig.end(rig.ask(SAFE, 100.0, memory_mb=100.0), Status.OK, 100.0, work_ms=100.0, memory_mb=200.0)
    terms = rig.of(SetQueryResources)[-1]
    assert 195.0 < terms.memory_mb < 230.0
    r = rig.ask(SAFE, 100.0, memory_mb=1e9)
    assert rig.of(SetQueryResources, r)[-1].memory_mb == 16384.0  # the most that one query may be granted


def test_a_load_avoids_an_engine_that_runs_a_load_of_the_same_table_group() -> None:
    rig = Rig(engines=3)
    load = rig.ask(LOAD, 3000.0, table_group=4.0)
    holder = rig.sends(load)[0].engine
    elsewhere = [rig.ask(LOAD, 3000.0, table_group=4.0) for _ in range(2)]
    assert sum(rig.sends(r)[0].engine != holder for r in elsewhere) >= 1


def test_a_restarted_engine_starts_without_its_old_silence_score() -> None:
    rig = Rig()
    engine(rig, 1).silence_score = 4.0
    rig.pass_time(5000.0)
    rig.members(entry(1, started=rig.now))
    assert engine(rig, 1).silence_score == 0.0
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, engine(rig, 1)) < 0.5
    rig.members(entry(1, EngineState.DRAINING, started=rig.now))
    assert 1 not in sample_selections(rig)


def test_a_new_gateway_admits_expensive_requests() -> None:
    rig = Rig(settings(classes=(HEAVY,)))
    assert rig.sends(rig.ask(0, 50.0, time_left_ms=9000.0))
    assert rig.sends(rig.ask(0, 90000.0, time_left_ms=90000.0))


def test_the_same_seed_gives_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        rig = Rig(seed=7)
        serve(rig, 50)
        logs.append(rig.log)
    assert logs[0] == logs[1]


def test_an_engine_that_refused_connections_counts_as_cold() -> None:
    rig = Rig(settings(max_attempts=1))
    for _ in range(20):
        r = rig.ask(SAFE, 100.0)
        rig.end(r, Status.CONNECT_FAILED if rig.sends(r)[0].engine == "10.0.0.1:80" else Status.OK, 1.0)
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, engine(rig, 1)) < 0.5
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, engine(rig, 2)) == 1.0
    rig.pass_time(11000.0)
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, engine(rig, 1)) == 1.0


def test_an_engine_counts_as_cold_after_a_failed_connection_and_not_after_a_late_one() -> None:
    rig = Rig(settings(max_attempts=1))
    for _ in range(20):
        r = rig.ask(SAFE, 100.0)
        late = rig.sends(r)[0].engine == "10.0.0.1:80"
        rig.end(r, Status.CONNECT_FAILED if late else Status.OK, 250.0, may_connect_late=late)
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, engine(rig, 1)) == 1.0
    # Connections to it are slow, so it is avoided although it counts as warm.
    assert rig.gateway.outliers.reliability(rig.gateway.now, engine(rig, 1)) < 0.6
    rig.feed(HealthCheckEnded("10.0.0.1:80", Status.CONNECT_FAILED, 3_000.0))
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, engine(rig, 1)) < 0.5
    assert rig.gateway.slow_start.warm_up_factor(rig.gateway.now, engine(rig, 2)) == 1.0


def test_retries_are_limited_without_a_configured_retry_budget() -> None:
    rig = Rig(settings(max_attempts=5))
    for _ in range(100):
        r = rig.ask(SAFE, 100.0)
        while not rig.answers(r):
            rig.end(r, Status.FULL, 0.2)
    assert len(rig.sends()) <= 100 + 10 + 50


def test_a_failing_engine_is_not_preferred_because_it_is_idle() -> None:
    rig = Rig()
    engine(rig, 1).error_rate.value = 0.9  # it fails at once, so it never has attempts in flight
    for number in (2, 3):
        engine(rig, number).own_threads = 16
    assert sample_selections(rig, 1000)[1] < 50


def test_the_limit_on_own_threads_also_rejects_light_requests_until_one_ends() -> None:
    # Guards against light requests that are admitted without limit under pressure, until the engines page
    # memory to disk and no query ends.
    rig = Rig(settings(classes=(HEAVY,), instances=2), engines=2)  # 16 cores, 8 of them this gateway's share
    asked = [rig.ask(0, 10.0, time_left_ms=20000.0) for _ in range(40)]
    sent = [r for r in asked if rig.sends(r)]
    assert 1.0 <= 2 * len(sent) / 8 <= 3.0  # threads per core
    assert all(rig.of(RejectRequest, r) for r in asked if r not in sent)
    rig.end(sent[0], Status.OK, 10.0)
    assert rig.sends(rig.ask(0, 10.0, time_left_ms=20000.0))


def test_a_faulty_statement_does_not_raise_the_error_rate_of_engines() -> None:
    # Guards against engines that are avoided because of a client's faulty statement, to which each engine
    # responds with an error.
    ample = RetryBudget(100.0, 1.0, 5000.0)
    rig = Rig(settings(retry_budget=ample), engines=4)
    for _ in range(10):
        bad = rig.ask(SAFE)
        while not rig.answers(bad):
            rig.end(bad, Status.ERROR, 1.0)
        assert len(rig.sends(bad)) == 2  # after errors from two engines, a third attempt gains nothing
    assert all(one.error_rate.value == 0.0 for one in rig.gateway.engines.values())
    good = rig.ask(SAFE)
    rig.end(good, Status.ERROR, 1.0)
    rig.end(good)
    sick = rig.gateway.engines[rig.sends(good)[0].engine]
    assert sick.error_rate.value == 1.0  # another engine served the same request


@pytest.mark.parametrize("jam", [False, True])
def test_a_late_query_runs_on_without_pressure_and_is_abandoned_at_its_objective_in_overload(
    jam: bool,
) -> None:
    # Guards against late queries that prolong an overload: they are worth little, but hold their threads.
    rig = Rig(settings(classes=(HEAVY,), progress_interval_ms=500.0))
    r = rig.ask(0, 100.0, time_left_ms=20000.0)
    for step in range(30):
        rig.pass_time(100.0)
        rig.feed(AttemptNote(r, 0, rig.sends(r)[0].engine, NoteKind.PROGRESS, 0.5 + step / 100.0))
        if jam:
            rig.gateway.load.lateness.add_at(rig.gateway.now, 2.0)
    assert bool(rig.answers(r)) == jam
