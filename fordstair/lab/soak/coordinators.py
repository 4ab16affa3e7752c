"""One real coordinator of a soak: its process under the fault shim, started again at its address."""

from __future__ import annotations

import math
import os
import re
import signal
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import trio
import ujson

from fordstair.lab.coordinator_process import POLL_S, CoordinatorProcess
from fordstair.lab.fault_shim import APPLIED, ENVIRONMENT_VARIABLE, FAILED, TIMED_LOG_VARIABLE
from fordstair.lab.soak.core_wait import CoreWaitSampler
from fordstair.lab.soak.plan import Fault, FaultKind, TimedSignal
from fordstair.lab.soak.records import (
    CoordinatorEnd,
    CoordinatorStart,
    FailedConnection,
    InjectedFault,
    PlannedEnd,
    Resources,
    SoakRecord,
    Span,
)

START_TIMEOUT_S = 20.0
INTERRUPT_INTERVAL_MS = 2.0  # between signals that interrupt system calls
STOP_TIMEOUT_S = 12.0  # at the end of a run; the program's own bound is about 4 s
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL, at its earliest
LAST_CLIENTS_S = (0.2, 0.4)  # new clients still come for so long after SIGTERM
CROWDED_SOCKETS = 192  # descriptors of a coordinator that a crowd is to fill
USUAL_SOCKETS = 1_024
MEMORY_MB = 192
KB_PER_MB = 1_024.0
SHIM_TIMEOUT_S = 2.0  # for the shim to apply its faults: it may be paused, or may have ended meanwhile
LOGGED_CHARS = 120  # of a line of a log, in a report
LOGGED_LINES = 30  # from one that no run may show: a traceback
READY_MARK = "front=listens"  # in the log, once for each start
# Each run has a loopback host of its own: a coordinator that is down keeps its port from everybody else.
HOST = f"127.{1 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}.1"
_LOG_FAULT = re.compile(
    r"Traceback|invariant\.violated|deadline\.action_failed|[a-z]+\.(internal_error|broke)\b"
)


_PEAK_MEMORY = re.compile(r"^VmHWM:\s*(\d+) kB", re.M)
_FAILED_CALL = re.compile(rf"^{FAILED} (\d+\.\d+) \w+ (\d+)$", re.M)


