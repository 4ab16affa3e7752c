"""Ejects unreachable zones: their engines get no new attempts until the zone is readmitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.decisions.events import EngineListChanged
from fordstair.routing.zone_outlier_detection import ATTEMPT_SILENCE_MS, ZoneOutlierDetector
from fordstair.runtime.event_log import EventLog

if TYPE_CHECKING:
    from fordstair.core.coordinator import Coordinator

log = EventLog(__name__)

CHECK_INTERVAL_MS = 100.0  # while any attempt is in flight or any zone is ejected


class ZoneWatch:
    """Watches one coordinator's attempts and detects zones that stop responding."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.detector = ZoneOutlierDetector()
        self._last_response_ms: dict[int, float] = {}  # of attempts in flight, by request id
        self._started_ms: dict[str, float] = {}  # as last listed, by engine id
        self._check_scheduled = False

    def engines_updated(self) -> None:
        """Update the zones from the engine list; a restarted engine counts as a response of its zone."""
        engines = self.coordinator.engines
        started_ms = {engine_id: engine.entry.started_ms for engine_id, engine in engines.items()}
        restarted = [
            engine_id for engine_id, at in started_ms.items() if at > self._started_ms.get(engine_id, at)
        ]
        self.detector.update_engines(
            self._now(), {engine_id: engine.entry.zone for engine_id, engine in engines.items()}, restarted
        )
        self._started_ms = started_ms
        for engine_id, engine in engines.items():
            engine.zone_ejected = self.detector.is_ejected(engine_id)

    def attempt_sent(self, request_id: int) -> None:
        """Start to watch a request's attempt."""
        self._last_response_ms[request_id] = self._now()
        if not self._check_scheduled:
            self._check_scheduled = True
            self._schedule_check()

    def engine_responded(self, request_id: int, engine_id: str) -> None:
        """Record a response about an attempt; it readmits an ejected zone at once."""
        if request_id in self._last_response_ms:
            self._last_response_ms[request_id] = self._now()
        if self.detector.record_response(self._now(), engine_id):
            self._dispatch_changes()

    def connect_failed(self, engine_id: str) -> None:
        """Record a miss: nothing at the engine's address answered an attempt to connect."""
        self._record_miss(engine_id)

    def attempt_ended(self, request_id: int) -> None:
        """Stop watching a request's attempt."""
        self._last_response_ms.pop(request_id, None)

    def _record_miss(self, engine_id: str) -> None:
        if self.detector.record_miss(self._now(), engine_id):
            self._dispatch_changes()

    def _check(self) -> None:
        now = self._now()
        for request_id, response_ms in list(self._last_response_ms.items()):
            live = self.coordinator.live.get(request_id)
            if live is not None and now - response_ms >= ATTEMPT_SILENCE_MS:
                self._record_miss(live.engine)
        if self.detector.readmit_expired(now):
            self._dispatch_changes()
        self._check_scheduled = bool(self._last_response_ms) or self.detector.any_ejected()
        if self._check_scheduled:
            self._schedule_check()

    def _schedule_check(self) -> None:
        self.coordinator.deadlines.after(CHECK_INTERVAL_MS, self._check)

    def _dispatch_changes(self) -> None:
        """Notify the decision module of the engines whose zones were ejected or readmitted."""
        changed: list[Engine] = []
        for engine_id, engine in self.coordinator.engines.items():
            ejected = self.detector.is_ejected(engine_id)
            if engine.zone_ejected != ejected:
                engine.zone_ejected = ejected
                changed.append(engine)
        for zone in {engine.entry.zone for engine in changed}:
            self._log_change(zone, [engine for engine in changed if engine.entry.zone == zone])
        if changed:
            entries = tuple(engine.effective_entry for engine in changed)
            self.coordinator.dispatch(EngineListChanged(ListUpdateKind.DELTA, entries))

    def _log_change(self, zone: int, engines: list[Engine]) -> None:
        ejected = any(engine.zone_ejected for engine in engines)
        event = "zone.ejected" if ejected else "zone.readmitted"
        log.warning(event, zone=zone, engines=len(engines))
        self.coordinator.counters.add("zones.ejected" if ejected else "zones.readmitted")

    def _now(self) -> float:
        return self.coordinator.deadlines.clock()
