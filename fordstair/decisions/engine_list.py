"""The endpoint list of engines, as discovery notifies the decision module of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

EngineId: TypeAlias = str


class EngineState(Enum):
    """Discovery's word on an engine."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(Enum):
    """What a membership event holds."""

    CACHED = 0
    FULL = 1
    DELTA = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One line of the list of engines; started_ms is 0 where the start is long past."""

    engine: EngineId
    state: EngineState = EngineState.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_ms: float = 0.0
    weight: float = 1.0
