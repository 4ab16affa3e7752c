"""The replicas of a key and the size of a quorum; pure."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

DEFAULT_REPLICATION_FACTOR = 3
# The replicas are cached, since each change of a key looks them up several times in succession.
CACHED_KEYS = 4_096


@lru_cache(maxsize=CACHED_KEYS)
def replicas_of(
    key: str, members: tuple[str, ...], replication_factor: int = DEFAULT_REPLICATION_FACTOR
) -> tuple[str, ...]:
    """Return the members that are replicas of a key, by rendezvous hashing (Thaler, Ravishankar 1998)."""

    def score(member: str) -> bytes:
        return blake2b(f"{member}|{key}".encode(), digest_size=8).digest()

    return tuple(sorted(members, key=score)[:replication_factor])


def quorum_size(replica_count: int) -> int:
    """Return the number of a key's replicas that are a majority."""
    return replica_count // 2 + 1
