"""The set of known engines: it converges, removals stay, and restored engines count as cold."""

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
    """Three members whose registers tell them this and that, with merges in between."""
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
    whole = EngineSet("z")
    for each in sets:
        whole.merge(2_000.0, each.state)
    return whole


@FIXED
@given(st.integers(0, 2**32))
def test_the_engine_set_is_a_join_that_all_members_reach(seed: int) -> None:
    a, b, c = random_sets(random.Random(seed))
    assert joined(a, b).dots == joined(b, a).dots
    assert joined(joined(a, b), c).dots == joined(a, joined(b, c)).dots == joined(c, b, a, a, c).dots
    for one, other in permutations((a, b, c), 2):
        one.merge(2_000.0, other.state)
    for one, other in permutations((a, b, c), 2):
        one.merge(2_000.0, other.state)
    assert a.digest == b.digest == c.digest
    assert a.engines == b.engines == c.engines


def test_an_engine_that_was_removed_stays_so_and_one_added_meanwhile_stays() -> None:
    a, b = EngineSet("a"), EngineSet("b")
    a.update_from_registry(1_000, 1_000, [listed("x"), listed("y")])
    b.merge(1_000, a.state)
    b.update_from_registry(1_001, 1_001, [listed("x"), listed("y")])
    a.update_from_registry(1_002, 1_002, [listed("y")])
    b.merge(1_002, a.state)
    b.update_from_registry(
        1_003, 1_003, [listed("x"), listed("y")]
    )  # its register lags: that brings nothing back
    assert set(b.engines) == {"y"}
    b.update_from_registry(1_004, 1_004, [listed("y"), listed("z")])
    a.update_from_registry(1_004, 1_004, [listed("y"), listed("y2")])
    b.update_from_registry(
        1_005, 1_005, [listed("z"), listed("x", 900)]
    )  # y goes, and x is back under another start
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
    new.update_from_registry(
        1_008, 1_008, [listed("z")]
    )  # what others add is not taken out by who never listed it
    assert set(new.engines) == {"z", "x", "y2"}


def test_engines_from_the_set_count_as_cold_where_nobody_heard_the_registry_lately() -> None:
    known, restored = EngineSet("a"), EngineRestorer(slow_start_ms=5_000.0)
    known.update_from_registry(1_000, 1_000, [listed("x", 500.0)])
    assert [each.started_at for each in restored.engines(2_000.0, known)] == [UnixMs(500.0)]
    known.update_from_registry(1_000, 1_000, [listed("x", 500.0), listed("y", 500.0)])
    later = {each.entry.engine: each.started_at for each in restored.engines(9_000.0, known)}
    assert later == {"x": UnixMs(500.0), "y": UnixMs(9_000.0)}
    again = {each.entry.engine: each.started_at for each in restored.engines(9_500.0, known)}
    assert again == later  # what was said once stays
    assert restored.engines(1_000.0 + MAX_AGE_MS, known) == []
