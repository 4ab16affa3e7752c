"""The periodic exchange with other members, by which all replicas converge."""

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

EXCHANGE_TIMEOUT_S = 60.0  # the next exchange goes on where one was stopped
MIN_JITTER_FACTOR = 0.8  # of the interval between two exchanges
MAX_JITTER_FACTOR = 1.2


class AntiEntropy:
    """Compares state with one member after the other, and takes in what is missing here."""

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
        """Exchange with all members in random order, again and again; return where there are none."""
        names = sorted(self._peers.names)
        interval_s = self._state.settings.exchange_interval_ms / 1000.0
        while names:
            for member in self._random.sample(names, len(names)):
                await self._delete_forgotten()
                await trio.sleep(interval_s * self._random.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR))
                with trio.move_on_after(EXCHANGE_TIMEOUT_S):
                    await self._tasks.contain(self._exchange, member)

    async def _exchange(self, member: str) -> None:
        """Take in from a member what it has and this one has not."""
        progress = PullProgress()
        started_s = trio.current_time()
        try:
            with contextlib.suppress(PeerUnreachableError):
                await self._claims.exchange(member, progress)
                await self._registers.exchange(member)
                await self._engines.exchange(member)
                self._state.counts["exchanges"] += 1
        finally:
            if progress.changed:
                self._state.counts["caught_up"] += progress.changed
                log.info(
                    "ledger.caught_up",
                    member=member,
                    entries=progress.changed,
                    seconds=round(trio.current_time() - started_s, 3),
                )

    async def _delete_forgotten(self) -> None:
        """Delete what has expired from the disk too; what cannot be deleted is retried at the next turn."""
        now_ms = self._state.now_ms()
        self._state.claim_replica.expire(now_ms)
        self._state.register_map.expire(now_ms)
        for kind, replica in (
            (CLAIM_KIND, self._state.claim_replica),
            (REGISTER_KIND, self._state.register_map),
        ):
            keys = replica.forgotten_keys
            replica.forgotten_keys = []
            if keys and not await self._state.put_records([deletion(kind, key) for key in keys]):
                replica.forgotten_keys = keys
