"""The console's panes printed once, for scripts, or saved as a picture, for the documentation."""

from __future__ import annotations

import asyncio
from pathlib import Path

from rich.console import Console

from fordstair.cli.tables import as_table
from fordstair.console.app import ConsoleApp
from fordstair.console.connection import ConsoleConnection, read_clocks
from fordstair.console.panes import PANES, headline

SETTLE_S = 2.0


def print_once(path: str) -> None:
    """Print every pane once; raise ConsoleConnectionError where the program cannot be reached."""
    with ConsoleConnection(path) as connection:
        snapshot = connection.first_snapshot()
    _, wall = read_clocks()
    console = Console()
    console.print(headline(snapshot, wall, ""), markup=False, highlight=False)
    for pane in PANES:
        rows = pane.rows(snapshot, wall, False)
        if rows:
            console.print()
            console.print(as_table(pane, rows))


def save_svg(path: str, to: str, size: tuple[int, int] = (100, 30)) -> None:
    """Save a picture of the console as it looks after a moment."""

    async def scene() -> None:
        app = ConsoleApp(path)
        async with app.run_test(size=size) as pilot:
            await asyncio.sleep(SETTLE_S)
            await pilot.pause()
            Path(to).write_text(app.export_screenshot(title="fordstair console"))

    asyncio.run(scene())
