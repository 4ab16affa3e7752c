"""Claims: the merge of copies, verdicts and replicas under any order of events."""

from __future__ import annotations

import random
from collections import Counter
from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fordstair.replication.claim_entry import UNKNOWN_TOKEN, ClaimEntry, merge_entries
from fordstair.replication.claim_quorum import ClaimQuorum, ClaimVerdict, Vote, VoteStatus
from fordstair.replication.claim_replica import ClaimReplica
from fordstair.replication.key_ranges import RANGE_COUNT
from fordstair.replication.replica_placement import replicas_of

FIXED = settings(max_examples=150, deadline=None, derandomize=True, database=None)
tokens, outcomes = st.sampled_from(["a", "b", UNKNOWN_TOKEN]), st.sampled_from([None, b"x", b"y"])
entries = st.one_of(st.none(), st.builds(ClaimEntry, tokens, st.integers(0, 3), outcomes))


@FIXED
@given(entries, entries, entries)
def test_merging_is_commutative_associative_and_idempotent(
    a: ClaimEntry | None, b: ClaimEntry | None, c: ClaimEntry | None
) -> None:
    assert merge_entries(a, b) == merge_entries(b, a)
    assert merge_entries(a, merge_entries(b, c)) == merge_entries(merge_entries(a, b), c)
    assert merge_entries(a, a) == a
    assert merge_entries(merge_entries(a, b), b) == merge_entries(a, b)


def replica(own: str = "h0", members: tuple[str, ...] = ("h0", "h1", "h2"), most: int = 100) -> ClaimReplica:
    return ClaimReplica(own, members, 3, 600_000.0, most)


@FIXED
@given(st.integers(0, 2**32), st.integers(2, 4), st.sampled_from([3, 5]))
def test_no_key_runs_for_two_claims_whatever_is_lost_late_doubled_or_forgotten(
    seed: int, claimants: int, count: int
) -> None:
    """Messages arrive in any order, some never, some twice; replicas crash to what they had written."""
    rng = random.Random(seed)
    names = tuple(f"h{number}" for number in range(count))
    memory = {name: ClaimReplica(name, names, count, 600_000.0, 100) for name in names}
    disk: dict[str, dict[str, ClaimEntry]] = {name: {} for name in names}
    claims = [ClaimQuorum("k", f"c{number}", names) for number in range(claimants)]
    verdicts: dict[str, ClaimVerdict] = {}
    messages: list[tuple[str, int, str, Vote | None]] = [
        ("claim", number, name, None) for number in range(claimants) for name in names for _ in (1, 2)
    ]
    while messages:
        kind, number, name, vote = messages.pop(rng.randrange(len(messages)))
        claim = claims[number]
        replica_there = memory[name]
        if rng.random() < 0.15:
            continue  # lost
        if rng.random() < 0.1:  # a crash: only what is on disk comes back
            memory[name] = replica_there = ClaimReplica(name, names, count, 600_000.0, 100)
            replica_there.load(disk[name].items())
        if kind == "claim":
            answer, entry = replica_there.claim(1.0, "k", claim.token)
            if entry is not None:
                if rng.random() < 0.1:  # the write fails: granted in memory, without a vote for it
                    answer = Vote(VoteStatus.UNAVAILABLE)
                else:
                    disk[name]["k"] = entry
            messages.append(("vote", number, name, answer))
        elif kind == "vote" and vote is not None and claim.token not in verdicts:
            verdict = claim.record_vote(name, vote)
            if verdict is None and rng.random() < 0.05:
                verdict = claim.verdict(final=True)
            if verdict is not None:
                verdicts[claim.token] = verdict
                if verdict is not ClaimVerdict.GRANTED:
                    messages += [("release", number, each, None) for each in names]
                elif rng.random() < 0.5:
                    messages += [("settle", number, each, None) for each in names]
        elif kind == "release":
            if replica_there.release("k", claim.token):
                disk[name].pop("k", None)
        elif (
            kind == "settle" and (written := replica_there.settle(1.0, "k", claim.token, b"done")) is not None
        ):
            disk[name]["k"] = written
    assert sum(verdict is ClaimVerdict.GRANTED for verdict in verdicts.values()) <= 1, verdicts


GRANTED, UNAVAILABLE = Vote(VoteStatus.GRANTED), Vote(VoteStatus.UNAVAILABLE)


def taken(token: str, outcome: bytes | None = None) -> Vote:
    return Vote(VoteStatus.TAKEN, token, outcome)


