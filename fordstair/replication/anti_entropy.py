"""Anti-entropy: the periodic exchange with other members by which all replicas converge."""

from __future__ import annotations

import contextlib
import random

import trio

from fordstair.replication.background_tasks import BackgroundTasks
from fordstair.replication.claim_sync import ClaimSync, PullProgress
from fordstair.replication.engine_set_sync import EngineSetSync
from fordstair.replication.peer_connection import PeerUnreachableError
from fordstair.replication.peers import Peers
from fordstair.replication.register_sync import RegisterSync
from fordstair.replication.replica_state import ReplicaState
from fordstair.replication.stored_records import CLAIM_KIND, REGISTER_KIND, deletion
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)

# An exchange that times out is continued by the next one.
EXCHANGE_TIMEOUT_S = 60.0
# The interval between two exchanges is multiplied by a random factor in this range.
MIN_JITTER_FACTOR = 0.8
MAX_JITTER_FACTOR = 1.2


class AntiEntropy:
    """Compares state with one member after another, and pulls what is missing here."""

    def __init__(
        self,
        state: ReplicaState,
        peers: Peers,
        claims: ClaimSync,
        registers: RegisterSync,
        engines: EngineSetSync,
        tasks: BackgroundTasks,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._claims = claims
        self._registers = registers
        self._engines = engines
        self._tasks = tasks
        self._random = rng

    async def run(self) -> None:
        """Exchange with all members in random order, repeatedly; return if there are no other members."""
        names = sorted(self._peers.names)
        interval_s = self._state.settings.exchange_interval_ms / 1000.0
        while names:
            for member in self._random.sample(names, len(names)):
                await self._delete_expired()
                await trio.sleep(interval_s * self._random.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR))
                with trio.move_on_after(EXCHANGE_TIMEOUT_S):
                    await self._tasks.run_and_log_errors(self._exchange, member)

    async def _exchange(self, member: str) -> None:
        """Pull the state that a member has and this member lacks."""
        progress = PullProgress()
        started_s = trio.current_time()
        try:
            with contextlib.suppress(PeerUnreachableError):
                await self._claims.exchange(member, progress)
                await self._registers.exchange(member)
                await self._engines.exchange(member)
                self._state.counts["exchanges"] += 1
        finally:
            if progress.changed_entries:
                self._state.counts["caught_up"] += progress.changed_entries
                log.info(
                    "ledger.caught_up",
                    member=member,
                    entries=progress.changed_entries,
                    seconds=round(trio.current_time() - started_s, 3),
                )

    async def _delete_expired(self) -> None:
        """Delete expired state from memory and disk; if the disk fails, the next call retries."""
        now_ms = self._state.now_ms()
        self._state.claim_replica.expire(now_ms)
        self._state.register_map.expire(now_ms)
        for kind, replica in (
            (CLAIM_KIND, self._state.claim_replica),
            (REGISTER_KIND, self._state.register_map),
        ):
            keys = replica.expired_keys
            replica.expired_keys = []
            if keys and not await self._state.put_records([deletion(kind, key) for key in keys]):
                replica.expired_keys = keys
