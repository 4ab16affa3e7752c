"""Tells the decision module of zones that are out of reach: nothing new goes there until they respond."""

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

CHECK_INTERVAL_MS = 100.0  # between checks for silent attempts, while any is in flight


class ZoneWatch:
    """Watches one coordinator's attempts for a zone that falls silent."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.detector = ZoneOutlierDetector()
        self._last_response_ms: dict[int, float] = {}  # by request, of attempts in flight
        self._started_ms: dict[str, float] = {}  # by engine, as last listed
        self._checking = False

    def engines_updated(self) -> None:
        """The engine list has changed."""
        engines = self.coordinator.engines
        started_ms = {name: engine.entry.started_ms for name, engine in engines.items()}
        restarted = [name for name, at in started_ms.items() if at > self._started_ms.get(name, at)]
        self.detector.update_engines(
            self._now(), {name: engine.entry.zone for name, engine in engines.items()}, restarted
        )
        self._started_ms = started_ms
        for name, engine in engines.items():
            engine.zone_ejected = self.detector.is_ejected(name)

    def attempt_sent(self, request: int) -> None:
        """An attempt goes out."""
        self._last_response_ms[request] = self._now()
        if not self._checking:
            self._checking = True
            self._schedule_check()

    def engine_responded(self, request: int, engine: str) -> None:
        """An engine has answered something about an attempt, whatever it was."""
        if request in self._last_response_ms:
            self._last_response_ms[request] = self._now()
        if self.detector.record_response(self._now(), engine):
            self._pass_on_changes()

    def connect_failed(self, engine: str) -> None:
        """A connect to an engine never came up."""
        self._record_miss(engine)

    def attempt_ended(self, request: int) -> None:
        """A request's attempt is over."""
        self._last_response_ms.pop(request, None)

    def _record_miss(self, engine: str) -> None:
        if self.detector.record_miss(self._now(), engine):
            self._pass_on_changes()

    def _check(self) -> None:
        now = self._now()
        for request, response_ms in list(self._last_response_ms.items()):
            live = self.coordinator.live.get(request)
            if live is not None and now - response_ms >= ATTEMPT_SILENCE_MS:
                self._record_miss(live.engine)
        if self.detector.readmit_expired(now):
            self._pass_on_changes()
        self._checking = bool(self._last_response_ms) or self.detector.any_ejected()
        if self._checking:
            self._schedule_check()

    def _schedule_check(self) -> None:
        self.coordinator.deadlines.after(CHECK_INTERVAL_MS, self._check)

    def _pass_on_changes(self) -> None:
        """Tell the decision module of the engines whose zone was ejected or readmitted."""
        changed: list[Engine] = []
        for name, engine in self.coordinator.engines.items():
            ejected = self.detector.is_ejected(name)
            if engine.zone_ejected != ejected:
                engine.zone_ejected = ejected
                changed.append(engine)
        for zone in {engine.entry.zone for engine in changed}:
            self._log_change(zone, [engine for engine in changed if engine.entry.zone == zone])
        if changed:
            entries = tuple(engine.notified_entry for engine in changed)
            self.coordinator.dispatch(EngineListChanged(ListUpdateKind.DELTA, entries))

    def _log_change(self, zone: int, engines: list[Engine]) -> None:
        ejected = any(engine.zone_ejected for engine in engines)
        event = "zone.ejected" if ejected else "zone.readmitted"
        log.warning(event, zone=zone, engines=len(engines))
        self.coordinator.counters.add("zones.ejected" if ejected else "zones.readmitted")

    def _now(self) -> float:
        return self.coordinator.deadlines.clock()
