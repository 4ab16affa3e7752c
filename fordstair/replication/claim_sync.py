"""Anti-entropy of claims: a member's entries are taken in range by range, page by page."""

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

CONCURRENT_RANGES = 4  # that are taken in from one member
PAGE_TIMEOUT_S = 5.0  # for one page; how long all of them take is bounded by the settings' rate alone


@dataclass(slots=True)
class PullProgress:
    """What came of taking another member's entries in."""

    changed: int = 0  # entries
    incomplete: bool = False  # whether a page came from a member at which entries may be missing
    all_new_stores: bool = True  # whether all pages came from stores that their start had made


class ClaimSync:
    """Takes in what other members know of claims.

    ``differing_ranges`` holds by member in how many ranges its digests differed when last compared.
    """

    def __init__(self, state: ReplicaState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self.differing_ranges: dict[str, int] = {}

    async def exchange(self, member: str, progress: PullProgress) -> None:
        """Take in what a member has settled and this one has not; raise as ``pull`` does."""
        response = await self._peers.request(member, ClaimDigestsRequest, DigestsResponse)
        self._state.claim_replica.expire(self._state.now_ms())
        differing = differing_ranges(self._state.claim_replica.digests[member], response.digests)
        self.differing_ranges[member] = len(differing)
        await self.pull(member, differing, progress, include_unsettled=False)

    async def pull(
        self, member: str, ranges: Iterable[int], progress: PullProgress, *, include_unsettled: bool
    ) -> None:
        """Take ranges in, some at a time, so that neither the disk nor the connection is idle.

        What came is added to ``progress``, also where this ends early. Raise PeerUnreachableError where the
        member does not respond, or the store does not take its entries.
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
                raise PeerUnreachableError("no page in time")
            await self._take_in(page, progress)
            after_key = last_key(page.entries) if page.more else None
            page_bytes = sum(entry_size_bytes(key, entry) for key, entry in page.entries)
            await trio.sleep(CONCURRENT_RANGES * page_bytes / self._state.settings.max_pull_bytes_per_s)

    async def _take_in(self, page: ClaimPageResponse, progress: PullProgress) -> None:
        progress.incomplete = progress.incomplete or page.incomplete
        progress.all_new_stores = progress.all_new_stores and page.new_store
        changed = list(self._merge(page.entries))
        progress.changed += len(changed)
        records = [claim_record(key, entry) for key, entry in changed]
        if records and not await self._state.put_records(records):
            raise PeerUnreachableError("the store cannot be written")

    def _merge(self, entries: Iterable[tuple[str, ClaimEntry]]) -> Iterator[tuple[str, ClaimEntry]]:
        """Merge entries of which this member is a replica; yield those that changed something."""
        replica = self._state.claim_replica
        # What is dated ahead of every clock would never expire.
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
    """Return the key after which the next page begins; None after an empty page."""
    return items[-1][0] if items else None
