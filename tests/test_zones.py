"""Detection, ejection and readmission of a silent zone, in units, in virtual time and in a program."""

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
from tests.scenes import run_with_timeout

ENGINES = {f"{hall}{n}": number for number, hall in enumerate("abc") for n in range(4)}


def zone_detector(engines: dict[str, int] = ENGINES) -> ZoneOutlierDetector:
    detector = ZoneOutlierDetector()
    detector.update_engines(0.0, engines)
    return detector


def test_three_missing_engines_eject_their_zone_and_one_response_readmits_it() -> None:
    detector, now = zone_detector(), ZONE_SILENCE_MS + 1.0
    detector.record_response(now, "b0")
    assert not detector.record_miss(now, "a0")
    assert not detector.record_miss(now, "a0")
    assert not detector.record_miss(now, "a1")
    assert not detector.is_ejected("a3")
    assert detector.record_miss(now, "a2")
    assert detector.is_ejected("a3")
    assert not detector.is_ejected("b1")
    assert detector.record_response(now + 1.0, "a3")
    assert not detector.is_ejected("a0")
    assert not detector.record_miss(now + 2.0, "a0")  # the count of missing engines was reset


def test_zone_that_has_just_responded_and_zone_of_one_engine_are_not_ejected() -> None:
    detector = zone_detector()
    detector.record_response(1_000.0, "b0")
    detector.record_response(1_000.0, "a0")
    assert not any(detector.record_miss(1_000.0 + ZONE_SILENCE_MS / 2.0, f"a{n}") for n in (1, 2, 3))
    single = zone_detector({"a0": 0, "b0": 1})
    single.record_response(1_000.0, "b0")
    assert not any(single.record_miss(1_000.0, "a0") for _ in range(5))


def test_no_zone_is_ejected_while_no_zone_responds() -> None:
    """A coordinator that gets no response from any zone is disconnected itself."""
    detector, now = zone_detector(), OTHER_ZONE_RESPONSE_MS + 1.0
    assert not any(detector.record_miss(now, engine) for engine in ENGINES)


def test_last_zone_is_not_ejected_and_repeated_ejections_double_up_to_the_maximum() -> None:
    detector, now, ejections_ms = zone_detector(), 1_000.0, list[float]()
    for zone in "ab":
        detector.record_response(now, "c0")
        assert [detector.record_miss(now, f"{zone}{n}") for n in range(3)] == [False, False, True]
    detector.record_response(now, "c0")
    # The only zone that is left cannot be ejected.
    assert not any(detector.record_miss(now + OTHER_ZONE_RESPONSE_MS + 1.0, f"c{n}") for n in range(4))
    while len(ejections_ms) < 4:
        until = detector.zones[0].ejected_until_ms
        ejections_ms.append(until - now)
        assert detector.readmit_expired(until - 1.0) == []
        assert 0 in detector.readmit_expired(until)
        now = until
        detector.record_response(now, "c0")
        assert [detector.record_miss(now, f"a{n}") for n in range(3)][-1]
    assert ejections_ms == [BASE_EJECTION_MS, 2.0 * BASE_EJECTION_MS, MAX_EJECTION_MS, MAX_EJECTION_MS]


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(sorted(ENGINES)),
            st.sampled_from(["response", "miss", "readmit", "remove"]),
            st.floats(0.0, 500.0),
        ),
        max_size=60,
    )
)
def test_some_zone_always_remains_and_the_latest_to_respond_is_not_ejected(
    steps: list[tuple[str, str, float]],
) -> None:
    detector, now, engines = zone_detector(), 0.0, dict(ENGINES)
    for engine, event, delay_ms in steps:
        now += delay_ms
        if event == "remove":
            engines.pop(engine, None)
            detector.update_engines(now, engines)
        elif event == "readmit":
            detector.readmit_expired(now)
        elif engine in engines:
            (detector.record_response if event == "response" else detector.record_miss)(now, engine)
            if event == "response":
                assert not detector.is_ejected(engine)
        if engines:
            assert not all(map(detector.is_ejected, engines))
        assert set(detector.zones) == set(engines.values())


