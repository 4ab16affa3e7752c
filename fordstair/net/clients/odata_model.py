"""The entity sets that the OData front serves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntitySet:
    """One entity set: a table, its columns, and the classes that its requests belong to."""

    name: str
    table: str
    columns: tuple[str, ...]
    read_class: str  # of a collection's read
    lookup_class: str  # of a read by key
    write_class: str = ""  # of a POST; empty where the set is only read
    cost_ms: float = 0.0  # predicted thread time of one request; 0: not known
    memory_mb: float = 0.0  # predicted memory of one request; 0: not known

    @property
    def key(self) -> str:
        """The first column is the key."""
        return self.columns[0]
