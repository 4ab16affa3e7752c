"""An appliance as its own process, on stand-in engines: what the demo, the tests and the benchmarks start."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import trio

from fordstair.lab.engine import StandIn

START_S, END_S = 15.0, 10.0


class NotStartedError(Exception):
    """The appliance did not start, or did not stay; with its last word."""


@dataclass(slots=True)
class Appliance:
    """A running one."""

    process: subprocess.Popen[bytes]
    file: Path
    log: Path
    door: str
    ports: dict[str, int]  # by front: ``listens`` and ``odata``

    @property
    def cpu_s(self) -> float:
        """Processor time that it has used so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / 100.0


@asynccontextmanager
async def appliance(folder: Path, engines: Sequence[StandIn], more: str = "") -> AsyncIterator[Appliance]:
    """Start engines and an appliance with the lab's settings and ``more`` TOML; end both at the end."""
    async with trio.open_nursery() as nursery:
        for engine in engines:
            await nursery.start(engine.serve)
        file, log, door = folder / "appliance.toml", folder / "log", folder / "console.sock"
        file.write_text(operator_file(engines, door) + more)
        with log.open("wb") as opened:
            process = subprocess.Popen(
                [sys.executable, "-m", "fordstair.cli", "serve", str(file)],
                stdout=subprocess.DEVNULL,
                stderr=opened,
                stdin=subprocess.DEVNULL,
            )
        try:
            yield Appliance(process, file, log, str(door), await ports_of(process, log, 2))
        finally:
            with trio.CancelScope(shield=True):
                await end(process)
            nursery.cancel_scope.cancel()


async def ports_of(process: subprocess.Popen[bytes], log: Path, fronts: int) -> dict[str, int]:
    """Wait until the program's log names the ports of its fronts."""
    until = trio.current_time() + START_S
    while trio.current_time() < until:
        ports = dict[str, int]()
        for line in log.read_text(errors="replace").splitlines():
            fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
            if "listening" in line and fields.get("port", "").isdecimal():
                ports[fields.get("front", "")] = int(fields["port"])
        if len(ports) >= fronts:
            return ports
        if process.poll() is not None:
            break
        await trio.sleep(0.02)
    raise NotStartedError(f"the appliance has not started: {last_line(log)}")


async def ask_door(path: Path, command: str) -> Any:
    """Ask a program's console door for a table; return it."""
    async with await trio.open_unix_socket(path) as stream:
        await stream.send_all(msgspec.json.encode({"command": command}) + b"\n")
        got = b""
        while not got.endswith(b"\n") and (chunk := await stream.receive_some(65_536)):
            got += chunk
    return msgspec.json.decode(got)[command]


async def end(process: subprocess.Popen[bytes]) -> None:
    """End the program, by force only where it does not end by itself."""
    with suppress(ProcessLookupError):
        process.send_signal(signal.SIGTERM)
    with trio.move_on_after(END_S):
        while process.poll() is None:
            await trio.sleep(0.02)
    if process.poll() is None:
        process.kill()
        process.wait()


def last_line(log: Path) -> str:
    """Return the last line of a log, for an error."""
    lines = log.read_text(errors="replace").splitlines() if log.exists() else []
    return lines[-1] if lines else "it has said nothing"


def operator_file(engines: Sequence[StandIn], socket: Path) -> str:
    """Return an operator's file for stand-in engines."""
    listed = "".join(
        f'[[engine]]\nid = "{engine.name}"\naddress = "{engine.address}"\n'
        f'cores = {engine.machine.cores}\nhall = "{engine.hall}"\n'
        for engine in engines
    )
    halls = ", ".join(f'"{hall}"' for hall in sorted({"hall-a", *(engine.hall for engine in engines)}))
    return _FILE.format(engines=listed, socket=socket, halls=halls)


_FILE = """\
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