class UnusedTransport:
    """A transport that must not be called."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        raise AssertionError("no attempt must be sent in this test")

    def close_connections(self, engine: Engine) -> None:
        pass


def test_repeated_engine_list_does_not_readmit_an_ejected_zone() -> None:
    clock = [1_000.0]
    coordinator = Coordinator(
        bench_settings(), 1, {"rest": UnusedTransport()}, Deadlines(lambda: clock[0]), Counters()
    )
    watch = coordinator.extensions.zone_watch = ZoneWatch(coordinator)

    def update_engine_list(**starts: float) -> None:
        coordinator.update_engines(
            ListUpdateKind.FULL,
            [
                Engine(EngineEntry(name, zone=zone, started_ms=starts.get(name, 0.0)), name)
                for name, zone in ENGINES.items()
            ],
        )

    def states() -> set[EngineState]:
        return {coordinator.gateway.engines[name].entry.state for name in ENGINES if name.startswith("a")}

    update_engine_list()
    clock[0] += 1_000.0
    watch.engine_responded(1, "b0")
    for engine in ("a0", "a1", "a2"):
        watch.connect_failed(engine)
    assert states() == {EngineState.DRAINING}
    assert not coordinator.engines["a3"].ready
    update_engine_list()
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
    update_engine_list(a2=clock[0])  # a new process shows that its zone is reachable
    assert states() == {EngineState.READY}


def test_ejecting_a_dark_zone_saves_connects_and_runs_no_load_twice() -> None:
    rows = [figures(*run(9, 18, 24.0, 3, eject_silent_zones=ejects), 24.0) for ejects in (False, True)]
    assert all(row["loads_run_twice"] == row["unanswered"] == 0 and row["loads"] > 20 for row in rows)
    assert rows[1]["connect_failed"] < 0.8 * rows[0]["connect_failed"]
    assert rows[1]["dark"] >= rows[0]["dark"] - 0.03


def test_program_ejects_a_silent_zone_and_readmits_it() -> None:
    async def scene() -> None:
        with tempfile.TemporaryDirectory(prefix="hal") as folder:
            engines = [
                FakeEngine(f"e-{hall}{n}", Machine(64.0), sessions=512, hall=f"hall-{hall}")
                for hall in "abc"
                for n in range(3)
            ]
            async with appliance(Path(folder), engines, "[routing]\navoid_silent_halls = true\n") as node:
                kinds = [RequestKind("lookup", "karri-energy", 60.0, 60.0, 5_000.0)]

                async def served_share(seconds: float, seed: int) -> float:
                    tally = await Traffic("127.0.0.1", node.ports["listens"], kinds, seed).run(seconds)
                    assert tally.counts["lost"] == tally.counts["answered_twice"] == 0
                    return tally.counts["served"] / tally.counts["asked"]

                async def wait_for_log(text: str) -> None:
                    with trio.fail_after(15.0):
                        while text not in node.process.log.read_text():
                            await trio.sleep(0.05)

                assert await served_share(2.0, 1) > 0.95
                silent = [engine for engine in engines if engine.hall == "hall-b"]
                for engine in silent:
                    engine.go_silent()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(served_share, 4.0, 2)
                    await wait_for_log("zone.ejected")
                    before = sum(engine.counts["read.POST"] for engine in silent)
                    await trio.sleep(0.8)  # no new attempts are sent there during the ejection
                    assert sum(engine.counts["read.POST"] for engine in silent) == before
                for engine in silent:
                    engine.restart_cold()
                await trio.sleep(MAX_EJECTION_MS / 1e3)
                assert await served_share(4.0, 3) > 0.9
                assert sum(engine.counts["read.POST"] for engine in silent) > before
                await wait_for_log("zone.readmitted")

    run_with_timeout(scene, 60.0)
