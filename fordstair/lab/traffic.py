"""Sends open-loop traffic over the platform's protocol: requests are sent when due, whatever is in flight.

Latency is measured from the time at which a request was due, so that a coordinator that stalls cannot hide
it. Second answers and requests without an answer are counted separately.
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

# The protocol's limit on open requests on one connection.
MAX_OPEN = 32
# How many answered requests a connection remembers, to detect second answers.
MAX_ANSWERED = 4_096
READ_BYTES = 65_536
# A request without an answer counts as lost so long after its time limit.
GRACE_S = 1.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Attributes:
        work_ms: The mean of the work, which is exponentially distributed; a mean of 0 stands for no work.
    """

    class_name: str
    team: str
    rate_per_s: float
    work_ms: float
    limit_ms: float
    rows: int = 1
    group: int = 1


@dataclass(slots=True)
class Tally:
    """Counts the requests and their outcomes.

    Attributes:
        counts: How many requests were sent (``asked``), served, refused, failed, lost, and so on.
        by_kind: The same by class, team and outcome, but for ``held_back``, ``answered_twice``, ``unasked``.
        latency: The latency of served requests, in microseconds.
        refusal_latency: The latency of refused requests, in microseconds.
    """

    counts: Counter[str] = field(default_factory=Counter)
    by_kind: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    latency: Any = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))
    refusal_latency: Any = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))

    def count(self, kind: RequestKind, outcome: str, latency_s: float = 0.0) -> None:
        """Count an outcome, or a request that is sent (``asked``)."""
        self.counts[outcome] += 1
        self.by_kind[kind.class_name, kind.team, outcome] += 1
        if outcome == "served":
            self.latency.record_value(max(1, int(latency_s * 1e6)))
        elif outcome == "refused":
            self.refusal_latency.record_value(max(1, int(latency_s * 1e6)))

    def summary(self) -> dict[str, float]:
        """Return the counts, and the 50th and 99th percentile of the latency in ms."""
        names = ("asked", "served", "refused", "failed", "lost", "answered_twice")
        return {
            **{name: self.counts[name] for name in names},
            "p50_ms": self.percentile_ms(50.0),
            "p99_ms": self.percentile_ms(99.0),
        }

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the served requests' latency, in ms."""
        return round(float(self.latency.get_value_at_percentile(percentile)) / 1000.0, 3)


@dataclass(slots=True)
class _Request:
    kind: RequestKind
    due_s: float
    answered: bool = False


class _Connection:
    """One connection to the coordinator.

    Attributes:
        last_id: The message id of the latest request.
        open: The requests without an answer, by message id.
        answered: The latest answered requests, by message id, to detect second answers.
        send_lock: Keeps the bytes of two requests apart.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.last_id = 0
        self.open = dict[int, _Request]()
        self.answered: dict[int, _Request] = {}
        self.unpacker = msgpack.Unpacker()
        self.send_lock = trio.Lock()


class Traffic:
    """Sends requests of some kinds to one address, and counts the answers."""

    def __init__(
        self, host: str, port: int, kinds: Sequence[RequestKind], seed: int, max_connections: int = 8
    ) -> None:
        self.host = host
        self.port = port
        self.kinds = kinds
        self.random = Random(seed)
        self.max_connections = max_connections
        self.tally = Tally()
        self.connections: list[_Connection] = []
        self._last_number = 0
        self._txn_prefix = self.random.getrandbits(32)

    def schedule(self, seconds: float) -> Iterator[tuple[float, RequestKind]]:
        """Yield each request's due time, in seconds from the start, and its kind, in order of time."""
        rate = sum(kind.rate_per_s for kind in self.kinds)
        at = 0.0
        weights = [kind.rate_per_s for kind in self.kinds]
        while rate > 0.0:
            at += self.random.expovariate(rate)
            if at >= seconds:
                return
            yield at, self.random.choices(self.kinds, weights)[0]

    async def run(self, seconds: float) -> Tally:
        """Send for so many seconds, wait for the open requests up to their limits, and return the tally."""
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
            for request in connection.open.values():
                self.tally.count(request.kind, "lost")
            await trio.aclose_forcefully(connection.stream)
        self.connections.clear()
        return self.tally

    async def send(self, kind: RequestKind, due_s: float, nursery: trio.Nursery) -> None:
        """Send one request on the least loaded connection; its answer is counted on arrival."""
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
            nursery.start_soon(self._read_answers, connection)
        if len(connection.open) >= MAX_OPEN:
            # The protocol allows no further request on this connection.
            self.tally.counts["held_back"] += 1
            return
        self.tally.count(kind, "asked")
        connection.last_id += 1
        self._last_number += 1
        connection.open[connection.last_id] = _Request(kind, due_s)
        work = self.random.expovariate(1.0 / kind.work_ms) if kind.work_ms > 0.0 else 0.0
        fields = {
            "txn": f"{self._txn_prefix:08x}{self._last_number:08x}",
            "limit": str(int(kind.limit_ms)),
            "team": kind.team,
            "cpu": f"{max(1.0, work):.1f}",
            "need_mb": "16",
        }
        body = b"/* work=%.1f rows=%d */ SELECT a FROM t_%d.lines" % (work, kind.rows, kind.group)
        data = msgpack.packb([0, connection.last_id, kind.class_name, [fields, body]])
        try:
            async with connection.send_lock:
                await connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._remove_connection(connection)

    async def _read_answers(self, connection: _Connection) -> None:
        try:
            while chunk := await connection.stream.receive_some(READ_BYTES):
                connection.unpacker.feed(chunk)
                for message in connection.unpacker:
                    self._handle_answer(connection, message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self._remove_connection(connection)

    def _handle_answer(self, connection: _Connection, message: Any) -> None:
        _, number, error, result = message
        if (request := connection.open.pop(number, None)) is None:
            self.tally.counts["answered_twice" if number in connection.answered else "unasked"] += 1
            return
        connection.answered[number] = request
        if len(connection.answered) > MAX_ANSWERED:
            del connection.answered[next(iter(connection.answered))]
        outcome = "served" if error is None else "refused" if error[0] == "Overloaded" else "failed"
        if outcome == "served" and result[0].count(b"\n") != request.kind.rows:
            outcome = "spoilt"
        self.tally.count(request.kind, outcome, trio.current_time() - request.due_s)

    def _remove_connection(self, connection: _Connection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        for request in connection.open.values():
            self.tally.count(request.kind, "lost")
        connection.open.clear()


def mixed_kinds(
    rate_per_s: float,
    teams: Sequence[str] = ("karri-energy", "saltbush-power", "pindan-retail"),
) -> list[RequestKind]:
    """Return kinds of light requests of all classes, at rates that split ``rate_per_s`` among the teams."""
    shares = (0.73, 0.16, 0.11)
    kinds = list[RequestKind]()
    for team, share in zip(teams, shares, strict=False):
        rate = rate_per_s * share
        kinds += [
            RequestKind("lookup", team, rate * 0.79, 40.0, 6_000.0, 2, 1),
            RequestKind("settlement", team, rate * 0.15, 600.0, 10_000.0, 60, 2),
            RequestKind("meter-load", team, rate * 0.06, 300.0, 10_000.0, 1, 3),
        ]
    return kinds
