"""Fills in start times and protocols in engine list updates, and applies them to the coordinator."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import replace

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import Engine
from fordstair.core.start_times import StartTimes
from fordstair.decisions.engine_list import EngineState, ListUpdateKind
from fordstair.net.engine_list_wire import EngineListEvent
from fordstair.runtime.clock import UnixMs


class EngineListIntake:
    """Applies engine list updates from discovery, the configuration and the restored list.

    Args:
        coordinator: Receives the updates.
        start_times: Converts the engines' start times to the monotonic clock.
        protocols: The protocols that the operator has set, by engine id.
    """

    def __init__(
        self, coordinator: Coordinator, start_times: StartTimes, protocols: Mapping[str, str]
    ) -> None:
        self._coordinator = coordinator
        self._start_times = start_times
        self._protocols = protocols
        self._updated = trio.Event()

    def apply_from_discovery(self, kind: ListUpdateKind, engines: list[Engine]) -> None:
        """Apply an update from discovery; the changes in a delta have just happened."""
        self.apply(kind, engines, announced=kind is ListUpdateKind.DELTA)

    def apply_configured(self, events: Sequence[EngineListEvent]) -> None:
        """Apply the engine list in the configuration at the start: a full list and the changes to it."""
        listed = [engine for event in events for engine in event.engines]
        self._start_times.record_listed(_known_starts(listed))
        for event in events:
            self.apply(event.kind, event.engines)

    def apply(self, kind: ListUpdateKind, engines: list[Engine], *, announced: bool = False) -> None:
        """Apply an update; ``announced`` means that its changes have just happened."""
        if not announced:
            self._start_times.record_listed(_known_starts(engines))
        for engine in engines:
            self._fill_in(engine, announced=announced)
        self._coordinator.update_engines(kind, engines)
        self._updated.set()

    def next_update(self) -> trio.Event:
        """Return an event that the next update sets; a new call replaces it: only one task may wait."""
        self._updated = trio.Event()
        return self._updated

    def _fill_in(self, engine: Engine, *, announced: bool) -> None:
        name = engine.entry.engine
        started_ms = self._start_times.monotonic_start(name, engine.started_at, announced=announced)
        engine.entry = replace(engine.entry, started_ms=started_ms)
        if engine.entry.state is EngineState.GONE:
            self._start_times.forget(name)
        engine.protocol = self._protocols.get(name, engine.protocol)


def _known_starts(engines: Iterable[Engine]) -> Iterator[UnixMs]:
    return (engine.started_at for engine in engines if engine.started_at is not None)
