"""Tests of claims: the merge of entries, verdicts, and replicas under any order of events."""

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


def replica(
    own: str = "h0", members: tuple[str, ...] = ("h0", "h1", "h2"), max_entries: int = 100
) -> ClaimReplica:
    return ClaimReplica(own, members, 3, 600_000.0, max_entries)


@FIXED
@given(st.integers(0, 2**32), st.integers(2, 4), st.sampled_from([3, 5]))
def test_at_most_one_claim_is_granted_with_lost_delayed_duplicated_messages_and_crashes(
    seed: int, claimants: int, count: int
) -> None:
    """Guards against two quorums for one key.

    Messages are reordered, lost and duplicated, and replicas restart with only what is on their disks.
    """
    rng = random.Random(seed)
    names = tuple(f"h{number}" for number in range(count))
    replicas = {name: ClaimReplica(name, names, count, 600_000.0, 100) for name in names}
    disk: dict[str, dict[str, ClaimEntry]] = {name: {} for name in names}
    claims = [ClaimQuorum("k", f"c{number}", names) for number in range(claimants)]
    verdicts: dict[str, ClaimVerdict] = {}
    messages: list[tuple[str, int, str, Vote | None]] = [
        ("claim", number, name, None) for number in range(claimants) for name in names for _ in (1, 2)
    ]
    while messages:
        kind, number, name, vote = messages.pop(rng.randrange(len(messages)))
        claim = claims[number]
        target = replicas[name]
        if rng.random() < 0.15:
            continue
        if rng.random() < 0.1:
            # The replica crashes and loads only what is on its disk.
            replicas[name] = target = ClaimReplica(name, names, count, 600_000.0, 100)
            target.load(disk[name].items())
        if kind == "claim":
            answer, entry = target.claim(1.0, "k", claim.token)
            if entry is not None:
                if rng.random() < 0.1:
                    # The write fails: the key stays granted in memory, without a vote for the claim.
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
            if target.release("k", claim.token):
                disk[name].pop("k", None)
        elif kind == "settle" and (written := target.settle(1.0, "k", claim.token, b"done")) is not None:
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
        # The third replica may have granted either.
        ((taken("b"), taken("c")), False, ClaimVerdict.UNKNOWN),
        # No claim has a quorum if the votes are split.
        ((taken("b"), taken("c"), taken("d")), False, ClaimVerdict.REJECTED),
        ((taken("b"), taken("c"), GRANTED), False, ClaimVerdict.REJECTED),
        ((taken("b"), GRANTED), True, ClaimVerdict.UNKNOWN),
        ((taken("b"), UNAVAILABLE, UNAVAILABLE), False, ClaimVerdict.UNKNOWN),
        ((taken(UNKNOWN_TOKEN), taken("b"), taken("c")), False, ClaimVerdict.UNKNOWN),
        ((taken("b", b"done"),), False, ClaimVerdict.ALREADY_RUN),
    ],
)
def test_verdict_follows_from_the_votes(
    votes: tuple[Vote, ...], final: bool, verdict: ClaimVerdict | None
) -> None:
    for order in permutations(range(3), len(votes)):
        claim = ClaimQuorum("k", "a", ("h0", "h1", "h2"))
        for number, vote in zip(order, votes, strict=True):
            claim.record_vote(f"h{number}", vote)
            # A second vote of the same replica is ignored.
            claim.record_vote(f"h{number}", GRANTED)
        assert claim.verdict(final=final) is verdict


def test_replicas_are_balanced_and_digests_compare_their_shared_entries() -> None:
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


def test_a_full_or_incomplete_replica_grants_nothing_and_still_reports_known_entries() -> None:
    one = replica(max_entries=2)
    for key in ("a", "b"):
        assert one.claim(1.0, key, "t")[0].status is VoteStatus.GRANTED
    assert one.claim(1.0, "c", "t")[0].status is VoteStatus.UNAVAILABLE
    assert one.claim(1.0, "a", "u")[0] == taken("t")
    two = replica()
    two.incomplete_reason = "new"
    assert two.claim(1.0, "a", "t")[0].status is VoteStatus.UNAVAILABLE
    assert two.settle(1.0, "a", "t", b"x")
    assert two.claim(2.0, "a", "u")[0] == taken("t", b"x")


def test_pages_of_a_range_are_bounded_and_complete() -> None:
    one = replica(max_entries=5_000)
    for number in range(800):
        one.claim(1.0, f"k{number}", "t")
        if number % 2:
            one.settle(1.0, f"k{number}", "t", b"x" * 100)
    for include_unsettled in (False, True):
        seen = list[str]()
        for range_number in range(RANGE_COUNT):
            after_key, more = "", True
            while more:
                page, more = one.page(range_number, after_key, 500, include_unsettled=include_unsettled)
                assert sum(len(entry.outcome or b"") for _, entry in page) <= 700
                seen += [key for key, _ in page]
                after_key = page[-1][0] if page else ""
        assert sorted(seen) == sorted(f"k{n}" for n in range(800) if include_unsettled or n % 2)
