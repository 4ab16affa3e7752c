"""Runs ``fordstair demo``: an appliance process, stand-in engines, light mixed traffic and the console."""

from __future__ import annotations

import sys
import tempfile
import threading
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import trio

from fordstair.lab.appliance import appliance
from fordstair.lab.coordinator_process import NotStartedError
from fordstair.lab.engine import FakeEngine
from fordstair.lab.machine import Machine
from fordstair.lab.odata_traffic import ODataTraffic
from fordstair.lab.traffic import Tally, Traffic, mixed_kinds

CORES_PER_ENGINE = 8.0
# Scales the random times between faults, and the durations of faults.
FAULT_CYCLE_S = 12.0
# The other faults slow an engine down.
SILENCE_FAULT_SHARE = 0.6
SLOWDOWN_FACTOR = 3.0
# The other requests are sent over MessagePack-RPC.
ODATA_REQUEST_SHARE = 0.1
MAX_CONSOLE_RUN_S = 86_400.0


class Demo:
    """One run of the demo, headless or under the console."""

    def __init__(self, engines: int, rate_per_s: float, seed: int, with_faults: bool) -> None:
        self.engines = [
            FakeEngine(f"engine-{number}", Machine(CORES_PER_ENGINE)) for number in range(1, engines + 1)
        ]
        self.rate_per_s = rate_per_s
        self.seed = seed
        self.with_faults = with_faults
        self.tally = Tally()

    def run_headless(self, seconds: float, progress: bool) -> dict[str, Any]:
        """Run for ``seconds``, printing progress on standard error if asked to; return the figures.

        Raises:
            NotStartedError: The appliance did not start.
        """

        async def run() -> None:
            with tempfile.TemporaryDirectory(prefix="fordstair-") as folder:
                async with appliance(Path(folder), self.engines) as running, trio.open_nursery() as nursery:
                    if progress:
                        nursery.start_soon(self._print_progress, seconds)
                    if self.with_faults:
                        nursery.start_soon(self._inject_faults)
                    await self._run_traffic(running.ports, seconds)
                    nursery.cancel_scope.cancel()

        try:
            trio.run(run)
        except* NotStartedError as group:
            raise NotStartedError(str(_first_leaf(group))) from None
        return self.figures()

    def run_with_console(self) -> dict[str, Any]:
        """Run until the user leaves the console; return the figures.

        Raises:
            NotStartedError: The appliance did not start, or its run failed.
        """
        from fordstair.console.app import ConsoleApp

        with tempfile.TemporaryDirectory(prefix="fordstair-") as folder:
            background = _BackgroundRun(partial(self._run_in_background, Path(folder)))
            try:
                if background.wait_ready():
                    ConsoleApp(str(Path(folder) / "console.sock")).run()
            finally:
                background.end()
            if background.failure:
                raise NotStartedError(background.failure)
        # Requests that were open when the user left the console are not lost.
        self.tally.counts["lost"] = 0
        return self.figures()

    async def _run_in_background(self, folder: Path, background: _BackgroundRun) -> None:
        async with appliance(folder, self.engines) as running, trio.open_nursery() as nursery:
            if self.with_faults:
                nursery.start_soon(self._inject_faults)
            nursery.start_soon(self._run_traffic, running.ports, MAX_CONSOLE_RUN_S)
            await background.wait_for_end()
            nursery.cancel_scope.cancel()

    def figures(self) -> dict[str, Any]:
        """Return counts of the requests' outcomes, latencies, and the number of loads that ran twice."""
        engines = sum((engine.counts for engine in self.engines), start=Counter[str]())
        return {**self.tally.summary(), "loads_run_twice": engines["loads_run_twice"]}

    async def _run_traffic(self, ports: dict[str, int], seconds: float) -> None:
        kinds = mixed_kinds(self.rate_per_s * (1.0 - ODATA_REQUEST_SHARE))
        rpc = Traffic("127.0.0.1", ports["listens"], kinds, self.seed)
        odata = ODataTraffic(
            "127.0.0.1", ports["odata"], self.rate_per_s * ODATA_REQUEST_SHARE, self.seed + 1
        )
        rpc.tally = self.tally
        odata.tally = self.tally
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rpc.run, seconds)
            nursery.start_soon(odata.run, seconds)

    async def _inject_faults(self) -> None:
        """Repeatedly make a random engine go silent and return cold, or slow it down for a while."""
        random = Random(self.seed)
        while True:
            await trio.sleep(FAULT_CYCLE_S * random.uniform(0.2, 0.6))
            engine = random.choice(self.engines)
            if random.random() < SILENCE_FAULT_SHARE:
                engine.go_silent()
                await trio.sleep(FAULT_CYCLE_S * random.uniform(0.2, 0.5))
                engine.restart_cold()
            else:
                engine.slow_down(SLOWDOWN_FACTOR)
                await trio.sleep(FAULT_CYCLE_S * random.uniform(0.2, 0.5))
                engine.slow_down(1.0)

    async def _print_progress(self, seconds: float) -> None:
        start = trio.current_time()
        while True:
            await trio.sleep(1.0)
            counts = self.tally.counts
            print(
                f"{trio.current_time() - start:4.0f}/{seconds:.0f} s  asked {counts['asked']}  served "
                f"{counts['served']}  refused {counts['refused']}  failed {counts['failed']}",
                file=sys.stderr,
                flush=True,
            )


class _BackgroundRun:
    """Runs an async function under trio in a thread, as the console needs the main thread.

    Attributes:
        failure: Message of the error that ended the function; empty if there was none.
    """

    def __init__(self, main: Callable[[_BackgroundRun], Awaitable[None]]) -> None:
        self.failure = ""
        self._ready = threading.Event()
        self._end_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(main,), name="lab")
        self._thread.start()

    def wait_ready(self) -> bool:
        """Wait until the function is ready; return False if it failed instead."""
        self._ready.wait()
        return not self.failure

    async def wait_for_end(self) -> None:
        """Mark the function as ready and return when it has to end; the function calls this."""
        self._ready.set()
        await trio.to_thread.run_sync(self._end_requested.wait, abandon_on_cancel=True)

    def end(self) -> None:
        """Request the end of the function and wait for it."""
        self._end_requested.set()
        self._thread.join()

    def _run(self, main: Callable[[_BackgroundRun], Awaitable[None]]) -> None:
        try:
            trio.run(main, self)
        except BaseException as error:  # noqa: BLE001 - after any error the console must not wait forever
            self.failure = str(error)
        finally:
            self._ready.set()


def _first_leaf(group: BaseExceptionGroup[Any]) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
