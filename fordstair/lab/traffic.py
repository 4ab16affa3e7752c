"""Open-loop traffic over the platform's protocol: requests go out at their time, whatever is still open.

Latency counts from the time at which a request was due, so that a coordinator that stalls cannot hide it.
Every answer is accounted for: one that comes twice, or never, is told apart.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgpack
import trio
from hdrh.histogram import HdrHistogram

OPEN_MOST = 32  # on one connection, by the protocol
READ_BYTES = 65_536
GRACE_S = 1.0  # beyond its limit, until a request without an answer counts as lost


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request."""

    class_name: str
    team: str
    rate_per_s: float
    work_ms: float  # mean; exponential, but for 0
    limit_ms: float
    rows: int = 1
    group: int = 1


@dataclass(slots=True)
class Tally:
    """What became of the requests."""

    counts: Counter[str] = field(default_factory=Counter)  # asked, served, refused, failed, lost, ...
    by_kind: Counter[tuple[str, str, str]] = field(default_factory=Counter)  # lane, team, what
    latency: Any = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))  # microseconds, served
    refusal: Any = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))  # the same, refused

    def note(self, kind: Kind, what: str, took_s: float = 0.0) -> None:
        """Count one end."""
        self.counts[what] += 1
        self.by_kind[kind.class_name, kind.team, what] += 1
        if what == "served":
            self.latency.record_value(max(1, int(took_s * 1e6)))
        elif what == "refused":
            self.refusal.record_value(max(1, int(took_s * 1e6)))

    def summary(self) -> dict[str, float]:
        """Return the figures of a run; latencies in ms."""
        named = ("asked", "served", "refused", "failed", "lost", "answered_twice")
        return {
            **{name: self.counts[name] for name in named},
            "p50_ms": self.at(50.0),
            "p99_ms": self.at(99.0),
        }

    def at(self, percentile: float) -> float:
        """Return a percentile of the served ones' latency, in ms."""
        return round(float(self.latency.get_value_at_percentile(percentile)) / 1000.0, 3)


@dataclass(slots=True)
class _Asked:
    kind: Kind
    due_s: float
    answered: bool = False


class _Line:
    """One connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.last, self.open = stream, 0, dict[int, _Asked]()
        self.done: dict[int, _Asked] = {}  # answered, to know a second answer by
        self.unpacker = msgpack.Unpacker()
        self.lock = trio.Lock()


class Traffic:
    """Sends kinds of requests to one address until told otherwise."""

    def __init__(self, host: str, port: int, kinds: Sequence[Kind], seed: int, lines: int = 8) -> None:
        self.host, self.port, self.kinds, self.random = host, port, kinds, Random(seed)
        self.most, self.tally = lines, Tally()
        self.lines: list[_Line] = []  # the open connections
        self._number, self._salt = 0, self.random.getrandbits(32)

    def schedule(self, seconds: float) -> Iterator[tuple[float, Kind]]:
        """Yield when each request is due, in seconds from the start, in order."""
        rate = sum(kind.rate_per_s for kind in self.kinds)
        at, weights = 0.0, [kind.rate_per_s for kind in self.kinds]
        while rate > 0.0:
            at += self.random.expovariate(rate)
            if at >= seconds:
                return
            yield at, self.random.choices(self.kinds, weights)[0]

    async def run(self, seconds: float) -> Tally:
        """Send for that long, wait for what is open, and return the tally."""
        async with trio.open_nursery() as nursery:
            start = trio.current_time()
            for at, kind in self.schedule(seconds):
                await trio.sleep_until(start + at)
                await self.send(kind, start + at, nursery)
            longest = max((kind.limit_ms for kind in self.kinds), default=0.0) / 1000.0 + GRACE_S
            with trio.move_on_after(longest):
                while any(line.open for line in self.lines):
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        for line in self.lines:
            for asked in line.open.values():
                self.tally.note(asked.kind, "lost")
            await trio.aclose_forcefully(line.stream)
        self.lines.clear()
        return self.tally

    async def send(self, kind: Kind, due_s: float, nursery: trio.Nursery) -> None:
        """Send one request on the least loaded connection; its answer is counted when it comes."""
        line = min(self.lines, key=lambda each: len(each.open), default=None)
        if line is None or (len(line.open) >= OPEN_MOST // 2 and len(self.lines) < self.most):
            try:
                line = _Line(await trio.open_tcp_stream(self.host, self.port))
            except OSError:
                self.tally.note(kind, "asked")
                self.tally.note(kind, "unreachable")
                return
            self.lines.append(line)
            nursery.start_soon(self._read, line)
        if len(line.open) >= OPEN_MOST:
            self.tally.counts["held_back"] += 1  # by the protocol's own bound
            return
        self.tally.note(kind, "asked")
        line.last += 1
        self._number += 1
        line.open[line.last] = _Asked(kind, due_s)
        work = self.random.expovariate(1.0 / kind.work_ms) if kind.work_ms > 0.0 else 0.0
        fields = {
            "txn": f"{self._salt:08x}{self._number:08x}",
            "limit": str(int(kind.limit_ms)),
            "team": kind.team,
            "cpu": f"{max(1.0, work):.1f}",
            "need_mb": "16",
        }
        body = b"/* work=%.1f rows=%d */ SELECT a FROM t_%d.lines" % (work, kind.rows, kind.group)
        data = msgpack.packb([0, line.last, kind.class_name, [fields, body]])
        try:
            async with line.lock:
                await line.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._lose(line)

    async def _read(self, line: _Line) -> None:
        try:
            while chunk := await line.stream.receive_some(READ_BYTES):
                line.unpacker.feed(chunk)
                for message in line.unpacker:
                    self._take(line, message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self._lose(line)

    def _take(self, line: _Line, message: Any) -> None:
        _, number, error, result = message
        if (asked := line.open.pop(number, None)) is None:
            self.tally.counts["answered_twice" if number in line.done else "unasked"] += 1
            return
        line.done[number] = asked
        if len(line.done) > 4_096:
            del line.done[next(iter(line.done))]
        what = "served" if error is None else "refused" if error[0] == "Overloaded" else "failed"
        if what == "served" and result[0].count(b"\n") != asked.kind.rows:
            what = "spoilt"
        self.tally.note(asked.kind, what, trio.current_time() - asked.due_s)

    def _lose(self, line: _Line) -> None:
        if line in self.lines:
            self.lines.remove(line)
        for asked in line.open.values():
            self.tally.note(asked.kind, "lost")
        line.open.clear()


def mixed(
    rate_per_s: float,
    teams: Sequence[str] = ("karri-energy", "saltbush-power", "pindan-retail"),
) -> list[Kind]:
    """Return light traffic in the Office's proportions, over its classes and teams."""
    shares = (0.73, 0.16, 0.11)
    kinds = list[Kind]()
    for team, share in zip(teams, shares, strict=False):
        rate = rate_per_s * share
        kinds += [
            Kind("lookup", team, rate * 0.79, 40.0, 6_000.0, 2, 1),
            Kind("settlement", team, rate * 0.15, 600.0, 10_000.0, 60, 2),
            Kind("meter-load", team, rate * 0.06, 300.0, 10_000.0, 1, 3),
        ]
    return kinds
