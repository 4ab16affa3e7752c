"""Shared parts of the cases 6 to 10: the program as the platform runs it, an engine, and RPC clients.

All of it is written from the platform's pages. Nothing here looks into the program: it is started by the
`run` command of the deploy file and spoken to over loopback sockets.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
POLL_HOLD_S = 0.25
ABANDONED_S = 2.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS: dict[str, Any] = {
    "areas": ["hall-a", "hall-b", "hall-c"],
    "hostTypes": ["std-12"],
    "instances": 3,
    "index": 0,
    "zone": 0,
    "family": "queries",
    "tickMs": 5.0,
    "categories": [
        {
            "name": "lookup",
            "effect": "read_like",
            "promiseMs": 1200.0,
            "aimStretch": 1.5,
            "giveUpMs": 6000.0,
            "worth": 1.0,
            "lateWorth": 0.0,
            "group": "all",
            "memorySpanMs": 5000.0,
            "streaming": False,
        },
        {
            "name": "settlement",
            "effect": "read_like",
            "promiseMs": 2000.0,
            "aimStretch": 2.5,
            "giveUpMs": 25000.0,
            "worth": 7.5,
            "lateWorth": 0.3,
            "group": "all",
            "memorySpanMs": 5000.0,
            "streaming": False,
        },
        {
            "name": "meter-load",
            "effect": "non_idempotent",
            "promiseMs": 3000.0,
            "aimStretch": 3.0,
            "giveUpMs": 20000.0,
            "worth": 4.0,
            "lateWorth": 0.6,
            "group": "all",
            "memorySpanMs": 5000.0,
            "streaming": False,
        },
    ],
    "projects": [
        {"name": "karri-energy", "portion": 0.73, "quotaPerS": 87.0},
        {"name": "saltbush-power", "portion": 0.16, "quotaPerS": 19.0},
        {"name": "pindan-retail", "portion": 0.11, "quotaPerS": 13.0},
    ],
    "extra": {
        "cpuOfKind": [12],
        "kindMemoryMb": [24576.0],
        "largestShare": 0.4,
        "priorities": True,
        "loads": [False, False, True],
        "waitsForLoads": [False, False, False],
        "parallelism": [1, 4, 2],
        "tellsEveryMs": 500.0,
        "overbooked": "page",
        "grants": False,
        "saysCost": False,
    },
    "limits": {
        "mayCancel": True,
        "mayTell": False,
        "sendCap": 4,
        "secondCopies": False,
        "multiplex": 100,
        "retryAfter": True,
        "maxRetryAfterMs": 1000.0,
        "maxOpen": 20000,
        "connectTimeoutMs": 250.0,
        "connIdleMs": 30000.0,
        "probes": False,
        "cpuUsPerS": 500000,
        "cpuUsPerRequest": 0.0,
    },
    "obligations": {
        "answerSlackMs": 20.0,
        "askWithinMs": 10000.0,
        "coldFrom": 0.32,
        "coldMs": 15000.0,
        "drainGraceMs": 500.0,
        "fallMs": 1000.0,
        "fallMultiple": 2.5,
    },
    "report": {"fields": ["util", "inflight"], "source": "piggyback"},
    "clients": {"marksRetry": False},
    "discovery": "push",
    "overShareWorth": 0.1,
    "tier": 0,
    "tiers": ["query-fleet"],
    "valueBy": "request",
    "weights": "nominal",
}


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a loopback port that nothing uses now, below those that outgoing connections are given."""
    for _ in range(1000):
        port = random.SystemRandom().randrange(15_000, 32_000)
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


class Record:
    """`record.txt` of a case: what was sent, answered and run, a line each."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def add(self, *words: object) -> None:
        """Write one line, after the time since the start in ms."""
        line = " ".join(str(word) for word in words)
        self._file.write(f"{(time.monotonic() - self._began) * 1000.0:9.1f} {line}\n")
        self._file.flush()


def run_command(*arguments: str) -> str:
    """Return the shell command that starts the program: `run` of the deploy file, with arguments."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return " ".join([run, *arguments])


