"""Trials of a coordinator's peak memory under a crowd of clients, beside usual lookups.

    python -m fordstair.lab.pressure.trial --memory-mb 32,192 --clients 341,390 --kinds open,mixed

Exits with status 1 if a trial has gone over the told memory or has lost a usual lookup.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any

import msgpack
import trio
import ujson

from fordstair.lab.coordinator_process import CoordinatorProcess
from fordstair.lab.platform_settings import SETTINGS
from fordstair.lab.pressure.crowd import HOST, RPC, crowd
from fordstair.lab.pressure.engine import serve_engine
from fordstair.lab.pressure.kinds import LOOKUP_STATEMENT, ClientKind, request
from fordstair.program.resource_limits import divide_resources

ODATA = "odata"
SOCKETS = 1_024
LOOKUPS_PER_S = 20.0
LOOKUP_CONNECTIONS = 10
LOOKUP_LIMIT_MS = 3_000.0
LOST_AFTER_S = 4.0
LOOKUP_TXN_BASE = 1 << 60
LOOKUP_TEAM = "karri-energy"
NEW_CONNECTION_INTERVAL = 4  # every fourth lookup comes on a connection of its own
CROSSED_CLOSE_S = 0.05  # a request that crosses a close within this time is sent once more
SAMPLE_INTERVAL_S = 0.02
KB_PER_MB = 1_024.0
READ_BYTES = 65_536
ODATA_FILE = """
[odata]
listen = "127.0.0.1:0"
team = "pindan-retail"
[[set]]
name = "Settlements"
table = "settlement_7.lines"
columns = ["account", "period", "amount"]
read = "settlement"
lookup = "lookup"
cpu_ms = 200
need_mb = 96
[[set]]
name = "Readings"
table = "readings_2.intervals"
columns = ["meter", "started", "kwh"]
read = "settlement"
write = "meter-load"
cpu_ms = 200
need_mb = 96
"""


@dataclass(frozen=True, slots=True)
class Trial:
    """What one trial plays.

    Attributes:
        front: The front that the crowd connects to; usual lookups use the platform's.
        checkout: The folder whose code is run; None for this one.
    """

    memory_mb: int
    clients: int
    kind: ClientKind
    seconds: float
    front: str = RPC
    checkout: Path | None = None


@dataclass(slots=True)
class TrialReport:
    """What was measured in one trial.

    Attributes:
        start_mb: Memory once the coordinator listened.
        peak_mb: The most memory that it has had resident, with the files in its ``TMPDIR``.
        exit_status: Its exit status if it ended by itself.
        lookups: Usual lookups by how they ended: served, refused, failed or lost.
        slowest_ms: The longest time to an answer of a usual lookup.
        closed: Connections of usual clients that the coordinator closed.
        counters: The coordinator's counters at its end.
    """

    trial: Trial
    start_mb: float = 0.0
    peak_mb: float = 0.0
    exit_status: int | None = None
    lookups: Counter[str] = field(default_factory=Counter)
    slowest_ms: float = 0.0
    closed: int = 0
    counters: str = ""

    @property
    def passed(self) -> bool:
        """Whether the memory stayed within what was told, and every usual lookup got an answer."""
        within = self.peak_mb <= self.trial.memory_mb and self.exit_status is None
        return within and self.lookups["served"] > 0 and not self.lookups["lost"]

    def __str__(self) -> str:
        trial = self.trial
        lookups = " ".join(f"{name}={number}" for name, number in sorted(self.lookups.items()))
        return (
            f"{'ok  ' if self.passed else 'FAIL'} {trial.front} {trial.kind.value} told={trial.memory_mb} "
            f"clients={trial.clients} start={self.start_mb:.1f} peak={self.peak_mb:.1f} MB {lookups} "
            f"slowest={self.slowest_ms:.0f} ms closed={self.closed} exit={self.exit_status}"
        )


class LookupConnection:
    """A connection of a usual client, which keeps it open and sends a request on it now and then."""

    def __init__(self, port: int, report: TrialReport) -> None:
        self._port = port
        self._report = report
        self._stream: trio.SocketStream | None = None
        self._last_id = 0
        self._waiting: dict[int, trio.Event] = {}
        self._errors: dict[int, Any] = {}
        self.closed_at_s = 0.0

    async def look_up(self, txn: int, nursery: trio.Nursery) -> str:
        """Send one lookup; return how it ended."""
        sent_s = trio.current_time()
        outcome = await self._try_once(txn, nursery)
        if outcome == "closed" and self.closed_at_s < sent_s + CROSSED_CLOSE_S:
            outcome = await self._try_once(txn, nursery)
        self._report.slowest_ms = max(self._report.slowest_ms, (trio.current_time() - sent_s) * 1e3)
        return "lost" if outcome == "closed" else outcome

    async def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            stream, self._stream = self._stream, None
            await trio.aclose_forcefully(stream)

    async def _try_once(self, txn: int, nursery: trio.Nursery) -> str:
        try:
            if self._stream is None:
                self._stream = await trio.open_tcp_stream(HOST, self._port)
                nursery.start_soon(self._read, self._stream)
                self._last_id = 0
            self._last_id += 1
            number = self._last_id
            answered = self._waiting[number] = trio.Event()
            limit = f"{LOOKUP_LIMIT_MS:.0f}"
            await self._stream.send_all(request(number, txn, LOOKUP_STATEMENT, limit=limit, team=LOOKUP_TEAM))
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            self._drop(self._stream)
            return "closed"
        with trio.move_on_after(LOST_AFTER_S):
            await answered.wait()
            if number not in self._errors:
                return "closed"
            error = self._errors.pop(number)
            return "served" if error is None else "refused" if error[0] == "Overloaded" else "failed"
        return "lost"

    async def _read(self, stream: trio.SocketStream) -> None:
        unpacker = msgpack.Unpacker()
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while chunk := await stream.receive_some(READ_BYTES):
                unpacker.feed(chunk)
                for _, number, error, _ in unpacker:
                    self._errors[number] = error
                    self._waiting.pop(number).set()
        self._drop(stream)

    def _drop(self, stream: trio.SocketStream | None) -> None:
        if self._stream is not stream or stream is None:
            return
        self._report.closed += 1
        self.closed_at_s = trio.current_time()
        self._stream = None
        stream.socket.close()
        waiting, self._waiting = self._waiting, {}
        for answered in waiting.values():
            answered.set()


async def run_trial(trial: Trial) -> TrialReport:
    """Run a coordinator, the crowd and the usual lookups for the trial's time."""
    report = TrialReport(trial)
    async with trio.open_nursery() as nursery, _coordinator(trial, report, nursery) as running:
        process, folder, ports = running
        report.start_mb = _memory_mb(process.pid, folder, "VmRSS")
        statement_bytes = divide_resources(
            SOCKETS, trial.memory_mb, with_odata=trial.front == ODATA
        ).max_statement_bytes
        nursery.start_soon(_sample_memory, process, folder, report)
        async with crowd(trial.front, ports[trial.front], trial.kind, trial.clients, statement_bytes):
            await _send_lookups(ports[RPC], trial.seconds, report)
        report.exit_status = process.returncode
        nursery.cancel_scope.cancel()
    return report


