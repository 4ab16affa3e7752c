"""Anti-entropy of registers: sets values, and pulls those of other members by digest and page."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from functools import partial

from fordstair.replication.claim_sync import differing_ranges, last_key
from fordstair.replication.messages import (
    DigestsResponse,
    RegisterDigestsRequest,
    RegisterPageRequest,
    RegisterPageResponse,
)
from fordstair.replication.peers import Peers
from fordstair.replication.register_map import Register
from fordstair.replication.replica_state import REGISTER_RETENTION_MS, ReplicaState
from fordstair.replication.stored_records import register_record


class RegisterSync:
    """Sets registers and pulls those of other members.

    Attributes:
        on_received: Called after an exchange that has changed registers.
    """

    def __init__(self, state: ReplicaState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self.on_received: Callable[[], None] = lambda: None

    def values(self) -> dict[str, bytes]:
        """Return all values by key."""
        return {key: register.value for key, register in self._state.register_map.by_key.items()}

    async def set_values(self, values: Iterable[tuple[str, bytes]]) -> None:
        """Set values now; other members pull them in an exchange.

        If the store cannot be written, the values are kept in memory only.
        """
        now_ms = self._state.now_ms()
        changed = list[tuple[str, Register]]()
        for key, value in values:
            register = self._state.register_map.set(now_ms, key, value)
            if register is not None:
                changed.append((key, register))
        await self._store(changed)

    async def exchange(self, member: str) -> None:
        """Pull a member's registers that are later than those here; raise PeerUnreachableError."""
        response = await self._peers.request(member, RegisterDigestsRequest, DigestsResponse)
        received = 0
        for range_number in differing_ranges(self._state.register_map.digests, response.digests):
            received += await self._pull_range(member, range_number)
        if received:
            self._state.counts["values_taken"] += received
            self.on_received()

    async def _pull_range(self, member: str, range_number: int) -> int:
        """Pull a range and return the number of registers that have changed here."""
        received = 0
        after_key: str | None = ""
        while after_key is not None:
            request = partial(RegisterPageRequest, range_number=range_number, after_key=after_key)
            page = await self._peers.request(member, request, RegisterPageResponse)
            changed = list[tuple[str, Register]]()
            for key, register in page.registers:
                merged = self._state.register_map.merge(self._state.now_ms(), key, register)
                if merged is not None:
                    changed.append((key, merged))
            await self._store(changed)
            received += len(changed)
            after_key = last_key(page.registers) if page.more else None
        return received

    async def _store(self, changed: Sequence[tuple[str, Register]]) -> None:
        if changed:
            await self._state.put_records(
                [register_record(key, register, REGISTER_RETENTION_MS) for key, register in changed]
            )
