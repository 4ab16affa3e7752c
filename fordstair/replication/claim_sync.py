"""Anti-entropy of claims: pulls another member's entries range by range and page by page."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial

import trio

from fordstair.replication.claim_entry import ClaimEntry, entry_size_bytes
from fordstair.replication.hybrid_clock import MAX_CLOCK_SKEW_MS
from fordstair.replication.messages import (
    ClaimDigestsRequest,
    ClaimPageRequest,
    ClaimPageResponse,
    DigestsResponse,
)
from fordstair.replication.peer_connection import PeerUnreachableError
from fordstair.replication.peers import Peers
from fordstair.replication.replica_state import ReplicaState
from fordstair.replication.stored_records import claim_record

# Ranges pulled from one member at a time.
CONCURRENT_RANGES = 4
# The duration of a whole pull is limited only by the rate in the settings.
PAGE_TIMEOUT_S = 5.0


@dataclass(slots=True)
class PullProgress:
    """The result so far of pulling entries from other members.

    Attributes:
        changed_entries: The number of entries that were new or have changed here.
        incomplete: Whether a page came from a member whose entries may be incomplete.
        all_new_stores: Whether all pages came from members that report a new store, as on a fleet's first
            start.
    """

    changed_entries: int = 0
    incomplete: bool = False
    all_new_stores: bool = True


class ClaimSync:
    """Pulls other members' claim entries.

    Attributes:
        differing_ranges: By member, the number of ranges whose digests differed at the last comparison.
    """

    def __init__(self, state: ReplicaState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self.differing_ranges: dict[str, int] = {}

    async def exchange(self, member: str, progress: PullProgress) -> None:
        """Pull the settled entries that a member has and this member lacks; raise as ``pull`` does."""
        response = await self._peers.request(member, ClaimDigestsRequest, DigestsResponse)
        self._state.claim_replica.expire(self._state.now_ms())
        differing = differing_ranges(self._state.claim_replica.digests[member], response.digests)
        self.differing_ranges[member] = len(differing)
        await self.pull(member, differing, progress, include_unsettled=False)

    async def pull(
        self, member: str, ranges: Iterable[int], progress: PullProgress, *, include_unsettled: bool
    ) -> None:
        """Pull ranges, several concurrently, so that neither the disk nor the connection is idle.

        ``progress`` is updated after each page, so that it is valid also after an error or cancellation.
        Raise PeerUnreachableError if the member does not respond or the store cannot be written.
        """
        remaining = iter(ranges)
        errors = list[PeerUnreachableError]()

        async def pull_ranges(scope: trio.CancelScope) -> None:
            try:
                for range_number in remaining:
                    await self._pull_range(member, range_number, progress, include_unsettled)
            except PeerUnreachableError as error:
                errors.append(error)
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENT_RANGES):
                nursery.start_soon(pull_ranges, nursery.cancel_scope)
        if errors:
            raise errors[0]

    async def _pull_range(
        self, member: str, range_number: int, progress: PullProgress, include_unsettled: bool
    ) -> None:
        after_key: str | None = ""
        while after_key is not None:
            request = partial(
                ClaimPageRequest,
                range_number=range_number,
                after_key=after_key,
                include_unsettled=include_unsettled,
            )
            with trio.move_on_after(PAGE_TIMEOUT_S) as timeout:
                page = await self._peers.request(member, request, ClaimPageResponse)
            if timeout.cancelled_caught:
                raise PeerUnreachableError(f"no page of entries within {PAGE_TIMEOUT_S} s")
            await self._merge_page(page, progress)
            after_key = last_key(page.entries) if page.more else None
            page_bytes = sum(entry_size_bytes(key, entry) for key, entry in page.entries)
            await trio.sleep(CONCURRENT_RANGES * page_bytes / self._state.settings.max_pull_bytes_per_s)

    async def _merge_page(self, page: ClaimPageResponse, progress: PullProgress) -> None:
        progress.incomplete = progress.incomplete or page.incomplete
        progress.all_new_stores = progress.all_new_stores and page.new_store
        changed = list(self._merge(page.entries))
        progress.changed_entries += len(changed)
        records = [claim_record(key, entry) for key, entry in changed]
        if records and not await self._state.put_records(records):
            raise PeerUnreachableError("the store cannot be written")

    def _merge(self, entries: Iterable[tuple[str, ClaimEntry]]) -> Iterator[tuple[str, ClaimEntry]]:
        """Merge the entries of which this member is a replica; yield those that have changed here."""
        replica = self._state.claim_replica
        # An entry dated too far ahead of this clock would not expire in time, so it is skipped.
        latest_ms = self._state.now_ms() + MAX_CLOCK_SKEW_MS
        for key, entry in entries:
            if entry.granted_ms >= latest_ms or replica.member not in replica.replicas_of(key):
                continue
            merged = replica.merge(key, entry)
            if merged is not None:
                yield key, merged


def differing_ranges(own_digests: Sequence[int], other_digests: Sequence[int]) -> list[int]:
    """Return the numbers of the ranges whose digests differ."""
    return [
        range_number
        for range_number, (own, other) in enumerate(zip(own_digests, other_digests, strict=True))
        if own != other
    ]


def last_key(items: Sequence[tuple[str, object]]) -> str | None:
    """Return the key after which the next page begins, or None after an empty page."""
    return items[-1][0] if items else None