@asynccontextmanager
async def _coordinator(
    trial: Trial, report: TrialReport, nursery: trio.Nursery
) -> AsyncIterator[tuple[CoordinatorProcess, Path, dict[str, int]]]:
    """Run a coordinator as the platform does, and its engine; yield its process, ``TMPDIR`` and ports."""
    address = await nursery.start(serve_engine)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        temporary_folder = folder / "tmp"
        temporary_folder.mkdir()
        (folder / "config.json").write_text(ujson.dumps(_configuration(trial, address)))
        environ = {"RELAY_CONFIG": str(folder / "config.json"), "TMPDIR": str(temporary_folder)}
        if trial.checkout is not None:
            environ |= {"PYTHONPATH": str(trial.checkout), "PYTHONSAFEPATH": "1"}
        arguments = ["-m", "fordstair"]
        if trial.front == ODATA:
            (folder / "operator.toml").write_text(ODATA_FILE)
            arguments += ["--operator", str(folder / "operator.toml")]
        process = CoordinatorProcess(arguments, folder / "log", environ)
        try:
            yield process, temporary_folder, await process.wait_listening(1 + (trial.front == ODATA))
            with trio.CancelScope(shield=True):
                await process.stop()
            counters = [line for line in process.log_lines() if ": counters " in line]
            report.counters = counters[-1] if counters else ""
        finally:
            process.kill()


