"""Tests of registers: their convergence, and the clock that advances with each observed timestamp."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from fordstair.replication.hybrid_clock import HybridLogicalClock, HybridTimestamp
from fordstair.replication.register_map import Register, RegisterMap, merge_registers

FIXED = settings(max_examples=150, deadline=None, derandomize=True, database=None)
timestamps = st.builds(
    HybridTimestamp, st.integers(1_000, 1_003), st.integers(0, 2), st.sampled_from(["a", "b"])
)
registers = st.one_of(st.none(), st.builds(Register, st.sampled_from([b"x", b"y"]), timestamps))


@FIXED
@given(registers, registers, registers)
def test_merging_registers_is_a_join(a: Register | None, b: Register | None, c: Register | None) -> None:
    assert merge_registers(a, b) == merge_registers(b, a)
    assert merge_registers(a, a) == a
    assert merge_registers(a, merge_registers(b, c)) == merge_registers(merge_registers(a, b), c)


@FIXED
@given(st.integers(0, 2**32))
def test_members_that_merge_the_same_registers_in_any_order_converge(seed: int) -> None:
    rng = random.Random(seed)
    members = [RegisterMap(name, 1e9, 100) for name in "abc"]
    written = [
        (key, register)
        for n in range(30)
        if (
            register := rng.choice(members).set(
                1e6 + rng.randrange(50), key := f"k{rng.randrange(5)}", b"%d" % n
            )
        )
        is not None
    ]
    for member in members:
        for key, register in rng.sample(written * 2, 2 * len(written)):
            member.merge(1e6 + 100, key, register)
    assert members[0].by_key == members[1].by_key == members[2].by_key
    assert members[0].digests == members[1].digests == members[2].digests
    for member in members:
        member.expire(1e6 + 2e9)
        assert not member.by_key
        assert not any(member.digests)
        assert member.expired_keys


def test_hybrid_clock_advances_past_observed_timestamps_and_rejects_those_too_far_ahead() -> None:
    clock = HybridLogicalClock("a")
    first = clock.now(1_000.0)
    assert clock.now(1_000.0) > first
    assert clock.now(900.0) > first
    assert clock.observe(HybridTimestamp(5_000, 7, "b"), 1_000.0)
    assert clock.now(1_001.0) > HybridTimestamp(5_000, 7, "b")
    assert not clock.observe(HybridTimestamp(10_000_000, 0, "b"), 1_000.0)
    assert clock.now(6_000.0) == HybridTimestamp(6_000, 0, "a")
    full = RegisterMap("a", 1e9, 1)
    full.set(1.0, "k", b"x")
    assert full.set(1.0, "l", b"x") is None
    assert full.rejected == 1
