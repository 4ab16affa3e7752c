"""A fake engine: serves the platform's engine protocol over HTTP/1.1 from a Machine, with fault injection.

A statement gives its cost in a comment: ``/* work=250 rows=40 */`` is 250 ms on one core and 40 rows. The
engine counts what the coordinator must not do: run a load twice, or start a second attempt beside a first.
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
DEFAULT_WORK_MS = 1.0
MAX_ENDED_RUNS = 4_096
_COSTS = re.compile(rb"/\* work=(\d+(?:\.\d+)?)(?: rows=(\d+))? \*/")
Answer: TypeAlias = tuple[int, list[tuple[str, str]], bytes]  # status, headers, body
_THREADS = {"lookup": 1, "settlement": 4, "meter-load": 2}


@dataclass(slots=True)
class Run:
    """One query that was started on this engine.

    Attributes:
        pages: The pages of the result.
        polled_ms: When the query was started, or when its latest poll began or was answered.
        ended: Set when the query no longer runs.
        state: ``runs``, then how it ended: ``served``, ``dropped`` (deleted), ``unasked`` (no longer polled)
            or ``lost`` (by a restart).
        progress_sent_ms: When progress was last reported; 0 if it never was.
    """

    txn: str
    class_name: str
    pages: list[bytes]
    started_ms: float
    polled_ms: float
    ended: trio.Event = field(default_factory=trio.Event)
    state: str = "runs"
    progress_sent_ms: float = 0.0


class FakeEngine:
    """One engine. Its faults are plain attributes and methods, which may be used while it serves.

    Attributes:
        sessions: How many queries may run at once.
        runs: The queries that run, by transaction id.
        ended: The latest queries that have ended, up to MAX_ENDED_RUNS, by transaction id.
        started: How often each transaction id was started on this engine.
        on_start: Called with the request class and the statement of each query that starts.
    """

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
        self.runs: dict[str, Run] = {}
        self.ended: dict[str, Run] = {}
        self.started: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.on_start: Callable[[str, bytes], None] = lambda class_name, statement: None
        self._report = ""
        self._report_ms = -math.inf
        self._wakeup = trio.Event()
        self._responding = trio.Event()  # Set while the engine is not silent.
        self._responding.set()
        self._streams: set[trio.SocketStream] = set()
        self._restarts = 0

    # Faults.

    def go_silent(self) -> None:
        """Stop responding: connections are accepted and stay open, and nothing is sent on them."""
        self.silent = True
        self._responding = trio.Event()

    def restart_cold(self) -> None:
        """Restart with the same id and address: running queries are lost, and connections are reset.

        Requests that were read but not handled before the restart are lost too.
        """
        self._restarts += 1
        for run in list(self.runs.values()):
            self._end(run, "lost")
        self.ended.clear()
        self.machine.restart(self.clock())
        self.reset_connections()
        self.end_silence()

    def reset_connections(self) -> None:
        """Reset all connections, with their requests in flight; running queries continue."""
        for stream in list(self._streams):
            with suppress(OSError, trio.ClosedResourceError):
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                stream.socket.close()

    def end_silence(self) -> None:
        """Respond again, also to the requests that arrived during the silence."""
        self.silent = False
        self._responding.set()

    def before_read(self, stream: trio.SocketStream, *, first: bool) -> None:
        """Called before bytes of a request are read, ``first`` for its first bytes; may be overridden."""

    def on_request(self, method: str, fields: Mapping[str, str], stream: trio.SocketStream) -> None:
        """Called for each request once it is complete, before it is handled; may be overridden."""

    def slow_down(self, factor: float) -> None:
        """Make all work take ``factor`` times as long; 1 is the normal speed."""
        self._advance()
        self.machine.slowness = factor
        self._wakeup.set()

    # State that tests compare the console with.

    def running_ids(self) -> list[str]:
        """Return the transaction ids of the queries that run now."""
        self._advance()
        return list(self.runs)

    async def serve(
        self, port: int = 0, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the task status is the address."""
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, self._serve_connection, port, host="127.0.0.1")
            )
            self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            nursery.start_soon(self._end_due_runs)
            task_status.started(self.address)

    async def _end_due_runs(self) -> None:
        """End queries whose work is done, and abandon those that are no longer polled."""
        while True:
            self._advance()
            now = self.clock()
            for run in [run for run in self.runs.values() if now - run.polled_ms > ABANDONED_AFTER_MS]:
                self._end(run, "unasked")
            wait_ms = IDLE_WAKE_MS if self.silent else min(self.machine.next_end_ms() - now, IDLE_WAKE_MS)
            self._wakeup = trio.Event()
            with trio.move_on_after(max(0.0, wait_ms) / 1000.0 + 0.0005):
                await self._wakeup.wait()

    def _advance(self) -> None:
        for job in self.machine.advance(self.clock()):
            if (run := self.runs.get(job.id)) is not None:
                self._end(run, "served")

    def _end(self, run: Run, state: str) -> None:
        run.state = state
        run.ended.set()
        self.counts[state] += 1
        if self.runs.pop(run.txn, None) is not None:
            self.machine.jobs.pop(run.txn, None)
        self.ended[run.txn] = run
        while len(self.ended) > MAX_ENDED_RUNS:
            del self.ended[next(iter(self.ended))]

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
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
                    self.before_read(stream, first=http.their_state is h11.IDLE)
                    http.receive_data(await stream.receive_some(READ_BYTES))
                elif isinstance(event, h11.Request):
                    request = event
                    body = bytearray()
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    self.counts[f"read.{request.method.decode()}"] += 1
                    self.on_request(request.method.decode(), _header_fields(request), stream)
                    await self._responding.wait()
                    if self._restarts != restarts:
                        return
                    status, headers, text = await self._answer(request, bytes(body))
                    await self._responding.wait()
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
            return await self._post(_header_fields(request), body)
        _, _, rest = path.partition("/o/")
        txn, _, page = rest.partition("/")
        run = self.runs.get(txn) or self.ended.get(txn)
        if method == "DELETE":
            return self._delete(txn)
        if run is None or run.state in ("dropped", "unasked", "lost"):
            return 500, [self._report_header()], b""
        if method == "PUT":
            return self._put(txn, body)
        if method != "GET" or not page.isdecimal():
            return 500, [], b""
        return await self._get(run, page)

    def _delete(self, txn: str) -> Answer:
        if txn in self.runs:
            self._end(self.runs[txn], "dropped")
            self._wakeup.set()
        return 204, [], b""

    def _put(self, txn: str, body: bytes) -> Answer:
        if body.strip() not in (b"0", b"1", b"2", b"3"):
            return 500, [], b""
        self._advance()
        if (job := self.machine.jobs.get(txn)) is not None:
            job.priority = int(body)
            self.counts["priorities"] += 1
            self._wakeup.set()
        return 204, [], b""

    async def _get(self, run: Run, page: str) -> Answer:
        if page == "0":
            return await self._poll(run)
        if int(page) >= len(run.pages) or run.state != "served":
            return 500, [self._report_header()], b""
        return 200, [("X-Sheet", page), self._report_header()], run.pages[int(page)]

    async def _post(self, fields: dict[str, str], body: bytes) -> Answer:
        txn = fields.get("x-txn", "")
        class_name = fields.get("x-lane", "")
        urgency = fields.get("x-urgency", "1")
        if not txn or class_name not in _THREADS or urgency not in ("0", "1", "2", "3"):
            self.counts["unusable"] += 1
            return 500, [], b""
        if self.draining or self.full or len(self.runs) >= self.sessions:
            self.counts["full"] += 1
            return 503, [("X-Unrun", "1"), self._report_header()], b""
        if txn in self.runs:
            self.counts["second_attempts"] += 1
            return 500, [self._report_header()], b""
        work, rows = statement_work_ms(body), statement_rows(body)
        now = self.clock()
        self.started[txn] += 1
        self.counts[f"started.{class_name}"] += 1
        self.on_start(class_name, body)
        if class_name == "meter-load" and self.started[txn] > 1:
            self.counts["loads_run_twice"] += 1
        run = Run(txn, class_name, make_pages(txn, rows), now, now)
        self.runs[txn] = run
        # Without work the answer is immediate: benchmarks then measure the coordinator alone.
        if work == 0.0:
            self._end(run, "served")
            return await self._poll(run)
        self._advance()
        self.machine.start(Job(txn, max(MIN_WORK_MS, work), _THREADS[class_name], int(urgency)), now)
        self._wakeup.set()
        return await self._poll(run)

    async def _poll(self, run: Run) -> Answer:
        run.polled_ms = self.clock()
        if not run.ended.is_set():
            with trio.move_on_after(POLL_HOLD_MS / 1000.0):
                await run.ended.wait()
        run.polled_ms = self.clock()
        if run.state == "served":
            return 200, [("X-Sheets", str(len(run.pages))), self._report_header()], run.pages[0]
        if run.state != "runs":
            return 500, [self._report_header()], b""
        headers = [self._report_header()]
        if run.polled_ms - max(run.started_ms, run.progress_sent_ms) >= PROGRESS_INTERVAL_MS:
            run.progress_sent_ms = run.polled_ms
            job = self.machine.jobs.get(run.txn)
            headers += [("X-How", "p"), ("X-Val", f"{job.progress if job else 1.0:.3f}")]
        return 202, headers, b""

    def _report_header(self) -> tuple[str, str]:
        """Return the header with the load report, which is up to REPORT_INTERVAL_MS old."""
        now = self.clock()
        if now - self._report_ms >= REPORT_INTERVAL_MS:
            self._report = f"inflight:{len(self.runs)};util:{self.machine.util:.2f}"
            self._report_ms = now
        return "X-Gauges", self._report


def _header_fields(request: h11.Request) -> dict[str, str]:
    return {name.decode(): value.decode() for name, value in request.headers}


def statement_work_ms(statement: bytes) -> float:
    """Return the cost that a statement gives, in ms on one core, or DEFAULT_WORK_MS if it gives none."""
    costs = _COSTS.search(statement)
    return float(costs[1]) if costs else DEFAULT_WORK_MS


def statement_rows(statement: bytes) -> int:
    """Return the number of result rows that a statement gives, or 1 if it gives none."""
    costs = _COSTS.search(statement)
    return int(costs[2] or 1) if costs else 1


def make_pages(txn: str, rows: int) -> list[bytes]:
    """Return ``rows`` rows of three columns, in pages of up to MAX_PAGE_BYTES that split no row."""
    pages = list[bytes]()
    page = bytearray()
    for number in range(rows):
        row = b"%s\t%d\t%d.00\n" % (txn.encode(), number, number * 7 % 1000)
        if len(page) + len(row) > MAX_PAGE_BYTES:
            pages.append(bytes(page))
            page = bytearray()
        page += row
    return [*pages, bytes(page)]
