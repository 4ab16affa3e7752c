"""Settings of replication."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fordstair.replication.replica_placement import DEFAULT_REPLICATION_FACTOR


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Settings of one member. All but ``member``, ``listen`` and ``store_path`` must be equal at all members.

    Attributes:
        members: The addresses of all members that may be replicas, by name. The set is fixed.
        listen: The host and port to listen on.
        claim_timeout_ms: The time within which a quorum must have voted.
        retention_ms: The time for which a claim is kept.
        exchange_interval_ms: The mean delay before each exchange with another member.
    """

    cluster: str
    member: str
    members: Mapping[str, str]
    listen: tuple[str, int]
    store_path: str
    replication_factor: int = DEFAULT_REPLICATION_FACTOR
    claim_timeout_ms: float = 1_000.0
    retention_ms: float = 600_000.0
    exchange_interval_ms: float = 5_000.0
    max_pull_bytes_per_s: float = 1_000_000.0
    max_entries: int = 50_000

    @property
    def connect_from_host(self) -> str:
        """The local host of outgoing connections: the one to listen on, or empty for any."""
        host = self.listen[0]
        return "" if host in ("0.0.0.0", "::", "") else host
