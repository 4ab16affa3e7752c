"""A model of one engine's processors: what runs shares them, by priority. No I/O; the time is handed in.

It follows the operators' brief: all that is sent runs at once, shares are 1 : 4 : 8 : 16 by priority, total
work falls past a knee of threads a core, and a machine that has just started is cold.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

SHARES = (1.0, 4.0, 8.0, 16.0)  # by priority, 0 to 3
STEP_MS = 25.0  # the longest time over which rates are taken as constant
LEAST_PART = 0.25  # of the work that is left past the knee


@dataclass(slots=True)
class Job:
    """One statement that runs."""

    id: str
    work_ms: float  # on one core
    threads: int
    priority: int = 1
    done_ms: float = 0.0  # of its work
    rate: float = 0.0  # cores that it has just now

    @property
    def share_done(self) -> float:
        """How far it is, 0 to 1."""
        return min(1.0, self.done_ms / self.work_ms) if self.work_ms > 0.0 else 1.0


@dataclass(slots=True)
class Machine:
    """Cores shared by what runs."""

    cores: float = 8.0
    knee: float = 2.0  # threads a core past which total work falls
    fall: float = 0.2  # part of the work lost for each further thread a core
    cold_part: float = 0.32
    warm_ms: float = 15_000.0
    started_ms: float = -math.inf  # of this process; long past: warm
    slowness: float = 1.0  # times that everything takes longer
    now_ms: float = 0.0
    jobs: dict[str, Job] = field(default_factory=dict)

    def warmth(self) -> float:
        """Share of the full capacity that is there."""
        age = self.now_ms - self.started_ms
        if age >= self.warm_ms:
            return 1.0
        return self.cold_part + (1.0 - self.cold_part) * max(0.0, age) / self.warm_ms

    @property
    def threads(self) -> int:
        """Threads of all that runs."""
        return sum(job.threads for job in self.jobs.values())

    @property
    def util(self) -> float:
        """The part of the cores that is busy."""
        return min(1.0, self.threads / self.cores) if self.cores else 1.0

    def capacity(self) -> float:
        """Cores' worth of work a millisecond, all in all."""
        over = max(0.0, self.threads / self.cores - self.knee)
        part = max(LEAST_PART, 1.0 - self.fall * over)
        return self.cores * self.warmth() * part / self.slowness

    def start(self, job: Job, now_ms: float) -> list[Job]:
        """Let a job run from now on; return those that have ended until then."""
        ended = self.advance(now_ms)
        self.jobs[job.id] = job
        return ended

    def drop(self, job: str, now_ms: float) -> list[Job]:
        """Take a job away; return those that have ended until then."""
        ended = self.advance(now_ms)
        self.jobs.pop(job, None)
        return ended

    def restart(self, now_ms: float) -> None:
        """Lose all that runs, and be cold."""
        self.jobs.clear()
        self.now_ms = now_ms
        self.started_ms = now_ms

    def advance(self, now_ms: float) -> list[Job]:
        """Let time pass; return the jobs that have ended, in order."""
        ended = list[Job]()
        while self.now_ms < now_ms:
            if not self.jobs:
                self.now_ms = now_ms
                break
            self._share_out()
            step = min(
                STEP_MS,
                now_ms - self.now_ms,
                *((job.work_ms - job.done_ms) / job.rate for job in self.jobs.values() if job.rate > 0.0),
            )
            step = max(step, 1e-6)
            self.now_ms += step
            for job in list(self.jobs.values()):
                job.done_ms += job.rate * step
                if job.done_ms >= job.work_ms - 1e-6:
                    del self.jobs[job.id]
                    ended.append(job)
        return ended

    def next_end(self) -> float:
        """When the next job would end if nothing changed; inf where none runs."""
        if not self.jobs:
            return math.inf
        self._share_out()
        return self.now_ms + min(
            max(0.0, job.work_ms - job.done_ms) / max(1e-9, job.rate) for job in self.jobs.values()
        )

    def _share_out(self) -> None:
        """Give each job its share of the cores; no job can use more than its threads."""
        left = self.capacity()
        open_jobs = list(self.jobs.values())
        part = self.warmth() / self.slowness  # what one thread does of one core's work
        while open_jobs:
            weight = sum(SHARES[job.priority] * job.threads for job in open_jobs)
            capped = [
                job
                for job in open_jobs
                if left * SHARES[job.priority] * job.threads / weight >= job.threads * part
            ]
            for job in capped or open_jobs:
                job.rate = (
                    job.threads * part if capped else left * SHARES[job.priority] * job.threads / weight
                )
            if not capped:
                return
            left = max(0.0, left - sum(job.rate for job in capped))
            capped_ids = {id(job) for job in capped}
            open_jobs = [job for job in open_jobs if id(job) not in capped_ids]
