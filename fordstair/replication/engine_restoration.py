"""Conversion of the coordinator's engines to members of the replicated set, and back; pure."""

from __future__ import annotations

from collections.abc import Iterable

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineEntry, EngineState
from fordstair.replication.engine_set import MAX_AGE_MS, EngineSet, ReplicatedEngine
from fordstair.runtime.clock import UnixMs


def replicated_engines(engines: Iterable[Engine]) -> list[ReplicatedEngine]:
    """Return the engines that are listed as ready, in the form in which they are stored and sent."""
    return [_replicated(engine) for engine in engines if engine.entry.state is EngineState.READY]


class EngineRestorer:
    """Restores engines from the set for a coordinator that does not reach its registry.

    An engine may have restarted since the last registry contact. If that contact is longer ago than an engine
    takes to warm up, an engine counts as started when it was first restored, that is, as cold. A set older
    than MAX_AGE_MS is not used at all. The start time once returned for an engine does not change, since a
    new start time would make the coordinator abandon the queries that run there.
    """

    def __init__(self, slow_start_ms: float) -> None:
        self.slow_start_ms = slow_start_ms
        self._started_ms: dict[ReplicatedEngine, float] = {}

    def engines(self, now_ms: float, engine_set: EngineSet) -> list[Engine]:
        """Return the engines to use at Unix time ``now_ms``, or none if the set is too old."""
        age_ms = now_ms - engine_set.registry_contact_ms
        if age_ms >= MAX_AGE_MS:
            return []
        known = engine_set.engines.values()
        self._started_ms = {
            engine: self._started_ms.get(engine, engine.started_ms if age_ms < self.slow_start_ms else now_ms)
            for engine in known
        }
        return [_restored(engine, self._started_ms[engine]) for engine in sorted(known)]


def _replicated(engine: Engine) -> ReplicatedEngine:
    return ReplicatedEngine(
        name=engine.entry.engine,
        address=engine.address,
        protocol=engine.protocol,
        zone=engine.entry.zone,
        cell=engine.entry.cell,
        kind=engine.entry.kind,
        started_ms=engine.started_at.value if engine.started_at is not None else 0.0,
        weight=engine.entry.weight,
    )


def _restored(engine: ReplicatedEngine, started_ms: float) -> Engine:
    entry = EngineEntry(
        engine.name, EngineState.READY, engine.zone, engine.cell, engine.kind, weight=engine.weight
    )
    started_at = UnixMs(started_ms) if started_ms > 0.0 else None
    return Engine(entry, engine.address, engine.protocol, started_at)
