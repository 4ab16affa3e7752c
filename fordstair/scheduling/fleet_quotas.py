"""This coordinator's quotas of the fleet's budgets, and the wait that each imposes on a request; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class ThreadQuota:
    """A quota of threads in flight.

    Attributes:
        threads: Threads granted now; may be 0.
        in_flight: Threads in use.
        mean_run_ms: Run time assumed for the threads in flight; 0 if unknown.
        by_team: True if only requests of one team compete for the quota.
        by_class: True if only requests of one class compete for the quota.
        transfer_ms: Time until a quota has moved to the coordinator that needs it.
    """

    threads: int
    in_flight: int
    mean_run_ms: float
    by_team: bool
    by_class: bool
    transfer_ms: float

    def wait_ms(self, threads: int, class_work: float, team_work: float, total_work: float) -> float:
        """Return how long a request waits for this quota, in milliseconds.

        The work that competes for the quota drains at the rate of the quota.

        Args:
            threads: Threads that the request needs.
            class_work: Thread-milliseconds of its own class that go before it.
            team_work: Thread-milliseconds of its team that go before it.
            total_work: Thread-milliseconds of all teams that go before it.
        """
        work = class_work if self.by_class else team_work if self.by_team else total_work
        excess = max(0, self.in_flight + threads - self.threads)
        thread_wait_ms = excess / max(1, self.in_flight) * self.mean_run_ms
        if self.threads < threads:
            return self.transfer_ms + work / threads + thread_wait_ms
        return work / self.threads + thread_wait_ms


@dataclass(frozen=True, slots=True)
class RateQuota:
    """A quota of requests per second.

    Attributes:
        release_delay_ms: Time until a request that arrives now may be released.
    """

    release_delay_ms: float

    def wait_ms(self, threads: int, class_work: float, team_work: float, total_work: float) -> float:
        """Return the release delay, which already covers the requests that arrived earlier."""
        return self.release_delay_ms


FleetQuota: TypeAlias = ThreadQuota | RateQuota
