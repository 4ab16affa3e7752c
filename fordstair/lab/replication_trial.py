"""Several running coordinators that replicate claims, and the history of loads sent through them.

Shared by the tests and ``benchmarks.replication``. Each member is a process of the program on its own
loopback host, behind fronts of the relay. The engine is a fake in this process, which counts the starts of
each load.
``replication_faults`` injects faults between the members.
"""

from __future__ import annotations

import random
import re
import resource
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import trio

from fordstair.lab.appliance import operator_file
from fordstair.lab.engine import FakeEngine
from fordstair.lab.load_history import Operation, Result
from fordstair.lab.machine import Machine
from fordstair.lab.trial_members import TrialMembers
from fordstair.replication.claim_entry import ClaimEntry
from fordstair.replication.stored_records import CLAIM_KIND, claim_record
from fordstair.runtime.clock import unix_now
from fordstair.store.record import CorruptedRecord, Record
from fordstair.store.record_file import RecordFile

ENGINE_THREADS = 200.0
ENGINE_SESSIONS = 4_096
RESPONSE_TIMEOUT_S = 8.0
SETTLE_DELAY_S = 3.0  # time for loads in flight, including failed ones, to end
POLL_INTERVAL_S = 0.05
PRELOADED_OUTCOME = b"x" * 200
_CAUGHT_UP_PATTERN = re.compile(r"ledger.caught_up .*?entries=(\d+)")
_LOAD_ID_PATTERN = re.compile(rb"'(load-[0-9a-z-]+)'")


