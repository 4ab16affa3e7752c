"""A model of one engine's processors, which running statements share by priority.

It performs no I/O, and callers pass the time in. It follows the operators' brief: every statement that is
sent runs at once, weights by priority are 1 : 4 : 8 : 16, throughput falls past a knee of threads per core,
and a machine that has just started is cold.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

PRIORITY_WEIGHTS = (1.0, 4.0, 8.0, 16.0)  # indexed by priority
MAX_STEP_MS = 25.0  # rates are taken as constant within a step
MIN_EFFICIENCY = 0.25  # lower bound of the throughput past the knee, as a share of full throughput


@dataclass(slots=True)
class Job:
    """One running statement.

    Attributes:
        work_ms: total work, as time on one core.
        done_ms: work completed so far.
        rate: cores allocated at present.
    """

    id: str
    work_ms: float
    threads: int
    priority: int = 1
    done_ms: float = 0.0
    rate: float = 0.0

    @property
    def progress(self) -> float:
        """Completed share of the work, from 0 to 1."""
        return min(1.0, self.done_ms / self.work_ms) if self.work_ms > 0.0 else 1.0


@dataclass(slots=True)
class Machine:
    """Cores shared by the running jobs.

    Attributes:
        knee_threads_per_core: threads per core past which total throughput falls.
        loss_per_thread: share of the throughput lost for each further thread per core.
        cold_capacity: share of the full capacity right after the start.
        warm_up_ms: time from the start until the full capacity is reached.
        started_ms: start time of the process; the default makes the machine warm.
        slowness: factor by which all work takes longer.
    """

    cores: float = 8.0
    knee_threads_per_core: float = 2.0
    loss_per_thread: float = 0.2
    cold_capacity: float = 0.32
    warm_up_ms: float = 15_000.0
    started_ms: float = -math.inf
    slowness: float = 1.0
    now_ms: float = 0.0
    jobs: dict[str, Job] = field(default_factory=dict)

    def warmth(self) -> float:
        """Return the available share of the full capacity."""
        age = self.now_ms - self.started_ms
        if age >= self.warm_up_ms:
            return 1.0
        return self.cold_capacity + (1.0 - self.cold_capacity) * max(0.0, age) / self.warm_up_ms

    @property
    def threads(self) -> int:
        """Threads of all running jobs."""
        return sum(job.threads for job in self.jobs.values())

    @property
    def util(self) -> float:
        """Share of the cores that is busy."""
        return min(1.0, self.threads / self.cores) if self.cores else 1.0

    def capacity(self) -> float:
        """Return the total throughput, in cores."""
        excess = max(0.0, self.threads / self.cores - self.knee_threads_per_core)
        efficiency = max(MIN_EFFICIENCY, 1.0 - self.loss_per_thread * excess)
        return self.cores * self.warmth() * efficiency / self.slowness

    def start(self, job: Job, now_ms: float) -> list[Job]:
        """Advance to ``now_ms`` and start a job; return the jobs that ended by then."""
        ended = self.advance(now_ms)
        self.jobs[job.id] = job
        return ended

    def remove(self, job_id: str, now_ms: float) -> list[Job]:
        """Advance to ``now_ms`` and remove a job; return the jobs that ended by then."""
        ended = self.advance(now_ms)
        self.jobs.pop(job_id, None)
        return ended

    def restart(self, now_ms: float) -> None:
        """Discard all running jobs and become cold, as a restarted process does."""
        self.jobs.clear()
        self.now_ms = now_ms
        self.started_ms = now_ms

    def advance(self, now_ms: float) -> list[Job]:
        """Simulate the time up to ``now_ms``; return the jobs that ended, in order."""
        ended = list[Job]()
        while self.now_ms < now_ms:
            if not self.jobs:
                self.now_ms = now_ms
                break
            self._allocate_cores()
            step = min(
                MAX_STEP_MS,
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

    def next_end_ms(self) -> float:
        """Return when the next job would end if nothing changed, or infinity if none runs."""
        if not self.jobs:
            return math.inf
        self._allocate_cores()
        return self.now_ms + min(
            max(0.0, job.work_ms - job.done_ms) / max(1e-9, job.rate) for job in self.jobs.values()
        )

    def _allocate_cores(self) -> None:
        """Divide the capacity by weight; no job can use more than its threads."""
        remaining = self.capacity()
        open_jobs = list(self.jobs.values())
        thread_rate = self.warmth() / self.slowness  # cores' worth of work that one thread can do
        while open_jobs:
            total_weight = sum(PRIORITY_WEIGHTS[job.priority] * job.threads for job in open_jobs)
            capped = [
                job
                for job in open_jobs
                if remaining * PRIORITY_WEIGHTS[job.priority] * job.threads / total_weight
                >= job.threads * thread_rate
            ]
            for job in capped or open_jobs:
                job.rate = (
                    job.threads * thread_rate
                    if capped
                    else remaining * PRIORITY_WEIGHTS[job.priority] * job.threads / total_weight
                )
            if not capped:
                return
            remaining = max(0.0, remaining - sum(job.rate for job in capped))
            capped_ids = {id(job) for job in capped}
            open_jobs = [job for job in open_jobs if id(job) not in capped_ids]
