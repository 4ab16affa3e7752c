"""One real coordinator of a soak: its process under the fault shim, started again at its address."""

from __future__ import annotations

import os
import re
import signal
from contextlib import suppress
from pathlib import Path
from typing import Any

import trio
import ujson

from fordstair.lab.coordinator_process import POLL_S, CoordinatorProcess
from fordstair.lab.fault_shim import APPLIED, ENVIRONMENT_VARIABLE
from fordstair.lab.soak.plan import Fault
from fordstair.lab.soak.records import CoordinatorEnd, SoakRecord

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 12.0  # after SIGTERM; the program's own bound is about 4 s, and pauses may fall into it
LAST_CLIENTS_S = 0.3  # clients still come for so long after SIGTERM
SHIM_TIMEOUT_S = 2.0  # for the shim to apply its faults: it may be paused, or may have ended meanwhile
READY_MARK = "front=listens"  # in the log, once for each start
# Each run has a loopback host of its own: a coordinator that is down keeps its port from everybody else.
HOST = f"127.{1 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}.1"
_LOG_FAULT = re.compile(
    r"Traceback|invariant\.violated|deadline\.action_failed|[a-z]+\.(internal_error|broke)\b"
)


class SoakCoordinator:
    """A name, an address, and the process that has them now, under the fault shim."""

    def __init__(
        self, name: str, port: int, folder: Path, settings: dict[str, Any], record: SoakRecord
    ) -> None:
        self.name = name
        self.port = port
        self.ready = False  # whether clients may come
        self._shim_ready = False  # whether the shim is in place and follows its signal
        self._settings = settings
        self._record = record
        self._config = folder / f"{name}.json"
        self._faults = folder / f"{name}.faults.json"
        self._log = folder / f"{name}.log"
        self._process: CoordinatorProcess | None = None
        self._in_force: list[Fault] = []
        self._end_expected = False  # whether its end is the soak's doing

    async def start(self, known: dict[str, Any], channel: str) -> None:
        """Start a process, and wait until it listens."""
        self.write_config(known, channel)
        self._write_faults()
        starts = self._text().count(READY_MARK)
        self._end_expected = False
        self._shim_ready = False
        environ = {"RELAY_CONFIG": str(self._config), ENVIRONMENT_VARIABLE: str(self._faults)}
        program = ["-m", "fordstair.lab.fault_shim"]
        self._process = CoordinatorProcess(program, self._log, environ, append=True)
        with trio.move_on_after(START_TIMEOUT_S):
            while self._text().count(READY_MARK) == starts and self._runs():
                await trio.sleep(POLL_S)
            self._shim_ready = self._runs()
            self.ready = self._shim_ready

    def write_config(self, known: dict[str, Any], channel: str) -> None:
        """Write its configuration, for a start or a reload."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": f"{self.port:x}",
            "channel": channel,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": self._settings,
        }
        self._config.write_text(ujson.dumps(config))

    def reload(self) -> None:
        """Have it read its configuration anew, unless it is too young to hold the signal back."""
        if self._process is not None and self._handles(signal.SIGHUP):
            self.signal(signal.SIGHUP)

    def _handles(self, number: int) -> bool:
        """Return whether the process blocks or catches a signal."""
        with suppress(OSError):
            assert self._process is not None
            status = Path(f"/proc/{self._process.pid}/status").read_text()
            masks = re.findall(r"^Sig(?:Blk|Cgt):\s*([0-9a-f]+)$", status, re.M)
            return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the process, if there is one."""
        if self._process is not None:
            self._process.send_signal(number)

    async def inject(self, fault: Fault) -> None:
        """Let a fault of the shim hold from now on."""
        self._in_force.append(fault)
        await self._apply()

    async def lift(self, fault: Fault) -> None:
        """End a fault of the shim."""
        if fault in self._in_force:
            self._in_force.remove(fault)
        await self._apply()

    async def kill(self) -> None:
        """End the process without notice."""
        self.ready = False
        self._end_expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self._wait()

    async def terminate(self) -> None:
        """End the process as planned, and wait for its end."""
        self._end_expected = True
        self.signal(signal.SIGTERM)
        await trio.sleep(LAST_CLIENTS_S)
        self.ready = False
        with trio.move_on_after(STOP_TIMEOUT_S) as limit:
            await self._wait()
        if limit.cancelled_caught:
            self._record.log_faults.append(f"{self.name} has not ended {STOP_TIMEOUT_S:.0f} s after SIGTERM")
            await self.kill()

    def check_running(self, now_s: float) -> None:
        """Note an end that nobody wanted."""
        if self._process is None or self._end_expected:
            return
        if (status := self._process.returncode) is not None:
            self.ready = False
            self._end_expected = True
            self._record.ends.append(CoordinatorEnd(self.name, now_s, False, status))

    def read_log(self) -> None:
        """Note the lines of its log that no run may show."""
        lines = self._text().splitlines()
        for number, line in enumerate(lines):
            if _LOG_FAULT.search(line):
                lines_found = " / ".join(lines[max(0, number - 1) : number + 1])
                if (found := f"{self.name}: {lines_found}") not in self._record.log_faults:
                    self._record.log_faults.append(found)

    def _runs(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def _wait(self) -> None:
        if self._process is not None:
            await self._process.wait()

    async def _apply(self) -> None:
        self._write_faults()
        if not self._runs() or not self._shim_ready:
            return
        applied = self._text().count(APPLIED)
        self.signal(signal.SIGUSR2)
        with trio.move_on_after(SHIM_TIMEOUT_S):
            while self._text().count(APPLIED) == applied:
                await trio.sleep(POLL_S)

    def _write_faults(self) -> None:
        calls: dict[str, dict[str, Any]] = {}
        for fault in self._in_force:
            if fault.errno:
                calls.setdefault(fault.call, {}).update(errno=fault.errno, chance=fault.chance)
            if fault.short_bytes:
                calls.setdefault(fault.call, {}).update(short=fault.short_bytes)
        step_ms = sum(fault.wall_step_ms for fault in self._in_force)
        text = ujson.dumps({"wall_step_ms": step_ms, "calls": calls, "seed": len(self._in_force)})
        new_file = self._faults.with_suffix(".new")
        new_file.write_text(text)
        new_file.rename(self._faults)  # complete at any time: the shim may be reading it

    def _text(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""
