"""A stepped wall clock changes nothing: real processes, stepped at a barrier while requests are open."""

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

from fordstair.lab.fault_shim import APPLIED, ENVIRONMENT_VARIABLE
from tests.standins import Answered, Program, RestEngine, at_once, config, engine, program

HOUR_MS = 3_600_000.0
STEPS_MS = (-HOUR_MS, -5_000.0, 5_000.0, HOUR_MS)
ROWS = [b"a\tb\tc\nd\te\tf\n", {}]


class Faults:
    """The faults of one program under the shim."""

    def __init__(self, node: Program, path: Path) -> None:
        self.node, self.path = node, path

    async def apply(self, **faults: Any) -> None:
        """Let these faults hold; return once they do."""
        before = self.node.log.count(APPLIED)
        self.path.write_text(ujson.dumps(faults))
        os.kill(self.node.process.pid, signal.SIGUSR2)
        with trio.fail_after(10.0):
            while self.node.log.count(APPLIED) == before:
                await trio.sleep(0.005)


@asynccontextmanager
async def faulty_program(told: dict[str, Any]) -> AsyncIterator[tuple[Program, Faults]]:
    """Run the program under the fault shim, without any fault yet."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "faults.json"
        path.write_text("{}")
        async with program(told, module="fordstair.lab.fault_shim",
                           environ={ENVIRONMENT_VARIABLE: str(path)}) as node:
            yield node, Faults(node, path)


class HeldEngine:
    """The script of an engine whose queries run until the gate opens, and then end as told."""

    def __init__(self, end: Answered) -> None:
        self.end, self.gate, self.begun = end, trio.Event(), trio.Event()

    async def __call__(self, one: RestEngine, method: str, path: str, headers: dict[str, str],
                       body: bytes) -> Answered | bytes | None:
        if method == "POST":
            self.begun.set()
        if method == "GET" and path.endswith("/1"):
            return await at_once(one, method, path, headers, body)
        if method not in ("POST", "GET"):
            return 204, {}, b""
        if not self.gate.is_set():
            with trio.move_on_after(0.1):
                await self.gate.wait()
        return self.end if self.gate.is_set() else (202, {}, b"")


LOST: Answered = (500, {}, b"")
SERVED: Answered = (200, {"X-Sheets": "2"}, b"a\tb\tc\n")


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_load_that_may_have_run_is_never_sent_again_over_a_step(step_ms: float) -> None:
    """The incident: the first attempt ends without proof after the step, and another engine has room."""
    async def scene() -> None:
        held = HeldEngine(LOST)
        async with engine(held) as one, engine(held) as two, \
                faulty_program(config(one.address, two.address)) as (node, faults):
            client = await node.client()
            number = await client.ask("meter-load", limit="20000")
            await held.begun.wait()
            await faults.apply(wall_step_ms=step_ms)
            held.gate.set()
            error, _ = await client.answer(number)
            assert (error[0], len(one.posts) + len(two.posts)) == ("Internal", 1)

    trio.run(scene)


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_step_neither_ends_nor_holds_up_what_is_open(step_ms: float) -> None:
    async def scene() -> None:
        held = HeldEngine(SERVED)
        async with engine(held) as one, faulty_program(config(one.address)) as (node, faults):
            client = await node.client()
            number = await client.ask("settlement", limit="20000")
            await held.begun.wait()
            await faults.apply(wall_step_ms=step_ms)
            await trio.sleep(0.5)  # a deadline that the step has passed would end it now
            held.gate.set()
            assert await client.answer(number, 3.0) == (None, ROWS)
            assert await client.answer(await client.ask(), 3.0) == (None, ROWS)

    trio.run(scene)


@pytest.mark.parametrize("step_ms", STEPS_MS)
def test_a_deadline_is_kept_over_a_step(step_ms: float) -> None:
    async def scene() -> None:
        held = HeldEngine(SERVED)
        async with engine(held) as one, faulty_program(config(one.address)) as (node, faults):
            client = await node.client()
            start = trio.current_time()
            number = await client.ask("meter-load", limit="2000")
            await held.begun.wait()
            await faults.apply(wall_step_ms=step_ms)
            error, _ = await client.answer(number, 4.0)
            assert error[0] == "Internal" and 1.5 < trio.current_time() - start < 2.5

    trio.run(scene)
