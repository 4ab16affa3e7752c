"""Engines of the coordinator as members of the replicated set, and back; pure."""

from __future__ import annotations

from collections.abc import Iterable

from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineEntry, EngineState
from fordstair.replication.engine_set import MAX_AGE_MS, EngineSet, ReplicatedEngine
from fordstair.runtime.clock import UnixMs


def replicated_engines(engines: Iterable[Engine]) -> list[ReplicatedEngine]:
    """Return those engines that are listed as ready, as they are stored and sent."""
    return [_replicated(engine) for engine in engines if engine.entry.state is EngineState.READY]


class EngineRestorer:
    """The engines of the set as a coordinator gets them while its registry is not heard.

    The longer ago the registry was heard, the less is known of what became of an engine: one that was last
    heard of longer ago than it takes to warm up counts as started when it was first taken from the set, and
    a set older than MAX_AGE_MS is not used at all. What was said once of an engine's start stays, so that
    nothing that runs there is given up for a mere change of belief.
    """

    def __init__(self, slow_start_ms: float) -> None:
        self.slow_start_ms = slow_start_ms
        self._started_ms: dict[ReplicatedEngine, float] = {}

    def engines(self, now_ms: float, engine_set: EngineSet) -> list[Engine]:
        """Return the engines to go on with at Unix time ``now_ms``; none where the set is too old."""
        age_ms = now_ms - engine_set.registry_heard_ms
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
