"""What lies over the panes for a while: the help, a question, and a field for a number."""

from __future__ import annotations

from typing import ClassVar

from textual.app import ComposeResult
from textual.binding import Binding, BindingType
from textual.containers import Vertical
from textual.screen import ModalScreen
from textual.widgets import Input, Label, Static

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
