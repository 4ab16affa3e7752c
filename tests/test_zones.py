"""A hall that falls silent: found out by several of its engines, avoided, tried again; also on a program."""

from __future__ import annotations

import tempfile
from pathlib import Path

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.budgets import bench_settings
from benchmarks.zones import figures, run
from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import AttemptRequest, Call, Engine
from fordstair.core.zone_watch import ZoneWatch
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind
from fordstair.lab.appliance import appliance
from fordstair.lab.engine import FakeEngine
from fordstair.lab.machine import Machine
from fordstair.lab.traffic import RequestKind, Traffic
from fordstair.routing.zone_outlier_detection import (
    BASE_EJECTION_MS,
    MAX_EJECTION_MS,
    OTHER_ZONE_RESPONSE_MS,
    ZONE_SILENCE_MS,
    ZoneOutlierDetector,
)
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines
from fordstair.snapshots.engine_states import engine_state
from tests.scenes import run_with_timeout as bounded

ENGINES = {f"{hall}{n}": number for number, hall in enumerate("abc") for n in range(4)}


def halls(engines: dict[str, int] = ENGINES) -> ZoneOutlierDetector:
    told = ZoneOutlierDetector()
    told.update_engines(0.0, engines)
    return told


def test_three_engines_that_miss_give_their_hall_away_and_one_word_takes_that_back() -> None:
    told, now = halls(), ZONE_SILENCE_MS + 1.0
    told.record_response(now, "b0")
    assert not told.record_miss(now, "a0")
    assert not told.record_miss(now, "a0")
    assert not told.record_miss(now, "a1")
    assert not told.is_ejected("a3")
    assert told.record_miss(now, "a2")
    assert told.is_ejected("a3")
    assert not told.is_ejected("b1")
    assert told.record_response(now + 1.0, "a3")
    assert not told.is_ejected("a0")
    assert not told.record_miss(now + 2.0, "a0")  # and it counts from the beginning again


def test_a_hall_that_was_just_heard_and_one_engine_alone_are_not_suspected() -> None:
    told = halls()
    told.record_response(1_000.0, "b0")
    told.record_response(1_000.0, "a0")
    assert not any(told.record_miss(1_000.0 + ZONE_SILENCE_MS / 2.0, f"a{n}") for n in (1, 2, 3))
    lonely = halls({"a0": 0, "b0": 1})
    lonely.record_response(1_000.0, "b0")
    assert not any(lonely.record_miss(1_000.0, "a0") for _ in range(5))


def test_who_hears_nobody_is_cut_off_itself_and_avoids_nothing() -> None:
    told, now = halls(), OTHER_ZONE_RESPONSE_MS + 1.0
    assert not any(told.record_miss(now, engine) for engine in ENGINES)


def test_two_halls_lost_in_turn_leave_the_third_and_a_hold_that_is_in_vain_doubles() -> None:
    told, now, holds = halls(), 1_000.0, list[float]()
    for hall in "ab":
        told.record_response(now, "c0")
        assert [told.record_miss(now, f"{hall}{n}") for n in range(3)] == [False, False, True]
    told.record_response(now, "c0")
    assert not any(
        told.record_miss(now + OTHER_ZONE_RESPONSE_MS + 1.0, f"c{n}") for n in range(4)
    )  # there is no other way
    while len(holds) < 4:
        until = told.zones[0].ejected_until_ms
        holds.append(until - now)
        assert told.readmit_expired(until - 1.0) == []
        assert 0 in told.readmit_expired(until)
        now = until
        told.record_response(now, "c0")
        assert [told.record_miss(now, f"a{n}") for n in range(3)][-1]
    assert holds == [BASE_EJECTION_MS, 2.0 * BASE_EJECTION_MS, MAX_EJECTION_MS, MAX_EJECTION_MS]


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(sorted(ENGINES)),
            st.sampled_from(["heard", "missed", "tried", "listed"]),
            st.floats(0.0, 500.0),
        ),
        max_size=60,
    )
)
def test_one_hall_is_always_left_and_what_was_heard_last_is_not_avoided(
    told: list[tuple[str, str, float]],
) -> None:
    known, now, engines = halls(), 0.0, dict(ENGINES)
    for engine, what, later in told:
        now += later
        if what == "listed":
            engines.pop(engine, None)
            known.update_engines(now, engines)
        elif what == "tried":
            known.readmit_expired(now)
        elif engine in engines:
            (known.record_response if what == "heard" else known.record_miss)(now, engine)
            if what == "heard":
                assert not known.is_ejected(engine)
        if engines:
            assert not all(map(known.is_ejected, engines))
        assert set(known.zones) == set(engines.values())