def _configuration(trial: Trial, engine_address: str) -> dict[str, Any]:
    server = {
        "id": "s-00000001",
        "addr": engine_address,
        "zone": "hall-a",
        "kind": "std",
        "cell": 0,
        "state": "ready",
        "weight": 1,
        "started_ms": 0,
    }
    nodes = {"version": 1, "full": True, "servers": [server]}
    teams = [{"name": LOOKUP_TEAM, "quotaPerS": 1000.0}, {"name": "pindan-retail", "quotaPerS": 10.0}]
    return {
        "name": "n0",
        "listen": f"{HOST}:0",
        "seed": "8c1f30d27a5be964",
        "channel": "",
        "limits": {"cores": 1.0, "memory_mb": trial.memory_mb, "sockets": SOCKETS},
        "known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": nodes}]},
        "settings": SETTINGS | {"projects": teams},
    }


async def _send_lookups(port: int, seconds: float, report: TrialReport) -> None:
    """Send lookups at a constant rate, on connections that stay open and on new ones."""
    txns = count(LOOKUP_TXN_BASE)
    kept = [LookupConnection(port, report) for _ in range(LOOKUP_CONNECTIONS)]
    begun_s = trio.current_time()
    async with trio.open_nursery() as readers:
        async with trio.open_nursery() as lookups:
            for number in range(int(seconds * LOOKUPS_PER_S)):
                await trio.sleep_until(begun_s + number / LOOKUPS_PER_S)
                new = number % NEW_CONNECTION_INTERVAL == 0
                connection = LookupConnection(port, report) if new else kept[number % len(kept)]
                lookups.start_soon(_look_up, connection, next(txns), readers, report, new)
        for connection in kept:
            await connection.close()
        readers.cancel_scope.cancel()


async def _look_up(
    connection: LookupConnection, txn: int, readers: trio.Nursery, report: TrialReport, new: bool
) -> None:
    report.lookups[await connection.look_up(txn, readers)] += 1
    if new:
        await connection.close()


async def _sample_memory(process: CoordinatorProcess, folder: Path, report: TrialReport) -> None:
    while process.returncode is None:
        with suppress(OSError, StopIteration):
            report.peak_mb = max(report.peak_mb, _memory_mb(process.pid, folder, "VmHWM"))
        await trio.sleep(SAMPLE_INTERVAL_S)


def _memory_mb(pid: int, folder: Path, field_name: str) -> float:
    """Return a field of the process's memory, with the files in a folder added."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    resident_kb = next(int(line.split()[1]) for line in lines if line.startswith(f"{field_name}:"))
    files_bytes = sum(os.stat(path).st_size for path in folder.rglob("*") if path.is_file())
    return resident_kb / KB_PER_MB + files_bytes / KB_PER_MB**2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one trial for each combination, print a line for each, and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m fordstair.lab.pressure.trial", description=__doc__)
    parser.add_argument("--memory-mb", default="32")
    parser.add_argument("--clients", default="390")
    parser.add_argument("--kinds", default=",".join(kind.value for kind in ClientKind))
    parser.add_argument("--front", choices=[RPC, ODATA], default=RPC)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--checkout", type=Path)
    parser.add_argument("--counters", action="store_true", help="print the coordinator's counters too")
    options = parser.parse_args(arguments)
    passed = True
    for memory_mb in map(int, options.memory_mb.split(",")):
        for clients in map(int, options.clients.split(",")):
            for kind in map(ClientKind, options.kinds.split(",")):
                trial = Trial(memory_mb, clients, kind, options.seconds, options.front, options.checkout)
                report = trio.run(run_trial, trial)
                print(report, flush=True)
                if options.counters:
                    print(report.counters, flush=True)
                passed = passed and report.passed
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
