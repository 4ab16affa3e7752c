"""Runs an appliance as its own process with fake engines, for the demo, the tests and the benchmarks."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import trio

from fordstair.lab.coordinator_process import CoordinatorProcess
from fordstair.lab.engine import FakeEngine

FRONT_COUNT = 2  # MessagePack-RPC and OData.


@dataclass(slots=True)
class Appliance:
    """A running appliance.

    Attributes:
        file: The operator's file.
        console_socket: The path of the console's socket.
        ports: The port of each front: ``listens`` (MessagePack-RPC) and ``odata``.
    """

    process: CoordinatorProcess
    file: Path
    console_socket: str
    ports: dict[str, int]


@asynccontextmanager
async def appliance(
    folder: Path, engines: Sequence[FakeEngine], extra_toml: str = ""
) -> AsyncIterator[Appliance]:
    """Run engines and an appliance with the lab's settings and ``extra_toml``; stop them on exit."""
    async with trio.open_nursery() as nursery:
        for engine in engines:
            await nursery.start(engine.serve)
        file = folder / "appliance.toml"
        console_socket = folder / "console.sock"
        file.write_text(operator_file(engines, console_socket) + extra_toml)
        process = CoordinatorProcess(["-m", "fordstair.cli", "serve", str(file)], folder / "log")
        try:
            ports = await process.wait_listening(FRONT_COUNT)
            yield Appliance(process, file, str(console_socket), ports)
        finally:
            with trio.CancelScope(shield=True):
                await process.stop()
            nursery.cancel_scope.cancel()


def operator_file(engines: Sequence[FakeEngine], socket: Path) -> str:
    """Return an operator's file that lists the fake engines, with the console on ``socket``."""
    engine_tables = "".join(
        f'[[engine]]\nid = "{engine.name}"\naddress = "{engine.address}"\n'
        f'cores = {engine.machine.cores}\nhall = "{engine.hall}"\n'
        for engine in engines
    )
    halls = ", ".join(f'"{hall}"' for hall in sorted({"hall-a", *(engine.hall for engine in engines)}))
    return _OPERATOR_FILE.format(engines=engine_tables, socket=socket, halls=halls)


_OPERATOR_FILE = """\
[site]
name = "demo"
listen = "127.0.0.1:0"
halls = [{halls}]
[[class]]
name = "lookup"
promise_ms = 1200
aim_stretch = 1.5
give_up_ms = 6000
[[class]]
name = "settlement"
promise_ms = 2000
aim_stretch = 2.5
give_up_ms = 25000
worth = 7.5
late_worth = 0.3
threads = 4
[[class]]
name = "meter-load"
effect = "unsafe"
load = true
promise_ms = 3000
aim_stretch = 3.0
give_up_ms = 20000
worth = 4.0
late_worth = 0.6
threads = 2
[[team]]
name = "karri-energy"
share = 0.73
[[team]]
name = "saltbush-power"
share = 0.16
[[team]]
name = "pindan-retail"
share = 0.11
{engines}[odata]
listen = "127.0.0.1:0"
team = "pindan-retail"
[[set]]
name = "Accounts"
table = "t_1.accounts"
columns = ["account", "period", "amount"]
read = "settlement"
lookup = "lookup"
[console]
socket = "{socket}"
"""
