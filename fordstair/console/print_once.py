"""Prints the console's panes once, for scripts, or saves its screen as SVG, for the documentation."""

from __future__ import annotations

import asyncio
from pathlib import Path

from rich.console import Console

from fordstair.cli.tables import as_table
from fordstair.console.app import ConsoleApp
from fordstair.console.connection import ConsoleConnection, read_clocks
from fordstair.console.panes import PANES, headline

# Lets the console connect and show its first snapshots.
SVG_DELAY_S = 2.0


def print_once(path: str) -> None:
    """Print the headline and all panes with rows; raise ConsoleConnectionError if there is no connection."""
    with ConsoleConnection(path) as connection:
        snapshot = connection.first_snapshot()
    _, unix_ms = read_clocks()
    console = Console()
    console.print(headline(snapshot, unix_ms, ""), markup=False, highlight=False)
    for pane in PANES:
        rows = pane.rows(snapshot, unix_ms, False)
        if rows:
            console.print()
            console.print(as_table(pane, rows))


def save_svg(path: str, svg_path: str, size: tuple[int, int] = (100, 30)) -> None:
    """Run the console for ``SVG_DELAY_S`` in a terminal of ``size`` and save its screen as SVG."""

    async def capture() -> None:
        app = ConsoleApp(path)
        async with app.run_test(size=size) as pilot:
            await asyncio.sleep(SVG_DELAY_S)
            await pilot.pause()
            Path(svg_path).write_text(app.export_screenshot(title="fordstair console"))

    asyncio.run(capture())
