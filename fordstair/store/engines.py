"""The engines that were listed last, kept as one record for a start at which nobody tells of any; pure.

The older the list, the less is known of what became of them: an engine may have started anew and be cold. So
where the register was last heard longer ago than an engine takes to warm up, all count as started just now;
and a list older than OLDEST_MS is not used at all. The register's own word takes its place once it comes.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from cairnhoist.interface import EngineEntry, EngineState
from fordstair.core.ports import Engine
from fordstair.store.disk import Record

KIND, KEY = "engines", b"listed"
OLDEST_MS = 24 * 3_600_000.0


class Kept(msgspec.Struct, array_like=True, frozen=True):
    """One engine as it is kept."""

    name: str
    address: str
    protocol: str
    zone: int
    cell: int
    kind: int
    started_ms: float
    weight: float


class List(msgspec.Struct, array_like=True, frozen=True):
    """All that were ready, and when the register was last heard, in Unix milliseconds."""

    heard_ms: float
    engines: list[Kept]


_lists: msgspec.msgpack.Decoder[List] = msgspec.msgpack.Decoder(List)


def kept(engines: Iterable[Engine], heard_ms: float) -> Record:
    """Return the record of the engines that are listed as ready."""
    ready = [Kept(each.entry.engine, each.address, each.protocol, each.entry.zone, each.entry.cell,
                  each.entry.kind, each.entry.started_ms, each.entry.weight)
             for each in engines if each.entry.state is EngineState.READY]
    return Record(KIND, KEY, msgspec.msgpack.encode(List(heard_ms, ready)), int(heard_ms + OLDEST_MS))


def restored(records: Iterable[Record], now_ms: float, cold_ms: float) -> list[Engine]:
    """Return the engines that were kept, those of an old list as cold; none where it cannot be used."""
    for record in records:
        if (record.kind, record.key) != (KIND, KEY) or record.value is None:
            continue
        try:
            told = _lists.decode(record.value)
        except msgspec.MsgspecError:
            return []
        age_ms = now_ms - told.heard_ms
        if not 0.0 <= age_ms < OLDEST_MS:
            return []
        return [Engine(EngineEntry(each.name, EngineState.READY, each.zone, each.cell, each.kind,
                                   each.started_ms if age_ms < cold_ms else now_ms, each.weight),
                       each.address, each.protocol) for each in told.engines]
    return []
