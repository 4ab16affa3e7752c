"""The engines that are known, as discovery lists them and operators cordon them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from fordstair.core.ports import Engine, Transport
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind


class EngineRegistry:
    """The listed engines by id. An engine whose process is gone keeps no connection and gets no attempt."""

    def __init__(self, transports: Mapping[str, Transport]) -> None:
        self.engines: dict[str, Engine] = {}
        self._cordoned: set[str] = set()  # ids, listed or not
        self._transports = transports

    def get(self, engine: str) -> Engine | None:
        """Return an engine by its id; None where it is not listed."""
        return self.engines.get(engine)

    def is_current(self, engine: Engine) -> bool:
        """Whether this is the process that is listed under its id now."""
        return self.engines.get(engine.entry.engine) is engine

    def at_address(self, address: str) -> list[str]:
        """Return the ids of the engines at an address, ``host:port``."""
        return [name for name, engine in self.engines.items() if engine.address == address]

    def update(self, kind: ListUpdateKind, listed: Iterable[Engine]) -> list[Engine]:
        """Apply an update of the list; return its engines as they are kept here."""
        listed = list(listed)
        if kind is not ListUpdateKind.DELTA:
            for gone in self.engines.keys() - {engine.entry.engine for engine in listed}:
                self._retire(self.engines.pop(gone))
        for engine in listed:
            self._apply(engine)
        # One that is listed again is kept as it was, and may stand in a zone that is ejected.
        return [self.engines.get(engine.entry.engine, engine) for engine in listed]

    def set_cordoned(self, name: str, cordoned: bool) -> Engine | None:
        """Cordon an engine, or uncordon it, listed or not; return it where it is listed."""
        if cordoned:
            self._cordoned.add(name)
        else:
            self._cordoned.discard(name)
        engine = self.engines.get(name)
        if engine is not None:
            engine.cordoned = cordoned
        return engine

    def _apply(self, engine: Engine) -> None:
        name = engine.entry.engine
        engine.cordoned = name in self._cordoned
        known = self.engines.get(name)
        if known is not None and _same_process(known, engine):
            known.entry = engine.entry
        else:
            if known is not None:
                self._retire(known)
            self._close_connections(engine)
            self.engines[name] = engine
        if engine.entry.state is EngineState.GONE:
            self._retire(self.engines.pop(name))

    def _retire(self, engine: Engine) -> None:
        """Mark a process as gone: no POST meant for it may reach another that took its address."""
        entry = engine.entry
        engine.entry = EngineEntry(
            entry.engine, EngineState.GONE, entry.zone, entry.cell, entry.kind, entry.started_ms, entry.weight
        )
        self._close_connections(engine)

    def _close_connections(self, engine: Engine) -> None:
        """Close what is open at its address: for whichever engine it was opened, that process is gone."""
        for transport in self._transports.values():
            transport.forget(engine)


def _same_process(known: Engine, listed: Engine) -> bool:
    return known.address == listed.address and known.entry.started_ms == listed.entry.started_ms
