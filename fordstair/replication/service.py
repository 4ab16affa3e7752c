"""The replication service of one member."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from fordstair.replication.anti_entropy import AntiEntropy
from fordstair.replication.background_tasks import BackgroundTasks
from fordstair.replication.claim_coordinator import ClaimCoordinator
from fordstair.replication.claim_recovery import ClaimRecovery
from fordstair.replication.claim_sync import ClaimSync
from fordstair.replication.engine_set_sync import EngineSetSync
from fordstair.replication.peer_server import PeerServer
from fordstair.replication.peers import Peers
from fordstair.replication.register_sync import RegisterSync
from fordstair.replication.replica_state import ReplicaState
from fordstair.replication.request_handler import RequestHandler
from fordstair.replication.settings import ReplicationSettings
from fordstair.runtime.event_log import EventLog

log = EventLog(__name__)


class ReplicationService:
    """Stores one member's claims, registers and engines, and replicates them with the other members.

    Attributes:
        loaded: Set once the store has been read.
        port: The port that the service listens on, 0 before ``run`` has opened it.
    """

    def __init__(self, settings: ReplicationSettings, seed: int) -> None:
        rng = random.Random(seed)
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.state = ReplicaState(settings, self.counts)
        self.loaded = trio.Event()
        self.port = 0
        self._tasks = BackgroundTasks(self.counts)
        self._handler = RequestHandler(self.state)
        self.peers = Peers(self.state, self._handler, self._tasks)
        self.claim_coordinator = ClaimCoordinator(self.state, self.peers, self._tasks, seed)
        self.claim_sync = ClaimSync(self.state, self.peers)
        self.register_sync = RegisterSync(self.state, self.peers)
        self.engine_set_sync = EngineSetSync(self.state, self.peers)
        self._recovery = ClaimRecovery(self.state, self.peers, self.claim_sync, rng)
        self._anti_entropy = AntiEntropy(
            self.state,
            self.peers,
            self.claim_sync,
            self.register_sync,
            self.engine_set_sync,
            self._tasks,
            rng,
        )

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; raise OSError if the listening address cannot be bound."""
        try:
            async with trio.open_nursery() as nursery:
                self._tasks.nursery = nursery
                await self._listen(nursery)
                task_status.started()
                await self.state.load()
                nursery.start_soon(self.state.writer.run)
                self.loaded.set()
                await self._recovery.run()
                await self._anti_entropy.run()
                await trio.sleep_forever()
        finally:
            self.state.file.close()

    async def _listen(self, nursery: trio.Nursery) -> None:
        host, port = self.settings.listen
        listeners = await trio.open_tcp_listeners(port, host=host)
        self.port = listeners[0].socket.getsockname()[1]
        log.info(
            "listening",
            name=self.settings.member,
            front="ledger",
            host=host,
            port=self.port,
            holders=len(self.settings.members),
        )
        server = PeerServer(self.settings.cluster, self.settings.members, self._handler.handle, self.counts)
        nursery.start_soon(trio.serve_listeners, server.serve, listeners)


@asynccontextmanager
async def running_service(settings: ReplicationSettings, seed: int) -> AsyncIterator[ReplicationService]:
    """Run a service for the duration of the context."""
    service = ReplicationService(settings, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(service.run)
        yield service
        nursery.cancel_scope.cancel()
