"""Tells the module of zones that are out of reach: nothing new goes there until they are heard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.decisions.events import EngineListChanged
from fordstair.routing.zones import SILENCE_MS, ZoneFailures
from fordstair.runtime.event_log import EventLog

if TYPE_CHECKING:
    from fordstair.core.coordinator import Coordinator

log = EventLog(__name__)

LOOK_MS = 100.0  # between two looks at attempts that hear nothing, while any is out


class ZoneWatch:
    """Watches one coordinator's attempts for a zone that falls silent."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator, self.zones = coordinator, ZoneFailures()
        self._heard: dict[int, float] = {}  # by request, of attempts that are out
        self._starts: dict[str, float] = {}  # of the engines' processes, as last listed
        self._looking = False

    def engines_updated(self) -> None:
        """The list of engines has changed."""
        engines = self.coordinator.engines
        starts = {name: engine.entry.started_ms for name, engine in engines.items()}
        self.zones.listed(
            self._now(),
            {name: engine.entry.zone for name, engine in engines.items()},
            [name for name, at in starts.items() if at > self._starts.get(name, at)],
        )
        self._starts = starts
        for name, engine in engines.items():
            engine.zone_ejected = self.zones.avoids(name)

    def attempt_sent(self, request: int) -> None:
        """An attempt goes out."""
        self._heard[request] = self._now()
        if not self._looking:
            self._looking = True
            self._look_later()

    def engine_responded(self, request: int, engine: str) -> None:
        """An engine has said something, whatever it was."""
        if request in self._heard:
            self._heard[request] = self._now()
        if self.zones.heard(self._now(), engine):
            self._changed()

    def connect_failed(self, engine: str) -> None:
        """A connect to an engine never came up."""
        if self.zones.missed(self._now(), engine):
            self._changed()

    def attempt_ended(self, request: int) -> None:
        """An attempt is over."""
        self._heard.pop(request, None)

    def _look(self) -> None:
        now = self._now()
        for request, heard_ms in list(self._heard.items()):
            live = self.coordinator.live.get(request)
            if live is not None and now - heard_ms >= SILENCE_MS:
                self.connect_failed(live.engine)
        if self.zones.tried_again(now):
            self._changed()
        self._looking = bool(self._heard) or any(zone.avoided_until for zone in self.zones.zones.values())
        if self._looking:
            self._look_later()

    def _look_later(self) -> None:
        self.coordinator.deadlines.after(LOOK_MS, self._look)

    def _changed(self) -> None:
        """Tell the module of the engines whose zone is avoided now, or not any more."""
        turned = []
        for name, engine in self.coordinator.engines.items():
            if engine.zone_ejected != (avoided := self.zones.avoids(name)):
                engine.zone_ejected = avoided
                turned.append(engine)
        for zone in {engine.entry.zone for engine in turned}:
            avoided = any(engine.zone_ejected for engine in turned if engine.entry.zone == zone)
            log.warning(
                "zone.ejected" if avoided else "zone.readmitted",
                zone=zone,
                engines=sum(engine.entry.zone == zone for engine in turned),
            )
            self.coordinator.counters.add("zones.ejected" if avoided else "zones.readmitted")
        if turned:
            self.coordinator.dispatch(
                EngineListChanged(ListUpdateKind.DELTA, tuple(engine.notified_entry for engine in turned))
            )

    def _now(self) -> float:
        return self.coordinator.deadlines.clock()