class ReplicationTrial(TrialMembers):
    """A fleet of replicating members and the history of the loads sent through them.

    Attributes:
        more_settings: further lines for the table of replication in the operator's file.
        hosts: the loopback host of each member.
        replication_addresses: addresses of the relay's TCP fronts, by member.
        listen_addresses: own addresses of the members' replication, behind the fronts.
        operations: the loads sent so far, with their results.
        run_counts: number of starts at the engine, by load ID.
    """

    def __init__(
        self, folder: Path, nursery: trio.Nursery, member_count: int, seed: int, more_settings: str
    ) -> None:
        engine = FakeEngine("e-1", Machine(ENGINE_THREADS), sessions=ENGINE_SESSIONS)
        super().__init__(folder, nursery, member_count, seed, engine)
        self.random = random.Random(seed)
        self.more_settings = more_settings
        self.engine.on_start = self._count_run
        # Hosts differ by member, and by seed for trials that run concurrently.
        self.hosts = {
            name: f"127.{10 + seed % 200}.{1 + seed // 200 % 200}.{number + 1}"
            for number, name in enumerate(self.names)
        }
        self.replication_addresses: dict[str, str] = {}
        self.listen_addresses: dict[str, str] = {}
        self.operations: list[Operation] = []
        self.run_counts: Counter[str] = Counter()
        self._last_load_number = 0

    def _count_run(self, class_name: str, statement: bytes) -> None:
        if (found := _LOAD_ID_PATTERN.search(statement)) is not None:
            self.run_counts[found[1].decode()] += 1

    # Processes

    async def open_fronts(self) -> None:
        """Choose the members' addresses and open their fronts at the relay."""
        for name, host in self.hosts.items():
            self.fronts[name] = await self.relay.open_udp_front(name)
            with socket.socket() as probe:
                probe.bind((host, 0))
                self.listen_addresses[name] = f"{host}:{probe.getsockname()[1]}"
            self.replication_addresses[name] = await self.relay.open_tcp_front(
                name, self.listen_addresses[name], host
            )

    async def start(self, name: str) -> None:
        """Start a member, or restart it with its existing store."""
        self.start_counts[name] += 1
        await self.launch(name, self._operator_file(name))
        self.relay.set_address(name, f"{self.hosts[name]}:{self.ports[name]['fleet']}")

    def _operator_file(self, name: str) -> str:
        holders = ", ".join(f'{other} = "{address}"' for other, address in self.replication_addresses.items())
        seeds = ", ".join(f'"{address}"' for other, address in self.fronts.items() if other != name)
        return (
            operator_file([self.engine], self.console_socket(name))
            + f'[[set]]\nname = "Readings"\ntable = "readings_2.intervals"\nread = "settlement"\n'
            f'columns = ["meter", "started", "kwh"]\nwrite = "meter-load"\n'
            f'[fleet]\ncluster = "trial"\nmember = "{name}"\nlisten = "{self.hosts[name]}:0"\n'
            f'advertise = "{self.fronts[name]}"\nseeds = [{seeds}]\nprobe_ms = 300\n'
            f"timeout_ms = 100\nsync_ms = 2000\n"
            f'[fleet.ledger]\nlisten = "{self.listen_addresses[name]}"\n'
            f'store = "{self.store_path(name)}"\nholders = {{ {holders} }}\n'
            f"exchange_ms = 500\n{self.more_settings}\n"
        )

    async def wait_for_log(self, name: str, text: str, within_s: float = 20.0) -> str:
        """Wait until a member's current process has logged a text; return its whole log."""
        with trio.fail_after(within_s):
            while text not in (logged := self.path_of(name, "log").read_text()):
                await trio.sleep(POLL_INTERVAL_S)
        return logged

    # Stores

    def store_path(self, name: str) -> Path:
        """Return the path of a member's store."""
        return self.folder / f"{name}.ledger"

    def fill_disk(self, name: str) -> None:
        """Stop a member's files from growing, as on a full disk; writes fail with EFBIG, not ENOSPC."""
        max_bytes = max(path.stat().st_size for path in self.folder.glob(f"{name}.ledger*"))
        resource.prlimit(self.processes[name].pid, resource.RLIMIT_FSIZE, (max_bytes, resource.RLIM_INFINITY))

    def clear_disk(self, name: str) -> None:
        """Allow a member's files to grow again."""
        resource.prlimit(
            self.processes[name].pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        )

    def flip_bit(self, name: str, load_id: str) -> None:
        """Flip one bit of a load's record in a stopped member's file, and assert that its checksum fails."""
        path = self.store_path(name)
        file = RecordFile(str(path))
        file.open()  # closing it then moves the write-ahead log into the database file
        key, value = next(
            (record.key, record.value)
            for record in file.read(0.0)
            if isinstance(record, Record) and record.key.endswith(f"|{load_id}".encode())
        )
        file.close()
        assert value is not None
        # Overwritten values may remain in free space of the file, so the current one is matched.
        flipped = path.read_bytes().replace(key + value, key + value[:-1] + bytes([value[-1] ^ 4]))
        path.write_bytes(flipped)
        file.open()
        assert any(isinstance(record, CorruptedRecord) and record.key == key for record in file.read(0.0))
        file.close()

    def preload(self, name: str, count: int) -> None:
        """Write settled loads into a stopped member's store, as if it had received them from others."""
        file = RecordFile(str(self.store_path(name)))
        now_ms = int(unix_now().value)
        file.open()
        file.write(
            claim_record(
                f"pindan-retail|before-{number}",
                ClaimEntry(f"before:1:{number}", now_ms, PRELOADED_OUTCOME),
            )
            for number in range(count)
        )
        file.close()

    def written_bytes(self) -> int:
        """Return the bytes that running members have written to disk so far, as the kernel counts them."""
        return sum(
            int(Path(f"/proc/{process.pid}/io").read_text().partition("\nwrite_bytes: ")[2].split()[0])
            for process in self.processes.values()
        )

    # Convergence

    async def member_views(self, name: str) -> dict[str, dict[str, Any]]:
        """Return the rows that a member's console shows, by the name of the member that each is about."""
        return {row["name"]: row for row in await self.query(name, "members")}

    async def wait_until_converged(self, within_s: float) -> float:
        """Wait until all members hold equally many claims and no ranges differ; return the seconds."""
        started_s = trio.current_time()
        with trio.fail_after(within_s):
            while not await self._is_converged():
                await trio.sleep(POLL_INTERVAL_S)
        return trio.current_time() - started_s

    async def _is_converged(self) -> bool:
        views = [(await self.member_views(name), name) for name in self.names]
        entries = {view[name]["entries"] for view, name in views}
        return len(entries) == 1 and not any(row["behind"] for view, _ in views for row in view.values())

    async def wait_until_caught_up(self, name: str, count: int) -> float:
        """Wait until a member's current process has caught up on ``count`` entries; return the seconds."""
        started_s = trio.current_time()
        while sum(map(int, _CAUGHT_UP_PATTERN.findall(self.path_of(name, "log").read_text()))) < count:
            await trio.sleep(POLL_INTERVAL_S)
        return trio.current_time() - started_s

    async def wait_until_granting(self, within_s: float = 30.0) -> None:
        """Wait until every member grants claims and its loads run.

        The replicas of a new fleet have to reach each other first.
        """
        with trio.fail_after(within_s):
            for name in self.names:
                while not self._has_recovered(name):
                    await trio.sleep(2 * POLL_INTERVAL_S)
                while await self.send_load(name, self.new_load_id()) != "ok":
                    await trio.sleep(2 * POLL_INTERVAL_S)

    def _has_recovered(self, name: str) -> bool:
        return any("ledger.recovered" in log.read_text() for log in self.folder.glob(f"{name}.*.log"))

    # Loads

    def new_load_id(self) -> str:
        """Return an unused load ID."""
        self._last_load_number += 1
        return f"load-{self._last_load_number}"

    async def send_load(self, name: str, load_id: str, *, after_faults: bool = False) -> Result:
        """Send a load through a member, and record the operation with its result."""
        sent_s = trio.current_time()
        result: Result = "unknown"
        with trio.move_on_after(RESPONSE_TIMEOUT_S):
            try:
                result = _result_from_status(await self._post(name, load_id))
            except ConnectionRefusedError:  # nothing was sent, so the load has certainly not run
                result = "fail"
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, ValueError, IndexError):
                pass
        ended_s = trio.current_time()
        self.operations.append(Operation(load_id, name, sent_s, ended_s, result, after_faults))
        return result

    async def _post(self, name: str, load_id: str) -> int:
        """Return the status of a load's response."""
        body = msgspec.json.encode({"meter": load_id, "started": "2026-12-01", "kwh": 1.5})
        head = (
            f"POST /odata/Readings HTTP/1.1\r\nHost: trial\r\nContent-Type: application/json\r\n"
            f"Repeatability-Request-ID: {load_id}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        async with await trio.open_tcp_stream("127.0.0.1", self.ports[name]["odata"]) as stream:
            await stream.send_all(head.encode() + body)
            received = b""
            while chunk := await stream.receive_some(65_536):
                received += chunk
                if b"\r\n" in received:
                    break
        return int(received.split(b" ", 2)[1])

    async def settle_and_stop(self, load_ids: list[str]) -> dict[str, dict[str, bytes]]:
        """Send each load through each member once more, stop all, and return the outcomes in their stores."""
        await trio.sleep(SETTLE_DELAY_S)
        for name in self.names:
            for load_id in load_ids:
                await self.send_load(name, load_id, after_faults=True)
        await trio.sleep(SETTLE_DELAY_S)
        async with trio.open_nursery() as nursery:
            for process in self.processes.values():
                nursery.start_soon(process.stop)
        outcomes = dict[str, dict[str, bytes]]()
        for name in self.names:
            for key, entry in stored_entries(self.store_path(name)).items():
                if entry.outcome is not None:
                    outcomes.setdefault(key.rpartition("|")[2], {})[name] = entry.outcome
        return outcomes


def stored_entries(path: Path) -> dict[str, ClaimEntry]:
    """Return the entries of a store that no program has open; raise StoreError if it is unreadable."""
    file = RecordFile(str(path))
    file.open()
    try:
        return {
            record.key.decode(): msgspec.msgpack.decode(record.value, type=ClaimEntry)
            for record in file.read(0.0)
            if isinstance(record, Record) and record.kind == CLAIM_KIND and record.value is not None
        }
    finally:
        file.close()


def _result_from_status(status: int) -> Result:
    if status in (201, 204):
        return "ok"
    return "fail" if status == 503 else "unknown"


@asynccontextmanager
async def running_trial(
    folder: Path, member_count: int = 3, seed: int = 1, more_settings: str = ""
) -> AsyncIterator[ReplicationTrial]:
    """Run a fleet for the length of a block, which begins once all members grant claims."""
    async with trio.open_nursery() as nursery:
        trial = ReplicationTrial(folder, nursery, member_count, seed, more_settings)
        await nursery.start(trial.engine.serve)
        await trial.open_fronts()
        try:
            async with trio.open_nursery() as starts:
                for name in trial.names:
                    starts.start_soon(trial.start, name)
            await trial.wait_until_granting()
            yield trial
        finally:
            trial.kill_all()
            nursery.cancel_scope.cancel()
