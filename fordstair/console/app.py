"""The console application, built with Textual: follows one program and sends it overrides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, ClassVar

from textual import work
from textual.app import App
from textual.binding import Binding, BindingType
from textual.screen import Screen

from fordstair.console.connection import ConsoleConnectionError, follow_snapshots, read_clocks, send_command
from fordstair.console.dialogs import ConfirmationDialog, HelpDialog, LimitDialog
from fordstair.console.main_screen import LOWER_PANES, MainScreen, PaneTable, ScreenContent
from fordstair.console.panes import CLASSES, ENGINES, headline
from fordstair.snapshots.freshness import Freshness
from fordstair.snapshots.snapshot import Snapshot

__all__ = ["ConfirmationDialog", "ConsoleApp", "PaneTable"]

RECONNECT_INTERVAL_S = 0.5
# Without new frames the panes are refreshed too: ages grow, and a snapshot becomes stale.
REFRESH_INTERVAL_S = 0.25


class ConsoleApp(App[int]):
    """Shows the snapshots of one program, and sends it an operator's overrides.

    Attributes:
        path: Path of the program's Unix socket.
        clock: Returns monotonic and Unix time (ms).
        headline_text: The headline as it is shown.
        message: The result of the last command.
    """

    CSS = """
    Screen { layout: vertical; overflow: hidden; }
    #headline { height: 1; text-style: bold; }
    #headline.stale { text-style: bold reverse; }
    DataTable { border: round $primary; scrollbar-size: 1 1; }
    DataTable:focus { border: heavy $primary; }
    #engines { height: 1fr; min-height: 3; }
    #middle { height: auto; max-height: 9; }
    #classes { width: 3fr; height: auto; max-height: 9; }
    #teams { width: 2fr; height: auto; max-height: 9; }
    #lower { height: 1fr; min-height: 3; }
    #message { height: 1; }
    HelpDialog, ConfirmationDialog, LimitDialog { align: center middle; }
    #help, #question { width: auto; max-width: 100%; height: auto; border: round $primary; padding: 0 1;
                       background: $surface; }
    LimitDialog #question { width: 66; }
    """
    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("question_mark", "help", "help", key_display="?"),
        Binding("a", "set_aside", "aside"),
        Binding("b", "bring_back", "back"),
        Binding("l", "limit", "limit"),
        Binding("d", "drain", "drain"),
        *(
            Binding(str(number), f"lower('{pane.name}')", pane.title.lower())
            for number, pane in enumerate(LOWER_PANES, 1)
        ),
        Binding("q", "quit", "quit"),
    ]
    ENABLE_COMMAND_PALETTE = False

    def __init__(self, path: str, clock: Callable[[], tuple[float, float]] = read_clocks) -> None:
        super().__init__()
        self.path = path
        self.clock = clock
        self.snapshot = Snapshot()
        self.freshness = Freshness()
        self.headline_text = ""
        self.message = ""
        self.main_screen = MainScreen()

    def get_default_screen(self) -> Screen[None]:
        """Return the screen with the panes."""
        return self.main_screen

    def on_mount(self) -> None:
        """Start following the program, and refreshing the panes at an interval."""
        self.set_interval(REFRESH_INTERVAL_S, self.refresh_panes)
        self.follow()
        self.refresh_panes()

    @work(exclusive=True, group="feed")
    async def follow(self) -> None:
        """Take each snapshot; reconnect whenever the connection fails or ends."""
        while True:
            try:
                async for snapshot in follow_snapshots(self.path):
                    self.snapshot = snapshot
                    self.freshness.delta_received(self.clock()[0], snapshot.at_ms)
                    self.refresh_panes()
            except ConsoleConnectionError as error:
                self.freshness.disconnected(str(error))
            self.refresh_panes()
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    def refresh_panes(self) -> None:
        """Show the latest snapshot, with its ages as of now."""
        monotonic_ms, unix_ms = self.clock()
        stale = self.freshness.staleness(monotonic_ms, unix_ms)
        self.headline_text = headline(self.snapshot, unix_ms, stale)
        self.main_screen.show_content(
            ScreenContent(self.headline_text, self.snapshot, unix_ms, bool(stale), self.message)
        )

    def action_lower(self, name: str) -> None:
        """Show another lower pane."""
        self.main_screen.show_lower_pane(name)
        self.refresh_panes()

    def action_help(self) -> None:
        """Show the help."""
        self.push_screen(HelpDialog())

    def action_set_aside(self) -> None:
        """Ask the program to set the selected engine aside."""
        if engine := self.main_screen.selected_key(ENGINES):
            self.request_override(f"Set {engine} aside", "set-aside", engine=engine)

    def action_bring_back(self) -> None:
        """Ask the program to bring the selected engine back."""
        if engine := self.main_screen.selected_key(ENGINES):
            self.request_override(f"Bring {engine} back", "bring-back", engine=engine)

    def action_drain(self) -> None:
        """Ask the program to drain and end."""
        self.request_override("Drain and end the program", "drain")

    @work
    async def action_limit(self) -> None:
        """Ask the operator for a limit on the threads of the selected class, and the program to set it."""
        if not (class_name := self.main_screen.selected_key(CLASSES)):
            return
        limit = self.snapshot.table("classes")[class_name].concurrency_limit
        text = await self.push_screen_wait(
            LimitDialog(class_name, "no limit" if limit is None else str(limit))
        )
        if text is not None:
            threads = int(text) if text else None
            self.request_override(f"Limit {class_name}", "limit", **{"class": class_name, "threads": threads})

    def request_override(self, description: str, command: str, **fields: Any) -> None:
        """Ask the program for an override, in a worker; the answer is shown as the message."""
        self.run_worker(self._request_override(description, command, fields), group="adjust")

    async def _request_override(self, description: str, command: str, fields: dict[str, Any]) -> None:
        """Ask the program; if it requires a confirmation, ask the operator and repeat the command."""
        seen = self.snapshot.site.revision
        try:
            answer = await asyncio.to_thread(send_command, self.path, command, seen=seen, **fields)
            if answer.get("verdict") == "confirm":
                if not await self.push_screen_wait(ConfirmationDialog(description, str(answer["why"]))):
                    return self.show_message(f"{description}: left as it was")
                answer = await asyncio.to_thread(
                    send_command, self.path, command, seen=seen, confirmed=True, **fields
                )
        except ConsoleConnectionError as error:
            return self.show_message(f"{description}: {error}")
        why = f": {answer['why']}" if answer.get("why") else ""
        self.show_message(f"{description}: {answer.get('verdict')}{why}")

    def show_message(self, text: str) -> None:
        """Show a line of text as the message."""
        self.message = text
        self.refresh_panes()
