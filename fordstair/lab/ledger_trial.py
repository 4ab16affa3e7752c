"""Several running coordinators on one ledger, with kill -9 and partitions, and a history to check.

What the tests and ``benchmarks.replication`` share. Each member is a process of the program on a loopback
host of its own, behind fronts of the relay; the engine is a stand-in here that counts what it starts.
"""

from __future__ import annotations

import random
import re
import resource
import socket
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import trio

from fordstair.lab.appliance import operator_file
from fordstair.lab.engine import StandIn
from fordstair.lab.history import How, Operation
from fordstair.lab.machine import Machine
from fordstair.lab.relay import Faults
from fordstair.lab.trial_members import TrialMembers
from fordstair.replication.ledger import Entry
from fordstair.replication.records import CLAIM, of_entry
from fordstair.runtime.clock import unix_now
from fordstair.store.disk import Disk, Record, Spoilt

ANSWER_TIMEOUT_S = 8.0
POLL_S = 0.05
_CAUGHT_UP = re.compile(r"ledger.caught_up .*?entries=(\d+)")
_LOAD_ID = re.compile(rb"'(load-[0-9a-z-]+)'")


class Trial(TrialMembers):
    """The members by name, the operations so far, and how often each load was begun."""

    def __init__(self, folder: Path, nursery: trio.Nursery, count: int, seed: int, more: str) -> None:
        super().__init__(folder, nursery, count, seed, StandIn("e-1", Machine(200.0), sessions=4_096))
        self.random = random.Random(seed)
        self.more = more
        self.engine.on_start = self._began
        # a host of its own for each, and for each trial that runs beside this one
        self.hosts = {
            name: f"127.{10 + seed % 200}.{1 + seed // 200 % 200}.{number + 1}"
            for number, name in enumerate(self.names)
        }
        self.own_addresses: dict[str, str] = {}  # of the ledger's front
        self.ledger_fronts: dict[str, str] = {}  # of the relay, before these
        self.operations: list[Operation] = []
        self.runs: Counter[str] = Counter()
        self._ids = 0

    def _began(self, class_name: str, statement: bytes) -> None:
        if (found := _LOAD_ID.search(statement)) is not None:
            self.runs[found[1].decode()] += 1

    async def open_fronts(self) -> None:
        """Choose all addresses."""
        for name, host in self.hosts.items():
            self.fronts[name] = await self.relay.front(name)
            with socket.socket() as probe:
                probe.bind((host, 0))
                self.own_addresses[name] = f"{host}:{probe.getsockname()[1]}"
            self.ledger_fronts[name] = await self.relay.tcp_front(name, self.own_addresses[name], host)

    async def start(self, name: str) -> None:
        """Start a member, or start it anew on what its store has kept."""
        self.starts[name] += 1
        await self.launch(name, self._operator_file(name))
        self.relay.behind(name, f"{self.hosts[name]}:{self.ports[name]['fleet']}")

    def _operator_file(self, name: str) -> str:
        holders = ", ".join(f'{other} = "{address}"' for other, address in self.ledger_fronts.items())
        seeds = ", ".join(f'"{front}"' for other, front in self.fronts.items() if other != name)
        return (
            operator_file([self.engine], self.console_socket(name))
            + '[[set]]\nname = "Readings"\ntable = "readings_2.intervals"\nread = "settlement"\n'
            f'columns = ["meter", "started", "kwh"]\nwrite = "meter-load"\n'
            f'[fleet]\ncluster = "trial"\nmember = "{name}"\nlisten = "{self.hosts[name]}:0"\n'
            f'advertise = "{self.fronts[name]}"\nseeds = [{seeds}]\nprobe_ms = 300\ntimeout_ms = 100\n'
            f'sync_ms = 2000\n[fleet.ledger]\nlisten = "{self.own_addresses[name]}"\n'
            f'store = "{self.folder / name}.ledger"\nholders = {{ {holders} }}\n'
            f"exchange_ms = 500\n{self.more}\n"
        )

    def fill_disk(self, name: str) -> None:
        """Let a member's files grow no further, as on a disk that is full: EFBIG stands in for ENOSPC."""
        held = max(path.stat().st_size for path in self.folder.glob(f"{name}.ledger*"))
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (held, resource.RLIM_INFINITY))

    def clear_disk(self, name: str) -> None:
        """Let its files grow again."""
        resource.prlimit(
            self.processes[name].pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        )

    def flip_bit(self, name: str, id: str) -> None:
        """Flip one bit in what an ended member's file holds of a load, and see that its checksum tells."""
        path = self.folder / f"{name}.ledger"
        disk = Disk(str(path))
        disk.open()  # and with its close the log is in the table
        key, value = next(
            (record.key, record.value)
            for record in disk.read(0.0)
            if isinstance(record, Record) and record.key.endswith(f"|{id}".encode())
        )
        disk.close()
        assert value is not None
        held = path.read_bytes()
        # What was written over may stand in the file still, as free space: only the present value counts.
        path.write_bytes(held.replace(key + value, key + value[:-1] + bytes([value[-1] ^ 4])))
        disk.open()
        assert any(isinstance(each, Spoilt) and each.key == key for each in disk.read(0.0))
        disk.close()

    async def logged(self, name: str, text: str, within_s: float = 20.0) -> str:
        """Wait until a member's present start has logged a text; return its whole log."""
        log = self.path_of(name, "log")
        with trio.fail_after(within_s):
            while text not in (told := log.read_text()):
                await trio.sleep(POLL_S)
        return told

    def preload(self, name: str, count: int) -> None:
        """Put settled loads into an ended member's store, as if it had heard of them."""
        disk, now = Disk(str(self.folder / f"{name}.ledger")), int(unix_now().value)
        disk.open()
        entries = {
            f"pindan-retail|before-{number}": Entry(f"before:1:{number}", now, b"x" * 200)
            for number in range(count)
        }
        disk.write(of_entry(key, entry) for key, entry in entries.items())
        disk.close()

    def written_bytes(self) -> int:
        """Return what the running members had their disks write so far, by the kernel's count."""
        return sum(
            int(Path(f"/proc/{process.pid}/io").read_text().partition("\nwrite_bytes: ")[2].split()[0])
            for process in self.processes.values()
        )

    async def members(self, name: str) -> dict[str, dict[str, Any]]:
        """Return what a member shows of all members on its console."""
        return {row["name"]: row for row in await self.query(name, "members")}

    async def alike(self, within_s: float) -> float:
        """Wait until all members remember as many loads, and no ranges differ; return how long that took."""
        began = trio.current_time()
        with trio.fail_after(within_s):
            while True:
                views = [(await self.members(name), name) for name in self.names]
                entries = {view[name]["entries"] for view, name in views}
                if len(entries) == 1 and not any(row["behind"] for view, _ in views for row in view.values()):
                    return trio.current_time() - began
                await trio.sleep(POLL_S)

    async def caught_up(self, name: str, count: int) -> float:
        """Wait until a member's present start has caught up on so many entries; return how long that took."""
        began = trio.current_time()
        log = self.path_of(name, "log")
        while sum(map(int, _CAUGHT_UP.findall(log.read_text()))) < count:
            await trio.sleep(POLL_S)
        return trio.current_time() - began

    def new_id(self) -> str:
        """Return an id that was not used."""
        self._ids += 1
        return f"load-{self._ids}"

    async def load(self, name: str, id: str, *, final: bool = False) -> How:
        """Send the load of this id through a member, and note what became of it."""
        invoked = trio.current_time()
        how: How = "unknown"
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            try:
                status = await self._post(name, id)
                how = "ok" if status in (201, 204) else "fail" if status == 503 else "unknown"
            except OSError as error:  # refused before anything was sent: that has certainly not run
                how = "fail" if isinstance(error, ConnectionRefusedError) else "unknown"
            except (trio.BrokenResourceError, trio.ClosedResourceError, ValueError, IndexError):
                pass
        self.operations.append(Operation(id, name, invoked, trio.current_time(), how, final))
        return how

    async def _post(self, name: str, id: str) -> int:
        body = msgspec.json.encode({"meter": id, "started": "2026-12-01", "kwh": 1.5})
        head = (
            f"POST /odata/Readings HTTP/1.1\r\nHost: trial\r\nContent-Type: application/json\r\n"
            f"Repeatability-Request-ID: {id}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        async with await trio.open_tcp_stream("127.0.0.1", self.ports[name]["odata"]) as stream:
            await stream.send_all(head.encode() + body)
            got = b""
            while chunk := await stream.receive_some(65_536):
                got += chunk
                if b"\r\n" in got:
                    break
        return int(got.split(b" ", 2)[1])

    async def until_granting(self, within_s: float = 30.0) -> None:
        """Wait until every member grants, and its loads run: a new fleet's holders hear each other first."""
        with trio.fail_after(within_s):
            for name in self.names:
                logs = self.folder.glob
                while not any("ledger.recovered" in log.read_text() for log in logs(f"{name}.*.log")):
                    await trio.sleep(0.1)
                while await self.load(name, self.new_id()) != "ok":
                    await trio.sleep(0.1)

    async def settle_down(self, ids: list[str], settle_s: float = 3.0) -> dict[str, dict[str, bytes]]:
        """Ask for each id through each member once more, end all, and return the copies in their stores."""
        await trio.sleep(settle_s)
        for name in self.names:
            for id in ids:
                await self.load(name, id, final=True)
        await trio.sleep(settle_s)
        async with trio.open_nursery() as nursery:
            for process in self.processes.values():
                nursery.start_soon(process.stop)
        copies = dict[str, dict[str, bytes]]()
        for name in self.names:
            for key, entry in stored(str(self.folder / f"{name}.ledger")).items():
                if entry.outcome is not None:
                    copies.setdefault(key.rpartition("|")[2], {})[name] = entry.outcome
        return copies


def stored(path: str) -> dict[str, Entry]:
    """Return the entries of a store that no program has open; raise StoreFailed where it is unreadable."""
    disk = Disk(path)
    disk.open()
    try:
        return {
            record.key.decode(): msgspec.msgpack.decode(record.value, type=Entry)
            for record in disk.read(0.0)
            if isinstance(record, Record) and record.kind == CLAIM and record.value is not None
        }
    finally:
        disk.close()


@asynccontextmanager
async def trial(folder: Path, count: int = 3, seed: int = 1, more: str = "") -> AsyncIterator[Trial]:
    """That many members, running and ready to grant."""
    async with trio.open_nursery() as nursery:
        one = Trial(folder, nursery, count, seed, more)
        await nursery.start(one.engine.serve)
        await one.open_fronts()
        try:
            async with trio.open_nursery() as starts:
                for name in one.names:
                    starts.start_soon(one.start, name)
            await one.until_granting()
            yield one
        finally:
            one.kill_all()
            nursery.cancel_scope.cancel()


async def kills(one: Trial, points: int) -> list[str]:
    """Kill a member at that many random moments of loads that go through several members; return the ids."""
    ids = list[str]()
    for _ in range(points):
        id, rng = one.new_id(), one.random
        ids.append(id)
        victims = rng.sample(one.names, 2 if rng.random() < 0.2 else 1)
        one.relay.heal()
        if rng.random() < 0.5:  # on a network that is late, loses datagrams and resets connections
            one.relay.put(
                "*",
                "*",
                Faults(
                    drop=0.1,
                    delay_ms=20.0 * rng.random(),
                    jitter_ms=20.0,
                    duplicate=0.1,
                    reorder=0.1,
                    reset=0.05,
                ),
            )
        async with trio.open_nursery() as nursery:
            for name in rng.sample(one.names, rng.randint(1, len(one.names))):
                nursery.start_soon(_after, rng.random() * 0.01, one.load, name, id)
            await trio.sleep(rng.random() * 0.06)
            for victim in victims:
                one.kill(victim)
        async with trio.open_nursery() as nursery:
            for victim in victims:
                nursery.start_soon(one.start, victim)
            for name in set(one.names) - set(victims):
                nursery.start_soon(one.load, name, id)
    one.relay.heal()
    return ids


async def partitions(one: Trial, times: int) -> list[str]:
    """Part the members in two that many times, with loads of the same ids on both sides; return the ids."""
    ids = list[str]()
    for _ in range(times):
        rng = one.random
        side = set(rng.sample(one.names, rng.randint(1, len(one.names) - 1)))
        mine = [one.new_id() for _ in range(3)]
        ids += mine
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_after, rng.random() * 0.01, _part, one, side)
            for id in mine:
                for name in one.names:
                    nursery.start_soon(_after, rng.random() * 0.03, one.load, name, id)
        one.relay.heal()
        async with trio.open_nursery() as nursery:
            for id in mine:
                nursery.start_soon(one.load, rng.choice(one.names), id)
    return ids


async def _part(one: Trial, side: set[str]) -> None:
    one.relay.part(side, set(one.names) - side)


async def _after(seconds: float, do: Callable[..., Awaitable[object]], *told: object) -> None:
    await trio.sleep(seconds)
    await do(*told)
