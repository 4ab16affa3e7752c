"""One look, for scripts and for pictures in the documentation."""

from __future__ import annotations

import asyncio
from pathlib import Path

from rich.console import Console

from fordstair.cli.tables import shown
from fordstair.console.app import ConsoleApp
from fordstair.console.link import Link, clocks
from fordstair.console.panes import PANES, headline

SETTLE_S = 2.0


def show(path: str) -> None:
    """Print every pane once; raise LinkError where there is nothing to look at."""
    with Link(path) as link:
        picture = link.first_picture()
    _, wall = clocks()
    console = Console()
    console.print(headline(picture, wall, ""), markup=False, highlight=False)
    for pane in PANES:
        rows = pane.rows(picture, wall, False)
        if rows:
            console.print()
            console.print(shown(pane, rows))


def save_svg(path: str, to: str, size: tuple[int, int] = (100, 30)) -> None:
    """Save a picture of the console as it looks after a moment."""

    async def scene() -> None:
        app = ConsoleApp(path)
        async with app.run_test(size=size) as pilot:
            await asyncio.sleep(SETTLE_S)
            await pilot.pause()
            Path(to).write_text(app.export_screenshot(title="fordstair console"))

    asyncio.run(scene())
