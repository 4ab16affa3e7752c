"""Which members are replicas of a key, and how many of them are a quorum; pure."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

DEFAULT_REPLICATION_FACTOR = 3
CACHED_KEYS = 4_096  # each change of a key looks its replicas up several times in a row


@lru_cache(maxsize=CACHED_KEYS)
def replicas_of(
    key: str, members: tuple[str, ...], replication_factor: int = DEFAULT_REPLICATION_FACTOR
) -> tuple[str, ...]:
    """Return the members that are replicas of a key, by rendezvous hashing (Thaler, Ravishankar 1998)."""

    def score(member: str) -> bytes:
        return blake2b(f"{member}|{key}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=score)[:replication_factor])


def quorum_size(replica_count: int) -> int:
    """Return how many of a key's replicas are a majority."""
    return replica_count // 2 + 1
