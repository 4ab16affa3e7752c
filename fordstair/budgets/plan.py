"""The fleet's limits, and how they are divided between floors and leases; pure.

Amounts are whole units: threads at engines, or thousandths of a request a second. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b
from typing import Literal

UNITS_PER_REQUEST_PER_S = 1_000
MAX_LIMITS = 32  # of one plan
REQUESTS_PER_LEASE = 5.0  # in a lease's time: four may be lost before the lease is


@dataclass(frozen=True, slots=True)
class FleetLimit:
    """One quota that all coordinators together must keep."""

    kind: Literal["threads", "rate"]
    units: int
    team: str = ""  # empty: all teams together
    class_name: str = ""  # empty: all classes together
    quantum: int = 1  # threads of the largest request: a smaller allotment lets some requests never start
    min_useful: int = 1  # threads of the smallest request: a smaller allotment lets no request start

    @property
    def name(self) -> str:
        """Its name in logs and on the console."""
        return f"{self.kind}:{self.team or '*'}:{self.class_name or '*'}"

    @property
    def units_per_amount(self) -> int:
        """Units of one thread or of one request a second."""
        return 1 if self.kind == "threads" else UNITS_PER_REQUEST_PER_S


@dataclass(frozen=True)  # without slots: derived values are cached, since each datagram needs them
class BudgetPlan:
    """All limits, the voters, and the bounds on time; every member must have the same plan.

    A voter may lead, votes for a leader, and has a floor: an allotment that it may use without any lease.
    Invariant, never more than the limit: the floors of all voters, running or not, and the leases of all
    members together stay within each limit.
    """

    cluster: str
    limits: tuple[FleetLimit, ...]
    voters: tuple[str, ...]
    lease_ms: float = 5_000.0
    max_clock_drift: float = 0.01  # how far a clock's rate may be from the right one, either way
    floor_share: float = 0.2  # of an even share of a limit
    fleet_size: int = 0  # members among whom a share is even; at least the voters

    @property
    def drift_margin(self) -> float:
        """How much longer than a lease its grantor waits: clocks at opposite ends of the bound on drift."""
        return (1.0 + self.max_clock_drift) / (1.0 - self.max_clock_drift)

    @property
    def safe_expiry_ms(self) -> float:
        """After so long by any member's clock, a lease granted before has expired by every clock."""
        return self.lease_ms * self.drift_margin

    @property
    def request_interval_ms(self) -> float:
        """How often a lease is renewed, and so in what time an allotment moves to where it is wanted."""
        return self.lease_ms / REQUESTS_PER_LEASE

    @property
    def leadership_ms(self) -> float:
        """How long a leader counts on a promise, by its clock: so short that leases outlast a change."""
        return self.lease_ms / 3.0

    @property
    def promise_ms(self) -> float:
        """How long a voter keeps a promise, by its clock: longer than its leader counts on it."""
        return self.leadership_ms * self.drift_margin

    @cached_property
    def floors(self) -> tuple[int, ...]:
        """Each voter's floor of each limit, in units: a multiple of ``min_useful``, which may be 0."""
        size = max(self.fleet_size, len(self.voters))
        return tuple(
            int(limit.units * self.floor_share) // size // limit.min_useful * limit.min_useful
            for limit in self.limits
        )

    @cached_property
    def lendable(self) -> tuple[int, ...]:
        """The units of each limit that leases may hand out: what the floors leave."""
        return tuple(
            limit.units - floor * len(self.voters)
            for limit, floor in zip(self.limits, self.floors, strict=True)
        )

    @property
    def nothing(self) -> tuple[int, ...]:
        """No unit of any limit."""
        return (0,) * len(self.limits)

    def floors_of(self, member: str) -> tuple[int, ...]:
        """A member's floors in units; 0 for one that is no voter."""
        return self.floors if member in self.voters else self.nothing

    @cached_property
    def digest(self) -> int:
        """48 bits that differ between two plans; members with another plan are neither granted nor heard."""
        limits = ", ".join(_digest_text(limit) for limit in self.limits)
        if len(self.limits) == 1:
            limits += ","
        others = (
            sorted(self.voters),
            self.lease_ms,
            self.max_clock_drift,
            self.floor_share,
            self.fleet_size,
        )
        text = f"({self.cluster!r}, ({limits}), " + repr(others)[1:]
        return int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")


def _digest_text(limit: FleetLimit) -> str:
    """Return the text that the digest reads; it goes on the wire, so no name in the code may change it."""
    return (
        f"Whole(kind={limit.kind!r}, units={limit.units!r}, team={limit.team!r}, klass={limit.class_name!r}, "
        f"quantum={limit.quantum!r}, least={limit.min_useful!r})"
    )


@dataclass(frozen=True, slots=True)
class FleetBudgetsConfig:
    """One member's part in a plan."""

    plan: BudgetPlan
    member: str
    listen: tuple[str, int]
    voter_addresses: Mapping[str, str]  # host:port by name
    audit_path: str = ""  # a file that gets a line for each allotment; empty: none
