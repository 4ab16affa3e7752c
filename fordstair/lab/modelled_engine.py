"""A modelled engine in virtual time: a machine and the engine protocol's rules for queries."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field, replace

import trio

from fordstair.core.ports import AttemptFailedError
from fordstair.decisions.engine_list import EngineEntry
from fordstair.decisions.events import Status
from fordstair.lab.clockwork import now_ms
from fordstair.lab.engine_protocol import (
    ABANDONED_AFTER_MS,
    IDLE_WAKE_MS,
    MIN_WORK_MS,
    REPORT_INTERVAL_MS,
)
from fordstair.lab.machine import Job, Machine

WAKE_MARGIN_MS = 0.01  # added to the due end of a job, so that it has ended on wake-up


@dataclass(slots=True)
class EngineRun:
    """One query at an engine.

    Attributes:
        polled_ms: time of the latest poll.
        served: whether the query ended with a result.
        progress_sent_ms: time of the latest progress note.
    """

    txn: str
    team: int
    threads: int
    polled_ms: float
    is_load: bool = False
    ended: trio.Event = field(default_factory=trio.Event)
    served: bool = False
    progress_sent_ms: float = 0.0


class ModelledEngine:
    """One modelled engine.

    Attributes:
        silent: the engine neither resets connections nor responds, while running queries continue.
        runs: running queries, by transaction ID.
        load_starts: number of starts of each load, by transaction ID.
        arrived_work: time (ms) and thread-milliseconds of each query that was accepted.
    """

    def __init__(self, name: str, machine: Machine, zone: int = 0, sessions: int = 256) -> None:
        self.entry = EngineEntry(name, zone=zone)
        self.machine = machine
        self.sessions = sessions
        self.silent = False
        self.runs: dict[str, EngineRun] = {}
        self.load_starts: Counter[str] = Counter()
        self.arrived_work: list[tuple[float, float]] = []
        self._report: dict[str, float] = {}
        self._report_ms = -math.inf
        self._wakeup = trio.Event()

    async def run(self) -> None:
        """End queries that are complete or no longer polled, until cancelled."""
        self.machine.now_ms = now_ms()
        while True:
            now = now_ms()
            self._advance(now)
            for run in [run for run in self.runs.values() if now - run.polled_ms > ABANDONED_AFTER_MS]:
                self.end(run, served=False)
            self._wakeup = trio.Event()
            wait_ms = max(0.0, self.machine.next_end_ms() - now)
            with trio.move_on_after(min(IDLE_WAKE_MS, wait_ms + WAKE_MARGIN_MS) / 1e3):
                await self._wakeup.wait()

    def begin(self, run: EngineRun, work_ms: float, priority: int) -> None:
        """Start a query; raise AttemptFailedError if no session is free."""
        if len(self.runs) >= self.sessions:
            raise AttemptFailedError(Status.FULL, f"all {self.sessions} sessions are in use")
        self._advance(now_ms())
        if run.is_load:
            self.load_starts[run.txn] += 1
        self.arrived_work.append((now_ms(), work_ms))
        self.runs[run.txn] = run
        self.machine.start(Job(run.txn, max(MIN_WORK_MS, work_ms), run.threads, priority), now_ms())
        self._wakeup.set()

    def end(self, run: EngineRun, *, served: bool) -> None:
        """End a query, with a result if ``served``; do nothing if it has ended already."""
        if self.runs.pop(run.txn, None) is not None:
            self._advance(now_ms())
            self.machine.jobs.pop(run.txn, None)
            run.served = served
            run.ended.set()
            self._wakeup.set()

    def restart_cold(self) -> None:
        """Restart as a new process at the same address; running queries are lost."""
        self.silent = False
        for run in list(self.runs.values()):
            self.end(run, served=False)
        self.machine.restart(now_ms())
        self.entry = replace(self.entry, started_ms=now_ms())

    def set_priority(self, run: EngineRun, priority: int) -> None:
        """Change the priority of a running query."""
        self._advance(now_ms())
        if (job := self.machine.jobs.get(run.txn)) is not None:
            job.priority = priority
            self._wakeup.set()

    def report(self) -> dict[str, float]:
        """Return the load report, which may be up to REPORT_INTERVAL_MS old."""
        now = now_ms()
        if now - self._report_ms >= REPORT_INTERVAL_MS:
            self._report = {"util": round(self.machine.util, 2), "inflight": float(len(self.runs))}
            self._report_ms = now
        return self._report

    def _advance(self, now: float) -> None:
        for job in self.machine.advance(now):
            if (run := self.runs.pop(job.id, None)) is not None:
                run.served = True
                run.ended.set()
