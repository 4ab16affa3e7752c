"""The engines that discovery lists, and which of them operators have cordoned."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from fordstair.core.ports import Engine, Transport
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind


class EngineRegistry:
    """The listed engines by id.

    Once an engine's process has gone, its connections are closed and no attempt is sent to it.
    """

    def __init__(self, transports: Mapping[str, Transport]) -> None:
        self.engines: dict[str, Engine] = {}
        self._cordoned: set[str] = set()  # ids, also of engines that are not listed
        self._transports = transports

    def get(self, engine_id: str) -> Engine | None:
        """Return an engine by its id, or None if it is not listed."""
        return self.engines.get(engine_id)

    def is_current(self, engine: Engine) -> bool:
        """Return whether this process is the one now listed under its id."""
        return self.engines.get(engine.entry.engine) is engine

    def ids_at_address(self, address: str) -> list[str]:
        """Return the ids of the engines at an address, ``host:port``."""
        return [engine_id for engine_id, engine in self.engines.items() if engine.address == address]

    def update(self, kind: ListUpdateKind, listed: Iterable[Engine]) -> list[Engine]:
        """Apply an update of the list; return this registry's entries for the engines in it."""
        listed = list(listed)
        if kind is not ListUpdateKind.DELTA:
            for gone in self.engines.keys() - {engine.entry.engine for engine in listed}:
                self._retire(self.engines.pop(gone))
        for engine in listed:
            self._apply(engine)
        # If the process was listed before, its Engine is kept, which may have zone_ejected set.
        return [self.engines.get(engine.entry.engine, engine) for engine in listed]

    def set_cordoned(self, engine_id: str, cordoned: bool) -> Engine | None:
        """Cordon or uncordon an engine, even if it is not listed; return it, or None if it is not listed."""
        if cordoned:
            self._cordoned.add(engine_id)
        else:
            self._cordoned.discard(engine_id)
        engine = self.engines.get(engine_id)
        if engine is not None:
            engine.cordoned = cordoned
        return engine

    def _apply(self, engine: Engine) -> None:
        engine_id = engine.entry.engine
        engine.cordoned = engine_id in self._cordoned
        known = self.engines.get(engine_id)
        if known is not None and _same_process(known, engine):
            known.entry = engine.entry
        else:
            if known is not None:
                self._retire(known)
            self._close_connections(engine)
            self.engines[engine_id] = engine
        if engine.entry.state is EngineState.GONE:
            self._retire(self.engines.pop(engine_id))

    def _retire(self, engine: Engine) -> None:
        """Mark a process as gone, so that no POST for it reaches another process that took its address."""
        entry = engine.entry
        engine.entry = EngineEntry(
            entry.engine, EngineState.GONE, entry.zone, entry.cell, entry.kind, entry.started_ms, entry.weight
        )
        self._close_connections(engine)

    def _close_connections(self, engine: Engine) -> None:
        """Close the connections to its address; whichever engine they were opened for has gone."""
        for transport in self._transports.values():
            transport.close_connections(engine)


def _same_process(known: Engine, listed: Engine) -> bool:
    return known.address == listed.address and known.entry.started_ms == listed.entry.started_ms