class Process:
    """One process of the program, started by `/bin/sh -c` from the repository's root."""

    def __init__(self, name: str, folder: Path, command: str, **environment: str) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        scratch = folder / f"tmp-{name}"
        scratch.mkdir(exist_ok=True)
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**inherited, "TMPDIR": str(scratch), **environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def exited(self) -> int | None:
        """The exit code, None while it runs."""
        return self._popen.poll()

    def send(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.exited is None:
            self._popen.send_signal(number)

    async def wait(self, within_s: float) -> int | None:
        """Wait for the end; return the exit code, or None after the time."""
        until = time.monotonic() + within_s
        while self.exited is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.exited

    async def end(self) -> None:
        """End the process at once, also if it is stopped."""
        self.send(signal.SIGKILL)
        await self.wait(5.0)


class Scratch:
    """A temporary folder and the processes of a case; all of them are ended and removed at the end."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[Process] = []

    def start(self, name: str, command: str, **environment: str) -> Process:
        """Start a process of the program."""
        process = Process(name, self.folder, command, **environment)
        self.processes.append(process)
        return process

    async def close(self) -> None:
        """End what was started."""
        for process in self.processes:
            await process.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def engine_entry(name: str, address: str, **fields: Any) -> dict[str, Any]:
    """Return an engine as the configuration's `known` lists it."""
    return {
        "id": name,
        "addr": address,
        "zone": "hall-a",
        "kind": "std-12",
        "cell": 0,
        "state": "ready",
        "weight": 1,
        "started_ms": 0,
        **fields,
    }


def write_config(path: Path, listen: str, engines: list[dict[str, Any]], **fields: Any) -> None:
    """Write the file that RELAY_CONFIG names."""
    document = {
        "name": "n1",
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "channel": "",
        "known": {
            "cursor": 1,
            "cmds": [{"cursor": 1, "nodes": {"version": 1, "full": True, "servers": engines}}],
        },
        "settings": SETTINGS,
        **fields,
    }
    path.write_text(json.dumps(document))


# Engines


class Query:
    """One query at an engine."""

    def __init__(self, txn: str, class_name: str, statement: bytes, limit_ms: float) -> None:
        self.txn = txn
        self.class_name = class_name
        self.statement = statement
        self.limit_ms = limit_ms
        self.ended = asyncio.Event()
        self.state = "runs"
        self.asked_s = time.monotonic()


Answer = tuple[int, list[tuple[str, str]], bytes]


class Engine:
    """An engine as the protocol page describes it. A statement's comment `/* work=MS */` says how long it runs.

    `write_answer(writer, query, raw)` may be set to write good ends and pages in another way.
    """

    def __init__(self, name: str, record: Record, rows: int = 1) -> None:
        self.name = name
        self.record = record
        self.rows = rows
        self.address = ""
        self.queries: dict[str, Query] = {}
        self.runs: list[Query] = []
        self.write_answer: Callable[[asyncio.StreamWriter, Query, bytes], Awaitable[None]] | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def spawn(self, work: Awaitable[None]) -> None:
        """Run a task beside the others."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                fields = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:] if line)
                }
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                query, (status, headers, text) = await self.answer(method, path, fields, body)
                raw = encode_response(status, headers, text)
                if status == 200 and query is not None and self.write_answer is not None:
                    await self.write_answer(writer, query, raw)
                else:
                    writer.write(raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(
        self, method: str, path: str, fields: dict[str, str], body: bytes
    ) -> tuple[Query | None, Answer]:
        if method == "POST" and path == "/o":
            query = Query(
                fields.get("x-txn", ""), fields.get("x-lane", ""), body, float(fields.get("x-limit-ms", "0"))
            )
            self.queries[query.txn] = query
            self.runs.append(query)
            self.record.add("engine", self.name, "runs", query.txn, query.class_name)
            self.spawn(self._run(query))
            return query, await self._news(query)
        match = re.fullmatch(r"/o/([^/]+)(?:/(\d+))?", path)
        known = self.queries.get(match[1]) if match else None
        if method == "DELETE":
            if known is not None and known.state == "runs":
                known.state = "deleted"
                known.ended.set()
            return None, (204, [], b"")
        if known is None or match is None or known.state in ("deleted", "unasked"):
            return None, (500, [], b"")
        if method == "PUT":
            return None, (204, [], b"")
        if match[2] == "0":
            return known, await self._news(known)
        pages = self.pages(known)
        if known.state != "ok" or int(match[2]) >= len(pages):
            return None, (500, [], b"")
        return known, (200, [("X-Sheet", match[2])], pages[int(match[2])])

    async def _run(self, query: Query) -> None:
        work = re.search(rb"/\* work=(\d+) \*/", query.statement)
        end_s = time.monotonic() + (int(work[1]) if work else 20) / 1000.0
        while query.state == "runs" and (left_s := end_s - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, 0.1))
            if time.monotonic() - query.asked_s > ABANDONED_S:
                query.state = "unasked"
        if query.state == "runs":
            query.state = "ok"
        query.ended.set()
        self.record.add("engine", self.name, "ends", query.txn, query.state)

    async def _news(self, query: Query) -> Answer:
        query.asked_s = time.monotonic()
        try:
            await asyncio.wait_for(query.ended.wait(), POLL_HOLD_S)
        except TimeoutError:
            pass
        query.asked_s = time.monotonic()
        running = sum(each.state == "runs" for each in self.queries.values())
        gauges = ("X-Gauges", f"inflight:{running};util:{min(1.0, running / 12):.2f}")
        if query.state == "ok":
            pages = self.pages(query)
            return 200, [("X-Sheets", str(len(pages))), gauges], pages[0]
        if query.state == "runs":
            return 202, [gauges], b""
        return 500, [gauges], b""

    def pages(self, query: Query) -> list[bytes]:
        """Return the result: rows that name the request they were made for."""
        row = f"{query.txn}\t%d\t{self.name}\n"
        return ["".join(row % number for number in range(self.rows)).encode()]


def encode_response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return an HTTP/1.1 response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# Clients


class RpcClient:
    """A MessagePack-RPC client with one connection."""

    def __init__(self) -> None:
        self.answers: dict[int, asyncio.Future[tuple[Any, Any]]] = {}
        self.second_answers: list[int] = []
        self.closed = False
        self._ids = itertools.count(1)

    async def connect(self, address: str) -> None:
        """Connect, and read answers from now on."""
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self._task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        try:
            while chunk := await self._reader.read(65_536):
                unpacker.feed(chunk)
                for _, number, error, result in unpacker:
                    future = self.answers.get(number)
                    if future is None or future.done():
                        self.second_answers.append(number)
                    else:
                        future.set_result((error, result))
        except ConnectionError:
            pass
        self.closed = True

    async def call(self, method: str, params: list[Any], within_s: float) -> tuple[Any, Any] | None:
        """Send a request; return its error and result, or None if no answer came in time."""
        number = next(self._ids)
        future = self.answers[number] = asyncio.get_running_loop().create_future()
        self._writer.write(msgpack.packb([0, number, method, params]))
        try:
            return await asyncio.wait_for(future, within_s)
        except TimeoutError:
            return None

    async def request(
        self, class_name: str, txn: str, statement: bytes, limit_ms: int, team: str = "karri-energy"
    ) -> tuple[Any, Any] | None:
        """Send a request of a class; return its error and result, or None if no answer came in time."""
        fields = {"txn": txn, "limit": str(limit_ms), "team": team, "cpu": "200.0", "need_mb": "16"}
        return await self.call(class_name, [fields, statement], limit_ms / 1000.0 + 0.57)

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()


async def wait_until_alive(address: str, within_s: float = 30.0) -> bool:
    """Ask `alive` until the answer is true; return False if it is not in time."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        client = RpcClient()
        try:
            await client.connect(address)
            answer = await client.call("alive", [{}], 1.0)
            client.close()
            if answer is not None and answer[1] and answer[1][0] is True:
                return True
        except OSError:
            pass
        await asyncio.sleep(0.1)
    return False


def main(case: Callable[[Scratch, Record], Awaitable[int]], folder: Path, within_s: float = 115.0) -> None:
    """Run a case, end all that it started, and exit with its verdict."""

    async def bounded() -> int:
        scratch = Scratch()
        record = Record(folder)
        try:
            verdict = await asyncio.wait_for(case(scratch, record), within_s)
        except Exception as error:  # the case could not run
            record.add("case could not run:", type(error).__name__, error)
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
            for process in scratch.processes:
                if process.log_path.exists():
                    print(process.log_path.read_text(errors="replace")[-1500:], file=sys.stderr)
            verdict = NOT_RUN
        finally:
            await scratch.close()
            others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            await asyncio.sleep(0.05)  # what has been closed is taken down by the event loop
        words = {HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "the case did not run"}
        record.add("verdict:", words[verdict])
        print(words[verdict])
        return verdict

    sys.exit(asyncio.run(bounded()))
