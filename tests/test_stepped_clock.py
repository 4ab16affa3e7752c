"""A step of the wall clock changes nothing: real processes, stepped at a barrier while requests are open."""

from __future__ import annotations

import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
import trio
import ujson

from fordstair.core.invariants import Invariant
from fordstair.core.send_guard import Denial, SendGuard
from fordstair.core.start_times import MAX_ANNOUNCEMENT_DELAY_MS, StartTimes
from fordstair.decisions.events import Status
from fordstair.decisions.settings import Idempotency
from fordstair.lab.fault_shim import APPLIED, ENVIRONMENT_VARIABLE
from fordstair.replication.claim_entry import ClaimEntry
from fordstair.replication.stored_records import claim_record, load_state
from fordstair.runtime.clock import AnchoredClock, MonotonicMs, UnixMs, WallClock
from fordstair.store.record_file import RecordFile
from tests.standins import (
    Program,
    Response,
    RestEngine,
    config,
    connect,
    engine,
    program,
    run_in_process,
    serve_at_once,
)

HOUR_MS = 3_600_000.0
STEPS_MS = (-HOUR_MS, -5_000.0, 5_000.0, HOUR_MS)
ROWS = [b"a\tb\tc\nd\te\tf\n", {}]


class Faults:
    """Controls the faults of one program that runs under the fault shim."""

    def __init__(self, node: Program, path: Path) -> None:
        self.node, self.path = node, path

    async def apply(self, **faults: Any) -> None:
        """Replace the faults; return once the program has applied them."""
        before = self.node.log.count(APPLIED)
        self.path.write_text(ujson.dumps(faults))
        os.kill(self.node.process.pid, signal.SIGUSR2)
        with trio.fail_after(10.0):
            while self.node.log.count(APPLIED) == before:
                await trio.sleep(0.005)


