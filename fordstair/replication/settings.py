"""What a member must know to replicate state with others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fordstair.replication.replica_placement import DEFAULT_REPLICATION_FACTOR


@dataclass(frozen=True, slots=True)
class ReplicationSettings:
    """Settings of one member; they have to be the same for all, but for ``member``, ``listen`` and the path.

    ``members`` are all that may be replicas, by name with their addresses, and fixed. ``listen`` is a host
    and a port. ``claim_timeout_ms`` is the time in which a quorum must have voted; ``retention_ms`` how long
    a claim is remembered; ``exchange_interval_ms`` the time between two exchanges with other members.
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
        """The host that connections go out from: the one that is listened on; empty: any."""
        host = self.listen[0]
        return "" if host in ("0.0.0.0", "::", "") else host
