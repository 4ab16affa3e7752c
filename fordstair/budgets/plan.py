"""The fleet's limits, and their division between floors and leases; pure.

Amounts are whole units: threads at engines, or thousandths of a request per second. Times are in ms.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b
from typing import Literal

UNITS_PER_REQUEST_PER_S = 1_000
MAX_LIMITS = 32
REQUESTS_PER_LEASE = 5.0  # requests during ``lease_ms``: four in a row may be lost before the lease is


@dataclass(frozen=True, slots=True)
class FleetLimit:
    """One limit that all coordinators together must keep.

    Attributes:
        team: Team that is limited; empty if the limit is for all teams together.
        class_name: Request class that is limited; empty if the limit is for all classes together.
        quantum: Threads of the largest request; with a smaller allotment some requests never start.
        min_useful: Threads of the smallest request; with a smaller allotment no request starts.
    """

    kind: Literal["threads", "rate"]
    units: int
    team: str = ""
    class_name: str = ""
    quantum: int = 1
    min_useful: int = 1

    @property
    def name(self) -> str:
        """The name of the limit in logs and on the console."""
        return f"{self.kind}:{self.team or '*'}:{self.class_name or '*'}"

    @property
    def units_per_amount(self) -> int:
        """The units of one thread or of one request per second."""
        return 1 if self.kind == "threads" else UNITS_PER_REQUEST_PER_S


@dataclass(frozen=True)  # no slots: cached_property keeps derived values, which every datagram needs
class BudgetPlan:
    """All limits, the voters and the timing bounds; every member must have the same plan.

    A voter votes for a leader, may lead, and has floors: units that it may use without any lease.
    Invariant, never more than the limit: the floors of all voters, running or not, and the leases of all
    members together stay within each limit.

    Attributes:
        max_clock_drift: Largest relative deviation of a clock's rate, either way.
        floor_share: Fraction of an even share of a limit that is a voter's floor.
        fleet_size: Members among which a share is even; the number of voters is used if it is greater.
    """

    cluster: str
    limits: tuple[FleetLimit, ...]
    voters: tuple[str, ...]
    lease_ms: float = 5_000.0
    max_clock_drift: float = 0.01
    floor_share: float = 0.2
    fleet_size: int = 0

    @property
    def drift_margin(self) -> float:
        """The factor by which a grantor outwaits a lease, since two clocks may drift in opposite ways."""
        return (1.0 + self.max_clock_drift) / (1.0 - self.max_clock_drift)

    @property
    def safe_expiry_ms(self) -> float:
        """The time by any member's clock after which a lease granted before has expired by every clock."""
        return self.lease_ms * self.drift_margin

    @property
    def request_interval_ms(self) -> float:
        """The interval of lease renewals, and so the time in which an allotment moves to another member."""
        return self.lease_ms / REQUESTS_PER_LEASE

    @property
    def leadership_ms(self) -> float:
        """How long a leader relies on a promise, by its clock; short, so that leases outlast an election."""
        return self.lease_ms / 3.0

    @property
    def promise_ms(self) -> float:
        """How long a voter keeps a promise, by its clock; longer than its leader relies on it."""
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
        """The units of each limit that may be leased: those that the floors leave."""
        return tuple(
            limit.units - floor * len(self.voters)
            for limit, floor in zip(self.limits, self.floors, strict=True)
        )

    @property
    def zero_units(self) -> tuple[int, ...]:
        """Zero units of each limit."""
        return (0,) * len(self.limits)

    def floors_of(self, member: str) -> tuple[int, ...]:
        """Return a member's floors in units; they are 0 for a member that is no voter."""
        return self.floors if member in self.voters else self.zero_units

    @cached_property
    def digest(self) -> int:
        """48 bits that differ between two plans; messages of members with another plan are dropped."""
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
    """Return a limit's text for the digest that peers compare; renames in the code must not change it."""
    return (
        f"Whole(kind={limit.kind!r}, units={limit.units!r}, team={limit.team!r}, klass={limit.class_name!r}, "
        f"quantum={limit.quantum!r}, least={limit.min_useful!r})"
    )


@dataclass(frozen=True, slots=True)
class FleetBudgetsConfig:
    """Configuration of one member.

    Attributes:
        voter_addresses: Address (``host:port``) of each voter, by name.
        audit_path: Path of the audit file; empty for none.
    """

    plan: BudgetPlan
    member: str
    listen: tuple[str, int]
    voter_addresses: Mapping[str, str]
    audit_path: str = ""
