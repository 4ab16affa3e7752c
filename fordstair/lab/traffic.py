"""Open-loop traffic over the platform's protocol: requests go out at their time, whatever is still open.

Latency counts from the time at which a request was due, so that a coordinator that stalls cannot hide it.
Every answer is accounted for: one that comes twice, or never, is counted apart.
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

MAX_OPEN = 32  # requests on one connection, by the protocol
MAX_ANSWERED = 4_096  # remembered for each connection, to know a second answer by
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
    by_kind: Counter[tuple[str, str, str]] = field(default_factory=Counter)  # class, team, end
    latency: Any = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))  # microseconds, served
    refusal: Any = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))  # the same, refused

    def count(self, kind: Kind, end: str, took_s: float = 0.0) -> None:
        """Count one end."""
        self.counts[end] += 1
        self.by_kind[kind.class_name, kind.team, end] += 1
        if end == "served":
            self.latency.record_value(max(1, int(took_s * 1e6)))
        elif end == "refused":
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
class _Request:
    kind: Kind
    due_s: float
    answered: bool = False


class _Connection:
    """One connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.last = 0
        self.open = dict[int, _Request]()
        self.answered: dict[int, _Request] = {}  # answered, to know a second answer by
        self.unpacker = msgpack.Unpacker()
        self.lock = trio.Lock()


class Traffic:
    """Sends kinds of requests to one address."""

    def __init__(
        self, host: str, port: int, kinds: Sequence[Kind], seed: int, max_connections: int = 8
    ) -> None:
        self.host = host
        self.port = port
        self.kinds = kinds
        self.random = Random(seed)
        self.max_connections = max_connections
        self.tally = Tally()
        self.connections: list[_Connection] = []  # the open connections
        self._number = 0
        self._salt = self.random.getrandbits(32)

    def schedule(self, seconds: float) -> Iterator[tuple[float, Kind]]:
        """Yield when each request is due, in seconds from the start, in order."""
        rate = sum(kind.rate_per_s for kind in self.kinds)
        at = 0.0
        weights = [kind.rate_per_s for kind in self.kinds]
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
                while any(connection.open for connection in self.connections):
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        for connection in self.connections:
            for asked in connection.open.values():
                self.tally.count(asked.kind, "lost")
            await trio.aclose_forcefully(connection.stream)
        self.connections.clear()
        return self.tally

    async def send(self, kind: Kind, due_s: float, nursery: trio.Nursery) -> None:
        """Send one request on the least loaded connection; its answer is counted when it comes."""
        connection = min(self.connections, key=lambda each: len(each.open), default=None)
        if connection is None or (
            len(connection.open) >= MAX_OPEN // 2 and len(self.connections) < self.max_connections
        ):
            try:
                connection = _Connection(await trio.open_tcp_stream(self.host, self.port))
            except OSError:
                self.tally.count(kind, "asked")
                self.tally.count(kind, "unreachable")
                return
            self.connections.append(connection)
            nursery.start_soon(self._read, connection)
        if len(connection.open) >= MAX_OPEN:
            self.tally.counts["held_back"] += 1  # by the protocol's own bound
            return
        self.tally.count(kind, "asked")
        connection.last += 1
        self._number += 1
        connection.open[connection.last] = _Request(kind, due_s)
        work = self.random.expovariate(1.0 / kind.work_ms) if kind.work_ms > 0.0 else 0.0
        fields = {
            "txn": f"{self._salt:08x}{self._number:08x}",
            "limit": str(int(kind.limit_ms)),
            "team": kind.team,
            "cpu": f"{max(1.0, work):.1f}",
            "need_mb": "16",
        }
        body = b"/* work=%.1f rows=%d */ SELECT a FROM t_%d.lines" % (work, kind.rows, kind.group)
        data = msgpack.packb([0, connection.last, kind.class_name, [fields, body]])
        try:
            async with connection.lock:
                await connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._lose(connection)

    async def _read(self, connection: _Connection) -> None:
        try:
            while chunk := await connection.stream.receive_some(READ_BYTES):
                connection.unpacker.feed(chunk)
                for message in connection.unpacker:
                    self._receive(connection, message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self._lose(connection)

    def _receive(self, connection: _Connection, message: Any) -> None:
        _, number, error, result = message
        if (asked := connection.open.pop(number, None)) is None:
            self.tally.counts["answered_twice" if number in connection.answered else "unasked"] += 1
            return
        connection.answered[number] = asked
        if len(connection.answered) > MAX_ANSWERED:
            del connection.answered[next(iter(connection.answered))]
        what = "served" if error is None else "refused" if error[0] == "Overloaded" else "failed"
        if what == "served" and result[0].count(b"\n") != asked.kind.rows:
            what = "spoilt"
        self.tally.count(asked.kind, what, trio.current_time() - asked.due_s)

    def _lose(self, connection: _Connection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        for asked in connection.open.values():
            self.tally.count(asked.kind, "lost")
        connection.open.clear()


def mixed(
    rate_per_s: float,
    teams: Sequence[str] = ("karri-energy", "saltbush-power", "pindan-retail"),
) -> list[Kind]:
    """Return light traffic of all classes, for each team by its share."""
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
