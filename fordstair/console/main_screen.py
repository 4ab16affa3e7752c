"""The screen with the panes: the one owner of whether there is a screen to show anything on.

A timer, a worker or an answer may come before the screen is composed, or while it is taken down. Whatever
they bring is kept by the app, and shown by ``MainScreen.show`` where the screen is there.
"""

from __future__ import annotations

from dataclasses import dataclass

from textual.app import ComposeResult
from textual.containers import Horizontal
from textual.screen import Screen
from textual.widgets import ContentSwitcher, DataTable, Footer, Static

from fordstair.console.panes import (
    ADJUSTMENTS,
    CLASSES,
    ENGINES,
    LOG,
    MEMBERS,
    REFUSALS,
    REQUESTS,
    SHARES,
    TEAMS,
    Pane,
)
from fordstair.snapshots.snapshot import Snapshot

LOWER_PANES = (REQUESTS, REFUSALS, ADJUSTMENTS, LOG, MEMBERS, SHARES)


@dataclass(frozen=True, slots=True)
class View:
    """What the screen is to show."""

    headline: str
    snapshot: Snapshot
    now_ms: float  # Unix time
    stale: bool
    message: str  # what came of the last key


class Table(DataTable[str]):
    """A pane's table: rows are kept by key, so that the mark stays where it is."""

    def __init__(self, pane: Pane) -> None:
        super().__init__(id=pane.name, cursor_type="row", zebra_stripes=False, cell_padding=1)
        self.pane = pane
        self.border_title = pane.title

    def on_mount(self) -> None:
        """Set the columns up."""
        for name in self.pane.columns:
            self.add_column(name, key=name)

    def show(self, snapshot: Snapshot, now_ms: float, stale: bool) -> None:
        """Bring the rows up to date; only cells that differ are touched."""
        rows = self.pane.rows(snapshot, now_ms, stale)
        keys = [key for key, _ in rows]
        if keys != [str(row.value) for row in self.rows]:
            marked = self.marked
            self.clear()
            for key, cells in rows:
                self.add_row(*cells, key=key)
            if marked in keys:
                self.move_cursor(row=keys.index(marked))
        else:
            for key, cells in rows:
                for name, cell in zip(self.pane.columns, cells, strict=True):
                    if self.get_cell(key, name) != cell:
                        self.update_cell(key, name, cell, update_width=True)
        self.border_title = f"{self.pane.title} ({len(rows)})" if rows else f"{self.pane.title} (none)"

    @property
    def marked(self) -> str:
        """The key of the marked row; empty without one."""
        keys = [str(row.value) for row in self.rows]
        return keys[self.cursor_row] if 0 <= self.cursor_row < len(keys) else ""


class MainScreen(Screen[None]):
    """The headline, the panes, and a line for what came of a key."""

    def __init__(self) -> None:
        super().__init__()
        self._composed = False
        self._view: View | None = None  # the latest

    @property
    def is_there(self) -> bool:
        """Whether the widgets are there: from when they are mounted until the screen is taken down."""
        return self._composed and self.is_running

    def compose(self) -> ComposeResult:
        """Lay the panes out."""
        yield Static("", id="headline", markup=False)
        yield Table(ENGINES)
        with Horizontal(id="middle"):
            yield Table(CLASSES)
            yield Table(TEAMS)
        with ContentSwitcher(initial=REQUESTS.name, id="lower"):
            for pane in LOWER_PANES:
                yield Table(pane)
        yield Static("", id="message", markup=False)
        yield Footer()

    def on_mount(self) -> None:
        """Begin at the engines, with what has come by now."""
        self._composed = True
        self.query_one("#engines").focus()
        if self._view is not None:
            self.show(self._view)

    def show(self, view: View) -> None:
        """Show the view; once the screen is composed, where it is not there yet, and never after its end."""
        self._view = view
        if not self.is_there:
            return
        line = self.query_one("#headline", Static)
        line.update(view.headline)
        line.set_class(view.stale, "stale")
        self.query_one("#message", Static).update(view.message)
        visible = self.query_one("#lower", ContentSwitcher).current
        for table in self.query(Table):
            if table.pane not in LOWER_PANES or table.pane.name == visible:
                table.show(view.snapshot, view.now_ms, view.stale)

    def show_lower(self, name: str) -> None:
        """Show another lower pane."""
        if self.is_there:
            self.query_one("#lower", ContentSwitcher).current = name
            self.query_one(f"#{name}").focus()

    def marked(self, pane: Pane) -> str:
        """Return the key of a pane's marked row; empty without one."""
        return self.query_one(f"#{pane.name}", Table).marked if self.is_there else ""
