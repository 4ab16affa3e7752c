"""The console on textual: what it follows, its keys, and questions before what disturbs service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, ClassVar

from textual import work
from textual.app import App
from textual.binding import Binding, BindingType
from textual.screen import Screen

from fordstair.console.connection import ConsoleConnectionError, follow_snapshots, read_clocks, send_command
from fordstair.console.dialogs import Help, LimitBox, Question
from fordstair.console.main_screen import LOWER_PANES, MainScreen, Table, View
from fordstair.console.panes import CLASSES, ENGINES, headline
from fordstair.snapshots.freshness import Freshness
from fordstair.snapshots.snapshot import Snapshot

__all__ = ["ConsoleApp", "Question", "Table"]

RECONNECT_S = 0.5  # between attempts to reach the program
REFRESH_S = 0.25  # ages grow, and a lost feed is noticed, without a frame


class ConsoleApp(App[int]):
    """Follows one program."""

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
    Help, Question, LimitBox { align: center middle; }
    #help, #question { width: auto; max-width: 100%; height: auto; border: round $primary; padding: 0 1;
                       background: $surface; }
    LimitBox #question { width: 66; }
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
        self.shown = ""  # the headline as it stands
        self.message = ""  # what came of the last key
        self.main_screen = MainScreen()

    def get_default_screen(self) -> Screen[None]:
        """Return the screen with the panes."""
        return self.main_screen

    def on_mount(self) -> None:
        """Follow the feed, and let ages grow."""
        self.set_interval(REFRESH_S, self.refresh_panes)
        self.follow()
        self.refresh_panes()

    @work(exclusive=True, group="feed")
    async def follow(self) -> None:
        """Take picture after picture; reach for the program again when it is lost."""
        while True:
            try:
                async for snapshot in follow_snapshots(self.path):
                    self.snapshot = snapshot
                    self.freshness.delta_received(self.clock()[0], snapshot.at_ms)
                    self.refresh_panes()
            except ConsoleConnectionError as error:
                self.freshness.disconnected(str(error))
            self.refresh_panes()
            await asyncio.sleep(RECONNECT_S)

    def refresh_panes(self) -> None:
        """Show the picture as it stands now."""
        mono, wall = self.clock()
        stale = self.freshness.staleness(mono, wall)
        self.shown = headline(self.snapshot, wall, stale)
        self.main_screen.show(View(self.shown, self.snapshot, wall, bool(stale), self.message))

    def action_lower(self, name: str) -> None:
        """Show another lower pane."""
        self.main_screen.show_lower(name)
        self.refresh_panes()

    def action_help(self) -> None:
        """Show the help."""
        self.push_screen(Help())

    def action_set_aside(self) -> None:
        """Set the marked engine aside."""
        if engine := self.main_screen.marked(ENGINES):
            self.adjust(f"Set {engine} aside", "set-aside", engine=engine)

    def action_bring_back(self) -> None:
        """Bring the marked engine back."""
        if engine := self.main_screen.marked(ENGINES):
            self.adjust(f"Bring {engine} back", "bring-back", engine=engine)

    def action_drain(self) -> None:
        """Drain the program."""
        self.adjust("Drain and end the program", "drain")

    @work
    async def action_limit(self) -> None:
        """Limit the marked class."""
        if not (class_name := self.main_screen.marked(CLASSES)):
            return
        limit = self.snapshot.table("classes")[class_name].concurrency_limit
        text = await self.push_screen_wait(LimitBox(class_name, "no limit" if limit is None else str(limit)))
        if text is not None:
            threads = int(text) if text else None
            self.adjust(f"Limit {class_name}", "limit", **{"class": class_name, "threads": threads})

    def adjust(self, what: str, command: str, **fields: Any) -> None:
        """Ask the program for an adjustment, beside what is shown."""
        self.run_worker(self._adjust(what, command, fields), group="adjust")

    async def _adjust(self, what: str, command: str, fields: dict[str, Any]) -> None:
        """Ask the program; ask the operator first where it disturbs service."""
        seen = self.snapshot.site.revision
        try:
            answer = await asyncio.to_thread(send_command, self.path, command, seen=seen, **fields)
            if answer.get("verdict") == "confirm":
                if not await self.push_screen_wait(Question(what, str(answer["why"]))):
                    return self.say(f"{what}: left as it was")
                answer = await asyncio.to_thread(
                    send_command, self.path, command, seen=seen, confirmed=True, **fields
                )
        except ConsoleConnectionError as error:
            return self.say(f"{what}: {error}")
        why = f": {answer['why']}" if answer.get("why") else ""
        self.say(f"{what}: {answer.get('verdict')}{why}")

    def say(self, text: str) -> None:
        """Show one line of what came of a key."""
        self.message = text
        self.refresh_panes()
