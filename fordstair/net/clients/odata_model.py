"""The entity sets that the OData front serves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EntitySet:
    """One entity set: a table, its columns, and the classes that its requests belong to.

    Attributes:
        name: the set's name in URLs.
        table: the table's name in SQL.
        columns: the table's columns; the first is the key.
        read_class: the class of reads of the collection.
        lookup_class: the class of reads of one entity by its key.
        write_class: the class of loads (POST); empty if the set is read-only.
        cost_ms: the predicted thread time of one request; 0 if unknown.
        memory_mb: the predicted memory of one request; 0 if unknown.
    """

    name: str
    table: str
    columns: tuple[str, ...]
    read_class: str
    lookup_class: str
    write_class: str = ""
    cost_ms: float = 0.0
    memory_mb: float = 0.0

    @property
    def key(self) -> str:
        """The name of the key column."""
        return self.columns[0]
