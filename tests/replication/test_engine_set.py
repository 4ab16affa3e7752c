"""Tests of the engine set: convergence, removals, and restored engines that count as cold."""

from __future__ import annotations

import random
from itertools import permutations

from hypothesis import given, settings
from hypothesis import strategies as st

from fordstair.replication.engine_restoration import EngineRestorer
from fordstair.replication.engine_set import MAX_AGE_MS, Dot, EngineSet, EngineSetState, ReplicatedEngine
from fordstair.runtime.clock import UnixMs

FIXED = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def listed(name: str, started_ms: float = 0.0) -> ReplicatedEngine:
    return ReplicatedEngine(name, "127.0.0.1:80", "rest", 0, 0, 0, started_ms, 1.0)


def random_sets(rng: random.Random) -> list[EngineSet]:
    """Return the sets of three members after random updates from their registries and random merges."""
    members = [EngineSet(name) for name in "abc"]
    for now in range(1_000, 1_030):
        member = rng.choice(members)
        if rng.random() < 0.6:
            names = rng.sample("uvwxy", rng.randint(0, 5))
            member.update_from_registry(now, now, [listed(name, rng.randint(0, 2)) for name in names])
        else:
            member.merge(now, rng.choice(members).state)
    return members


def joined(*sets: EngineSet) -> EngineSet:
    merged = EngineSet("z")
    for engine_set in sets:
        merged.merge(2_000.0, engine_set.state)
    return merged


@FIXED
@given(st.integers(0, 2**32))
def test_merging_engine_sets_is_a_join_and_converges(seed: int) -> None:
    a, b, c = random_sets(random.Random(seed))
    assert joined(a, b).dots == joined(b, a).dots
    assert joined(joined(a, b), c).dots == joined(a, joined(b, c)).dots == joined(c, b, a, a, c).dots
    for one, other in permutations((a, b, c), 2):
        one.merge(2_000.0, other.state)
    for one, other in permutations((a, b, c), 2):
        one.merge(2_000.0, other.state)
    assert a.digest == b.digest == c.digest
    assert a.engines == b.engines == c.engines


def test_removed_engines_stay_removed_and_concurrent_additions_are_kept() -> None:
    a, b = EngineSet("a"), EngineSet("b")
    a.update_from_registry(1_000, 1_000, [listed("x"), listed("y")])
    b.merge(1_000, a.state)
    b.update_from_registry(1_001, 1_001, [listed("x"), listed("y")])
    a.update_from_registry(1_002, 1_002, [listed("y")])
    b.merge(1_002, a.state)
    # The registry of b lags and still lists x, which must not add x again.
    b.update_from_registry(1_003, 1_003, [listed("x"), listed("y")])
    assert set(b.engines) == {"y"}
    b.update_from_registry(1_004, 1_004, [listed("y"), listed("z")])
    a.update_from_registry(1_004, 1_004, [listed("y"), listed("y2")])
    # y is removed, and x is listed again with another start time.
    b.update_from_registry(1_005, 1_005, [listed("z"), listed("x", 900)])
    a.merge(1_006, b.state)
    b.merge(1_006, a.state)
    assert set(a.engines) == set(b.engines) == {"z", "x", "y2"}
    assert a.engines["x"].started_ms == 900
    before = a.digest
    assert not a.merge(1_006, EngineSetState([], {"b": 10**9}, 1_006))
    assert a.rejected == 1
    assert a.digest == before
    assert not a.merge(1_006, EngineSetState([(Dot(10**9, "c"), listed("q"))], {}, 1_006))
    assert a.rejected == 2
    new = EngineSet("n")
    new.update_from_registry(1_007, 1_007, [])
    new.merge(1_007, a.state)
    # A member whose registry never listed an engine does not remove what others have added.
    new.update_from_registry(1_008, 1_008, [listed("z")])
    assert set(new.engines) == {"z", "x", "y2"}


def test_restored_engines_are_cold_if_the_last_registry_contact_is_old() -> None:
    known, restorer = EngineSet("a"), EngineRestorer(slow_start_ms=5_000.0)
    known.update_from_registry(1_000, 1_000, [listed("x", 500.0)])
    assert [engine.started_at for engine in restorer.engines(2_000.0, known)] == [UnixMs(500.0)]
    known.update_from_registry(1_000, 1_000, [listed("x", 500.0), listed("y", 500.0)])
    later = {engine.entry.engine: engine.started_at for engine in restorer.engines(9_000.0, known)}
    assert later == {"x": UnixMs(500.0), "y": UnixMs(9_000.0)}
    again = {engine.entry.engine: engine.started_at for engine in restorer.engines(9_500.0, known)}
    # A start time returned once does not change.
    assert again == later
    assert restorer.engines(1_000.0 + MAX_AGE_MS, known) == []
