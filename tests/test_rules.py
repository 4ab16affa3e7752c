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
from tests.helpers import CLASSES, KEYED, LOAD, SAFE, Rig, entry, settings


def test_every_request_gets_one_answer_before_its_deadline() -> None:
    rig = Rig()
    r = rig.ask(LOAD, 1000.0)
    rig.pass_time(30000.0)
    answered = [t for t, a in rig.log if isinstance(a, FailRequest) and a.request == r]
    assert len(answered) == 1
    assert answered[0] <= 1000.0 + 20000.0 + 20.0
    assert not rig.of(RejectRequest, r)  # it may have run


def test_no_engine_means_a_refusal_at_once() -> None:
    rig = Rig(engines=0)
    assert len(rig.of(RejectRequest, rig.ask())) == 1


def test_late_outcome_and_unknown_ids_are_passed_over() -> None:
    rig = Rig()
    r = rig.ask()
    rig.feed(ClientDisconnected(r))
    rig.end(r, Status.TIMEOUT)
    rig.feed(ClientDisconnected(r))
    rig.feed(AttemptEnded(999, 0, "10.0.0.1:80", Status.OK, 1.0, True))
    rig.feed(TimerFired(10**9))
    assert not rig.answers(r)
    assert len(rig.sends(r)) == 1


@pytest.mark.parametrize("status", [Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED])
def test_unsafe_is_failed_once_it_may_have_run(status: Status) -> None:
    rig = Rig()
    r = rig.ask(LOAD)
    rig.end(r, status)
    assert len(rig.sends(r)) == 1
    assert len(rig.of(FailRequest, r)) == 1


@pytest.mark.parametrize("status", [Status.FULL, Status.CONNECT_FAILED])
def test_unsafe_goes_out_again_only_while_it_never_ran(status: Status) -> None:
    rig = Rig()
    r = rig.ask(LOAD)
    rig.end(r, status)
    assert len(rig.sends(r)) == 2
    rig.end(r, Status.RESET)
    rig.pass_time(25000.0)
    assert len(rig.sends(r)) == 2
    assert len(rig.of(FailRequest, r)) == 1


def test_keyed_goes_out_again_only_while_its_duplicates_are_remembered() -> None:
    rig = Rig()
    soon, late = rig.ask(KEYED), rig.ask(KEYED)
    rig.end(soon, Status.ERROR)
    assert len(rig.sends(soon)) == 2
    rig.now += 4900.0
    rig.end(late, Status.ERROR)
    assert len(rig.sends(late)) == 1
    assert len(rig.of(RejectRequest, late)) == 1


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
    rig = Rig(settings(classes=(keyed,), max_attempts=3, retry_budget=ample), engines=0)
    rig.members(*(entry(i, zone=i % 2, cell=i % 2) for i in range(1, 7)), kind=ListUpdateKind.FULL)
    for _ in range(20):
        r = rig.ask(0, time_left_ms=9000.0)
        for _ in range(3):
            rig.end(r, Status.RESET)
        assert len({int(s.engine[7]) % 2 for s in rig.sends(r)}) == 1
        assert len(rig.sends(r)) == 3
        assert len(rig.of(FailRequest, r)) == 1


def test_drained_and_gone_engines_get_nothing_new() -> None:
    rig = Rig()
    rig.members(entry(1, EngineState.DRAINING), entry(2, EngineState.GONE))
    for _ in range(30):
        r = rig.ask()
        assert rig.sends(r)[-1].engine == "10.0.0.3:80"
        rig.end(r)  # else the counter is full in the end
    rig.members(entry(4), kind=ListUpdateKind.FULL)
    assert rig.sends(rig.ask())[-1].engine == "10.0.0.4:80"


def test_cold_engine_gets_no_more_than_this_gateways_part() -> None:
    config = settings(instances=2)
    rig = Rig(config, engines=1)
    rig.members(entry(9, started=rig.now), kind=ListUpdateKind.FULL)
    for _ in range(400):
        rig.ask(SAFE, 100.0)
        rig.pass_time(5.0)
    budget = 3.0 * 0.5 * 0.85 * 8.0 * 2000.0 / 2  # twice the warmth reached by then is not passed either
    assert 0 < len(rig.sends()) * 100.0 <= budget


def test_order_is_kept_and_a_key_rests_after_an_uncertain_end() -> None:
    rig = Rig()
    first, second, other = (
        rig.ask(LOAD, ordering_key=7),
        rig.ask(LOAD, ordering_key=7),
        rig.ask(LOAD, ordering_key=8),
    )
    assert rig.sends(first)
    assert not rig.sends(second)
    assert rig.sends(other)
    rig.end(first, Status.RESET)
    assert not rig.sends(second)
    rig.pass_time(499.0)
    assert not rig.sends(second)
    rig.pass_time(10.0)
    assert rig.sends(second)