class NoWire:
    """A transport over which nothing goes."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        raise AssertionError("nothing is sent here")

    def close_connections(self, engine: Engine) -> None:
        pass


def test_a_list_that_comes_anew_gives_no_avoided_hall_back() -> None:
    clock = [1_000.0]
    coordinator = Coordinator(
        bench_settings(), 1, {"rest": NoWire()}, Deadlines(lambda: clock[0]), Counters()
    )
    watch = coordinator.extensions.zone_watch = ZoneWatch(coordinator)

    def listed(**starts: float) -> None:
        coordinator.update_engines(
            ListUpdateKind.FULL,
            [
                Engine(EngineEntry(name, zone=zone, started_ms=starts.get(name, 0.0)), name)
                for name, zone in ENGINES.items()
            ],
        )

    def states() -> set[EngineState]:
        return {coordinator.gateway.engines[name].entry.state for name in ENGINES if name.startswith("a")}

    listed()
    clock[0] += 1_000.0
    watch.engine_responded(1, "b0")
    for engine in ("a0", "a1", "a2"):
        watch.connect_failed(engine)
    assert states() == {EngineState.DRAINING}
    assert not coordinator.engines["a3"].ready
    listed()
    assert states() == {EngineState.DRAINING}
    assert not coordinator.engines["a3"].ready
    assert engine_state(coordinator.engines["a3"], 1.0, 1.0, 0.0, 0.0) == "avoided"
    watch.engine_responded(1, "a3")
    assert states() == {EngineState.READY}
    assert coordinator.engines["a0"].ready
    assert coordinator.counters["zones.ejected"] == coordinator.counters["zones.readmitted"] == 1
    clock[0] += 1_000.0
    watch.engine_responded(1, "b0")
    for engine in ("a0", "a1", "a2"):
        watch.connect_failed(engine)
    assert states() == {EngineState.DRAINING}
    listed(a2=clock[0])  # a new process: its hall is there
    assert states() == {EngineState.READY}


def test_in_virtual_time_a_dark_hall_costs_fewer_connects_and_no_load_runs_twice() -> None:
    rows = [figures(*run(9, 18, 24.0, 3, eject_silent_zones=ejects), 24.0) for ejects in (False, True)]
    assert all(row["loads_run_twice"] == row["unanswered"] == 0 and row["loads"] > 20 for row in rows)
    assert rows[1]["connect_failed"] < 0.8 * rows[0]["connect_failed"]
    assert rows[1]["dark"] >= rows[0]["dark"] - 0.03


def test_a_program_avoids_a_hall_that_falls_silent_and_takes_it_back() -> None:
    async def scene() -> None:
        with tempfile.TemporaryDirectory(prefix="hal") as folder:
            engines = [
                FakeEngine(f"e-{hall}{n}", Machine(64.0), sessions=512, hall=f"hall-{hall}")
                for hall in "abc"
                for n in range(3)
            ]
            async with appliance(Path(folder), engines, "[routing]\navoid_silent_halls = true\n") as node:
                kinds = [RequestKind("lookup", "karri-energy", 60.0, 60.0, 5_000.0)]

                async def ask(seconds: float, seed: int) -> float:
                    tally = await Traffic("127.0.0.1", node.ports["listens"], kinds, seed).run(seconds)
                    assert tally.counts["lost"] == tally.counts["answered_twice"] == 0
                    return tally.counts["served"] / tally.counts["asked"]

                async def logged(text: str) -> None:
                    with trio.fail_after(15.0):
                        while text not in node.process.log.read_text():
                            await trio.sleep(0.05)

                assert await ask(2.0, 1) > 0.95
                lost = [engine for engine in engines if engine.hall == "hall-b"]
                for engine in lost:
                    engine.go_silent()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask, 4.0, 2)
                    await logged("zone.ejected")
                    before = sum(engine.counts["read.POST"] for engine in lost)
                    await trio.sleep(0.8)  # within the hold nothing new goes there
                    assert sum(engine.counts["read.POST"] for engine in lost) == before
                for engine in lost:
                    engine.restart_cold()
                await trio.sleep(MAX_EJECTION_MS / 1e3)
                assert await ask(4.0, 3) > 0.9
                assert sum(engine.counts["read.POST"] for engine in lost) > before
                await logged("zone.readmitted")

    bounded(scene, 60.0)
