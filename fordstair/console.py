"""The operator's console: python -m fordstair.console --socket PATH [COMMAND]."""

from __future__ import annotations

import argparse
import json
import socket
import sys
import time
from typing import Any

import ujson
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

COMMANDS = ("status", "engines", "requests", "counters", "drain", "watch")
ANSWER_S = 5.0


class Door:
    """A connection to the program's Unix socket."""

    def __init__(self, path: str) -> None:
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self._sock.settimeout(ANSWER_S)
        self._sock.connect(path)
        self._file = self._sock.makefile("rb")

    def ask(self, command: str) -> dict[str, Any]:
        """Ask one command; return the answer's object."""
        self._sock.sendall(ujson.dumps({"command": command}).encode() + b"\n")
        line = self._file.readline()
        if not line:
            raise ConnectionError("the program has closed the connection")
        answer = ujson.loads(line)
        if not isinstance(answer, dict):
            raise ConnectionError("the answer is no object")
        return answer


def table(title: str, rows: list[dict[str, Any]]) -> Table:
    """Show objects as rows."""
    shown = Table(title=title, title_justify="left")
    for name in rows[0] if rows else ["none"]:
        shown.add_column(name, justify="right" if rows and isinstance(rows[0][name], int | float) else "left")
    for row in rows:
        shown.add_row(*(str(value) for value in row.values()))
    return shown


def pairs(title: str, values: dict[str, Any]) -> Table:
    """Show an object as names and values."""
    return table(title, [{"name": name, "value": value} for name, value in values.items()])


def show(door: Door, command: str) -> Table:
    """Ask one command and return its answer as a table."""
    answer = door.ask(command)
    if "error" in answer:
        raise ConnectionError(str(answer["error"]))
    inner = answer.get(command, answer)
    return table(command, inner) if isinstance(inner, list) else pairs(command, inner)


def watch(door: Door, console: Console, every_s: float, times: int) -> None:
    """Show status, engines and requests, again and again."""
    with Live(console=console, auto_refresh=False) as live:
        for turn in range(times) if times else iter(int, 1):
            if turn or not times:
                time.sleep(every_s)
            shown = Group(*(show(door, name) for name in ("status", "engines", "requests")))
            live.update(shown, refresh=True)


def main(arguments: list[str] | None = None) -> int:
    """Run one command; 1 where the program cannot be reached."""
    parser = argparse.ArgumentParser(prog="fordstair.console", description="Look at a running coordinator.")
    parser.add_argument("--socket", required=True, help="the path that the operator's file sets")
    parser.add_argument("--json", action="store_true", help="print the answer as it came")
    parser.add_argument("--every", type=float, default=1.0, metavar="S", help="seconds between two looks")
    parser.add_argument("--times", type=int, default=0, metavar="N", help="looks of watch; 0: until Ctrl-C")
    parser.add_argument("command", nargs="?", choices=COMMANDS, default="status")
    told = parser.parse_args(arguments)
    console = Console()
    try:
        door = Door(told.socket)
        if told.command == "watch":
            watch(door, console, told.every, told.times)
        elif told.json:
            print(json.dumps(door.ask(told.command)))
        else:
            console.print(show(door, told.command))
    except (OSError, ValueError) as error:
        print(f"fordstair.console: {told.socket}: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
