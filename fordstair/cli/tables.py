"""Prints tables on the terminal, with the columns of the console's panes."""

from __future__ import annotations

import time
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from fordstair.console.panes import PANES, Pane, Rows
from fordstair.snapshots.snapshot import Snapshot
from fordstair.snapshots.views import TABLES


def as_table(pane: Pane, rows: Rows) -> Table:
    """Return a pane's rows as a table."""
    table = Table(title=pane.title, title_justify="left", box=None, pad_edge=False)
    for name in pane.columns:
        table.add_column(
            name, justify="right" if name in pane.right_aligned else "left", no_wrap=name != pane.columns[-1]
        )
    for _, cells in rows:
        table.add_row(*cells)
    return table


def print_rows(name: str, rows: list[dict[str, Any]], at_ms: float) -> None:
    """Print the rows of a table as the pane of the same name shows them."""
    pane = next(each for each in PANES if each.name == name)
    views = {str(number): msgspec.convert(row, TABLES[name]) for number, row in enumerate(rows)}
    empty = Snapshot()
    snapshot = Snapshot(1, at_ms, empty.site, empty.tables.set(name, empty.table(name).update(views)))
    Console().print(as_table(pane, pane.rows(snapshot, time.time() * 1000.0, False)))


def print_pairs(values: dict[str, Any]) -> None:
    """Print one name and its value per line."""
    table = Table(box=None, pad_edge=False, show_header=False)
    for name, value in values.items():
        table.add_row(name, str(value))
    Console().print(table)
