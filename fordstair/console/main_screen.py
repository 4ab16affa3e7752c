"""The screen with the panes. It alone decides whether its widgets can be updated.

A timer, a worker or an answer may call before the screen is composed, or while it is being removed. The app
keeps their results; ``MainScreen.show_content`` shows them only while the widgets exist.
"""

from __future__ import annotations

from dataclasses import dataclass

from textual.app import ComposeResult
from textual.containers import Horizontal
from textual.screen import Screen
from textual.widgets import ContentSwitcher, DataTable, Footer, Static

from fordstair.console.panes import (
    CLASSES,
    ENGINES,
    LOG,
    MEMBERS,
    OVERRIDES,
    QUOTAS,
    REJECTIONS,
    REQUESTS,
    TEAMS,
    Pane,
)
from fordstair.snapshots.snapshot import Snapshot

LOWER_PANES = (REQUESTS, REJECTIONS, OVERRIDES, LOG, MEMBERS, QUOTAS)


@dataclass(frozen=True, slots=True)
class ScreenContent:
    """Everything that the screen shows.

    Attributes:
        now_ms: Unix time to which ages refer.
        message: The result of the last command.
    """

    headline: str
    snapshot: Snapshot
    now_ms: float
    stale: bool
    message: str


class PaneTable(DataTable[str]):
    """A pane's table. Rows have keys, so that the selected row stays selected in an update."""

    def __init__(self, pane: Pane) -> None:
        super().__init__(id=pane.name, cursor_type="row", zebra_stripes=False, cell_padding=1)
        self.pane = pane
        self.border_title = pane.title

    def on_mount(self) -> None:
        """Add the columns."""
        for name in self.pane.columns:
            self.add_column(name, key=name)

    def show_rows(self, snapshot: Snapshot, now_ms: float, stale: bool) -> None:
        """Show the snapshot's rows; if the row keys are unchanged, update only cells that differ."""
        rows = self.pane.rows(snapshot, now_ms, stale)
        keys = [key for key, _ in rows]
        if keys != [str(row.value) for row in self.rows]:
            selected_key = self.selected_key
            self.clear()
            for key, cells in rows:
                self.add_row(*cells, key=key)
            if selected_key in keys:
                self.move_cursor(row=keys.index(selected_key))
        else:
            for key, cells in rows:
                for name, cell in zip(self.pane.columns, cells, strict=True):
                    if self.get_cell(key, name) != cell:
                        self.update_cell(key, name, cell, update_width=True)
        self.border_title = f"{self.pane.title} ({len(rows)})" if rows else f"{self.pane.title} (none)"

    @property
    def selected_key(self) -> str:
        """The key of the row under the cursor; empty without rows."""
        keys = [str(row.value) for row in self.rows]
        return keys[self.cursor_row] if 0 <= self.cursor_row < len(keys) else ""


class MainScreen(Screen[None]):
    """The headline, the panes, and a line for the result of the last command."""

    def __init__(self) -> None:
        super().__init__()
        self._widgets_mounted = False
        self._latest_content: ScreenContent | None = None

    @property
    def has_widgets(self) -> bool:
        """True from the mounting of the widgets until the screen is being removed."""
        return self._widgets_mounted and self.is_running

    def compose(self) -> ComposeResult:
        """Lay the panes out."""
        yield Static("", id="headline", markup=False)
        yield PaneTable(ENGINES)
        with Horizontal(id="middle"):
            yield PaneTable(CLASSES)
            yield PaneTable(TEAMS)
        with ContentSwitcher(initial=REQUESTS.name, id="lower"):
            for pane in LOWER_PANES:
                yield PaneTable(pane)
        yield Static("", id="message", markup=False)
        yield Footer()

    def on_mount(self) -> None:
        """Focus the engines, and show the content that came before the screen was composed."""
        self._widgets_mounted = True
        self.query_one("#engines").focus()
        if self._latest_content is not None:
            self.show_content(self._latest_content)

    def show_content(self, content: ScreenContent) -> None:
        """Show the content: once the widgets are mounted if they are not yet, and never after their end."""
        self._latest_content = content
        if not self.has_widgets:
            return
        headline = self.query_one("#headline", Static)
        headline.update(content.headline)
        headline.set_class(content.stale, "stale")
        self.query_one("#message", Static).update(content.message)
        visible = self.query_one("#lower", ContentSwitcher).current
        for table in self.query(PaneTable):
            if table.pane not in LOWER_PANES or table.pane.name == visible:
                table.show_rows(content.snapshot, content.now_ms, content.stale)

    def show_lower_pane(self, name: str) -> None:
        """Show and focus another lower pane."""
        if self.has_widgets:
            self.query_one("#lower", ContentSwitcher).current = name
            self.query_one(f"#{name}").focus()

    def selected_key(self, pane: Pane) -> str:
        """Return the key of the row under a pane's cursor; empty without rows or widgets."""
        return self.query_one(f"#{pane.name}", PaneTable).selected_key if self.has_widgets else ""
