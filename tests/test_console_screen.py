"""Tests of the console while its screen is composed and removed; barriers force each order of events."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from typing import Any

import pytest

from fordstair.console import app as console_app
from fordstair.console.app import ConsoleApp, PaneTable
from fordstair.snapshots.snapshot import Snapshot


class RemovalBarrier:
    """Holds up the removal of the console's screen until ``gate`` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.started, self.gate = asyncio.Event(), asyncio.Event()

        async def held(_: PaneTable) -> None:
            self.started.set()
            await self.gate.wait()

        monkeypatch.setattr(PaneTable, "on_unmount", held, raising=False)


class CountedClock:
    """A clock for the console that counts its readings; each reading is one attempt to refresh the panes."""

    def __init__(self) -> None:
        self.readings = 0

    def __call__(self) -> tuple[float, float]:
        self.readings += 1
        return 1.0, 1.0


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


def refresh_with_snapshot(app: ConsoleApp) -> None:
    app.snapshot = Snapshot()
    app.refresh_panes()


LATE_CALLS: dict[str, Callable[[ConsoleApp], object]] = {
    "picture": refresh_with_snapshot,
    "message": lambda app: app.show_message("done"),
    "pane": lambda app: app.action_lower("log"),
    "engine": lambda app: app.action_set_aside(),
    "limit": lambda app: app.action_limit(),
}


@pytest.mark.parametrize("late", ["timer", "answer", "confirmation", *LATE_CALLS])
def test_calls_while_the_screen_is_removed_do_not_end_the_console(
    monkeypatch: pytest.MonkeyPatch, late: str
) -> None:
    # Guards against NoMatches for #headline, when a timer, a worker or an answer updates removed panes.
    answered, asked = threading.Event(), threading.Event()
    verdict = {"verdict": "confirm", "why": "one of two"} if late == "confirmation" else {"verdict": "done"}

    def answer_late(*_: Any, **__: Any) -> dict[str, Any]:
        asked.set()
        answered.wait(5.0)
        return verdict

    monkeypatch.setattr(console_app, "send_command", answer_late)

    async def scene() -> None:
        removal, clock = RemovalBarrier(monkeypatch), CountedClock()
        app = ConsoleApp("/nowhere", clock)

        async def call_late() -> None:
            await removal.started.wait()
            readings = clock.readings
            if late in LATE_CALLS:
                LATE_CALLS[late](app)
            answered.set()
            if late == "answer":
                await wait_until(lambda: app.message)
            elif late != "confirmation":
                await wait_until(lambda: clock.readings > readings)
            removal.gate.set()

        async with asyncio.timeout(15.0):
            late_call = asyncio.create_task(call_late())
            async with app.run_test() as pilot:
                await pilot.pause()
                if late in ("answer", "confirmation"):
                    app.request_override("Drain", "drain")
                    await wait_until(asked.is_set)
            await late_call

    asyncio.run(scene())


@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("early", list(LATE_CALLS)[:4])
def test_calls_before_the_screen_is_composed_or_after_its_end_are_kept(when: str, early: str) -> None:
    # Guards against ScreenStackError and NoMatches, when a call updates a screen before or after it exists.
    async def scene() -> None:
        app = ConsoleApp("/nowhere")
        if when == "before":
            LATE_CALLS[early](app)
        async with app.run_test() as pilot:
            await pilot.pause()
            shown = str(app.query_one("#message").render())
        if when == "after":
            LATE_CALLS[early](app)
        elif early == "message":
            assert "done" in shown

    asyncio.run(scene())
