"""The list of engines, as discovery reports it to the decision module."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

EngineId: TypeAlias = str


class EngineState(Enum):
    """The state of an engine in the list; the values are those of the simulator's wire protocol."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(Enum):
    """The content of a list update; the values are those of the simulator's wire protocol.

    Attributes:
        CACHED: The whole list as discovery last had it; handled as FULL.
        FULL: The whole list; engines that it does not contain are gone.
        DELTA: The engines that have changed.
        FAILED: No engines, because discovery failed; the watch must be started again.
    """

    CACHED = 0
    FULL = 1
    DELTA = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One engine of the list.

    Attributes:
        started_ms: Start of the engine's process by the events' clock; 0 if it is long past.
        weight: Number of cores, used where the machine kind is unknown.
    """

    engine: EngineId
    state: EngineState = EngineState.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_ms: float = 0.0
    weight: float = 1.0
