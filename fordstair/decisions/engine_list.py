"""The endpoint list of engines, as discovery notifies the decision module of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

EngineId: TypeAlias = str


class EngineState(Enum):
    """The state of an engine in the list; the numbers are those of the simulator's wire."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(Enum):
    """What an update of the list holds; the numbers are those of the simulator's wire."""

    CACHED = 0  # the whole list, as discovery last had it; taken as a full one
    FULL = 1  # the whole list: engines that it does not name are gone
    DELTA = 2  # the engines that have changed
    FAILED = 3  # discovery failed: the watch must be started again


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One engine of the list."""

    engine: EngineId
    state: EngineState = EngineState.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_ms: float = 0.0  # of its process, by the events' clock; 0: long past
    weight: float = 1.0  # its cores, where its kind of machine is unknown