class SoakCoordinator:
    """A name, an address, and the process that has them now, under the fault shim."""

    def __init__(
        self,
        name: str,
        port: int,
        folder: Path,
        settings: dict[str, Any],
        record: SoakRecord,
        now_s: Callable[[], float],
    ) -> None:
        self.name = name
        self.port = port
        self.ready = False  # whether clients may send requests, on connections that are open
        self.accepts = False  # whether new connections may come
        self.sockets = USUAL_SOCKETS
        self._shim_ready = False  # whether the shim is in place and follows its signal
        self._settings = settings
        self._record = record
        self._now_s = now_s
        self._config = folder / f"{name}.json"
        self._faults = folder / f"{name}.faults.json"
        self._log = folder / f"{name}.log"
        self._process: CoordinatorProcess | None = None
        self._in_force: list[Fault] = []
        self._end_expected = False  # whether its end is the soak's doing
        self._begun = trio.Event()  # set as the next process is started
        self._core_wait = CoreWaitSampler(name, record)

    async def start(self, known: dict[str, Any], channel: str) -> None:
        """Start a process, and wait until it listens."""
        self.write_config(known, channel)
        self._write_faults()
        starts = self._text().count(READY_MARK)
        self._end_expected = False
        self._shim_ready = False
        start = CoordinatorStart(self.name, self._now_s())
        self._record.starts.append(start)
        begun = self._begun
        environ = {
            "RELAY_CONFIG": str(self._config),
            ENVIRONMENT_VARIABLE: str(self._faults),
            TIMED_LOG_VARIABLE: "1",
        }
        program = ["-m", "fordstair.lab.fault_shim"]
        self._process = CoordinatorProcess(program, self._log, environ, append=True)
        begun.set()
        self._begun = trio.Event()
        with trio.move_on_after(START_TIMEOUT_S):
            while self._text().count(READY_MARK) == starts and self._runs():
                await trio.sleep(POLL_S)
            self._shim_ready = self._runs()
            if self._shim_ready:
                start.ready_s = self._now_s()
            start.signalled = self._end_expected
            await self._apply()  # a fault may have been lifted while there was no shim to tell
            self.ready = self.accepts = self._shim_ready and not self._end_expected

    async def wait_begun(self) -> None:
        """Wait until the next process has been started."""
        await self._begun.wait()

    def write_config(self, known: dict[str, Any], channel: str) -> None:
        """Write its configuration, for a start or a reload."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": f"{self.port:x}",
            "channel": channel,
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": self.sockets},
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
        self.ready = self.accepts = False
        self._end_expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self._wait()

    async def stop(self) -> None:
        """End the process once all clients have gone, and note where it does not end by itself."""
        self._end_expected = True
        self.ready = self.accepts = False
        self.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_S) as limit:
            await self._wait()
        if limit.cancelled_caught:
            self._record.log_faults.append(f"{self.name} has not ended {STOP_TIMEOUT_S:.0f} s after SIGTERM")
            await self.kill()

    async def terminate(self, series: Sequence[TimedSignal], start_s: float, random: Random) -> None:
        """End the process as the platform does: signals in a series, then SIGKILL at its earliest.

        Clients use their open connections until then; new ones come for a moment.
        """
        self._end_expected = True
        first_s = min(each.at_s for each in series)
        signalled_s = trio.current_time() - first_s
        end = PlannedEnd(self.name, signalled_s - start_s)
        self._record.planned_ends.append(end)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_series, series, signalled_s, start_s)
            nursery.start_soon(self._close_to_new_clients, signalled_s + random.uniform(*LAST_CLIENTS_S))
            with trio.move_on_at(signalled_s + KILL_AFTER_S):
                await self._wait()
            nursery.cancel_scope.cancel()
        if self._runs():
            end.killed_s = trio.current_time() - start_s
            end.last_event = self._last_event()
        await self.kill()

    async def _send_series(self, series: Sequence[TimedSignal], signalled_s: float, start_s: float) -> None:
        stopped_s = math.inf
        try:
            for each in series:
                await trio.sleep_until(signalled_s + each.at_s)
                number = signal.Signals[each.name]
                if number in (signal.SIGHUP, signal.SIGUSR1) and not self._handles(number):
                    continue
                self.signal(number)
                if number is signal.SIGSTOP:
                    stopped_s = trio.current_time()
        finally:  # SIGCONT ends a series with a pause, unless the process has ended or was killed before
            if stopped_s < math.inf:
                self._note_pause(stopped_s - start_s, trio.current_time() - start_s)

    async def _close_to_new_clients(self, at_s: float) -> None:
        await trio.sleep_until(at_s)
        self.accepts = False

    def _note_pause(self, from_s: float, to_s: float) -> None:
        """Write down that the process was stopped."""
        fault = Fault(from_s, to_s - from_s, FaultKind.PAUSE, self.name)
        self._record.injected.append(InjectedFault(fault, Span(from_s, to_s)))

    async def signal_start(self, signals: Sequence[TimedSignal], start_s: float, random: Random) -> bool:
        """Send signals to a process that starts; return whether one of them has ended it."""
        begun_s = trio.current_time()
        for each in signals:
            await trio.sleep_until(begun_s + each.at_s)
            number = signal.Signals[each.name]
            if number is signal.SIGTERM:
                await self.terminate((TimedSignal(0.0, each.name),), start_s, random)
                return True
            if self._handles(number):
                self.signal(number)
        return False

    def check_running(self, now_s: float) -> None:
        """Note an end that nobody wanted."""
        if self._process is None or self._end_expected:
            return
        if (status := self._process.returncode) is not None:
            self.ready = False
            self._end_expected = True
            self._record.ends.append(CoordinatorEnd(self.name, now_s, False, status))

    def log_lines(self) -> list[str]:
        """Return the lines of its log, of all processes that it has been."""
        return self._text().splitlines()

    def sample_core_wait(self, now_s: float) -> None:
        """Note where the process waited for a core rather than ran, since the latest sample."""
        if self._process is None:
            return
        with suppress(OSError, ValueError):
            _, waited_ns, _ = Path(f"/proc/{self._process.pid}/schedstat").read_text().split()
            self._core_wait.sample(self._process.pid, now_s, int(waited_ns) / 1e9)

    def sample_resources(self) -> None:
        """Note how many descriptors the process has open, and the most memory that it has had."""
        if self._process is None:
            return
        used = self._record.resources.setdefault(self.name, Resources())
        folder = Path(f"/proc/{self._process.pid}")
        with suppress(OSError):
            used.descriptors = max(used.descriptors, len(os.listdir(folder / "fd")))
            if (peak := _PEAK_MEMORY.search((folder / "status").read_text())) is not None:
                used.memory_mb = max(used.memory_mb, int(peak[1]) / KB_PER_MB)

    def read_failed_connections(self) -> None:
        """Note which of its connections the shim has failed."""
        for at_s, port in _FAILED_CALL.findall(self._text()):
            failed = FailedConnection(self.name, int(port), float(at_s) - self._record.clock_base_s)
            self._record.failed_connections.append(failed)

    def read_log(self) -> None:
        """Note the lines of its log that no run may show."""
        lines = self._text().splitlines()
        for number, line in enumerate(lines):
            if _LOG_FAULT.search(line):
                lines_found = " / ".join(
                    line.strip()[:LOGGED_CHARS] for line in lines[max(0, number - 1) : number + LOGGED_LINES]
                )
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
        interrupt_ms = 0.0
        for fault in self._in_force:
            if fault.errno:
                calls.setdefault(fault.call, {}).update(errno=fault.errno, chance=fault.chance)
            if fault.kind is FaultKind.INTERRUPT_CALLS:
                interrupt_ms = INTERRUPT_INTERVAL_MS
            if fault.short_bytes:
                calls.setdefault(fault.call, {}).update(short=fault.short_bytes)
        step_ms = sum(fault.wall_step_ms for fault in self._in_force)
        seed = len(self._in_force)
        faults = {"wall_step_ms": step_ms, "calls": calls, "interrupt_ms": interrupt_ms, "seed": seed}
        new_file = self._faults.with_suffix(".new")
        new_file.write_text(ujson.dumps(faults))
        new_file.rename(self._faults)  # complete at any time: the shim may be reading it

    def _last_event(self) -> str:
        lines = self._text().splitlines()
        return lines[-1][:LOGGED_CHARS] if lines else ""

    def _text(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""
