"""Shares learned query costs with the other members, and restores them after a restart."""

from __future__ import annotations

from fordstair.decisions.gateway import Gateway
from fordstair.replication.learned_costs import differs_enough, learned_values, restore_values
from fordstair.replication.service import ReplicationService
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog("fordstair")

SHARE_INTERVAL_MS = 5_000.0


class CostSharing:
    """Copies learned costs between the decision module and the replicated ledger."""

    def __init__(self, ledger: ReplicationService, gateway: Gateway, deadlines: Deadlines) -> None:
        self._ledger = ledger
        self._gateway = gateway
        self._deadlines = deadlines

    async def run(self) -> None:
        """Restore costs learned by other members or an earlier run, then share own costs until cancelled."""
        await self._ledger.loaded.wait()
        self._ledger.register_sync.on_received = self._restore
        self._restore()
        while True:
            await self._deadlines.sleep(SHARE_INTERVAL_MS)
            await self._share()

    def _restore(self) -> None:
        if restored := restore_values(self._gateway, self._ledger.register_sync.values()):
            log.info("costs.restored", values=restored)

    async def _share(self) -> None:
        shared = self._ledger.register_sync.values()
        changed = [
            (key, value)
            for key, value in learned_values(self._gateway)
            if differs_enough(shared.get(key), value)
        ]
        await self._ledger.register_sync.set_values(changed)
