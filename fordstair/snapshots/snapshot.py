"""One immutable snapshot of the running program.

Tables are persistent maps, so that a new snapshot shares with the one before it whatever did not change. No
I/O and no clock.
"""

from __future__ import annotations

from typing import Any, TypeAlias

import immutables
from msgspec import Struct

from fordstair.snapshots.views import SORT_KEYS, TABLES, LogLineView, SiteView

Table: TypeAlias = immutables.Map[str, Any]  # rows of one type, by key


class Snapshot(Struct, frozen=True):
    """Everything at one moment. Numbers count up; number 0 is the empty snapshot before the first."""

    number: int = 0
    at_ms: float = 0.0  # Unix time
    site: SiteView = SiteView()
    tables: immutables.Map[str, Table] = immutables.Map({name: immutables.Map() for name in TABLES})
    log_lines: tuple[LogLineView, ...] = ()

    def table(self, name: str) -> Table:
        """Return one table, by key."""
        return self.tables[name]

    def rows(self, name: str) -> list[Any]:
        """Return one table's rows, in the order in which they are shown."""
        return sorted(self.tables[name].values(), key=SORT_KEYS[name])


def updated_table(table: Table, rows: dict[str, Any]) -> Table:
    """Return the table with exactly these rows; the same one where nothing has changed."""
    removed = [key for key in table if key not in rows]
    changed = {key: row for key, row in rows.items() if table.get(key) != row}
    if not removed and not changed:
        return table
    mutation = table.mutate()
    for key in removed:
        del mutation[key]
    mutation.update(changed)
    return mutation.finish()
