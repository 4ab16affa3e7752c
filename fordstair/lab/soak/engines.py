"""Stand-in engines that write down every attempt."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from fordstair.lab.engine import Run, StandIn
from fordstair.lab.kernel_times import data_age_s
from fordstair.lab.machine import Machine
from fordstair.lab.soak.records import AttemptRecord, SoakRecord

CORES = 8.0


class WatchedEngine(StandIn):
    """An engine whose attempts stand in the record of a run."""

    def __init__(self, name: str, record: SoakRecord, start_s: float) -> None:
        super().__init__(name, Machine(cores=CORES))
        self._record = record
        self._start_s = start_s
        self._latest: dict[str, AttemptRecord] = {}
        self._came_on: dict[trio.SocketStream, AttemptRecord] = {}  # the latest on each connection

    def _now_s(self) -> float:
        return trio.current_time() - self._start_s

    def rebase(self, start_s: float) -> None:
        """Count the time of the run from here on."""
        self._start_s = start_s

    def noticed(self, method: str, fields: Mapping[str, str], stream: trio.SocketStream) -> None:
        """Write a POST down that has come whole, also where the engine is silent."""
        if method == "POST":
            txn = fields.get("x-txn", "")
            arrived_s = self._now_s() - data_age_s(stream)
            attempt = AttemptRecord(txn, self.name, arrived_s, float(fields.get("x-limit-ms", "nan")))
            self._latest[txn] = attempt
            self._came_on[stream] = attempt
            self._record.attempts.append(attempt)

    def reset_connections(self) -> None:
        """Write down which attempts' connections are reset."""
        for stream in self._streams:
            if (attempt := self._came_on.pop(stream, None)) is not None:
                attempt.connection_ended_s = self._now_s()
        super().reset_connections()

    async def _post(self, fields: dict[str, str], body: bytes) -> tuple[int, list[tuple[str, str]], bytes]:
        attempt = self._latest[fields.get("x-txn", "")]
        before = self.started[attempt.txn]
        attempt.started_s = self._now_s()
        attempt.how = "runs"
        answered = await super()._post(fields, body)
        if self.started[attempt.txn] == before:
            attempt.how = "refused"
            attempt.started_s = float("inf")
        return answered

    def _end(self, run: Run, how: str) -> None:
        super()._end(run, how)
        if (attempt := self._latest.get(run.txn)) is not None and attempt.how == "runs":
            attempt.how = how
            attempt.ended_s = self._now_s()
