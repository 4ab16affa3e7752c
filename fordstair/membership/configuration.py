"""The configuration of one member of the fleet."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """The parameters of one member; addresses are in the form host:port.

    All members of a fleet should have equal values, except for ``name``, ``address`` and ``seeds``.

    Attributes:
        cluster: The fleet's name; messages of another cluster are dropped.
        name: The member's name.
        address: The address at which other members reach this member.
        seeds: The addresses of members through which this member joins.
        probe_interval_ms: The interval between probe rounds.
        probe_timeout_ms: The time after which an unanswered probe is repeated through other members.
        indirect_probes: SWIM's k, the number of other members that repeat a probe.
        suspicion_factor: Lifeguard's alpha, the shortest suspicion in units of log10(N) probe intervals.
        max_suspicion_factor: Lifeguard's beta, the ratio of the longest suspicion to the shortest.
        push_pull_interval_ms: The interval between push-pulls.
        dead_retention_ms: The time after which a member that is dead or has left is removed from the table.
        max_members: The maximum number of other members in the table.
    """

    cluster: str
    name: str
    address: str
    seeds: tuple[str, ...] = ()
    probe_interval_ms: float = 1_000.0
    probe_timeout_ms: float = 300.0
    indirect_probes: int = 3
    suspicion_factor: float = 5.0
    max_suspicion_factor: float = 6.0
    push_pull_interval_ms: float = 10_000.0
    dead_retention_ms: float = 3_600_000.0
    max_members: int = 2_000
