"""A stand-in engine: the platform's engine protocol over HTTP/1.1 before a Machine, with faults on command.

A statement says itself what it costs, in a comment: ``/* work=250 rows=40 */`` is 250 ms on one core and 40
rows. What the coordinator may not do is noted: a load that ran twice, a second attempt beside a first.
"""

from __future__ import annotations

import math
import re
import socket
import struct
from collections import Counter
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import TypeAlias

import h11
import trio

from fordstair.lab.engine_protocol import (
    ABANDONED_AFTER_MS,
    IDLE_WAKE_MS,
    MIN_WORK_MS,
    POLL_HOLD_MS,
    PROGRESS_INTERVAL_MS,
    REPORT_INTERVAL_MS,
)
from fordstair.lab.machine import Job, Machine
from fordstair.net.clients.read_delay import wait_readable
from fordstair.runtime.clock import monotonic_now

READ_BYTES = 65_536
MAX_PAGE_BYTES = 6_000
DEFAULT_WORK_MS = 1.0  # of a statement that says nothing of it
MAX_ENDED_RUNS = 4_096  # that are still answered for
_COSTS = re.compile(rb"/\* work=(\d+(?:\.\d+)?)(?: rows=(\d+))? \*/")
Answer: TypeAlias = tuple[int, list[tuple[str, str]], bytes]  # status, headers, body
_THREADS = {"lookup": 1, "settlement": 4, "meter-load": 2}


@dataclass(slots=True)
class Run:
    """One query that was started here."""

    txn: str
    class_name: str
    pages: list[bytes]
    started_ms: float
    asked_ms: float
    over: trio.Event = field(default_factory=trio.Event)
    how: str = "runs"  # then: served, dropped, unasked, lost
    noted_ms: float = 0.0


