"""``fordstair demo``: an appliance as its own process, stand-in engines, light mixed traffic, the console."""

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

CORES = 8.0  # of each engine
FAULT_CYCLE_S = 12.0  # between two faults, about
SILENCE_SHARE = 0.6  # of the faults; the others slow an engine down
SLOWNESS = 3.0  # times as long
ODATA_SHARE = 0.1  # of the requests come through the OData front
UNTIL_LEFT_S = 86_400.0  # of traffic, under the console


class Demo:
    """One demonstration."""

    def __init__(self, engines: int, rate_per_s: float, seed: int, with_faults: bool) -> None:
        self.engines = [FakeEngine(f"engine-{number}", Machine(CORES)) for number in range(1, engines + 1)]
        self.rate_per_s = rate_per_s
        self.seed = seed
        self.with_faults = with_faults
        self.tally = Tally()

    def headless(self, seconds: float, progress: bool) -> dict[str, Any]:
        """Run for that long; return the figures."""

        async def scene() -> None:
            with tempfile.TemporaryDirectory(prefix="fordstair-") as folder:
                async with appliance(Path(folder), self.engines) as running, trio.open_nursery() as nursery:
                    if progress:
                        nursery.start_soon(self._progress, seconds)
                    if self.with_faults:
                        nursery.start_soon(self._inject_faults)
                    await self._traffic(running.ports, seconds)
                    nursery.cancel_scope.cancel()

        try:
            trio.run(scene)
        except* NotStartedError as group:
            raise NotStartedError(str(_first_leaf(group))) from None
        return self.figures()

    def watched(self) -> dict[str, Any]:
        """Run under the console until it is left; return the figures."""
        from fordstair.console.app import ConsoleApp

        with tempfile.TemporaryDirectory(prefix="fordstair-") as folder:
            background = _Background(partial(self._until_left, Path(folder)))
            try:
                if background.wait_ready():
                    ConsoleApp(str(Path(folder) / "console.sock")).run()
            finally:
                background.end()
            if background.failure:
                raise NotStartedError(background.failure)
        self.tally.counts["lost"] = 0  # what was open when the console was left is no loss
        return self.figures()

    async def _until_left(self, folder: Path, background: _Background) -> None:
        async with appliance(folder, self.engines) as running, trio.open_nursery() as nursery:
            if self.with_faults:
                nursery.start_soon(self._inject_faults)
            nursery.start_soon(self._traffic, running.ports, UNTIL_LEFT_S)
            await background.ready_until_end()
            nursery.cancel_scope.cancel()

    def figures(self) -> dict[str, Any]:
        """Return what became of the requests, and what the engines saw."""
        engines = sum((engine.counts for engine in self.engines), start=Counter[str]())
        return {**self.tally.summary(), "loads_run_twice": engines["loads_run_twice"]}

    async def _traffic(self, ports: dict[str, int], seconds: float) -> None:
        kinds = mixed_kinds(self.rate_per_s * (1.0 - ODATA_SHARE))
        rpc = Traffic("127.0.0.1", ports["listens"], kinds, self.seed)
        odata = ODataTraffic("127.0.0.1", ports["odata"], self.rate_per_s * ODATA_SHARE, self.seed + 1)
        rpc.tally = self.tally
        odata.tally = self.tally
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rpc.run, seconds)
            nursery.start_soon(odata.run, seconds)

    async def _inject_faults(self) -> None:
        """Let one engine after the other fall silent and return cold, or be slow for a while."""
        random = Random(self.seed)
        while True:
            await trio.sleep(FAULT_CYCLE_S * random.uniform(0.2, 0.6))
            engine = random.choice(self.engines)
            if random.random() < SILENCE_SHARE:
                engine.go_silent()
                await trio.sleep(FAULT_CYCLE_S * random.uniform(0.2, 0.5))
                engine.restart_cold()
            else:
                engine.slow_down(SLOWNESS)
                await trio.sleep(FAULT_CYCLE_S * random.uniform(0.2, 0.5))
                engine.slow_down(1.0)

    async def _progress(self, seconds: float) -> None:
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


class _Background:
    """A trio program in a thread beside the console, which has the main thread."""

    def __init__(self, scene: Callable[[_Background], Awaitable[None]]) -> None:
        self.failure = ""  # why it ended, where it was not asked to
        self._ready = threading.Event()
        self._left = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(scene,), name="lab")
        self._thread.start()

    def wait_ready(self) -> bool:
        """Wait until the scene is ready; return False where it failed."""
        self._ready.wait()
        return not self.failure

    async def ready_until_end(self) -> None:
        """Say, in the scene, that it is ready; return once it is to end."""
        self._ready.set()
        await trio.to_thread.run_sync(self._left.wait, abandon_on_cancel=True)

    def end(self) -> None:
        """End the scene, and wait for its end."""
        self._left.set()
        self._thread.join()

    def _run(self, scene: Callable[[_Background], Awaitable[None]]) -> None:
        try:
            trio.run(scene, self)
        except BaseException as error:  # noqa: BLE001 - whatever it was, the console must not wait for it
            self.failure = str(error)
        finally:
            self._ready.set()


def _first_leaf(group: BaseExceptionGroup[Any]) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