@pytest.mark.parametrize(
    ("votes", "final", "verdict"),
    [
        ((GRANTED, GRANTED), False, ClaimVerdict.GRANTED),
        ((GRANTED,), False, None),
        ((GRANTED,), True, ClaimVerdict.REJECTED),
        ((), True, ClaimVerdict.REJECTED),
        ((UNAVAILABLE, UNAVAILABLE), False, ClaimVerdict.REJECTED),
        ((taken("b"), taken("b")), False, ClaimVerdict.UNKNOWN),
        ((taken("b"), taken("c")), False, ClaimVerdict.UNKNOWN),  # the third may have granted either
        ((taken("b"), taken("c"), taken("d")), False, ClaimVerdict.REJECTED),  # a split is nobody's
        ((taken("b"), taken("c"), GRANTED), False, ClaimVerdict.REJECTED),
        ((taken("b"), GRANTED), True, ClaimVerdict.UNKNOWN),
        ((taken("b"), UNAVAILABLE, UNAVAILABLE), False, ClaimVerdict.UNKNOWN),
        ((taken(UNKNOWN_TOKEN), taken("b"), taken("c")), False, ClaimVerdict.UNKNOWN),
        ((taken("b", b"done"),), False, ClaimVerdict.ALREADY_RUN),
    ],
)
def test_a_claims_verdict_is_what_its_replicas_votes_allow(
    votes: tuple[Vote, ...], final: bool, verdict: ClaimVerdict | None
) -> None:
    for order in permutations(range(3), len(votes)):
        claim = ClaimQuorum("k", "a", ("h0", "h1", "h2"))
        for place, vote in zip(order, votes, strict=True):
            claim.record_vote(f"h{place}", vote)
            claim.record_vote(f"h{place}", GRANTED)  # a second vote of the same replica counts for nothing
        assert claim.verdict(final=final) is verdict


def test_replicas_are_spread_and_their_digests_show_whether_what_they_share_is_equal() -> None:
    members = tuple(f"h{number}" for number in range(5))
    counts = Counter(name for number in range(1_000) for name in replicas_of(f"k{number}", members))
    assert set(counts) == set(members)
    assert max(counts.values()) < 1.25 * min(counts.values())
    one, other = replica("h0", members, 5_000), replica("h1", members, 5_000)
    shared = [f"k{n}" for n in range(300) if {"h0", "h1"} <= set(replicas_of(f"k{n}", members))]
    for key in shared:
        one.settle(1.0, key, "a", b"x")
    for key in reversed(shared):
        other.claim(5.0, key, "a")
        other.settle(9.0, key, "a", b"x")
    assert one.digests["h1"] == other.digests["h0"]
    assert any(one.digests["h1"])
    other.settle(9.0, "only-here" if "h0" in replicas_of("only-here", members) else shared[0], "b", b"y")
    other.merge(shared[1], ClaimEntry("Z", 1, b"different"))
    assert one.digests["h1"] != other.digests["h0"]
    one.expire(1e9)
    assert not one.entries
    assert not any(map(any, one.digests.values()))
    assert not len(one.ranges)


def test_a_full_or_incomplete_replica_grants_nothing_and_still_says_what_it_knows() -> None:
    one = replica(most=2)
    for key in ("a", "b"):
        assert one.claim(1.0, key, "t")[0].status is VoteStatus.GRANTED
    assert one.claim(1.0, "c", "t")[0].status is VoteStatus.UNAVAILABLE
    assert one.claim(1.0, "a", "u")[0] == taken("t")
    two = replica()
    two.incomplete_reason = "new"
    assert two.claim(1.0, "a", "t")[0].status is VoteStatus.UNAVAILABLE
    assert two.settle(1.0, "a", "t", b"x")
    assert two.claim(2.0, "a", "u")[0] == taken("t", b"x")


def test_pages_of_a_range_are_bounded_and_leave_nothing_out() -> None:
    one = replica(most=5_000)
    for number in range(800):
        one.claim(1.0, f"k{number}", "t")
        if number % 2:
            one.settle(1.0, f"k{number}", "t", b"x" * 100)
    for grants in (False, True):
        seen = list[str]()
        for which in range(RANGE_COUNT):
            after, more = "", True
            while more:
                page, more = one.page(which, after, 500, include_unsettled=grants)
                assert sum(len(entry.outcome or b"") for _, entry in page) <= 700
                seen += [key for key, _ in page]
                after = page[-1][0] if page else ""
        assert sorted(seen) == sorted(f"k{n}" for n in range(800) if grants or n % 2)
