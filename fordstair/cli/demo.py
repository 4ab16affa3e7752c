"""``fordstair demo``: an appliance as its own process, stand-in engines, light mixed traffic, the console."""

from __future__ import annotations

import sys
import tempfile
import threading
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import trio

from fordstair.lab.appliance import NotStarted, appliance
from fordstair.lab.engine import StandIn
from fordstair.lab.machine import Machine
from fordstair.lab.odata_traffic import ODataTraffic
from fordstair.lab.traffic import Tally, Traffic, mixed

CORES, TROUBLE_S = 8.0, 12.0
ODATA_PART = 0.1  # of the requests come through the second front


class Demo:
    """One demonstration."""

    def __init__(self, engines: int, rate_per_s: float, seed: int, trouble: bool) -> None:
        self.engines = [StandIn(f"engine-{n + 1}", Machine(CORES)) for n in range(engines)]
        self.rate, self.seed, self.trouble = rate_per_s, seed, trouble
        self.tally = Tally()

    def headless(self, seconds: float, progress: bool) -> dict[str, Any]:
        """Run for that long; return the figures."""

        async def scene() -> None:
            with tempfile.TemporaryDirectory(prefix="fordstair-") as folder:
                async with appliance(Path(folder), self.engines) as one, trio.open_nursery() as nursery:
                    if progress:
                        nursery.start_soon(self._progress, seconds)
                    if self.trouble:
                        nursery.start_soon(self._trouble)
                    await self._traffic(one.ports, seconds)
                    nursery.cancel_scope.cancel()

        try:
            trio.run(scene)
        except* NotStarted as group:
            raise NotStarted(str(_first(group))) from None
        return self.figures()

    def watched(self) -> dict[str, Any]:
        """Run under the console until it is left; return the figures."""
        from fordstair.console.app import ConsoleApp

        with tempfile.TemporaryDirectory(prefix="fordstair-") as folder:
            ready, left, failed = threading.Event(), threading.Event(), list[str]()

            async def scene() -> None:
                async with appliance(Path(folder), self.engines) as one, trio.open_nursery() as nursery:
                    ready.set()
                    if self.trouble:
                        nursery.start_soon(self._trouble)
                    nursery.start_soon(self._traffic, one.ports, 86_400.0)
                    while not left.is_set():
                        await trio.sleep(0.1)
                    nursery.cancel_scope.cancel()

            def lab() -> None:
                try:
                    trio.run(scene)
                except BaseException as error:  # whatever it was, the console must not wait for it
                    failed.append(str(error))
                finally:
                    ready.set()

            thread = threading.Thread(target=lab, name="lab")
            thread.start()
            try:
                ready.wait()
                if not failed:
                    ConsoleApp(str(Path(folder) / "console.sock")).run()
            finally:
                left.set()
                thread.join()
            if failed:
                raise NotStarted(failed[0])
        self.tally.counts["lost"] = 0  # what was open when the console was left is no loss
        return self.figures()

    def figures(self) -> dict[str, Any]:
        """Return what became of the requests, and what the engines saw."""
        engines = sum((engine.counts for engine in self.engines), start=Counter[str]())
        return {**self.tally.summary(), "loads_run_twice": engines["loads_run_twice"]}

    async def _traffic(self, ports: dict[str, int], seconds: float) -> None:
        kinds = mixed(self.rate * (1.0 - ODATA_PART))
        rpc = Traffic("127.0.0.1", ports["listens"], kinds, self.seed)
        odata = ODataTraffic("127.0.0.1", ports["odata"], self.rate * ODATA_PART, self.seed + 1)
        rpc.tally = odata.tally = self.tally
        async with trio.open_nursery() as nursery:
            nursery.start_soon(rpc.run, seconds)
            nursery.start_soon(odata.run, seconds)

    async def _trouble(self) -> None:
        """Let one engine after the other fall silent and return cold, or be slow for a while."""
        random = Random(self.seed)
        while True:
            await trio.sleep(TROUBLE_S * random.uniform(0.2, 0.6))
            engine = random.choice(self.engines)
            if random.random() < 0.6:
                engine.go_silent()
                await trio.sleep(TROUBLE_S * random.uniform(0.2, 0.5))
                engine.come_back_cold()
            else:
                engine.slow_down(3.0)
                await trio.sleep(TROUBLE_S * random.uniform(0.2, 0.5))
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


def _first(group: BaseExceptionGroup[Any]) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
