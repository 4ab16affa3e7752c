"""This coordinator's quotas of the fleet's budgets, as they bind the wait of one request; pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class ThreadQuota:
    """A quota of threads in flight."""

    threads: int  # 0 for none just now
    in_flight: int
    mean_run_ms: float  # for which each of those in flight is taken to run; 0: not known
    by_team: bool  # only requests of its own team compete for it
    by_class: bool  # only those of its own class
    transfer_ms: float  # in which a quota comes to where it is wanted

    def wait_ms(self, threads: int, own: float, team: float, all_of: float) -> float:
        """Return how long a request of so many threads waits behind that work, in thread-milliseconds.

        ``own`` is the work of its own class that goes before it, ``team`` that of its team and ``all_of``
        that of all teams: what competes for this quota drains at the rate of the quota.
        """
        work = own if self.by_class else team if self.by_team else all_of
        excess = max(0, self.in_flight + threads - self.threads)
        free_in_ms = excess / max(1, self.in_flight) * self.mean_run_ms
        if self.threads < threads:
            return self.transfer_ms + work / threads + free_in_ms
        return work / self.threads + free_in_ms


@dataclass(frozen=True, slots=True)
class RateQuota:
    """A quota of requests a second."""

    next_release_ms: float  # until one that comes now may go

    def wait_ms(self, threads: int, own: float, team: float, all_of: float) -> float:
        """Return that time: whoever came before is in it already."""
        return self.next_release_ms


FleetQuota: TypeAlias = ThreadQuota | RateQuota
