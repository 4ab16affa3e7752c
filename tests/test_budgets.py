"""Tests of the fleet's budgets: division, leases and elections in virtual time, local limits, retry times."""

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
    members: int = 5, *, size: int = 0, limits: tuple[FleetLimit, ...] = LIMITS, **options: float
) -> BudgetPlan:
    return BudgetPlan("c", limits, tuple(f"m{n}" for n in range(members)), fleet_size=size, **options)


# The division


@FIXED
@given(
    st.integers(0, 300),
    st.lists(st.integers(0, 200), max_size=12),
    st.sampled_from([1, 2, 4]),
    st.randoms(use_true_random=False),
)
def test_a_division_assigns_all_units_in_quanta_and_fairly_by_demand(
    units: int, demands: list[int], quantum: int, rng: Random
) -> None:
    wanted = {f"m{n}": demand for n, demand in enumerate(demands)}
    order = list(wanted)
    rng.shuffle(order)
    allotments = divide(units, wanted, wanted, quantum, order)
    assert sum(allotments.values()) == (units if order else 0)
    assert min(allotments.values(), default=0) >= 0
    short = [name for name in order if allotments[name] + quantum <= wanted[name]]
    # No member covers a larger fraction of its demand than one that lacks a quantum, but for one quantum.
    for name in short:
        assert all(
            allotments[other]
            <= (allotments[name] + quantum) * wanted[other] / wanted[name] + quantum + units % quantum
            for other in order
        )
    if quantum == 1 and not short:
        assert all(allotments[name] >= wanted[name] for name in order)


