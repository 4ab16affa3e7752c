"""Recovery of claims after a loss of state: no claim is granted until every other member has responded."""

from __future__ import annotations

import math
import random

import trio

from fordstair.replication.claim_sync import ClaimSync, PullProgress
from fordstair.replication.key_ranges import RANGE_COUNT
from fordstair.replication.peer_connection import PeerUnreachableError
from fordstair.replication.peers import Peers
from fordstair.replication.replica_state import ReplicaState
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

# Time for which a member of a new fleet reports to the others that its store is new as well.
NEW_STORE_REPORT_S = 60.0
MIN_RETRY_INTERVAL_S = 0.3
MAX_RETRY_INTERVAL_S = 0.7


class ClaimRecovery:
    """Restores this member's claims from the other members if its store is new or incomplete."""

    def __init__(self, state: ReplicaState, peers: Peers, sync: ClaimSync, rng: random.Random) -> None:
        self._state = state
        self._peers = peers
        self._sync = sync
        self._random = rng

    async def run(self) -> None:
        """Return once this member may grant: all members have responded, or any lost grant has expired."""
        claims = self._state.claim_replica
        expired_at_s = trio.current_time() + self._state.settings.retention_ms / 1000.0
        while claims.incomplete_reason:
            if await self._pull_from_all() or trio.current_time() >= expired_at_s:
                log.info("ledger.recovered", entries=len(claims.entries), was=claims.incomplete_reason)
                claims.incomplete_reason = ""
                break
            await trio.sleep(self._random.uniform(MIN_RETRY_INTERVAL_S, MAX_RETRY_INTERVAL_S))

    async def _pull_from_all(self) -> bool:
        """Pull all entries of every other member, also unsettled ones; return False if some may be missing.

        A grant that was lost here may have been counted in a quorum with any other member. So each must
        respond, and none may be incomplete itself, unless all stores are new, as on a fleet's first start.
        """
        progress = PullProgress(all_new_stores=self._state.is_new_store)
        try:
            for member in self._peers.names:
                await self._sync.pull(member, range(RANGE_COUNT), progress, include_unsettled=True)
        except PeerUnreachableError:
            return False
        if progress.incomplete and not progress.all_new_stores:
            return False
        self._state.new_store_until_s = (
            trio.current_time() + NEW_STORE_REPORT_S if progress.all_new_stores else -math.inf
        )
        return True
