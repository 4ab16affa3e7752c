"""Anti-entropy of the known engines: applies the registry's list and merges the sets of other members."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fordstair.replication.engine_set import EngineSetState, ReplicatedEngine
from fordstair.replication.messages import EngineSetRequest, EngineSetResponse
from fordstair.replication.peers import Peers
from fordstair.replication.replica_state import ReplicaState
from fordstair.replication.stored_records import engine_set_record


class EngineSetSync:
    """Updates the set of known engines.

    Attributes:
        on_received: Called after an exchange that has changed the set or the time of the registry contact.
    """

    def __init__(self, state: ReplicaState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self.on_received: Callable[[], None] = lambda: None

    async def update_from_registry(
        self, registry_contact_ms: float, listed: Iterable[ReplicatedEngine]
    ) -> bool:
        """Apply the registry's list, received at a Unix time; return False if the set may not be on disk."""
        self._state.engine_set.update_from_registry(self._state.now_ms(), registry_contact_ms, listed)
        return await self._store()

    async def exchange(self, member: str) -> None:
        """Merge a member's set into this one; raise PeerUnreachableError if it does not respond."""
        engines = self._state.engine_set
        response = await self._peers.request(
            member, lambda request_id: EngineSetRequest(request_id, engines.digest), EngineSetResponse
        )
        received = response.state or EngineSetState([], {}, response.registry_contact_ms)
        contact_before_ms = engines.registry_contact_ms
        if engines.merge(self._state.now_ms(), received):
            self._state.counts["engines_taken"] += 1
        elif engines.registry_contact_ms == contact_before_ms:
            return
        await self._store()
        self.on_received()

    async def _store(self) -> bool:
        return await self._state.put_records([engine_set_record(self._state.engine_set.state)])
