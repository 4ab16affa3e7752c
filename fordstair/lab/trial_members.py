"""Running members of a fleet in a trial: one process each, behind the relay, with one fake engine."""

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

FRONT_COUNT = 4  # per member: MessagePack-RPC, OData, the fleet's, and that of the feature under test


class TrialMembers:
    """Members by name; each start of a member writes its own log file.

    Attributes:
        fronts: addresses of the relay's UDP fronts, by member.
        ports: listening ports of the running processes, by member and listener.
        start_counts: number of starts so far, by member.
    """

    def __init__(
        self, folder: Path, nursery: trio.Nursery, count: int, seed: int, engine: FakeEngine
    ) -> None:
        self.folder = folder
        self.seed = seed
        self.engine = engine
        self.relay = Relay(nursery, seed)
        self.names = [f"m{number}" for number in range(count)]
        self.fronts: dict[str, str] = {}
        self.processes: dict[str, CoordinatorProcess] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self.start_counts: Counter[str] = Counter()

    def path_of(self, name: str, suffix: str) -> Path:
        """Return the path of a file that belongs to a member's current start."""
        return self.folder / f"{name}.{self.start_counts[name]}.{suffix}"

    def console_socket(self, name: str) -> Path:
        """Return the path of a member's console socket."""
        return self.folder / f"{name}.sock"

    async def launch(self, name: str, file_text: str, program: Sequence[str] = ("-m", "fordstair")) -> None:
        """Start a member with an operator's file, and wait until its fronts listen."""
        file = self.folder / f"{name}.toml"
        file.write_text(file_text)
        process = CoordinatorProcess([*program, "--operator", str(file)], self.path_of(name, "log"))
        self.processes[name] = process
        self.ports[name] = await process.wait_listening(FRONT_COUNT)

    def kill(self, name: str) -> None:
        """Kill a member's process."""
        self.processes[name].kill()

    def pause(self, name: str) -> None:
        """Pause a member's process (SIGSTOP)."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused member's process (SIGCONT)."""
        self.processes[name].send_signal(signal.SIGCONT)

    def kill_all(self) -> None:
        """Kill the processes of all members, including paused ones."""
        for process in self.processes.values():
            process.kill()

    async def query(self, name: str, table: str) -> list[dict[str, Any]]:
        """Return the rows of a table from a member's console."""
        rows: list[dict[str, Any]] = await query_console(self.console_socket(name), table)
        return rows
