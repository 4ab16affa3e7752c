"""The claim entries of one member and its votes as a replica; pure: no clock, disk or network."""

from __future__ import annotations

from collections.abc import Iterable

from fordstair.replication.claim_entry import ClaimEntry, entry_size_bytes, merge_entries
from fordstair.replication.claim_quorum import Vote, VoteStatus
from fordstair.replication.key_ranges import RANGE_COUNT, Page, RangeIndex, entry_digest, range_of
from fordstair.replication.replica_placement import replicas_of


class ClaimReplica:
    """One member's entries. The caller must write a changed entry to disk before it answers the request.

    Attributes:
        entries: The entries by key, oldest grant first. Copies from other replicas are appended whatever
            their age, so that an entry is kept for up to twice the retention time.
        digests: For each other member the digest of each range, over the settled entries of which both are
            replicas. Equal entries have equal digests, in whatever order they were added. The times of grants
            are left out, since each replica has its own.
        expired_keys: Keys that have expired here and whose records are still on disk.
        incomplete_reason: Why entries may be missing here, so that nothing may be granted; empty if none is.
    """

    def __init__(
        self,
        member: str,
        members: Iterable[str],
        replication_factor: int,
        retention_ms: float,
        max_entries: int,
    ) -> None:
        self.member = member
        self.members = tuple(members)
        self.replication_factor = replication_factor
        self.retention_ms = retention_ms
        self.max_entries = max_entries
        self.entries: dict[str, ClaimEntry] = {}
        self.ranges: RangeIndex[ClaimEntry] = RangeIndex()
        self.digests = {name: [0] * RANGE_COUNT for name in self.members if name != member}
        self.expired_keys: list[str] = []
        self.incomplete_reason = ""

    def replicas_of(self, key: str) -> tuple[str, ...]:
        """Return the members that are replicas of a key."""
        return replicas_of(key, self.members, self.replication_factor)

    def claim(self, now_ms: float, key: str, token: str) -> tuple[Vote, ClaimEntry | None]:
        """Return the vote on a claim, and the entry to write if the vote is GRANTED.

        A key is granted to the first claim on it, unless entries may be missing here or there are
        ``max_entries`` of them. A repeated claim gets the same grant, and its entry is written again.
        """
        self.expire(now_ms)
        if (entry := self.entries.get(key)) is not None:
            if entry.token == token and entry.outcome is None:
                return Vote(VoteStatus.GRANTED), entry
            return Vote(VoteStatus.TAKEN, entry.token, entry.outcome), None
        if self.incomplete_reason or len(self.entries) >= self.max_entries:
            return Vote(VoteStatus.UNAVAILABLE), None
        entry = ClaimEntry(token, int(now_ms))
        self._put(key, entry)
        return Vote(VoteStatus.GRANTED), entry

    def release(self, key: str, token: str) -> bool:
        """Remove the grant to a claim whose load has not run; return whether there was one."""
        entry = self.entries.get(key)
        if entry is None or entry.token != token or entry.outcome is not None:
            return False
        self._remove(key)
        return True

    def settle(self, now_ms: float, key: str, token: str, outcome: bytes) -> ClaimEntry | None:
        """Store a claim's outcome, which proves its quorum; return the entry to write if it has changed."""
        before = self.entries.get(key)
        granted_ms = before.granted_ms if before is not None else int(now_ms)
        return self.merge(key, ClaimEntry(token, granted_ms, outcome))

    def merge(self, key: str, entry: ClaimEntry) -> ClaimEntry | None:
        """Merge another replica's copy of an entry; return the entry to write if it has changed."""
        before = self.entries.get(key)
        merged = merge_entries(before, entry)
        if merged is None or merged == before:
            return None
        self._put(key, merged)
        return merged

    def load(self, entries: Iterable[tuple[str, ClaimEntry]]) -> None:
        """Merge the entries read from the store with those received while it was read."""
        for key, entry in sorted(entries, key=lambda item: item[1].granted_ms):
            self.merge(key, entry)

    def expire(self, now_ms: float) -> None:
        """Remove the entries granted ``retention_ms`` ago or earlier, and list them in ``expired_keys``."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if now_ms - entry.granted_ms < self.retention_ms:
                return
            self._remove(key)
            self.expired_keys.append(key)

    def page(
        self, range_number: int, after_key: str, max_bytes: int, *, include_unsettled: bool
    ) -> Page[ClaimEntry]:
        """Return a range's entries after a key, until their total size exceeds ``max_bytes``."""

        def size_of(key: str, entry: ClaimEntry) -> int | None:
            included = include_unsettled or entry.outcome is not None
            return entry_size_bytes(key, entry) if included else None

        return self.ranges.page(range_number, after_key, max_bytes, size_of)

    def _put(self, key: str, entry: ClaimEntry) -> None:
        self._toggle_digests(key)
        self.entries[key] = entry
        self.ranges.put(key, entry)
        self._toggle_digests(key)

    def _remove(self, key: str) -> None:
        self._toggle_digests(key)
        del self.entries[key]
        self.ranges.remove(key)

    def _toggle_digests(self, key: str) -> None:
        """Add a key's settled entry to the digests, or remove it, which is the same exclusive-or."""
        entry = self.entries.get(key)
        if entry is None or entry.outcome is None:
            return
        digest = entry_digest(key.encode(), entry.token.encode(), entry.outcome)
        for name in self.replicas_of(key):
            if name != self.member:
                self.digests[name][range_of(key)] ^= digest