def test_order_waits_for_the_outcome_of_a_client_that_left() -> None:
    rig = Rig()
    first, second = rig.ask(LOAD, ordering_key=7), rig.ask(LOAD, ordering_key=7)
    rig.feed(ClientDisconnected(first))
    assert not rig.sends(second)
    rig.end(first, Status.OK)
    assert rig.sends(second)


def test_what_waits_behind_a_key_is_answered_in_time() -> None:
    rig = Rig()
    rig.ask(LOAD, ordering_key=7)
    waiting = rig.ask(LOAD, ordering_key=7, time_left_ms=3000.0)
    rig.pass_time(3000.0)
    assert len(rig.of(RejectRequest, waiting)) == 1
    assert not rig.sends(waiting)
    hopeless = rig.ask(LOAD, 90000.0, ordering_key=7)
    assert len(rig.of(RejectRequest, hopeless)) == 1


def test_placement_holds_even_when_all_of_it_is_down() -> None:
    bound = RequestClass("bound", allowed_machine_kinds=frozenset({1}), allowed_zones=frozenset({0}))
    rig = Rig(settings(classes=(bound,)), engines=0)
    rig.members(entry(1, kind=0), entry(2, kind=1), entry(3, kind=1, zone=1), kind=ListUpdateKind.FULL)
    for _ in range(20):
        r = rig.ask(0)
        assert rig.sends(r)[-1].engine == "10.0.0.2:80"
        rig.end(r)  # else the counter is full in the end
    rig.members(entry(2, EngineState.GONE))
    sent = len(rig.sends())
    assert rig.of(RejectRequest, rig.ask(0))
    assert len(rig.sends()) == sent


def test_attempt_budget_at_its_edge() -> None:
    rig = Rig(settings(retry_budget=RetryBudget(2.0, 0.1, 5000.0), max_attempts=2))
    asked = [rig.ask() for _ in range(20)]
    for r in asked:
        rig.end(r, Status.ERROR, latency=1.0)
    assert sum(len(rig.sends(r)) == 2 for r in asked) == 4  # 2 free and a tenth of 20
    rig.pass_time(5002.0)
    r = rig.ask()
    rig.end(r, Status.ERROR, latency=1.0)
    assert len(rig.sends(r)) == 2


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
    rig = Rig(config, engines, seed)
    out: dict[tuple[int, int], float] = {}
    ended: dict[tuple[int, int], tuple[float, Status]] = {}
    over: dict[int, float] = {}
    born: dict[int, tuple[float, int, int, float]] = {}
    drained: dict[str, float] = {}
    read = 0

    def take_in() -> None:
        nonlocal read
        for at, action in rig.log[read:]:
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
            rig.ids += 1
            class_index, key = chance.randrange(3), chance.choice([0, 1, 2])
            budget = chance.choice([50.0, 1500.0, 6000.0])
            born[rig.ids] = (rig.now, class_index, key, budget)
            rig.ids -= 1
            rig.ask(class_index, chance.choice([0.0, 50.0, 2000.0]), ordering_key=key, time_left_ms=budget)
        elif dice < 0.75 and out:
            pick = chance.choice(list(out))
            status = chance.choice(list(Status))
            sent = out.pop(pick)
            ended[pick] = (rig.now, status)
            if status is Status.OK:
                over.setdefault(pick[0], rig.now)
            rig.end(pick[0], status, rig.now - sent, pick[1])
        elif dice < 0.8 and set(born) - set(over):
            r = chance.choice(sorted(set(born) - set(over)))
            over[r] = rig.now
            rig.feed(ClientDisconnected(r))
        elif dice < 0.87:
            number = chance.randrange(1, engines + 1)
            state = chance.choice([EngineState.DRAINING, EngineState.READY, EngineState.GONE])
            name = f"10.0.0.{number}:80"
            drained.pop(name, None)
            if state is not EngineState.READY:
                drained[name] = rig.now
            rig.members(entry(number, state, chance.choice([0.0, rig.now])))
        else:
            for _ in range(chance.randrange(1, 60)):
                rig.pass_time(5.0)
                take_in()
                for k in [
                    k
                    for k in out
                    if rig.of(CancelAttempt, k[0])
                    and k[1] in {c.attempt for c in rig.of(CancelAttempt, k[0])}
                ]:
                    sent = out.pop(k)
                    ended[k] = (rig.now, Status.CANCELLED)
                    rig.end(k[0], Status.CANCELLED, rig.now - sent, k[1])
                    take_in()
        take_in()
        for r, (at, _, _, budget) in born.items():
            assert r in over or rig.now <= at + budget + 20.0, "no answer in time"
    times = [(t, a.request) for t, a in rig.log if isinstance(a, SendAttempt)]
    seen: set[int] = set()
    extras = []
    for t, r in times:
        if r in seen:
            extras.append(t)
            taken = sum(1 for b in born.values() if t - 5000.0 < b[0] <= t)
            assert sum(1 for x in extras if x > t - 5000.0) <= 3.0 + 0.1 * taken, "over the attempt budget"
        seen.add(r)
