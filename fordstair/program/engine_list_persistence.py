"""Stores the engine list on disk and with other members, and restores it while discovery is down."""

from __future__ import annotations

from fordstair.core.coordinator import Coordinator
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.net.engine_list_watch import EngineListWatch
from fordstair.program.engine_list_intake import EngineListIntake
from fordstair.replication.engine_restoration import EngineRestorer, replicated_engines
from fordstair.replication.service import ReplicationService
from fordstair.runtime.clock import AnchoredClock
from fordstair.runtime.deadlines import Deadlines
from fordstair.runtime.event_log import EventLog

log = EventLog("fordstair")

MAX_STORE_INTERVAL_MS = 5_000.0  # also without an update, to store when discovery last answered


class EngineListPersistence:
    """Stores the engine list; applies the stored one until discovery answers, if none is configured."""

    def __init__(
        self,
        ledger: ReplicationService,
        intake: EngineListIntake,
        coordinator: Coordinator,
        engine_list_watch: EngineListWatch,
        anchored_clock: AnchoredClock,
        deadlines: Deadlines,
    ) -> None:
        self._ledger = ledger
        self._intake = intake
        self._coordinator = coordinator
        self._engine_list_watch = engine_list_watch
        self._anchored_clock = anchored_clock
        self._deadlines = deadlines
        self._restorer = EngineRestorer(coordinator.settings.slow_start_ms)
        self._listed_at_start = False

    async def run(self) -> None:
        """Restore the list that is stored or that other members receive, and store what discovery lists."""
        await self._ledger.loaded.wait()
        loaded_ms = self._deadlines.clock()
        self._listed_at_start = bool(self._coordinator.engines)
        self._ledger.engine_set_sync.on_received = self._restore
        self._restore()
        received_ms = loaded_ms if self._listed_at_start else 0.0
        while True:
            updated = self._intake.next_update()
            received_ms = max(received_ms, self._engine_list_watch.last_received_ms)
            if received_ms > 0.0 and self._coordinator.engines:
                await self._store(received_ms)
            with self._deadlines.limit_for(MAX_STORE_INTERVAL_MS):
                await updated.wait()

    def _restore(self) -> None:
        if self._listed_at_start or self._engine_list_watch.last_received_ms > 0.0:
            return
        engines = self._restorer.engines(self._anchored_clock.now().value, self._ledger.state.engine_set)
        known = {(engine.entry, engine.address) for engine in self._coordinator.engines.values()}
        if engines and {(engine.entry, engine.address) for engine in engines} != known:
            log.warning("engines.restored", engines=len(engines))
            self._intake.apply(ListUpdateKind.FULL, engines)

    async def _store(self, received_ms: float) -> None:
        received_unix_ms = self._anchored_clock.unix(received_ms).value
        engines = replicated_engines(self._coordinator.engines.values())
        if not await self._ledger.engine_set_sync.update_from_registry(received_unix_ms, engines):
            log.warning("engines.store_failed", why=self._ledger.state.writer.unavailable_reason)
