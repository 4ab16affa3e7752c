"""The console while its screen is composed and taken down; barriers hold each order open."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from typing import Any

import pytest

from fordstair.console import app as console_app
from fordstair.console.app import ConsoleApp, PaneTable
from fordstair.snapshots.snapshot import Snapshot


class TakenDown:
    """Holds the console in the moment in which its screen is taken down, until the gate opens."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.begun, self.gate = asyncio.Event(), asyncio.Event()

        async def held(_: PaneTable) -> None:
            self.begun.set()
            await self.gate.wait()

        monkeypatch.setattr(PaneTable, "on_unmount", held, raising=False)


class CountedClock:
    """The console's clock; each look at it is one attempt to show the panes."""

    def __init__(self) -> None:
        self.looks = 0

    def __call__(self) -> tuple[float, float]:
        self.looks += 1
        return 1.0, 1.0


async def until(true: Callable[[], object]) -> None:
    async with asyncio.timeout(5.0):
        while not true():
            await asyncio.sleep(0.005)


def take_picture(app: ConsoleApp) -> None:
    app.snapshot = Snapshot()
    app.refresh_panes()


LATE: dict[str, Callable[[ConsoleApp], object]] = {
    "picture": take_picture,
    "message": lambda app: app.show_message("done"),
    "pane": lambda app: app.action_lower("log"),
    "engine": lambda app: app.action_set_aside(),
    "limit": lambda app: app.action_limit(),
}


@pytest.mark.parametrize("late", ["timer", "answer", "confirmation", *LATE])
def test_what_comes_while_the_screen_is_taken_down_ends_nothing(
    monkeypatch: pytest.MonkeyPatch, late: str
) -> None:
    # Guards against NoMatches for #headline: a timer, a worker or an answer after the panes have gone.
    answered, asked = threading.Event(), threading.Event()
    verdict = {"verdict": "confirm", "why": "one of two"} if late == "confirmation" else {"verdict": "done"}

    def answers_late(*_: Any, **__: Any) -> dict[str, Any]:
        asked.set()
        answered.wait(5.0)
        return verdict

    monkeypatch.setattr(console_app, "send_command", answers_late)

    async def scene() -> None:
        taken_down, clock = TakenDown(monkeypatch), CountedClock()
        app = ConsoleApp("/nowhere", clock)

        async def comes_late() -> None:
            await taken_down.begun.wait()
            looks = clock.looks
            if late in LATE:
                LATE[late](app)
            answered.set()
            if late == "answer":
                await until(lambda: app.message)
            elif late != "confirmation":
                await until(lambda: clock.looks > looks)
            taken_down.gate.set()

        async with asyncio.timeout(15.0):
            coming = asyncio.create_task(comes_late())
            async with app.run_test() as pilot:
                await pilot.pause()
                if late in ("answer", "confirmation"):
                    app.request_override("Drain", "drain")
                    await until(asked.is_set)
            await coming

    asyncio.run(scene())


@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("early", list(LATE)[:4])
def test_what_comes_before_the_screen_is_composed_or_after_its_end_is_kept(when: str, early: str) -> None:
    # Guards against ScreenStackError and NoMatches where there is no screen yet, or none any more.
    async def scene() -> None:
        app = ConsoleApp("/nowhere")
        if when == "before":
            LATE[early](app)
        async with app.run_test() as pilot:
            await pilot.pause()
            shown = str(app.query_one("#message").render())
        if when == "after":
            LATE[early](app)
        elif early == "message":
            assert "done" in shown

    asyncio.run(scene())
