"""The console on textual: panes that follow the feed, keys, and questions before what disturbs service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, ClassVar

from textual import work
from textual.app import App, ComposeResult
from textual.binding import Binding, BindingType
from textual.containers import Horizontal, Vertical
from textual.screen import ModalScreen
from textual.widgets import ContentSwitcher, DataTable, Footer, Input, Label, Static

from fordstair.console.connection import ConsoleConnectionError, follow_snapshots, read_clocks, send_command
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
    headline,
)
from fordstair.snapshots.freshness import Freshness
from fordstair.snapshots.snapshot import Snapshot

RECONNECT_S = 0.5  # between attempts to reach the program
REFRESH_S = 0.25  # ages grow, and a lost feed is noticed, without a frame
LOWER_PANES = (REQUESTS, REFUSALS, ADJUSTMENTS, LOG, MEMBERS, SHARES)

HELP = """\
What is shown
  LIVE / STALE     STALE: the picture is over a second old, or the program is lost;
                   what is then below was so when last heard, and engines get a '?'.
  Engines          state as the decision module believes it; 'for': how long so;
                   'told': age of its last load report; 'heard': last sign of work.
                   silent: sent nothing but a trickle until it answers again.
                   warming 40%: started lately; sent less, up to that share.
  Classes, Teams   open requests, attempts out, threads they hold, the oldest's age.

Keys
  1 to 6    lower pane: waiting requests, refusals, adjustments in force, log, fleet, shares
  a  b      set the marked engine aside (it gets nothing new) / bring it back
  l         limit the threads of the marked class
  d         drain: answer what is open, then end the program
  tab       next pane     up, down   mark a row
  ?         this help     q          leave the console (the program goes on)

Adjustments last until the program starts again, and are logged with your name.
Press any key to go back."""


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


class Help(ModalScreen[None]):
    """What is shown, and every key."""

    def compose(self) -> ComposeResult:
        """Show the text."""
        yield Static(HELP, id="help", markup=False)

    def on_key(self) -> None:
        """Any key closes it."""
        self.dismiss()


class Question(ModalScreen[bool]):
    """Asks before what disturbs service; only ``y`` is a yes."""

    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("y", "answer(True)", "yes"),
        Binding("n,escape,enter,q", "answer(False)", "no"),
    ]

    def __init__(self, what: str, why: str) -> None:
        super().__init__()
        self.what = what
        self.why = why

    def compose(self) -> ComposeResult:
        """Show what is about to be done, and what it does."""
        yield Static(
            f"{self.what}\n\n{self.why}\n\ny: do it    n: leave it as it is", id="question", markup=False
        )

    def action_answer(self, yes: bool) -> None:
        """Close with the answer."""
        self.dismiss(yes)


class LimitBox(ModalScreen[str | None]):
    """Asks for a number of threads."""

    BINDINGS: ClassVar[list[BindingType]] = [Binding("escape", "leave", "leave")]

    def __init__(self, class_name: str, now: str) -> None:
        super().__init__()
        self.class_name = class_name
        self.limit_now = now

    def compose(self) -> ComposeResult:
        """Show the field."""
        with Vertical(id="question"):
            yield Label(
                f"Threads that {self.class_name} may hold (now {self.limit_now}); empty lifts the limit"
            )
            yield Input(type="integer", id="threads")

    def on_input_submitted(self, event: Input.Submitted) -> None:
        """Close with the text."""
        self.dismiss(event.value.strip())

    def action_leave(self) -> None:
        """Close without an answer."""
        self.dismiss(None)


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
        """Follow the feed, and let ages grow."""
        self.query_one("#engines").focus()
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
        line = self.query_one("#headline", Static)
        self.shown = headline(self.snapshot, wall, stale)
        line.update(self.shown)
        line.set_class(bool(stale), "stale")
        visible = self.query_one("#lower", ContentSwitcher).current
        for table in self.query(Table):
            if table.pane not in LOWER_PANES or table.pane.name == visible:
                table.show(self.snapshot, wall, bool(stale))

    def action_lower(self, name: str) -> None:
        """Show another lower pane."""
        self.query_one("#lower", ContentSwitcher).current = name
        self.query_one(f"#{name}").focus()
        self.refresh_panes()

    def action_help(self) -> None:
        """Show the help."""
        self.push_screen(Help())

    def action_set_aside(self) -> None:
        """Set the marked engine aside."""
        if engine := self.query_one("#engines", Table).marked:
            self.adjust(f"Set {engine} aside", "set-aside", engine=engine)

    def action_bring_back(self) -> None:
        """Bring the marked engine back."""
        if engine := self.query_one("#engines", Table).marked:
            self.adjust(f"Bring {engine} back", "bring-back", engine=engine)

    def action_drain(self) -> None:
        """Drain the program."""
        self.adjust("Drain and end the program", "drain")

    @work
    async def action_limit(self) -> None:
        """Limit the marked class."""
        if not (class_name := self.query_one("#classes", Table).marked):
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
        self.query_one("#message", Static).update(text)
