"""Runs a coordinator as a process: starts it, waits until it listens, reads its log, and stops it."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
import trio

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02
LISTENING = "listening"  # The log event that gives the port of a front.
READ_BYTES = 65_536
CLOCK_TICKS_PER_S = 100.0  # The unit of the processor times in /proc.


class NotStartedError(Exception):
    """The program exited before it listened, or did not listen in time; the message has its last log line."""


class CoordinatorProcess:
    """One process of the program; its standard error goes to a file, and its standard input is empty."""

    def __init__(
        self,
        arguments: Sequence[str],
        log: Path,
        environ: Mapping[str, str] | None = None,
        *,
        append: bool = False,
    ) -> None:
        """Start ``python ARGUMENTS`` with ``environ`` added to the environment of this process."""
        self.log = log
        with log.open("ab" if append else "wb") as opened:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                env=os.environ | (environ or {}),
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=opened,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """The exit status; None while it runs."""
        return self._process.poll()

    @property
    def cpu_s(self) -> float:
        """The processor time that the process has used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def log_lines(self) -> list[str]:
        """Return the complete lines of its log so far."""
        return self.log.read_text(errors="replace").rpartition("\n")[0].splitlines()

    async def wait_listening(self, front_count: int, timeout_s: float = START_TIMEOUT_S) -> dict[str, int]:
        """Wait until ``front_count`` fronts listen; return their ports by name, or raise NotStartedError."""
        with trio.move_on_after(timeout_s):
            while len(ports := listening_ports(self.log_lines())) < front_count:
                if self.returncode is not None:
                    break
                await trio.sleep(POLL_S)
            else:
                return ports
        lines = self.log.read_text(errors="replace").splitlines()
        raise NotStartedError(
            f"the coordinator did not start to listen: {lines[-1] if lines else 'its log is empty'}"
        )

    async def wait(self) -> int:
        """Wait until the process exits; return its exit status."""
        while (status := self.returncode) is None:
            await trio.sleep(POLL_S)
        return status

    def send_signal(self, number: int) -> None:
        """Send a signal, unless the process has exited."""
        self._process.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM, as the platform does."""
        self._process.terminate()

    def kill(self) -> None:
        """Send SIGKILL, and wait until the process has exited."""
        self._process.kill()
        self._process.wait()

    async def stop(self) -> None:
        """Stop the process as ``stop_process`` does."""
        await stop_process(self._process)


async def stop_process(process: subprocess.Popen[bytes]) -> None:
    """Send SIGTERM, and SIGKILL if the process has not exited within STOP_TIMEOUT_S."""
    process.terminate()
    with trio.move_on_after(STOP_TIMEOUT_S):
        while process.poll() is None:
            await trio.sleep(POLL_S)
    if process.poll() is None:
        process.kill()
        process.wait()


def listening_ports(lines: Sequence[str]) -> dict[str, int]:
    """Return the ports in a log's ``listening`` events, by front."""
    ports: dict[str, int] = {}
    for line in lines:
        fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
        if LISTENING in line and fields.get("port", "").isdecimal():
            ports[fields.get("front", "")] = int(fields["port"])
    return ports


async def query_console(socket_path: Path, table: str) -> Any:
    """Request a table from a program's console socket; return its rows."""
    async with await trio.open_unix_socket(socket_path) as stream:
        await stream.send_all(msgspec.json.encode({"command": table}) + b"\n")
        answer = b""
        while not answer.endswith(b"\n") and (chunk := await stream.receive_some(READ_BYTES)):
            answer += chunk
    return msgspec.json.decode(answer)[table]
