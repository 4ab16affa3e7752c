"""Modal dialogs over the panes: the help, a confirmation, and the entry of a limit."""

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


class HelpDialog(ModalScreen[None]):
    """Explains the panes and the keys."""

    def compose(self) -> ComposeResult:
        """Show the help text."""
        yield Static(HELP, id="help", markup=False)

    def on_key(self) -> None:
        """Close on any key."""
        self.dismiss()


class ConfirmationDialog(ModalScreen[bool]):
    """Asks to confirm an override that disturbs service; the result is True only after ``y``."""

    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("y", "answer(True)", "yes"),
        Binding("n,escape,enter,q", "answer(False)", "no"),
    ]

    def __init__(self, description: str, consequence: str) -> None:
        super().__init__()
        self.description = description
        self.consequence = consequence

    def compose(self) -> ComposeResult:
        """Show the override and its consequence."""
        yield Static(
            f"{self.description}\n\n{self.consequence}\n\ny: do it    n: leave it as it is",
            id="question",
            markup=False,
        )

    def action_answer(self, confirmed: bool) -> None:
        """Close with the answer."""
        self.dismiss(confirmed)


class LimitDialog(ModalScreen[str | None]):
    """Asks for a limit on threads.

    The result is the text entered, which is empty to lift the limit, or None if cancelled.
    """

    BINDINGS: ClassVar[list[BindingType]] = [Binding("escape", "leave", "leave")]

    def __init__(self, class_name: str, current_limit: str) -> None:
        super().__init__()
        self.class_name = class_name
        self.current_limit = current_limit

    def compose(self) -> ComposeResult:
        """Show the input field."""
        with Vertical(id="question"):
            yield Label(
                f"Threads that {self.class_name} may hold (now {self.current_limit}); empty lifts the limit"
            )
            yield Input(type="integer", id="threads")

    def on_input_submitted(self, event: Input.Submitted) -> None:
        """Close with the text entered."""
        self.dismiss(event.value.strip())

    def action_leave(self) -> None:
        """Close without a limit."""
        self.dismiss(None)
