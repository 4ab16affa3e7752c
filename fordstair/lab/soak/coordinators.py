"""One real coordinator of a soak: its process under the fault shim, started again at its address."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import trio
import ujson

from fordstair.lab.fault_shim import APPLIED, ENVIRONMENT_VARIABLE
from fordstair.lab.soak.plan import Fault
from fordstair.lab.soak.records import CoordinatorEnd, SoakRecord

READY_S = 20.0
END_S = 12.0  # after SIGTERM; the program's own bound is about 4 s, and pauses may fall into it
LOOK_S = 0.02
# Each run has a loopback host of its own: a coordinator that is down keeps its port from everybody else.
HOST = f"127.{1 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}.1"
_LOG_FAULT = re.compile(
    r"Traceback|invariant\.violated|(request|client|deadline|module|channel|priority)\.broke"
)


class CoordinatorProcess:
    """A name, an address, and the process that has them now."""

    def __init__(
        self, name: str, port: int, folder: Path, settings: dict[str, Any], record: SoakRecord
    ) -> None:
        self.name, self.port = name, port
        self.ready = False  # whether clients may come
        self._follows = False  # whether the shim is in place and follows its signal
        self._settings, self._record = settings, record
        self._config, self._faults = folder / f"{name}.json", folder / f"{name}.faults.json"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._in_force: list[Fault] = []
        self._wanted = False  # whether its end is the soak's doing

    async def start(self, known: dict[str, Any], channel: str) -> None:
        """Start a process, and wait until it listens."""
        self.write_config(known, channel)
        self._write_faults()
        environ = os.environ | {"RELAY_CONFIG": str(self._config), ENVIRONMENT_VARIABLE: str(self._faults)}
        before, self._wanted, self._follows = self._text().count("front=listens"), False, False
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "fordstair.lab.fault_shim"],
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        with trio.move_on_after(READY_S):
            while self._text().count("front=listens") == before and self._process.poll() is None:
                await trio.sleep(LOOK_S)
            self.ready = self._follows = self._process.poll() is None

    def write_config(self, known: dict[str, Any], channel: str) -> None:
        """Write what it is told, for a start or a reload."""
        told = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": f"{self.port:x}",
            "channel": channel,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": self._settings,
        }
        self._config.write_text(ujson.dumps(told))

    def reload(self) -> None:
        """Have it read its configuration anew, unless it is too young to hold the signal back."""
        if self._process is not None and self._heeds(signal.SIGHUP):
            self.signal(signal.SIGHUP)

    def _heeds(self, number: int) -> bool:
        with suppress(OSError):
            assert self._process is not None
            status = Path(f"/proc/{self._process.pid}/status").read_text()
            masks = re.findall(r"^Sig(?:Blk|Cgt):\s*([0-9a-f]+)$", status, re.M)
            return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the process, if there is one."""
        if self._process is not None and self._process.poll() is None:
            with suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def put(self, fault: Fault) -> None:
        """Let a fault of the shim hold from now on."""
        self._in_force.append(fault)
        await self._apply()

    async def lift(self, fault: Fault) -> None:
        """End a fault of the shim."""
        if fault in self._in_force:
            self._in_force.remove(fault)
        await self._apply()

    async def kill(self) -> None:
        """End the process without a word."""
        self.ready, self._wanted = False, True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self._gone()

    async def terminate(self) -> None:
        """End the process as planned, and wait for its end."""
        self._wanted = True
        self.signal(signal.SIGTERM)
        await trio.sleep(0.3)  # clients still come for a moment
        self.ready = False
        with trio.move_on_after(END_S) as limit:
            await self._gone()
        if limit.cancelled_caught:
            self._record.log_faults.append(f"{self.name} has not ended {END_S:.0f} s after SIGTERM")
            await self.kill()

    def look(self, now_s: float) -> None:
        """Note an end that nobody wanted."""
        if self._process is not None and not self._wanted and (code := self._process.poll()) is not None:
            self.ready, self._wanted = False, True
            self._record.ends.append(CoordinatorEnd(self.name, now_s, False, code))

    def read_log(self) -> None:
        """Note the lines of its log that no run may show."""
        lines = self._text().splitlines()
        for number, line in enumerate(lines):
            if _LOG_FAULT.search(line):
                said = " / ".join(lines[max(0, number - 1) : number + 1])
                if (told := f"{self.name}: {said}") not in self._record.log_faults:
                    self._record.log_faults.append(told)

    async def _gone(self) -> None:
        while self._process is not None and self._process.poll() is None:
            await trio.sleep(LOOK_S)

    async def _apply(self) -> None:
        self._write_faults()
        if self._process is None or self._process.poll() is not None or not self._follows:
            return
        before = self._text().count(APPLIED)
        self.signal(signal.SIGUSR2)
        with trio.move_on_after(2.0):  # it may be paused, or may have ended meanwhile
            while self._text().count(APPLIED) == before:
                await trio.sleep(LOOK_S)

    def _write_faults(self) -> None:
        calls: dict[str, dict[str, Any]] = {}
        for fault in self._in_force:
            if fault.errno:
                calls.setdefault(fault.call, {}).update(errno=fault.errno, chance=fault.chance)
            if fault.short_bytes:
                calls.setdefault(fault.call, {}).update(short=fault.short_bytes)
        step_ms = sum(fault.wall_step_ms for fault in self._in_force)
        text = ujson.dumps({"wall_step_ms": step_ms, "calls": calls, "seed": len(self._in_force)})
        fresh = self._faults.with_suffix(".new")
        fresh.write_text(text)
        fresh.rename(self._faults)  # whole at any time: the shim may read it just now

    def _text(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""
