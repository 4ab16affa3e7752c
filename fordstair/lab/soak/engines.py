"""Fake engines that record every attempt."""

from __future__ import annotations

import math
from collections.abc import Mapping
from weakref import WeakKeyDictionary

import trio

from fordstair.lab.engine import FakeEngine, Run
from fordstair.lab.kernel_times import data_age_s
from fordstair.lab.machine import Machine
from fordstair.lab.soak.plan import ENGINE_CORES
from fordstair.lab.soak.records import AttemptRecord, SoakRecord


class WatchedEngine(FakeEngine):
    """A fake engine that adds its attempts to the record of a run."""

    def __init__(self, name: str, record: SoakRecord, start_s: float) -> None:
        super().__init__(name, Machine(cores=ENGINE_CORES))
        self._record = record
        self._start_s = start_s
        self._latest: dict[str, AttemptRecord] = {}
        self._latest_on: WeakKeyDictionary[trio.SocketStream, AttemptRecord] = WeakKeyDictionary()
        self._arrived_s: WeakKeyDictionary[trio.SocketStream, float] = WeakKeyDictionary()
        self._first_byte_s: WeakKeyDictionary[trio.SocketStream, float] = WeakKeyDictionary()

    def _now_s(self) -> float:
        return trio.current_time() - self._start_s

    def rebase(self, start_s: float) -> None:
        """Set the start of the run, from which times count."""
        self._start_s = start_s

    def before_read(self, stream: trio.SocketStream, *, first: bool) -> None:
        """Record when bytes of a request arrived: the connection may be reset before they are handled."""
        self._arrived_s[stream] = self._now_s() - data_age_s(stream)
        if first:
            self._first_byte_s[stream] = self._arrived_s[stream]

    def on_request(self, method: str, fields: Mapping[str, str], stream: trio.SocketStream) -> None:
        """Record a POST that has arrived completely, even if the engine is silent."""
        if method == "POST":
            txn = fields.get("x-txn", "")
            attempt = AttemptRecord(
                txn, self.name, self._arrived_s[stream], float(fields.get("x-limit-ms", "nan"))
            )
            attempt.first_byte_s = self._first_byte_s.get(stream, math.inf)
            attempt.class_name = fields.get("x-lane", "")
            self._latest[txn] = attempt
            self._latest_on[stream] = attempt
            self._record.attempts.append(attempt)

    def reset_connections(self) -> None:
        """Reset all connections, and record the time at the latest attempt on each."""
        for stream in self._streams:
            if (attempt := self._latest_on.pop(stream, None)) is not None:
                attempt.connection_reset_s = self._now_s()
        super().reset_connections()

    async def _post(self, fields: dict[str, str], body: bytes) -> tuple[int, list[tuple[str, str]], bytes]:
        attempt = self._latest[fields.get("x-txn", "")]
        starts_before = self.started[attempt.txn]
        attempt.started_s = self._now_s()
        attempt.outcome = "runs"
        attempt.statement = body
        answer = await super()._post(fields, body)
        if self.started[attempt.txn] == starts_before:
            attempt.outcome = "refused"
            attempt.started_s = float("inf")
        return answer

    def _end(self, run: Run, how: str) -> None:
        super()._end(run, how)
        if (attempt := self._latest.get(run.txn)) is not None and attempt.outcome == "runs":
            attempt.outcome = how
            attempt.ended_s = self._now_s()