@asynccontextmanager
async def faulty_program(
    configuration: dict[str, Any], **faults: Any
) -> AsyncIterator[tuple[Program, Faults]]:
    """Run the program under the fault shim, with these faults from its start."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "faults.json"
        path.write_text(ujson.dumps(faults))
        async with program(
            configuration, module="fordstair.lab.fault_shim", environ={ENVIRONMENT_VARIABLE: str(path)}
        ) as node:
            yield node, Faults(node, path)


class GatedScript:
    """The script of an engine whose queries run until the gate opens and then get one given response."""

    def __init__(self, end: Response) -> None:
        self.end, self.gate, self.begun = end, trio.Event(), trio.Event()

    async def __call__(
        self, one: RestEngine, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response | bytes | None:
        if method == "POST":
            self.begun.set()
        if method == "GET" and path.endswith("/1"):
            return await serve_at_once(one, method, path, headers, body)
        if method not in ("POST", "GET"):
            return 204, {}, b""
        if not self.gate.is_set():
            with trio.move_on_after(0.1):
                await self.gate.wait()
        return self.end if self.gate.is_set() else (202, {}, b"")


FAILED: Response = (500, {}, b"")
SERVED: Response = (200, {"X-Sheets": "2"}, b"a\tb\tc\n")


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_load_that_may_have_run_is_not_sent_again_after_a_clock_step(step_ms: float) -> None:
    """Regression test for an incident: a load was sent again, to a free engine, after a step.

    The first attempt had failed after the step, without proof that it never ran.
    """

    async def scene() -> None:
        script = GatedScript(FAILED)
        async with (
            engine(script) as one,
            engine(script) as two,
            faulty_program(config(one.address, two.address)) as (node, faults),
        ):
            client = await node.client()
            number = await client.send_request("meter-load", limit="20000")
            await script.begun.wait()
            await faults.apply(wall_step_ms=step_ms)
            script.gate.set()
            error, _ = await client.answer(number)
            assert (error[0], len(one.posts) + len(two.posts)) == ("Internal", 1)

    trio.run(scene)


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_clock_step_neither_ends_nor_delays_an_open_request(step_ms: float) -> None:
    async def scene() -> None:
        script = GatedScript(SERVED)
        async with engine(script) as one, faulty_program(config(one.address)) as (node, faults):
            client = await node.client()
            number = await client.send_request("settlement", limit="20000")
            await script.begun.wait()
            await faults.apply(wall_step_ms=step_ms)
            await trio.sleep(0.5)  # A deadline on the wall clock would have ended the request by now.
            script.gate.set()
            assert await client.answer(number, 3.0) == (None, ROWS)
            assert await client.answer(await client.send_request(), 3.0) == (None, ROWS)

    trio.run(scene)


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_deadline_is_unaffected_by_a_clock_step(step_ms: float) -> None:
    async def scene() -> None:
        script = GatedScript(SERVED)
        async with engine(script) as one, faulty_program(config(one.address)) as (node, faults):
            client = await node.client()
            start = trio.current_time()
            number = await client.send_request("meter-load", limit="2000")
            await script.begun.wait()
            await faults.apply(wall_step_ms=step_ms)
            error, _ = await client.answer(number, 4.0)
            assert error[0] == "Internal"
            assert 1.5 < trio.current_time() - start < 2.5

    trio.run(scene)


# --- the clocks -----------------------------------------------------------------------------------


class Clocks:
    """A monotonic and a wall clock that the test advances."""

    def __init__(self) -> None:
        self.monotonic_ms, self.wall_ms = 1_000_000.0, 1.7e12

    def monotonic(self) -> MonotonicMs:
        return MonotonicMs(self.monotonic_ms)

    def unix(self) -> UnixMs:
        return UnixMs(self.wall_ms)

    def pass_time(self, span_ms: float, step_ms: float = 0.0) -> None:
        self.monotonic_ms += span_ms
        self.wall_ms += span_ms + step_ms


def test_unix_times_support_no_arithmetic_or_comparison_with_numbers() -> None:
    with pytest.raises(TypeError):
        UnixMs(1.0) - UnixMs(0.0)  # type: ignore[operator]
    with pytest.raises(TypeError):
        assert UnixMs(1.0) < 2.0  # type: ignore[operator]


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_an_anchored_clock_ignores_steps_and_a_wall_clock_follows_them(step_ms: float) -> None:
    clocks = Clocks()
    anchored = AnchoredClock(clocks.monotonic, clocks.unix)
    wall = WallClock(clocks.monotonic, clocks.unix)
    clocks.pass_time(500.0, step_ms)
    assert anchored.now() == UnixMs(1.7e12 + 500.0)
    assert anchored.monotonic(anchored.now()) == clocks.monotonic_ms
    assert wall.follow_step() == step_ms
    assert wall.follow_step() == 0.0
    assert wall.unix(clocks.monotonic_ms) == clocks.unix()


def test_a_start_time_is_estimated_once_and_a_missing_one_is_long_past() -> None:
    clocks = Clocks()
    starts = StartTimes(clocks.monotonic)
    before = starts.monotonic_start("a", UnixMs(1.7e12 - 3_000.0), announced=False)
    clocks.pass_time(2_000.0)
    # The lower bound from this engine shows that the first one is older than estimated.
    starts.monotonic_start("b", UnixMs(1.7e12 + 2_000.0), announced=True)
    assert starts.monotonic_start("a", UnixMs(1.7e12 - 3_000.0), announced=False) == before == 1_000_000.0
    starts.forget("a")
    assert starts.monotonic_start("a", UnixMs(1.7e12 - 3_000.0), announced=False) == 997_000.0
    assert starts.monotonic_start("c", None, announced=True) == 0.0


@pytest.mark.parametrize("seen_before", [False, True])
@pytest.mark.parametrize("age_ms", [0.0, 1_000.0, 20_000.0, MAX_ANNOUNCEMENT_DELAY_MS - 1.0])
def test_an_announced_engine_never_appears_older_than_it_is(age_ms: float, seen_before: bool) -> None:
    # Guards against a cold engine that gets a warm one's load because a wall clock is under a minute ahead.
    clocks = Clocks()
    starts = StartTimes(clocks.monotonic)
    if seen_before:  # An announcement without delay bounds the clocks' offset.
        starts.monotonic_start("prompt", UnixMs(clocks.wall_ms), announced=True)
        clocks.pass_time(90_000.0)
    moment = starts.monotonic_start("late", UnixMs(clocks.wall_ms - age_ms), announced=True)
    assert clocks.monotonic_ms - moment == (age_ms if seen_before else 0.0)


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_an_announced_engine_does_not_appear_an_hour_old_after_discoverys_clock_is_stepped(
    step_ms: float,
) -> None:
    clocks = Clocks()
    starts = StartTimes(clocks.monotonic)
    starts.monotonic_start("a", UnixMs(clocks.wall_ms), announced=True)
    clocks.pass_time(1_000.0, step_ms)
    age_ms = clocks.monotonic_ms - starts.monotonic_start("b", UnixMs(clocks.wall_ms), announced=True)
    assert age_ms == (5_000.0 if step_ms == -5_000.0 else 0.0)  # A short step looks like a late announcement.


def test_a_listed_engine_counts_as_older_than_the_youngest_but_never_as_too_old() -> None:
    # Guards against a cold engine that gets a warm one's load because the wall clock was ahead at the start.
    clocks = Clocks()
    starts = StartTimes(clocks.monotonic)
    ages_ms = {"oldest": 600_000.0, "older": 12_000.0, "youngest": 2_000.0}
    listed = {name: UnixMs(clocks.wall_ms - age_ms) for name, age_ms in ages_ms.items()}
    starts.record_listed(listed.values())
    for name, started in listed.items():
        estimated_age_ms = clocks.monotonic_ms - starts.monotonic_start(name, started, announced=False)
        assert ages_ms[name] - ages_ms["youngest"] <= estimated_age_ms <= ages_ms[name]


def test_engine_start_times_in_the_configuration_are_converted_to_monotonic_time() -> None:
    configuration = config("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    servers = configuration["known"]["cmds"][0]["nodes"]["servers"]
    for server, started_ms in zip(servers, (0, 1.7e12 - 9_000.0, 1.7e12), strict=True):
        server["started_ms"] = started_ms  # Long past on any clock; the wall clock may be years ahead.

    async def scene() -> None:
        async with run_in_process(configuration) as node:
            entries = [engine.entry for engine in node.coordinator.engines.values()]
            assert entries[0].started_ms == 0.0
            assert entries[2].started_ms - entries[1].started_ms == pytest.approx(9_000.0, abs=50.0)
            assert node.deadlines.clock() - entries[2].started_ms < 5_000.0

    trio.run(scene)


def test_a_claim_survives_a_restart_after_a_clock_step(tmp_path: Path) -> None:
    disk, granted_ms = RecordFile(str(tmp_path / "ledger")), 1_700_000_000_000
    disk.open()
    disk.write([claim_record("key", ClaimEntry("a:1:1", granted_ms))])
    disk.close()
    later_ms = granted_ms + 10 * HOUR_MS  # A step cannot be told from a long downtime.
    assert load_state(RecordFile(disk.path), later_ms).entries == [
        ("key", ClaimEntry("a:1:1", int(later_ms)))
    ]


# --- the guard ------------------------------------------------------------------------------------


def run_attempt(guard: SendGuard, status: Status, *, at_ms: float = 0.0, may_still_run: bool = False) -> None:
    """Begin and end an attempt."""
    assert guard.denial(at_ms) is None
    guard.begin(at_ms)
    assert guard.denial(at_ms) is Denial.ANOTHER_IN_FLIGHT
    guard.end(status, may_still_run=may_still_run)


@pytest.mark.parametrize("status", [each for each in Status if each is not Status.OK])
@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_the_send_guard_allows_a_repeat_by_whether_an_attempt_may_have_run(
    idempotency: Idempotency, status: Status
) -> None:
    for later_ms in (-HOUR_MS, 0.0, 4_999.0, HOUR_MS):
        guard = SendGuard(idempotency, deduplication_window_ms=5_000.0)
        run_attempt(guard, status, at_ms=0.0)
        expected = None
        if not status.proves_not_run and idempotency is Idempotency.NON_IDEMPOTENT:
            expected = Denial.MAY_HAVE_RUN
        elif not status.proves_not_run and idempotency is Idempotency.WITH_KEY and later_ms > 5_000.0:
            expected = Denial.WINDOW_OVER
        assert guard.denial(later_ms) is expected


def test_the_send_guard_counts_an_attempt_that_may_still_run_but_not_one_that_never_began() -> None:
    guard = SendGuard(Idempotency.IDEMPOTENT, 0.0)
    guard.end(Status.TIMEOUT, may_still_run=True)  # Its connection was never established.
    run_attempt(guard, Status.RESET, may_still_run=True)
    assert guard.denial(0.0) is Denial.ANOTHER_IN_FLIGHT
    assert Denial.ANOTHER_IN_FLIGHT.violates is Invariant.ONE_ATTEMPT_IN_FLIGHT
    assert Denial.REQUEST_FINISHED.violates is None


def test_an_unsafe_repeat_that_the_decision_module_orders_is_counted_and_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("fordstair.decisions.retries.must_not_be_retried", lambda request: False)

    async def scene() -> None:
        script = GatedScript(FAILED)
        script.gate.set()
        async with (
            engine(script) as one,
            engine(script) as two,
            run_in_process(config(one.address, two.address)) as node,
        ):
            client = await connect(node)
            error, _ = await client.answer(await client.send_request("meter-load", limit="20000"))
            assert (error[0], len(one.posts) + len(two.posts)) == ("Internal", 1)
            assert node.counters["violation.unsafe_repeat"] == 1

    trio.run(scene)
