"""The configuration of one member of the fleet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """How one member takes part; times are in milliseconds, addresses are host:port.

    The fleet's members should have equal values, but for ``name``, ``address`` and ``seeds``.
    """

    cluster: str
    name: str
    address: str  # at which the others reach this member
    seeds: tuple[str, ...] = ()
    probe_interval_ms: float = 1_000.0
    probe_timeout_ms: float = 300.0  # after which an unanswered probe is tried through other members
    indirect_probes: int = 3  # SWIM's k: how many other members are asked then
    suspicion_factor: float = (
        5.0  # Lifeguard's alpha: shortest suspicion in units of log10(N) probe intervals
    )
    suspicion_max_factor: float = 6.0  # Lifeguard's beta: longest suspicion over the shortest
    push_pull_interval_ms: float = 10_000.0
    forget_after_ms: float = 3_600_000.0  # a member that is dead or has left is then dropped from the table
    max_members: int = 2_000