@FIXED
@given(
    st.integers(0, 100),
    st.integers(0, 2),
    st.lists(st.tuples(st.integers(0, 60), st.integers(0, 60)), min_size=1, max_size=9),
)
def test_needed_units_are_served_before_wanted_units(
    units: int, min_useful: int, demands: list[tuple[int, int]]
) -> None:
    names = [f"m{n}" for n in range(len(demands))]
    needed = {name: need for name, (need, _) in zip(names, demands, strict=True)}
    wanted = {name: want for name, (_, want) in zip(names, demands, strict=True)}
    allotments = divide(units, needed, wanted, 4, names, min_useful)
    assert sum(allotments.values()) == units
    demanding = [name for name in names if needed[name] or wanted[name]]
    if units >= min_useful * len(names):
        assert all(allotments[name] >= min_useful for name in demanding)
    # If the needs of all members fit, each is met, whatever other members want.
    if sum(-(-needed[name] // 4) * 4 for name in names) + min_useful * len(names) + 3 <= units:
        assert all(allotments[name] >= needed[name] for name in names)


@pytest.mark.parametrize("min_useful_threads", [1, 4])
def test_members_take_turns_for_scarce_quanta(min_useful_threads: int) -> None:
    limits = (FleetLimit("threads", 80, "karri", quantum=4, min_useful=min_useful_threads), LIMITS[1])
    fleet = BudgetFleet(plan(limits=limits, lease_ms=1_000.0, floor_share=0.0), 40, 1)
    fleet.wanted = lambda name: (20, 0)  # each of the 40 members wants 20 of 80 threads
    fleet.run(4_000)
    served = set[str]()
    for _ in range(60):
        fleet.run(250)
        served |= {name for name, allotment in fleet.allotments().items() if allotment[0] >= 4}
    assert served == set(fleet.members)
    assert fleet.audit.violations() == 0


# Never more than the limit


def run_with_random_faults(seed: int, drift: float = 0.05, count: int = 7, steps: int = 50) -> BudgetFleet:
    """Run a fleet whose members start, stop, pause, lose contact and change demand, with drifting clocks."""
    rng = Random(seed)
    fleet = BudgetFleet(plan(lease_ms=2_000.0, max_clock_drift=drift), count, seed, skewed=True, loss=0.05)
    names = list(fleet.members)
    wanted = {name: (20, 1_000) for name in names}
    fleet.wanted = lambda name: wanted[name]
    fleet.run(5_000)
    for _ in range(steps):
        action, name = rng.random(), rng.choice(names)
        if action < 0.15 and name in fleet.members:
            fleet.kill(name)
        elif action < 0.3:
            fleet.start(name)
        elif action < 0.5 and name in fleet.members:
            fleet.network.pause(name, rng.choice((300.0, 1_500.0, 4_000.0)))
        elif action < 0.6:
            side = set(rng.sample(names, rng.randint(1, count - 1)))
            fleet.network.cut = lambda a, b, side=side: (a in side) != (b in side)  # type: ignore[misc]
        elif action < 0.65:
            fleet.network.cut = lambda a, b, name=name: a == name  # type: ignore[misc]
        elif action < 0.8:
            fleet.network.cut = lambda a, b: False
        elif action < 0.85 and name in fleet.members and not fleet.network.is_paused(name):
            fleet.leave(name)
        wanted[rng.choice(names)] = rng.choice((0, 4, 20, 64)), rng.choice((0, 1_000, 100_000))
        fleet.network.delay_ms = rng.choice(((0.2, 2.0), (50.0, 700.0), (0.2, 2_500.0)))
        fleet.run(rng.choice((100.0, 700.0, 3_000.0)))
        for drifting in fleet.members.values():
            check_invariants(drifting.member, drifting.to_member_ms(fleet.time))
    return fleet


@pytest.mark.parametrize("seed", range(8))
def test_allotments_stay_within_the_limits_under_random_faults(seed: int) -> None:
    fleet = run_with_random_faults(seed)
    assert fleet.audit.violations() == 0
    assert max(fleet.audit.peaks()) <= 1.0
    assert sum(map(len, fleet.audit.spans.values())) > 50
    fleet.network.cut, fleet.network.delay_ms = (lambda a, b: False), (0.2, 2.0)
    for name in fleet.plan.voters:
        if name not in fleet.members:
            fleet.start(name)
    fleet.wanted = lambda name: (64, 200_000)
    fleet.run(12_000)  # after the faults nearly all units are in use again
    assert fleet.leader
    assert fleet.used_share(0) >= 0.9
    assert fleet.used_share(1) >= 0.9
    assert fleet.audit.violations() == 0


def test_the_audit_detects_a_leader_that_grants_without_learning(monkeypatch: pytest.MonkeyPatch) -> None:
    class GrantsWithoutLearning(LeaseGrants):
        def __init__(self, plan: BudgetPlan, now_ms: float, counts: Counter[str] | None = None) -> None:
            super().__init__(plan, now_ms, counts)
            self.learning_until_ms = now_ms

    monkeypatch.setattr("fordstair.budgets.leader_election.LeaseGrants", GrantsWithoutLearning)
    assert sum(run_with_random_faults(seed).audit.violations() for seed in range(4)) > 0


def test_a_lease_counts_from_its_request_and_only_the_last_answer_is_applied() -> None:
    holder = LeaseHolder(plan(lease_ms=1_000.0), MemberId("m0", 1))
    floors = holder.floors
    first = holder.request(0.0)
    second = holder.request(100.0)
    assert holder.apply_grant(150.0, first.sequence, (8, 0)) is None
    allotment = holder.apply_grant(900.0, second.sequence, (8, 0))
    assert allotment is not None
    assert allotment.until_ms == 1_100.0
    assert holder.allotment(1_099.0)[0] == floors[0] + 8
    assert holder.allotment(1_100.0) == floors
    third = holder.request(1_200.0)
    assert (third.applied, third.leased) == (0, ())
    assert holder.apply_grant(2_200.0, third.sequence, (8, 0)) is None  # it expired in transit
    assert holder.allotment(2_200.0) == floors


def lease_request(
    sequence: int, wanted: int, *, applied: int = 0, leased: int = 0, in_use: int = 0, leaving: bool = False
) -> LeaseRequest:
    return LeaseRequest(
        plan().digest,
        "m",
        1,
        sequence,
        applied,
        (leased, 0) if applied else (),
        (in_use, 0),
        (0, 0),
        (wanted, 0),
        leaving,
    )


def test_returned_units_are_granted_again_only_once_their_return_is_certain() -> None:
    budget_plan = plan(lease_ms=1_000.0, floor_share=0.0, max_clock_drift=0.0)
    grants = LeaseGrants(budget_plan, 0.0)
    a, b = MemberId("a", 1), MemberId("b", 1)
    now = 1_001.0
    assert grants.grant(now, a, lease_request(1, 64)) == (64, 200 * UNITS_PER_REQUEST_PER_S)
    assert grants.grant(now, b, lease_request(1, 64)) == (0, 0)  # all units are granted to a
    now += 100.0
    smaller = grants.grant(now, a, lease_request(2, 64, applied=1, leased=64))
    assert smaller is not None
    assert smaller[0] == 32
    # The answer to a may be lost: a may still hold 64.
    assert grants.grant(now, b, lease_request(2, 64)) == (0, 0)
    now += 100.0
    # A duplicate request is ignored.
    assert grants.grant(now, a, lease_request(2, 64, applied=1, leased=64)) is None
    assert grants.grant(now, a, lease_request(3, 64, applied=2, leased=32, in_use=48)) == (
        32,
        100 * UNITS_PER_REQUEST_PER_S,
    )
    granted = grants.grant(now, b, lease_request(3, 64))
    assert granted is not None
    assert granted[0] == 16
    now += 100.0
    grants.grant(now, a, lease_request(4, 64, applied=3, leased=32, in_use=30))
    granted = grants.grant(now, b, lease_request(4, 64, applied=3, leased=16))
    assert granted is not None
    assert granted[0] == 32
    grants.grant(now, a, lease_request(5, 64, applied=4, leased=32, leaving=True))
    granted = grants.grant(now + 100.0, b, lease_request(5, 64, applied=4, leased=32))
    assert granted is not None
    assert granted[0] == 64


def test_a_new_leader_grants_only_what_members_hold_until_it_has_learned() -> None:
    budget_plan = plan(lease_ms=1_000.0, floor_share=0.0, max_clock_drift=0.1)
    grants = LeaseGrants(budget_plan, 0.0)
    assert grants.grant(10.0, MemberId("a", 1), lease_request(7, 64, applied=6, leased=20)) == (20, 0)
    assert grants.grant(10.0, MemberId("b", 1), lease_request(1, 64)) == (0, 0)
    assert grants.grant(10.0, MemberId("c", 1), lease_request(9, 64, applied=8, leased=4, in_use=40)) == (
        4,
        0,
    )
    later = budget_plan.safe_expiry_ms + 1.0
    assert grants.grant(later, MemberId("b", 1), lease_request(2, 64)) is not None
    assert sum(lessee.reserved[0] for lessee in grants.lessees.values()) <= 64


def test_a_new_voter_promises_nothing_and_a_promise_lasts_its_full_time() -> None:
    budget_plan = plan(lease_ms=3_000.0, max_clock_drift=0.0)
    voter = Voter(budget_plan, 0.0)
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


def test_a_leader_with_expired_promises_learns_again_despite_late_renewals() -> None:
    budget_plan = plan(3, lease_ms=3_000.0, max_clock_drift=0.0)
    member = BudgetMember(budget_plan, "m0", 1, {name: name for name in budget_plan.voters}, 1)
    member.start(0.0)
    now = 0.0

    def answer() -> None:
        for to, datagram in member.outgoing():
            message = decode(datagram)
            if isinstance(message, VoteRequest):
                promise = VoteReply(budget_plan.digest, to, 1, message.sequence, True, message.term, "m0")
                member.receive(now, encode(promise), to)

    while not member.leads(now):
        now += 50.0
        member.tick(now)
        answer()
    first = member.election.grants
    now += 950.0
    member.tick(now)  # it requests renewals of the promises
    unanswered = [decode(datagram) for _, datagram in member.outgoing()]
    now += 1_000.0  # no voter has answered for the time of a leadership
    assert not member.leads(now)
    for message in unanswered:  # the answers arrive too late
        if isinstance(message, VoteRequest):
            late = VoteReply(budget_plan.digest, "m1", 1, message.sequence, True, message.term, "m0")
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
def test_invalid_datagrams_are_counted_and_change_nothing(noise: bytes) -> None:
    budget_plan = plan()
    member = BudgetMember(budget_plan, "m0", 1, {name: name for name in budget_plan.voters}, 1)
    member.start(0.0)
    member.receive(1.0, noise, "x")
    # A grant of another plan, and one with another number of limits.
    member.receive(1.0, encode(LeaseGrant(budget_plan.digest ^ 1, "m1", 1, 1, 1, (64, 1))), "x")
    member.receive(1.0, encode(LeaseGrant(budget_plan.digest, "m1", 1, 1, 1, (64,))), "x")
    assert member.allotment(1.0) == budget_plan.floors
    assert member.counts["other_plan"] == 1
    assert member.counts["malformed"] + member.counts["grants_late"] >= 1
    with pytest.raises(MalformedMessageError):
        decode(noise + b"\xc1")


@pytest.mark.parametrize(("members", "floor_share"), [(1, 0.2), (3, 0.0), (7, 1.0), (64, 0.33)])
def test_floors_and_lendable_units_add_up_to_the_limit(members: int, floor_share: float) -> None:
    budget_plan = plan(members, floor_share=floor_share)
    for limit, floor, lendable in zip(
        budget_plan.limits, budget_plan.floors, budget_plan.lendable, strict=True
    ):
        assert floor >= 0
        assert lendable >= 0
        assert floor * members + lendable == limit.units
    assert budget_plan.floors_of("stranger") == (0, 0)
    large_plan = plan(members, floor_share=floor_share, size=10 * members)
    for floor, limit in zip(large_plan.floors, LIMITS, strict=True):
        assert 10 * floor <= limit.units // members


def test_the_invariants_detect_miscounted_reservations() -> None:
    fleet = BudgetFleet(plan(3), 3, 1)
    fleet.run(15_000.0)
    assert fleet.leader is not None
    leader = fleet.members[fleet.leader]
    check_invariants(leader.member, leader.to_member_ms(fleet.time))
    assert leader.member.election.grants is not None
    leader.member.election.grants.reserved[0] += 1
    with pytest.raises(InvariantViolationError, match="miscounts"):
        check_invariants(leader.member, leader.to_member_ms(fleet.time))


def test_the_audit_counts_floors_and_overlaps() -> None:
    budget_plan = plan(5, floor_share=0.0)
    audit = Audit(budget_plan)
    audit.record_lease("a", 0.0, 100.0, (40, 0))
    audit.record_lease("b", 100.0, 200.0, (40, 0))
    assert audit.violations() == 0
    audit.record_lease("c", 150.0, 160.0, (25, 0))
    assert audit.violations() == 1
    assert audit.peaks()[0] == 65 / 64


# Changes of demand, in virtual time


def test_units_follow_demand_and_return_from_a_dead_member_within_the_lease() -> None:
    fleet = BudgetFleet(plan(lease_ms=5_000.0), 10, 3)
    fleet.wanted = lambda name: (60, 0) if name == "m7" else (2, 0)
    fleet.run(20_000)
    assert fleet.allotments()["m7"][0] >= 28
    fleet.wanted = lambda name: (60, 0) if name == "m8" else (2, 0)
    fleet.run(3_000)  # the time of a few lease requests
    assert fleet.allotments()["m8"][0] >= 28
    assert fleet.allotments()["m7"][0] <= 10
    fleet.kill("m8")
    fleet.wanted = lambda name: (60, 0) if name == "m9" else (2, 0)
    fleet.run(fleet.plan.safe_expiry_ms + 2_000)
    assert fleet.allotments()["m9"][0] >= 28
    assert fleet.audit.violations() == 0


# One coordinator's limits and queue


def test_local_limits_bound_threads_and_rates_and_report_demand() -> None:
    allotment = [8, 10 * UNITS_PER_REQUEST_PER_S]
    limits = LocalLimits(LIMITS, ["karri", "other"], ["s"], lambda now: allotment)
    assert limits.admits(0.0, 0, 0, 4) is False  # the bucket is empty at the start
    now = 1_000.0
    for id in (1, 2):
        limits.request_waiting(now, 0, 0, 4)
        assert limits.admits(now, 0, 0, 4)
        limits.request_started(now, id, 0, 0, 4)
    assert not limits.admits(now, 0, 0, 4)
    assert limits.admits(now, 1, 0, 4)
    limits.request_waiting(now, 0, 0, 4)
    assert limits.in_use() == (8, 0)
    assert limits.wanted(now)[0] == 8
    assert limits.wanted(now)[1] >= 2 * UNITS_PER_REQUEST_PER_S
    thread_quota, rate_quota = limits.forecast(now, 0, 0)
    assert limits.needed() == (12, 0)
    # No request has ended: the hold time is unknown.
    assert thread_quota == ThreadQuota(8, 8, 0.0, True, False, 1_000.0)
    assert thread_quota.wait_ms(4, 0.0, 2_000.0, 9_000.0) == pytest.approx(2_000.0 / 8)
    assert limits.hold_ms(0) == INITIAL_HOLD_MS
    assert isinstance(rate_quota, RateQuota)
    assert rate_quota.release_delay_ms == 0.0
    limits.request_ended(now + 900.0, 1)
    limits.request_ended(now + 900.0, 1)
    assert limits.hold_ms(0) == pytest.approx(900.0)  # the first request that ends replaces the default
    thread_quota, _ = limits.forecast(now, 0, 0)
    assert thread_quota == ThreadQuota(8, 4, 900.0, True, False, 1_000.0)
    assert thread_quota.wait_ms(8, 0.0, 2_000.0, 9_000.0) == pytest.approx(2_000.0 / 8 + 900.0)
    assert limits.in_use() == (4, 0)
    assert limits.admits(now, 0, 0, 4)
    allotment[:] = [3, 0]
    assert not limits.admits(now, 0, 0, 4)  # waits until an allotment has moved here
    assert all(each.wait_ms(4, 0.0, 0.0, 0.0) >= 1_000.0 for each in limits.forecast(now, 0, 0))
    limits.request_abandoned(0, 0, 4)
    limits.request_ended(now, 2)
    assert limits.in_use() == (0, 0)
    assert limits.wanted(now + 60_000.0) == (0, 0)
    for id in range(100, 110):  # holds of 500 ms, of which the later ones weigh a tenth each
        limits.request_started(now, id, 0, 0, 4)
        limits.request_ended(now + 500.0, id)
    for id in range(300):  # 50 per second that hold 4 threads for 500 ms each: 100 threads on average
        limits.request_waiting(now + 20.0 * id, 0, 0, 4)
    assert limits.wanted(now + 6_000.0)[0] == 64
    assert limits.wanted(now + 15_000.0)[0] < 20


@pytest.mark.parametrize("ended", [0, 1, 5, 30])
def test_a_lookup_waits_for_the_only_thread_instead_of_being_rejected(
    ended: int,
) -> None:
    # Regression test: the second lookup was rejected for a guessed hold time of 500 ms; the wait is 20 ms.
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
    assert admit(101, 55.0) is None  # over twice the class's mean cost, while the other is about to end


@FIXED
@given(st.integers(0, 2**32), st.integers(1, 50))
def test_a_rate_limit_admits_at_most_its_allotment_a_burst_and_one_request(
    seed: int, fifths_per_s: int
) -> None:
    rng, now, started = Random(seed), 0.0, 0
    limits = LocalLimits(
        (FleetLimit("rate", 100 * UNITS_PER_REQUEST_PER_S),),
        ["t"],
        ["s"],
        lambda now: [fifths_per_s * UNITS_PER_REQUEST_PER_S // 5],
    )
    for id in range(400):
        now += rng.expovariate(1.0) * 30.0
        limits.request_waiting(now, 0, 0, 1)
        if limits.admits(now, 0, 0, 1):
            limits.request_started(now, id, 0, 0, 1)
            started += 1
    assert started <= fifths_per_s / 5 * (now / 1_000.0 + 1.0) + 1.0


def test_a_request_with_a_full_quota_does_not_block_other_teams() -> None:
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


def test_a_full_queue_evicts_only_for_a_team_within_its_quota() -> None:
    scheduler = Scheduler({0: 0.5, 1: 0.5}, 4.0, max_waiting=3)
    scheduler.quotas.earn(10_000.0)
    scheduler.quotas.charge(0, 1e6)  # far over its quota
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


def test_retry_after_times_are_spaced_at_the_rate_of_release() -> None:
    schedule = RetryAfterSchedule(1)
    times_ms = [schedule.next_ms(0.0, 100.0, 0.01, 20_000.0) for _ in range(100)]  # one release per 100 ms
    assert times_ms[0] < 200.0
    assert 7_500.0 < times_ms[99] < 12_500.0
    for start in range(0, 10_000, 1_000):  # no wave: about ten per second
        assert sum(start <= each < start + 1_000 for each in times_ms) <= 20
    overflow_ms = [schedule.next_ms(0.0, 100.0, 0.01, 5_000.0) for _ in range(50)]
    assert all(2_500.0 <= each <= 5_000.0 for each in overflow_ms)
    idle_ms = [RetryAfterSchedule(seed).next_ms(0.0, 100.0, 0.0, 5_000.0) for seed in range(20)]
    assert all(80.0 <= each <= 120.0 for each in idle_ms)  # nothing waits: no slots
