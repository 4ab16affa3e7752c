"""The claims of this member: requests votes, stores outcomes and releases grants at a key's replicas."""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

import trio

from fordstair.replication.background_tasks import BackgroundTasks
from fordstair.replication.claim_entry import MAX_OUTCOME_BYTES
from fordstair.replication.claim_quorum import ClaimQuorum, ClaimVerdict, Vote, VoteStatus
from fordstair.replication.messages import (
    ClaimRequest,
    ReleaseRequest,
    Request,
    SettleRequest,
    VoteResponse,
    WrittenResponse,
)
from fordstair.replication.peer_connection import PeerUnreachableError
from fordstair.replication.peers import Peers
from fordstair.replication.replica_state import ReplicaState

# Replicas that miss the outcome within this time receive it by anti-entropy.
SETTLE_TIMEOUT_S = 5.0
RELEASE_TIMEOUT_S = 2.0
# Delay before a request is repeated at a replica that did not acknowledge it.
RETRY_INTERVAL_S = 0.2
_SEED_MASK = 0xFFFFFF


@dataclass(frozen=True, slots=True)
class ClaimHandle:
    """A claim and its replicas. Whoever holds a granted claim must settle or release it."""

    key: str
    token: str
    replicas: tuple[str, ...]


class ClaimResult(NamedTuple):
    """The result of a claim.

    Attributes:
        verdict: The verdict of the replicas' votes.
        claim: The claim if it was granted, otherwise None.
        outcome: The outcome of the load if the verdict is ALREADY_RUN, otherwise None.
    """

    verdict: ClaimVerdict
    claim: ClaimHandle | None
    outcome: bytes | None


class ClaimCoordinator:
    """Claims keys at their replicas, and settles or releases the claims."""

    def __init__(self, state: ReplicaState, peers: Peers, tasks: BackgroundTasks, seed: int) -> None:
        self._state = state
        self._peers = peers
        self._tasks = tasks
        self._token_prefix = f"{state.settings.member}:{int(state.now_ms())}:{seed & _SEED_MASK:x}"
        self._claim_numbers = itertools.count(1)

    async def begin(self, key: str) -> ClaimResult:
        """Claim a key, waiting for the votes until the claim timeout at most.

        A claim that is not granted, or whose ``begin`` is cancelled, is released in the background.
        """
        replicas = self._state.claim_replica.replicas_of(key)
        handle = ClaimHandle(key, f"{self._token_prefix}:{next(self._claim_numbers)}", replicas)
        quorum = ClaimQuorum(key, handle.token, replicas)
        self._state.counts["claims"] += 1
        try:
            verdict = await self._collect_votes(quorum)
        except BaseException:
            # The caller no longer waits, so the load has not run and never will by this claim.
            self.release_in_background(handle)
            raise
        self._state.counts[f"claims_{verdict.value}"] += 1
        if verdict is ClaimVerdict.GRANTED:
            return ClaimResult(verdict, handle, None)
        self.release_in_background(handle)
        return ClaimResult(verdict, None, quorum.outcome)

    async def settle(self, claim: ClaimHandle, outcome: bytes) -> None:
        """Store a load's outcome at all replicas, for at most SETTLE_TIMEOUT_S.

        An outcome larger than MAX_OUTCOME_BYTES is stored as empty.
        """
        stored = outcome if len(outcome) <= MAX_OUTCOME_BYTES else b""
        request = partial(SettleRequest, key=claim.key, token=claim.token, outcome=stored)
        await self._notify_replicas(claim, request, SETTLE_TIMEOUT_S)

    def settle_in_background(self, claim: ClaimHandle, outcome: bytes) -> None:
        """Settle a claim in the background; return immediately."""
        self._tasks.start(self.settle, claim, outcome)

    async def release(self, claim: ClaimHandle) -> None:
        """Release a claim whose load has not run and never will.

        A grant that is not released blocks its key for all other claims until it expires.
        """
        request = partial(ReleaseRequest, key=claim.key, token=claim.token)
        await self._notify_replicas(claim, request, RELEASE_TIMEOUT_S)

    def release_in_background(self, claim: ClaimHandle) -> None:
        """Release a claim in the background; return immediately."""
        self._tasks.start(self.release, claim)

    async def _collect_votes(self, quorum: ClaimQuorum) -> ClaimVerdict:
        """Request all votes concurrently; return when there is a verdict, or at the claim timeout."""
        send, receive = trio.open_memory_channel[tuple[str, Vote]](len(quorum.replicas))

        async def collect(replica: str) -> None:
            send.send_nowait((replica, await self._request_vote(replica, quorum)))

        with trio.move_on_after(self._state.settings.claim_timeout_ms / 1000.0):
            async with trio.open_nursery() as nursery:
                for replica in quorum.replicas:
                    nursery.start_soon(collect, replica)
                while quorum.record_vote(*await receive.receive()) is None:
                    pass
                nursery.cancel_scope.cancel()
        return quorum.verdict(final=True) or ClaimVerdict.REJECTED

    async def _request_vote(self, replica: str, quorum: ClaimQuorum) -> Vote:
        request = partial(ClaimRequest, key=quorum.key, token=quorum.token)
        try:
            response = await self._peers.request(replica, request, VoteResponse)
        except PeerUnreachableError:
            # The replica may have granted the claim; releasing the claim removes such a grant as well.
            return Vote(VoteStatus.UNAVAILABLE)
        return Vote(VoteStatus(response.status), response.token, response.outcome)

    async def _notify_replicas(
        self, claim: ClaimHandle, request: Callable[[int], Request], timeout_s: float
    ) -> None:
        """Send each replica a request until the change is on its disk, or until the timeout."""

        async def notify(replica: str) -> None:
            while True:
                with contextlib.suppress(PeerUnreachableError):
                    if (await self._peers.request(replica, request, WrittenResponse)).written:
                        return
                await trio.sleep(RETRY_INTERVAL_S)

        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:
                for replica in claim.replicas:
                    nursery.start_soon(notify, replica)
