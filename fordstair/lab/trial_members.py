"""Running members of a fleet in a trial: a process each, behind the relay, and one stand-in engine."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import trio

from fordstair.lab.coordinator_process import CoordinatorProcess, query_console
from fordstair.lab.engine import FakeEngine
from fordstair.lab.relay import Relay

FRONT_COUNT = 4  # of a member: MessagePack-RPC, OData, the fleet's and that of what is on trial


class TrialMembers:
    """Members by name; a member that starts anew writes its log to a file of its own."""

    def __init__(
        self, folder: Path, nursery: trio.Nursery, count: int, seed: int, engine: FakeEngine
    ) -> None:
        self.folder = folder
        self.seed = seed
        self.engine = engine
        self.relay = Relay(nursery, seed)
        self.names = [f"m{number}" for number in range(count)]
        self.fronts: dict[str, str] = {}  # of the relay, by member
        self.processes: dict[str, CoordinatorProcess] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self.starts: Counter[str] = Counter()

    def path_of(self, name: str, suffix: str) -> Path:
        """Return the path of a file of a member's present start."""
        return self.folder / f"{name}.{self.starts[name]}.{suffix}"

    def console_socket(self, name: str) -> Path:
        """Return the path of a member's console socket."""
        return self.folder / f"{name}.sock"

    async def launch(self, name: str, file_text: str, program: Sequence[str] = ("-m", "fordstair")) -> None:
        """Start a member on an operator's file, and wait until its fronts listen."""
        file = self.folder / f"{name}.toml"
        file.write_text(file_text)
        process = CoordinatorProcess([*program, "--operator", str(file)], self.path_of(name, "log"))
        self.processes[name] = process
        self.ports[name] = await process.wait_listening(FRONT_COUNT)

    def kill(self, name: str) -> None:
        """End a member without notice."""
        self.processes[name].kill()

    def pause(self, name: str) -> None:
        """Stop a member's process (SIGSTOP)."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let it go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def kill_all(self) -> None:
        """End all members without notice, those that are paused too."""
        for process in self.processes.values():
            process.kill()

    async def query(self, name: str, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table from a member's console."""
        rows: list[dict[str, Any]] = await query_console(self.console_socket(name), table)
        return rows
