"""Updates of the engine list on their way to the coordinator: start times and protocols are filled in."""

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
    """Takes updates from discovery, from the configuration and from what was restored."""

    def __init__(
        self, coordinator: Coordinator, start_times: StartTimes, protocols: Mapping[str, str]
    ) -> None:
        self._coordinator = coordinator
        self._start_times = start_times
        self._protocols = protocols  # by engine id, as the operator has set them
        self._updated = trio.Event()

    def from_discovery(self, kind: ListUpdateKind, engines: list[Engine]) -> None:
        """Apply an update as discovery sends it: what a delta says has changed has changed just now."""
        self.apply(kind, engines, announced=kind is ListUpdateKind.DELTA)

    def from_configuration(self, events: Sequence[EngineListEvent]) -> None:
        """Apply what the configuration knows at the start: a list, and what has changed in it since."""
        listed = [engine for event in events for engine in event.engines]
        self._start_times.record_listed(_known_starts(listed))
        for event in events:
            self.apply(event.kind, event.engines)

    def apply(self, kind: ListUpdateKind, engines: list[Engine], *, announced: bool = False) -> None:
        """Apply an update; ``announced`` says that its changes have just happened."""
        if not announced:
            self._start_times.record_listed(_known_starts(engines))
        for engine in engines:
            self._complete(engine, announced=announced)
        self._coordinator.update_engines(kind, engines)
        self._updated.set()

    def next_update(self) -> trio.Event:
        """Return an event that is set by the next update; for one waiter at a time."""
        self._updated = trio.Event()
        return self._updated

    def _complete(self, engine: Engine, *, announced: bool) -> None:
        name = engine.entry.engine
        started_ms = self._start_times.monotonic_start(name, engine.started_at, announced=announced)
        engine.entry = replace(engine.entry, started_ms=started_ms)
        if engine.entry.state is EngineState.GONE:
            self._start_times.forget(name)
        engine.protocol = self._protocols.get(name, engine.protocol)


def _known_starts(engines: Iterable[Engine]) -> Iterator[UnixMs]:
    return (engine.started_at for engine in engines if engine.started_at is not None)
