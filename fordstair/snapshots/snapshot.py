"""One immutable snapshot of the running program. No I/O and no clock.

Tables are persistent maps, so that a snapshot shares unchanged tables and rows with the previous one.
"""

from __future__ import annotations

from typing import Any, TypeAlias

import immutables
from msgspec import Struct

from fordstair.snapshots.views import SORT_KEYS, TABLES, LogLineView, SiteView

# Rows of one type, by key.
Table: TypeAlias = immutables.Map[str, Any]


class Snapshot(Struct, frozen=True):
    """The state of the program at one time.

    Attributes:
        number: Increases with each snapshot; 0 is the empty snapshot before the first.
        at_ms: Unix time of the collection.
    """

    number: int = 0
    at_ms: float = 0.0
    site: SiteView = SiteView()
    tables: immutables.Map[str, Table] = immutables.Map({name: immutables.Map() for name in TABLES})
    log_lines: tuple[LogLineView, ...] = ()

    def table(self, name: str) -> Table:
        """Return the rows of one table, by key."""
        return self.tables[name]

    def rows(self, name: str) -> list[Any]:
        """Return one table's rows in display order."""
        return sorted(self.tables[name].values(), key=SORT_KEYS[name])


def updated_table(table: Table, rows: dict[str, Any]) -> Table:
    """Return a table with exactly these rows: ``table`` itself if nothing has changed."""
    removed = [key for key in table if key not in rows]
    changed = {key: row for key, row in rows.items() if table.get(key) != row}
    if not removed and not changed:
        return table
    mutation = table.mutate()
    for key in removed:
        del mutation[key]
    mutation.update(changed)
    return mutation.finish()
