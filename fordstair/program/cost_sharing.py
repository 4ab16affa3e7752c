"""Shares learned costs of queries with the other members, and restores them after a restart."""

from __future__ import annotations

from fordstair.decisions.gateway import Gateway
from fordstair.replication.costs import is_news, learned, restore
from fordstair.replication.service import Service
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog("fordstair")

SHARE_INTERVAL_MS = 5_000.0


class CostSharing:
    """Passes learned costs between the decision module and the replicated ledger."""

    def __init__(self, ledger: Service, gateway: Gateway, deadlines: Deadlines) -> None:
        self._ledger = ledger
        self._gateway = gateway
        self._deadlines = deadlines

    async def run(self) -> None:
        """Restore what others, or an earlier run, have learned; then share what is learned here."""
        await self._ledger.loaded.wait()
        self._ledger.on_values = self._restore
        self._restore()
        while True:
            await self._deadlines.sleep(SHARE_INTERVAL_MS)
            await self._share()

    def _restore(self) -> None:
        shared = {key: each.value for key, each in self._ledger.values.values.items()}
        if restored := restore(self._gateway, shared):
            log.info("costs.restored", values=restored)

    async def _share(self) -> None:
        shared = self._ledger.values.values
        changed = [
            (key, value)
            for key, value in learned(self._gateway)
            if is_news(shared[key].value if key in shared else None, value)
        ]
        await self._ledger.set_values(changed)
