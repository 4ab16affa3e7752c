"""Budgets of the whole fleet: the division, the leases and their proof in virtual time, caps, places."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fordstair.budgets.division import divide
from fordstair.budgets.invariants import check_invariants
from fordstair.budgets.lease_grants import LeaseGrants
from fordstair.budgets.lease_holder import LeaseHolder
from fordstair.budgets.local_limits import INITIAL_HOLD_MS, LocalLimits
from fordstair.budgets.member import BudgetMember
from fordstair.budgets.messages import (
    LeaseGrant,
    LeaseRequest,
    MemberId,
    VoteReply,
    VoteRequest,
    decode,
    encode,
)
from fordstair.budgets.plan import UNITS_PER_REQUEST_PER_S, BudgetPlan, FleetLimit
from fordstair.budgets.voter import Voter
from fordstair.lab.audit import Audit
from fordstair.lab.budget_fleet import BudgetFleet
from fordstair.runtime.invariants import InvariantViolationError
from fordstair.runtime.message_codec import MalformedMessageError
from fordstair.scheduling.fleet_quotas import RateQuota, ThreadQuota
from fordstair.scheduling.retry_after import RetryAfterSchedule
from fordstair.scheduling.scheduler import ArrivingRequest, Capacity, QueueRejection, Scheduler

FIXED = settings(max_examples=200, deadline=None, derandomize=True, database=None)
LIMITS = (
    FleetLimit("threads", 64, "karri", quantum=4, min_useful=4),
    FleetLimit("rate", 200 * UNITS_PER_REQUEST_PER_S),
)


def plan(
    members: int = 5, *, size: int = 0, limits: tuple[FleetLimit, ...] = LIMITS, **told: float
) -> BudgetPlan:
    return BudgetPlan("c", limits, tuple(f"m{n}" for n in range(members)), fleet_size=size, **told)


# The division


@FIXED
@given(
    st.integers(0, 300),
    st.lists(st.integers(0, 200), max_size=12),
    st.sampled_from([1, 2, 4]),
    st.randoms(use_true_random=False),
)
def test_a_division_is_whole_in_quanta_and_fair_by_what_is_wanted(
    whole: int, wants: list[int], quantum: int, rng: Random
) -> None:
    told = {f"m{n}": want for n, want in enumerate(wants)}
    order = list(told)
    rng.shuffle(order)
    shares = divide(whole, told, told, quantum, order)
    assert sum(shares.values()) == (whole if order else 0)
    assert min(shares.values(), default=0) >= 0
    short = [name for name in order if shares[name] + quantum <= told[name]]
    for name in short:  # who lacks a quantum: nobody has a larger part of what it wants, but for one
        assert all(
            shares[other] <= (shares[name] + quantum) * told[other] / told[name] + quantum + whole % quantum
            for other in order
        )
    if quantum == 1 and not short:
        assert all(shares[name] >= told[name] for name in order)


@FIXED
@given(
    st.integers(0, 100),
    st.integers(0, 2),
    st.lists(st.tuples(st.integers(0, 60), st.integers(0, 60)), min_size=1, max_size=9),
)
def test_work_that_waits_goes_before_what_is_expected(
    whole: int, least: int, told: list[tuple[int, int]]
) -> None:
    names = [f"m{n}" for n in range(len(told))]
    needs = {name: need for name, (need, _) in zip(names, told, strict=True)}
    wants = {name: want for name, (_, want) in zip(names, told, strict=True)}
    shares = divide(whole, needs, wants, 4, names, least)
    assert sum(shares.values()) == whole
    eager = [name for name in names if needs[name] or wants[name]]
    if whole >= least * len(names):
        assert all(shares[name] >= least for name in eager)
    # Where all that waits has room, it has it, whatever others expect.
    if sum(-(-needs[name] // 4) * 4 for name in names) + least * len(names) + 3 <= whole:
        assert all(shares[name] >= needs[name] for name in names)


@pytest.mark.parametrize("least", [1, 4])
def test_who_lacks_a_quantum_takes_turns_with_who_has_one(least: int) -> None:
    limits = (FleetLimit("threads", 80, "karri", quantum=4, min_useful=least), LIMITS[1])
    fleet = BudgetFleet(plan(limits=limits, lease_ms=1_000.0, floor_share=0.0), 40, 1)  # that all want 20
    fleet.wanted = lambda name: (20, 0)
    fleet.run(4_000)
    had = set[str]()
    for _ in range(60):
        fleet.run(250)
        had |= {name for name, share in fleet.allotments().items() if share[0] >= 4}
    assert had == set(fleet.members)
    assert fleet.audit.violations() == 0


# Never more than the whole


def torture(seed: int, drift: float = 0.05, count: int = 7, steps: int = 50) -> BudgetFleet:
    """Members that come, go, stop, lose contact and change their minds, on clocks at their bound."""
    rng = Random(seed)
    fleet = BudgetFleet(plan(lease_ms=2_000.0, max_clock_drift=drift), count, seed, skewed=True, loss=0.05)
    names = list(fleet.members)
    want = {name: (20, 1_000) for name in names}
    fleet.wanted = lambda name: want[name]
    fleet.run(5_000)
    for _ in range(steps):
        act, name = rng.random(), rng.choice(names)
        if act < 0.15 and name in fleet.members:
            fleet.kill(name)
        elif act < 0.3:
            fleet.start(name)
        elif act < 0.5 and name in fleet.members:
            fleet.network.pause(name, rng.choice((300.0, 1_500.0, 4_000.0)))
        elif act < 0.6:
            side = set(rng.sample(names, rng.randint(1, count - 1)))
            fleet.network.cut = lambda a, b, side=side: (a in side) != (b in side)  # type: ignore[misc]
        elif act < 0.65:
            fleet.network.cut = lambda a, b, name=name: a == name  # type: ignore[misc]
        elif act < 0.8:
            fleet.network.cut = lambda a, b: False
        elif act < 0.85 and name in fleet.members and not fleet.network.paused(name):
            fleet.leave(name)
        want[rng.choice(names)] = rng.choice((0, 4, 20, 64)), rng.choice((0, 1_000, 100_000))
        fleet.network.delay_ms = rng.choice(((0.2, 2.0), (50.0, 700.0), (0.2, 2_500.0)))
        fleet.run(rng.choice((100.0, 700.0, 3_000.0)))
        for drifting in fleet.members.values():
            check_invariants(drifting.member, drifting.own_ms(fleet.time))
    return fleet


@pytest.mark.parametrize("seed", range(8))
def test_shares_never_pass_the_whole_whatever_breaks(seed: int) -> None:
    fleet = torture(seed)
    assert fleet.audit.violations() == 0
    assert max(fleet.audit.peaks()) <= 1.0
    assert sum(map(len, fleet.audit.spans.values())) > 50
    fleet.network.cut, fleet.network.delay_ms = (lambda a, b: False), (0.2, 2.0)
    for name in fleet.plan.voters:
        if name not in fleet.members:
            fleet.start(name)
    fleet.wanted = lambda name: (64, 200_000)
    fleet.run(12_000)  # and afterwards the whole is in use again
    assert fleet.leader
    assert fleet.used_share(0) >= 0.9
    assert fleet.used_share(1) >= 0.9
    assert fleet.audit.violations() == 0


def test_the_audit_finds_a_leader_that_does_not_learn(monkeypatch: pytest.MonkeyPatch) -> None:
    class Hasty(LeaseGrants):
        def __init__(self, plan: BudgetPlan, now_ms: float, counts: Counter[str] | None = None) -> None:
            super().__init__(plan, now_ms, counts)
            self.learning_until_ms = now_ms

    monkeypatch.setattr("fordstair.budgets.leader_election.LeaseGrants", Hasty)
    assert sum(torture(seed).audit.violations() for seed in range(4)) > 0


def test_a_share_counts_from_its_question_and_only_the_last_answer_is_taken() -> None:
    held = LeaseHolder(plan(lease_ms=1_000.0), MemberId("m0", 1))
    floor = held.floors
    first = held.request(0.0)
    second = held.request(100.0)
    assert held.apply_grant(150.0, first.sequence, (8, 0)) is None
    share = held.apply_grant(900.0, second.sequence, (8, 0))
    assert share is not None
    assert share.until_ms == 1_100.0
    assert held.allotment(1_099.0)[0] == floor[0] + 8
    assert held.allotment(1_100.0) == floor
    third = held.request(1_200.0)
    assert (third.applied, third.leased) == (0, ())
    assert held.apply_grant(2_200.0, third.sequence, (8, 0)) is None  # it has run out on its way
    assert held.allotment(2_200.0) == floor


def ask(
    number: int, wants: int, *, applied: int = 0, has: int = 0, uses: int = 0, leaving: bool = False
) -> LeaseRequest:
    return LeaseRequest(
        plan().digest,
        "m",
        1,
        number,
        applied,
        (has, 0) if applied else (),
        (uses, 0),
        (0, 0),
        (wants, 0),
        leaving,
    )


def test_what_is_given_back_is_lent_again_only_once_that_is_sure() -> None:
    told = plan(lease_ms=1_000.0, floor_share=0.0, max_clock_drift=0.0)
    book = LeaseGrants(told, 0.0)
    a, b = MemberId("a", 1), MemberId("b", 1)
    now = 1_001.0
    assert book.grant(now, a, ask(1, 64)) == (64, 200 * UNITS_PER_REQUEST_PER_S)
    assert book.grant(now, b, ask(1, 64)) == (0, 0)  # all is lent yet
    now += 100.0
    smaller = book.grant(now, a, ask(2, 64, applied=1, has=64))
    assert smaller is not None
    assert smaller[0] == 32
    assert book.grant(now, b, ask(2, 64)) == (0, 0)  # that answer may have been lost: a may have 64 still
    now += 100.0
    assert book.grant(now, a, ask(2, 64, applied=1, has=64)) is None  # a second copy says nothing
    assert book.grant(now, a, ask(3, 64, applied=2, has=32, uses=48)) == (32, 100 * UNITS_PER_REQUEST_PER_S)
    granted = book.grant(now, b, ask(3, 64))
    assert granted is not None
    assert granted[0] == 16
    now += 100.0
    book.grant(now, a, ask(4, 64, applied=3, has=32, uses=30))
    granted = book.grant(now, b, ask(4, 64, applied=3, has=16))
    assert granted is not None
    assert granted[0] == 32
    book.grant(now, a, ask(5, 64, applied=4, has=32, leaving=True))
    granted = book.grant(now + 100.0, b, ask(5, 64, applied=4, has=32))
    assert granted is not None
    assert granted[0] == 64


def test_a_new_leader_grants_no_more_than_members_have_until_it_has_learned() -> None:
    told = plan(lease_ms=1_000.0, floor_share=0.0, max_clock_drift=0.1)
    book = LeaseGrants(told, 0.0)
    assert book.grant(10.0, MemberId("a", 1), ask(7, 64, applied=6, has=20)) == (20, 0)
    assert book.grant(10.0, MemberId("b", 1), ask(1, 64)) == (0, 0)
    assert book.grant(10.0, MemberId("c", 1), ask(9, 64, applied=8, has=4, uses=40)) == (4, 0)
    later = told.safe_expiry_ms + 1.0
    assert book.grant(later, MemberId("b", 1), ask(2, 64)) is not None
    assert sum(lessee.reserved[0] for lessee in book.lessees.values()) <= 64


def test_a_voter_that_has_just_started_votes_for_nobody_and_a_promise_holds_its_time() -> None:
    told = plan(lease_ms=3_000.0, max_clock_drift=0.0)
    voter = Voter(told, 0.0)
    assert not voter.vote(999.0, MemberId("a", 1), 5)
    assert voter.vote(1_000.0, MemberId("a", 1), 5)
    assert not voter.vote(1_900.0, MemberId("b", 1), 9)
    assert not voter.vote(1_900.0, MemberId("a", 2), 9)
    assert voter.vote(1_900.0, MemberId("a", 1), 5)
    assert not voter.vote(2_800.0, MemberId("b", 1), 9)
    assert voter.vote(2_900.0, MemberId("b", 1), 9)
    assert voter.vote(6_000.0, MemberId("b", 1), 9)
    assert voter.vote(6_050.0, MemberId("b", 1), 8)
    voter.withdraw(MemberId("b", 1), 8)
    assert voter.promise(6_100.0) is not None
    voter.withdraw(MemberId("b", 1), 9)
    assert voter.promise(6_100.0) is None


def test_a_leader_whose_promises_ran_out_learns_again_however_soon_they_are_renewed() -> None:
    told = plan(3, lease_ms=3_000.0, max_clock_drift=0.0)
    member = BudgetMember(told, "m0", 1, {name: name for name in told.voters}, 1)
    member.start(0.0)
    now = 0.0

    def answer() -> None:
        for to, datagram in member.outgoing():
            message = decode(datagram)
            if isinstance(message, VoteRequest):
                promise = VoteReply(told.digest, to, 1, message.sequence, True, message.term, "m0")
                member.receive(now, encode(promise), to)

    while not member.leads(now):
        now += 50.0
        member.tick(now)
        answer()
    first = member.election.grants
    now += 950.0
    member.tick(now)  # it asks for the promises anew
    unanswered = [decode(datagram) for _, datagram in member.outgoing()]
    now += 1_000.0  # nobody has answered for a reign
    assert not member.leads(now)
    for message in unanswered:  # and all do now, too late
        if isinstance(message, VoteRequest):
            late = VoteReply(told.digest, "m1", 1, message.sequence, True, message.term, "m0")
            member.receive(now, encode(late), "m1")
    assert not member.leads(now)
    while not member.leads(now):
        now += 50.0
        member.tick(now)
        answer()
    assert member.election.grants is not first
    assert member.election.grants is not None
    assert member.election.grants.learning_until_ms > now


@FIXED
@given(st.binary(max_size=200))
def test_noise_from_peers_is_counted_and_changes_nothing(noise: bytes) -> None:
    told = plan()
    member = BudgetMember(told, "m0", 1, {name: name for name in told.voters}, 1)
    member.start(0.0)
    member.receive(1.0, noise, "x")
    member.receive(1.0, encode(LeaseGrant(told.digest ^ 1, "m1", 1, 1, 1, (64, 1))), "x")  # of another plan
    member.receive(1.0, encode(LeaseGrant(told.digest, "m1", 1, 1, 1, (64,))), "x")  # of another width
    assert member.allotment(1.0) == told.floors
    assert member.counts["other_plan"] == 1
    assert member.counts["malformed"] + member.counts["grants_late"] >= 1
    with pytest.raises(MalformedMessageError):
        decode(noise + b"\xc1")


@pytest.mark.parametrize(("members", "floor_part"), [(1, 0.2), (3, 0.0), (7, 1.0), (64, 0.33)])
def test_floors_and_what_is_lent_are_the_whole_by_construction(members: int, floor_part: float) -> None:
    told = plan(members, floor_share=floor_part)
    for whole, floor, pool in zip(told.limits, told.floors, told.lendable, strict=True):
        assert floor >= 0
        assert pool >= 0
        assert floor * members + pool == whole.units
    assert told.floors_of("stranger") == (0, 0)
    large = plan(members, floor_share=floor_part, size=10 * members)
    for floor, whole in zip(large.floors, LIMITS, strict=True):
        assert 10 * floor <= whole.units // members


def test_a_leader_that_miscounts_its_leases_is_found() -> None:
    fleet = BudgetFleet(plan(3), 3, 1)
    fleet.run(15_000.0)
    assert fleet.leader is not None
    leader = fleet.members[fleet.leader]
    check_invariants(leader.member, leader.own_ms(fleet.time))
    assert leader.member.election.grants is not None
    leader.member.election.grants.reserved[0] += 1
    with pytest.raises(InvariantViolationError, match="miscounts"):
        check_invariants(leader.member, leader.own_ms(fleet.time))


def test_the_audit_counts_floors_and_overlaps() -> None:
    told = plan(5, floor_share=0.0)
    audit = Audit(told)
    audit.leased("a", 0.0, 100.0, (40, 0))
    audit.leased("b", 100.0, 200.0, (40, 0))
    assert audit.violations() == 0
    audit.leased("c", 150.0, 160.0, (25, 0))
    assert audit.violations() == 1
    assert audit.peaks()[0] == 65 / 64


# Division anew, in virtual time


def test_a_share_follows_demand_and_comes_back_from_who_dies_within_its_time() -> None:
    fleet = BudgetFleet(plan(lease_ms=5_000.0), 10, 3)
    fleet.wanted = lambda name: (60, 0) if name == "m7" else (2, 0)
    fleet.run(20_000)
    assert fleet.allotments()["m7"][0] >= 28
    fleet.wanted = lambda name: (60, 0) if name == "m8" else (2, 0)
    fleet.run(3_000)  # some questions' time
    assert fleet.allotments()["m8"][0] >= 28
    assert fleet.allotments()["m7"][0] <= 10
    fleet.kill("m8")
    fleet.wanted = lambda name: (60, 0) if name == "m9" else (2, 0)
    fleet.run(fleet.plan.safe_expiry_ms + 2_000)
    assert fleet.allotments()["m9"][0] >= 28
    assert fleet.audit.violations() == 0


# One coordinator's part


def test_caps_hold_threads_and_rates_and_tell_what_could_be_used() -> None:
    shares = [8, 10 * UNITS_PER_REQUEST_PER_S]
    caps = LocalLimits(LIMITS, ["karri", "other"], ["s"], lambda now: shares)
    assert caps.admits(0.0, 0, 0, 4) is False  # the bucket is empty at the start
    now = 1_000.0
    for id in (1, 2):
        caps.request_waiting(now, 0, 0, 4)
        assert caps.admits(now, 0, 0, 4)
        caps.request_started(now, id, 0, 0, 4)
    assert not caps.admits(now, 0, 0, 4)
    assert caps.admits(now, 1, 0, 4)
    caps.request_waiting(now, 0, 0, 4)
    assert caps.in_use() == (8, 0)
    assert caps.wanted(now)[0] == 8
    assert caps.wanted(now)[1] >= 2 * UNITS_PER_REQUEST_PER_S
    cap, meter = caps.forecast(now, 0, 0)
    assert caps.needed() == (12, 0)
    assert cap == ThreadQuota(8, 8, 0.0, True, False, 1_000.0)  # none has ended: nothing is known of holds
    assert cap.wait_ms(4, 0.0, 2_000.0, 9_000.0) == pytest.approx(2_000.0 / 8)
    assert caps.hold_ms(0) == INITIAL_HOLD_MS
    assert isinstance(meter, RateQuota)
    assert meter.release_delay_ms == 0.0
    caps.request_ended(now + 900.0, 1)
    caps.request_ended(now + 900.0, 1)
    assert caps.hold_ms(0) == pytest.approx(900.0)  # the first that ends tells more than a guess
    cap, _ = caps.forecast(now, 0, 0)
    assert cap == ThreadQuota(8, 4, 900.0, True, False, 1_000.0)
    assert cap.wait_ms(8, 0.0, 2_000.0, 9_000.0) == pytest.approx(2_000.0 / 8 + 900.0)
    assert caps.in_use() == (4, 0)
    assert caps.admits(now, 0, 0, 4)
    shares[:] = [3, 0]
    assert not caps.admits(now, 0, 0, 4)  # and waits until a share has come here
    assert all(each.wait_ms(4, 0.0, 0.0, 0.0) >= 1_000.0 for each in caps.forecast(now, 0, 0))
    caps.request_abandoned(0, 0, 4)
    caps.request_ended(now, 2)
    assert caps.in_use() == (0, 0)
    assert caps.wanted(now + 60_000.0) == (0, 0)
    for id in range(100, 110):  # ends that hold 500 ms again; later ones count by a tenth each
        caps.request_started(now, id, 0, 0, 4)
        caps.request_ended(now + 500.0, id)
    for id in range(300):  # 50 a second that hold 500 ms each on 4 threads: 100 on average
        caps.request_waiting(now + 20.0 * id, 0, 0, 4)
    assert caps.wanted(now + 6_000.0)[0] == 64
    assert caps.wanted(now + 15_000.0)[0] < 20


@pytest.mark.parametrize("ended", [0, 1, 5, 30])
def test_a_lookup_beside_another_waits_where_lookups_are_seen_to_hold_their_thread_briefly(
    ended: int,
) -> None:
    # Guards against a rejection for a hold time that was only guessed: the wait is 20 ms, not 500.
    limits = LocalLimits(LIMITS[:1], ["karri"], ["lookup"], lambda _: [1])
    scheduler = Scheduler({0: 1.0}, 64.0)
    now = 1_000.0

    def admit(id: int, cost: float) -> QueueRejection | None:
        quotas = limits.forecast(now, 0, 0)
        arriving = ArrivingRequest(id, 0, 0, 1, cost, now + 1_200.0, quotas)
        return scheduler.admit(arriving, now).rejection

    def start(id: int) -> None:
        released = scheduler.release(now, lambda _: Capacity.AVAILABLE)
        assert released is not None
        limits.request_started(now, id, 0, 0, 1)

    for id in range(ended):
        assert admit(id, 20.0) is None
        start(id)
        now += 20.0
        limits.request_ended(now, id)
        scheduler.finish(id, now, 20.0)
        now += 100.0
    assert admit(100, 20.0) is None
    start(100)
    now += 5.0
    assert admit(101, 55.0) is None  # more than twice the class's mean cost, beside one that is about to end


@FIXED
@given(st.integers(0, 2**32), st.integers(1, 50))
def test_a_rate_lets_out_at_most_its_share_a_burst_and_one_more(seed: int, share: int) -> None:
    rng, now, out = Random(seed), 0.0, 0
    caps = LocalLimits(
        (FleetLimit("rate", 100 * UNITS_PER_REQUEST_PER_S),),
        ["t"],
        ["s"],
        lambda now: [share * UNITS_PER_REQUEST_PER_S // 5],
    )
    for id in range(400):
        now += rng.expovariate(1.0) * 30.0
        caps.request_waiting(now, 0, 0, 1)
        if caps.admits(now, 0, 0, 1):
            caps.request_started(now, id, 0, 0, 1)
            out += 1
    assert out <= share / 5 * (now / 1_000.0 + 1.0) + 1.0


def test_a_request_whose_budget_is_full_holds_up_no_other() -> None:
    scheduler = Scheduler({0: 0.5, 1: 0.5}, 64.0)
    for id, team in enumerate((0, 0, 1, 1)):
        scheduler.admit(ArrivingRequest(id, team, 0, 1, 50.0, 1e9), 0.0)
    released = list[int]()
    while item := scheduler.release(
        1.0, lambda item: Capacity.QUOTA_FULL if item.team == 0 else Capacity.AVAILABLE
    ):
        released.append(item.id)
    assert released == [2, 3]
    assert len(scheduler.queues) == 2


def test_a_full_queue_makes_room_for_a_team_within_its_budget_alone() -> None:
    scheduler = Scheduler({0: 0.5, 1: 0.5}, 4.0, max_waiting=3)
    scheduler.quotas.earn(10_000.0)
    scheduler.quotas.charge(0, 1e6)  # far over its budget
    for id in range(3):
        scheduler.admit(ArrivingRequest(id, 0, 0, 1, 50.0, 1e9), 10_000.0)
    assert (
        scheduler.admit(ArrivingRequest(3, 0, 0, 1, 50.0, 1e9), 10_000.0).rejection
        is QueueRejection.QUEUE_FULL
    )
    admission = scheduler.admit(ArrivingRequest(4, 1, 0, 1, 50.0, 1e9), 10_000.0)
    assert admission.rejection is None
    assert admission.evicted is not None
    assert admission.evicted.id == 2
    assert len(scheduler.queues) == 3


def test_those_turned_away_are_told_places_behind_one_another() -> None:
    places = RetryAfterSchedule(1)
    told = [places.next_ms(0.0, 100.0, 0.01, 20_000.0) for _ in range(100)]  # a turn each 100 ms
    assert told[0] < 200.0
    assert 7_500.0 < told[99] < 12_500.0
    for start in range(0, 10_000, 1_000):  # no wave: some ten in each second
        assert sum(start <= each < start + 1_000 for each in told) <= 20
    late = [places.next_ms(0.0, 100.0, 0.01, 5_000.0) for _ in range(50)]
    assert all(2_500.0 <= each <= 5_000.0 for each in late)
    alone = [RetryAfterSchedule(seed).next_ms(0.0, 100.0, 0.0, 5_000.0) for seed in range(20)]
    assert all(80.0 <= each <= 120.0 for each in alone)  # nothing waits: no line to stand in