class StandIn:
    """One engine. Faults are plain attributes and methods, to be used while it serves."""

    def __init__(
        self,
        name: str,
        machine: Machine,
        sessions: int = 64,
        clock: Callable[[], float] = monotonic_now,
        hall: str = "hall-a",
    ) -> None:
        self.name = name
        self.machine = machine
        self.sessions = sessions
        self.clock = clock
        self.hall = hall
        self.silent = False
        self.draining = False
        self.full = False
        self.address = ""
        self.runs: dict[str, Run] = {}  # those that run
        self.ended: dict[str, Run] = {}  # the latest ones that have
        self.started: Counter[str] = Counter()  # how often each id was started here
        self.counts: Counter[str] = Counter()
        self.on_start: Callable[[str, bytes], None] = lambda class_name, statement: None
        self._report = ""
        self._report_ms = -math.inf
        self._woken = trio.Event()
        self._spoken = trio.Event()  # set while it is not silent
        self._spoken.set()
        self._streams: set[trio.SocketStream] = set()
        self._restarts = 0

    # Faults.

    def go_silent(self) -> None:
        """No reset, no answer: connections come up and stay open, and nothing is said on them."""
        self.silent = True
        self._spoken = trio.Event()

    def come_back_cold(self) -> None:
        """A new process under the same id and address: what ran is lost, connections are reset.

        What the old process had read, and not taken up yet, goes with it.
        """
        self._restarts += 1
        for run in list(self.runs.values()):
            self._end(run, "lost")
        self.ended.clear()
        self.machine.restart(self.clock())
        self.reset_connections()
        self.speak_again()

    def reset_connections(self) -> None:
        """Reset all connections, whatever is under way on them; what runs goes on."""
        for stream in list(self._streams):
            with suppress(OSError, trio.ClosedResourceError):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                stream.socket.close()

    def speak_again(self) -> None:
        """End a silence; what came meanwhile is taken up now."""
        self.silent = False
        self._spoken.set()

    def arriving(self, stream: trio.SocketStream, *, first: bool) -> None:
        """Called right before bytes of a call are read, the first ones or more; for those who look on."""

    def noticed(self, method: str, fields: Mapping[str, str], stream: trio.SocketStream) -> None:
        """Called as each call has come whole, before it is taken up; for those who look on."""

    def slow_down(self, times: float) -> None:
        """Everything takes that many times longer; 1 is as usual."""
        self._advance()
        self.machine.slowness = times
        self._woken.set()

    # What a test compares the console with.

    def held(self) -> list[str]:
        """The ids that run here now."""
        self._advance()
        return list(self.runs)

    async def serve(
        self, port: int = 0, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen until cancelled; the status is the address."""
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, self._serve, port, host="127.0.0.1"))
            self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            nursery.start_soon(self._run)
            task_status.started(self.address)

    async def _run(self) -> None:
        """End what has ended, and what nobody asks for."""
        while True:
            self._advance()
            now = self.clock()
            for run in [run for run in self.runs.values() if now - run.asked_ms > ABANDONED_AFTER_MS]:
                self._end(run, "unasked")
            wait_ms = IDLE_WAKE_MS if self.silent else min(self.machine.next_end_ms() - now, IDLE_WAKE_MS)
            self._woken = trio.Event()
            with trio.move_on_after(max(0.0, wait_ms) / 1000.0 + 0.0005):
                await self._woken.wait()

    def _advance(self) -> None:
        for job in self.machine.advance(self.clock()):
            if (run := self.runs.get(job.id)) is not None:
                self._end(run, "served")

    def _end(self, run: Run, how: str) -> None:
        run.how = how
        run.over.set()
        self.counts[how] += 1
        if self.runs.pop(run.txn, None) is not None:
            self.machine.jobs.pop(run.txn, None)
        self.ended[run.txn] = run
        while len(self.ended) > MAX_ENDED_RUNS:
            del self.ended[next(iter(self.ended))]

    async def _serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        request = None
        body = bytearray()
        restarts = self._restarts
        self._streams.add(stream)
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    await wait_readable(stream)
                    self.arriving(stream, first=http.their_state is h11.IDLE)
                    http.receive_data(await stream.receive_some(READ_BYTES))
                elif isinstance(event, h11.Request):
                    request = event
                    body = bytearray()
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    self.counts[f"read.{request.method.decode()}"] += 1
                    self.noticed(request.method.decode(), _fields(request), stream)
                    await self._spoken.wait()
                    if self._restarts != restarts:
                        return
                    status, headers, text = await self._answer(request, bytes(body))
                    await self._spoken.wait()
                    headers.append(("Content-Length", str(len(text))))
                    out = http.send(h11.Response(status_code=status, headers=headers)) or b""
                    out += http.send(h11.Data(data=text)) or b""
                    await stream.send_all(out + (http.send(h11.EndOfMessage()) or b""))
                    http.start_next_cycle()
                else:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError, OSError):
            return
        finally:
            self._streams.discard(stream)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _answer(self, request: h11.Request, body: bytes) -> Answer:
        method = request.method.decode()
        path = request.target.decode()
        self.counts[method] += 1
        if method == "POST" and path == "/o":
            return await self._post(_fields(request), body)
        _, _, rest = path.partition("/o/")
        txn, _, page = rest.partition("/")
        run = self.runs.get(txn) or self.ended.get(txn)
        if method == "DELETE":
            return self._delete(txn)
        if run is None or run.how in ("dropped", "unasked", "lost"):
            return 500, [self._gauges()], b""
        if method == "PUT":
            return self._put(txn, body)
        if method != "GET" or not page.isdecimal():
            return 500, [], b""
        return await self._get(run, page)

    def _delete(self, txn: str) -> Answer:
        if txn in self.runs:
            self._end(self.runs[txn], "dropped")
            self._woken.set()
        return 204, [], b""

    def _put(self, txn: str, body: bytes) -> Answer:
        if body.strip() not in (b"0", b"1", b"2", b"3"):
            return 500, [], b""
        self._advance()
        if (job := self.machine.jobs.get(txn)) is not None:
            job.priority = int(body)
            self.counts["priorities"] += 1
            self._woken.set()
        return 204, [], b""

    async def _get(self, run: Run, page: str) -> Answer:
        if page == "0":
            return await self._poll(run)
        if int(page) >= len(run.pages) or run.how != "served":
            return 500, [self._gauges()], b""
        return 200, [("X-Sheet", page), self._gauges()], run.pages[int(page)]

    async def _post(self, fields: dict[str, str], body: bytes) -> Answer:
        txn = fields.get("x-txn", "")
        class_name = fields.get("x-lane", "")
        urgency = fields.get("x-urgency", "1")
        if not txn or class_name not in _THREADS or urgency not in ("0", "1", "2", "3"):
            self.counts["unusable"] += 1
            return 500, [], b""
        if self.draining or self.full or len(self.runs) >= self.sessions:
            self.counts["full"] += 1
            return 503, [("X-Unrun", "1"), self._gauges()], b""
        if txn in self.runs:
            self.counts["second_attempts"] += 1
            return 500, [self._gauges()], b""
        work, rows = work_of(body), rows_of(body)
        now = self.clock()
        self.started[txn] += 1
        self.counts[f"started.{class_name}"] += 1
        self.on_start(class_name, body)
        if class_name == "meter-load" and self.started[txn] > 1:
            self.counts["loads_run_twice"] += 1
        run = Run(txn, class_name, pages_of(txn, rows), now, now)
        self.runs[txn] = run
        if work == 0.0:  # answered at once, for measurements of what stands before it
            self._end(run, "served")
            return await self._poll(run)
        self._advance()
        self.machine.start(Job(txn, max(MIN_WORK_MS, work), _THREADS[class_name], int(urgency)), now)
        self._woken.set()
        return await self._poll(run)

    async def _poll(self, run: Run) -> Answer:
        run.asked_ms = self.clock()
        if not run.over.is_set():
            with trio.move_on_after(POLL_HOLD_MS / 1000.0):
                await run.over.wait()
        run.asked_ms = self.clock()
        if run.how == "served":
            return 200, [("X-Sheets", str(len(run.pages))), self._gauges()], run.pages[0]
        if run.how != "runs":
            return 500, [self._gauges()], b""
        headers = [self._gauges()]
        if run.asked_ms - max(run.started_ms, run.noted_ms) >= PROGRESS_INTERVAL_MS:
            run.noted_ms = run.asked_ms
            job = self.machine.jobs.get(run.txn)
            headers += [("X-How", "p"), ("X-Val", f"{job.progress if job else 1.0:.3f}")]
        return 202, headers, b""

    def _gauges(self) -> tuple[str, str]:
        """The load report, as it stood up to REPORT_INTERVAL_MS ago."""
        now = self.clock()
        if now - self._report_ms >= REPORT_INTERVAL_MS:
            self._report = f"inflight:{len(self.runs)};util:{self.machine.util:.2f}"
            self._report_ms = now
        return "X-Gauges", self._report


def _fields(request: h11.Request) -> dict[str, str]:
    return {name.decode(): value.decode() for name, value in request.headers}


def work_of(statement: bytes) -> float:
    """Return what a statement says that it costs, in milliseconds on one core."""
    costs = _COSTS.search(statement)
    return float(costs[1]) if costs else DEFAULT_WORK_MS


def rows_of(statement: bytes) -> int:
    """Return how many rows a statement says that it has."""
    costs = _COSTS.search(statement)
    return int(costs[2] or 1) if costs else 1


def pages_of(txn: str, rows: int) -> list[bytes]:
    """Return that many rows of three columns, as pages of whole rows."""
    pages = list[bytes]()
    page = bytearray()
    for number in range(rows):
        row = b"%s\t%d\t%d.00\n" % (txn.encode(), number, number * 7 % 1000)
        if len(page) + len(row) > MAX_PAGE_BYTES:
            pages.append(bytes(page))
            page = bytearray()
        page += row
    return [*pages, bytes(page)]
