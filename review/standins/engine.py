"""A stand-in engine: HTTP/1.1 on a loopback address, as the platform's protocol page describes it.

A statement tells its work and its rows in a comment: ``/* work=250 rows=40 */``. Every row carries the id of
the request that it was made for, so that a client can tell its own rows from those of another.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field

POLL_HOLD_S = 0.25
UNASKED_S = 2.0
PAGE_BYTES = 6_000
NOTE_INTERVAL_S = 0.5
THREADS = {"lookup": 1, "settlement": 4, "meter-load": 2}
_COSTS = re.compile(rb"/\* work=(\d+) rows=(\d+) \*/")
_REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 500: "Internal Server Error", 503: "Full"}

Answer = tuple[int, list[tuple[str, str]], bytes]
# Called for each good answer with the writer and the answer; writes it, in whatever form.
Spoiler = Callable[["Engine", asyncio.StreamWriter, Answer], None]


def rows_of(txn: str, count: int) -> list[bytes]:
    """Return the rows that an engine makes for a request."""
    return [b"%s\t%d\t%d.00\n" % (txn.encode(), number, number * 7 % 1000) for number in range(count)]


def pages_of(rows: list[bytes]) -> list[bytes]:
    """Return the rows in pages of whole rows."""
    pages = [b""]
    for row in rows:
        if len(pages[-1]) + len(row) > PAGE_BYTES:
            pages.append(b"")
        pages[-1] += row
    return pages


def encode(answer: Answer, length: int | None = None) -> bytes:
    """Return an answer as HTTP/1.1; ``length`` replaces the true length of the body."""
    status, headers, body = answer
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclass
class Run:
    """One query that was started here; ``state`` is how it ended, or ``runs``."""

    txn: str
    lane: str
    pages: list[bytes]
    started_s: float
    asked_s: float
    work_s: float
    state: str = "runs"
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    noted_s: float = 0.0


class Engine:
    """One engine. ``spoil`` may write a good answer in another form; without it, engines are sound."""

    def __init__(self, name: str, spoil: Spoiler | None = None) -> None:
        self.name = name
        self.spoil = spoil
        self.address = ""
        self.runs: dict[str, Run] = {}
        self.all_runs: list[Run] = []
        self.troubles = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening, and close the connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ")
                fields = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                answer = await self._answer(method, path, fields, body)
                if answer[0] == 200 and self.spoil is not None:
                    self.spoil(self, writer, answer)
                else:
                    writer.write(encode(answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass  # also where the stand-in is ended
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, method: str, path: str, fields: dict[str, str], body: bytes) -> Answer:
        if method == "POST" and path == "/o":
            return await self._post(fields, body)
        _, _, rest = path.partition("/o/")
        txn, _, page = rest.partition("/")
        run = self.runs.get(txn)
        if method == "DELETE":
            if run is not None and run.state == "runs":
                self._end(run, "deleted")
            return 204, [], b""
        if run is None or run.state not in ("runs", "served"):
            return 500, [self._gauges()], b""
        if method == "PUT":
            return 204, [], b""
        if page == "0":
            return await self._news(run)
        if run.state == "served" and page.isdecimal() and int(page) < len(run.pages):
            return 200, [("X-Sheet", page), self._gauges()], run.pages[int(page)]
        return 500, [self._gauges()], b""

    async def _post(self, fields: dict[str, str], body: bytes) -> Answer:
        txn, lane = fields.get("x-txn", ""), fields.get("x-lane", "")
        if not txn or lane not in THREADS:
            return 500, [self._gauges()], b""
        costs = _COSTS.search(body)
        work_ms, rows = (int(costs[1]), int(costs[2])) if costs else (20, 1)
        now = time.monotonic()
        run = Run(txn, lane, pages_of(rows_of(txn, rows)), now, now, work_ms / 1000.0 / THREADS[lane])
        self.runs[txn] = run
        self.all_runs.append(run)
        asyncio.get_running_loop().call_later(run.work_s, self._end, run, "served")
        self._watch(run)
        return await self._news(run)

    def _watch(self, run: Run) -> None:
        """End a query that has not been asked for."""
        if run.state != "runs":
            return
        left_s = run.asked_s + UNASKED_S - time.monotonic()
        if left_s <= 0.0:
            self._end(run, "unasked")
        else:
            asyncio.get_running_loop().call_later(left_s + 0.001, self._watch, run)

    def _end(self, run: Run, state: str) -> None:
        if run.state == "runs":
            run.state = state
            run.ended.set()

    async def _news(self, run: Run) -> Answer:
        run.asked_s = time.monotonic() + POLL_HOLD_S
        if not run.ended.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(run.ended.wait(), POLL_HOLD_S)
        now = run.asked_s = time.monotonic()
        if run.state == "served":
            return 200, [("X-Sheets", str(len(run.pages))), self._gauges()], run.pages[0]
        if run.state != "runs":
            return 500, [self._gauges()], b""
        headers = [self._gauges()]
        if now - max(run.started_s, run.noted_s) >= NOTE_INTERVAL_S:
            run.noted_s = now
            share = min(1.0, (now - run.started_s) / max(0.001, run.work_s))
            headers += [("X-How", "p"), ("X-Val", f"{share:.3f}")]
        return 202, headers, b""

    def _gauges(self) -> tuple[str, str]:
        running = sum(run.state == "runs" for run in self.runs.values())
        if len(self.runs) > 4_000:
            for txn in [run.txn for run in self.runs.values() if run.state != "runs"][:2_000]:
                del self.runs[txn]
        return "X-Gauges", f"inflight:{running};util:{min(1.0, running / 12.0):.2f}"
