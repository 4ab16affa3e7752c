"""The seven rules, without the bench: by cases, and by random legal event sequences."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from fordstair.decisions.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from fordstair.decisions.engine_list import EngineState, ListUpdateKind
from fordstair.decisions.events import AttemptEnded, ClientDisconnected, Status, TimerFired
from fordstair.decisions.settings import DeduplicationScope, Idempotency, RequestClass, RetryBudget
from tests.helpers import CLASSES, KEYED, LOAD, SAFE, GatewayHarness, entry, settings


def test_every_request_gets_one_answer_before_its_deadline() -> None:
    harness = GatewayHarness()
    r = harness.send_request(LOAD, 1000.0)
    harness.advance(30000.0)
    answered = [t for t, a in harness.action_log if isinstance(a, FailRequest) and a.request == r]
    assert len(answered) == 1
    assert answered[0] <= 1000.0 + 20000.0 + 20.0
    assert not harness.actions_of(RejectRequest, r)  # it may have run


def test_no_engine_means_a_refusal_at_once() -> None:
    harness = GatewayHarness(engines=0)
    assert len(harness.actions_of(RejectRequest, harness.send_request())) == 1


def test_late_outcome_and_unknown_ids_are_passed_over() -> None:
    harness = GatewayHarness()
    r = harness.send_request()
    harness.feed(ClientDisconnected(r))
    harness.end_attempt(r, Status.TIMEOUT)
    harness.feed(ClientDisconnected(r))
    harness.feed(AttemptEnded(999, 0, "10.0.0.1:80", Status.OK, 1.0, True))
    harness.feed(TimerFired(10**9))
    assert not harness.answers(r)
    assert len(harness.sends(r)) == 1


@pytest.mark.parametrize("status", [Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED])
def test_unsafe_is_failed_once_it_may_have_run(status: Status) -> None:
    harness = GatewayHarness()
    r = harness.send_request(LOAD)
    harness.end_attempt(r, status)
    assert len(harness.sends(r)) == 1
    assert len(harness.actions_of(FailRequest, r)) == 1


@pytest.mark.parametrize("status", [Status.FULL, Status.CONNECT_FAILED])
def test_unsafe_goes_out_again_only_while_it_never_ran(status: Status) -> None:
    harness = GatewayHarness()
    r = harness.send_request(LOAD)
    harness.end_attempt(r, status)
    assert len(harness.sends(r)) == 2
    harness.end_attempt(r, Status.RESET)
    harness.advance(25000.0)
    assert len(harness.sends(r)) == 2
    assert len(harness.actions_of(FailRequest, r)) == 1


def test_keyed_goes_out_again_only_while_its_duplicates_are_remembered() -> None:
    harness = GatewayHarness()
    soon, late = harness.send_request(KEYED), harness.send_request(KEYED)
    harness.end_attempt(soon, Status.ERROR)
    assert len(harness.sends(soon)) == 2
    harness.now += 4900.0
    harness.end_attempt(late, Status.ERROR)
    assert len(harness.sends(late)) == 1
    assert len(harness.actions_of(RejectRequest, late)) == 1


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_keyed_group_binds_later_sends_and_the_answer(scope: DeduplicationScope) -> None:
    keyed = RequestClass(
        "keyed",
        Idempotency.WITH_KEY,
        deduplication_scope=scope,
        deduplication_window_ms=9000.0,
        late_weight=0.5,
    )
    ample = RetryBudget(100.0, 1.0, 5000.0)
    harness = GatewayHarness(settings(classes=(keyed,), max_attempts=3, retry_budget=ample), engines=0)
    harness.update_engine_list(
        *(entry(i, zone=i % 2, cell=i % 2) for i in range(1, 7)), kind=ListUpdateKind.FULL
    )
    for _ in range(20):
        r = harness.send_request(0, time_left_ms=9000.0)
        for _ in range(3):
            harness.end_attempt(r, Status.RESET)
        assert len({int(s.engine[7]) % 2 for s in harness.sends(r)}) == 1
        assert len(harness.sends(r)) == 3
        assert len(harness.actions_of(FailRequest, r)) == 1


def test_drained_and_gone_engines_get_nothing_new() -> None:
    harness = GatewayHarness()
    harness.update_engine_list(entry(1, EngineState.DRAINING), entry(2, EngineState.GONE))
    for _ in range(30):
        r = harness.send_request()
        assert harness.sends(r)[-1].engine == "10.0.0.3:80"
        harness.end_attempt(r)  # else the counter is full in the end
    harness.update_engine_list(entry(4), kind=ListUpdateKind.FULL)
    assert harness.sends(harness.send_request())[-1].engine == "10.0.0.4:80"


def test_cold_engine_gets_no_more_than_this_gateways_part() -> None:
    config = settings(instances=2)
    harness = GatewayHarness(config, engines=1)
    harness.update_engine_list(entry(9, started=harness.now), kind=ListUpdateKind.FULL)
    for _ in range(400):
        harness.send_request(SAFE, 100.0)
        harness.advance(5.0)
    budget = 3.0 * 0.5 * 0.85 * 8.0 * 2000.0 / 2  # twice the warmth reached by then is not passed either
    assert 0 < len(harness.sends()) * 100.0 <= budget


def test_order_is_kept_and_a_key_rests_after_an_uncertain_end() -> None:
    harness = GatewayHarness()
    first, second, other = (
        harness.send_request(LOAD, ordering_key=7),
        harness.send_request(LOAD, ordering_key=7),
        harness.send_request(LOAD, ordering_key=8),
    )
    assert harness.sends(first)
    assert not harness.sends(second)
    assert harness.sends(other)
    harness.end_attempt(first, Status.RESET)
    assert not harness.sends(second)
    harness.advance(499.0)
    assert not harness.sends(second)
    harness.advance(10.0)
    assert harness.sends(second)


def test_order_waits_for_the_outcome_of_a_client_that_left() -> None:
    harness = GatewayHarness()
    first, second = harness.send_request(LOAD, ordering_key=7), harness.send_request(LOAD, ordering_key=7)
    harness.feed(ClientDisconnected(first))
    assert not harness.sends(second)
    harness.end_attempt(first, Status.OK)
    assert harness.sends(second)


def test_what_waits_behind_a_key_is_answered_in_time() -> None:
    harness = GatewayHarness()
    harness.send_request(LOAD, ordering_key=7)
    waiting = harness.send_request(LOAD, ordering_key=7, time_left_ms=3000.0)
    harness.advance(3000.0)
    assert len(harness.actions_of(RejectRequest, waiting)) == 1
    assert not harness.sends(waiting)
    hopeless = harness.send_request(LOAD, 90000.0, ordering_key=7)
    assert len(harness.actions_of(RejectRequest, hopeless)) == 1


def test_placement_holds_even_when_all_of_it_is_down() -> None:
    bound = RequestClass("bound", allowed_machine_kinds=frozenset({1}), allowed_zones=frozenset({0}))
    harness = GatewayHarness(settings(classes=(bound,)), engines=0)
    harness.update_engine_list(
        entry(1, kind=0), entry(2, kind=1), entry(3, kind=1, zone=1), kind=ListUpdateKind.FULL
    )
    for _ in range(20):
        r = harness.send_request(0)
        assert harness.sends(r)[-1].engine == "10.0.0.2:80"
        harness.end_attempt(r)  # else the counter is full in the end
    harness.update_engine_list(entry(2, EngineState.GONE))
    sent = len(harness.sends())
    assert harness.actions_of(RejectRequest, harness.send_request(0))
    assert len(harness.sends()) == sent


def test_attempt_budget_at_its_edge() -> None:
    harness = GatewayHarness(settings(retry_budget=RetryBudget(2.0, 0.1, 5000.0), max_attempts=2))
    asked = [harness.send_request() for _ in range(20)]
    for r in asked:
        harness.end_attempt(r, Status.ERROR, latency=1.0)
    assert sum(len(harness.sends(r)) == 2 for r in asked) == 4  # 2 free and a tenth of 20
    harness.advance(5002.0)
    r = harness.send_request()
    harness.end_attempt(r, Status.ERROR, latency=1.0)
    assert len(harness.sends(r)) == 2


@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.integers(1, 5))
def test_random_histories_keep_the_rules(seed: int, engines: int) -> None:
    """Random arrivals, outcomes, departures and list changes; every rule is checked on the log."""
    chance = Random(seed)
    keyed = RequestClass(
        "keyed",
        Idempotency.WITH_KEY,
        client_timeout_ms=6000.0,
        late_weight=0.3,
        deduplication_window_ms=3000.0,
        ordered_by_key=True,
    )
    config = settings(classes=(*CLASSES[:2], keyed), retry_budget=RetryBudget(3.0, 0.1, 5000.0))
    harness = GatewayHarness(config, engines, seed)
    out: dict[tuple[int, int], float] = {}
    ended: dict[tuple[int, int], tuple[float, Status]] = {}
    over: dict[int, float] = {}
    born: dict[int, tuple[float, int, int, float]] = {}
    drained: dict[str, float] = {}
    read = 0

    def take_in() -> None:
        nonlocal read
        for at, action in harness.action_log[read:]:
            if isinstance(action, SendAttempt):
                r, number = action.request, len([k for k in (*out, *ended) if k[0] == action.request])
                assert r not in over, "sent after its end"
                assert not [k for k in out if k[0] == r], "two attempts out"
                assert drained.get(action.engine) is None, "sent to an engine that drains"
                class_index, key = born[r][1], born[r][2]
                before = [v[1] for k, v in ended.items() if k[0] == r]
                if class_index == LOAD:
                    assert all(s.proves_not_run for s in before), "an unsafe repeat"
                if class_index != SAFE and key:
                    for q, (_, c, k, _) in born.items():
                        if q < r and k == key and c != SAFE:
                            assert q in over, "out of order"
                            assert not [o for o in out if o[0] == q], "out of order"
                            rests = [
                                v[0]
                                for o, v in ended.items()
                                if o[0] == q and v[1] in (Status.TIMEOUT, Status.RESET, Status.CANCELLED)
                            ]
                            assert number or all(at >= t + 500.0 for t in rests), "the key had no rest"
                out[(r, number)] = at
            elif isinstance(action, RejectRequest | FailRequest):
                assert action.request not in over, "two answers"
                over[action.request] = at
                states = [v[1] for k, v in ended.items() if k[0] == action.request]
                hanging = [k for k in out if k[0] == action.request]
                if isinstance(action, RejectRequest) and born[action.request][1] == LOAD:
                    assert not hanging, "refused what may have run"
                    assert all(s.proves_not_run for s in states), "refused what may have run"
            elif isinstance(action, CancelAttempt):
                assert (action.request, action.attempt) in {*out, *ended}, "cancelled an attempt never made"
            read += 1

    for _ in range(chance.randrange(20, 120)):
        dice = chance.random()
        if dice < 0.45:
            harness.last_request += 1
            class_index, key = chance.randrange(3), chance.choice([0, 1, 2])
            budget = chance.choice([50.0, 1500.0, 6000.0])
            born[harness.last_request] = (harness.now, class_index, key, budget)
            harness.last_request -= 1
            harness.send_request(
                class_index, chance.choice([0.0, 50.0, 2000.0]), ordering_key=key, time_left_ms=budget
            )
        elif dice < 0.75 and out:
            pick = chance.choice(list(out))
            status = chance.choice(list(Status))
            sent = out.pop(pick)
            ended[pick] = (harness.now, status)
            if status is Status.OK:
                over.setdefault(pick[0], harness.now)
            harness.end_attempt(pick[0], status, harness.now - sent, pick[1])
        elif dice < 0.8 and set(born) - set(over):
            r = chance.choice(sorted(set(born) - set(over)))
            over[r] = harness.now
            harness.feed(ClientDisconnected(r))
        elif dice < 0.87:
            number = chance.randrange(1, engines + 1)
            state = chance.choice([EngineState.DRAINING, EngineState.READY, EngineState.GONE])
            name = f"10.0.0.{number}:80"
            drained.pop(name, None)
            if state is not EngineState.READY:
                drained[name] = harness.now
            harness.update_engine_list(entry(number, state, chance.choice([0.0, harness.now])))
        else:
            for _ in range(chance.randrange(1, 60)):
                harness.advance(5.0)
                take_in()
                for k in [
                    k
                    for k in out
                    if harness.actions_of(CancelAttempt, k[0])
                    and k[1] in {c.attempt for c in harness.actions_of(CancelAttempt, k[0])}
                ]:
                    sent = out.pop(k)
                    ended[k] = (harness.now, Status.CANCELLED)
                    harness.end_attempt(k[0], Status.CANCELLED, harness.now - sent, k[1])
                    take_in()
        take_in()
        for r, (at, _, _, budget) in born.items():
            assert r in over or harness.now <= at + budget + 20.0, "no answer in time"
    times = [(t, a.request) for t, a in harness.action_log if isinstance(a, SendAttempt)]
    seen: set[int] = set()
    extras = []
    for t, r in times:
        if r in seen:
            extras.append(t)
            taken = sum(1 for b in born.values() if t - 5000.0 < b[0] <= t)
            assert sum(1 for x in extras if x > t - 5000.0) <= 3.0 + 0.1 * taken, "over the attempt budget"
        seen.add(r)
