"""One real coordinator of a soak: its processes, which run under the fault shim at one address."""

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
    CoordinatorExit,
    CoordinatorStart,
    FailedConnection,
    InjectedFault,
    PlannedShutdown,
    Resources,
    SoakRecord,
    Span,
)

START_TIMEOUT_S = 20.0
INTERRUPT_INTERVAL_MS = 2.0  # between two signals that interrupt system calls
STOP_TIMEOUT_S = 12.0  # at the end of a run; a coordinator itself takes at most about 4 s
KILL_AFTER_S = 3.7  # the shortest time that the platform leaves between SIGTERM and SIGKILL
NEW_CLIENTS_AFTER_SIGTERM_S = (0.2, 0.4)  # how long new clients connect after SIGTERM
CROWDED_DESCRIPTORS = 192  # a limit that a crowd of idle connections exhausts
DEFAULT_DESCRIPTORS = 1_024
MEMORY_MB = 192
KB_PER_MB = 1_024.0
SHIM_TIMEOUT_S = 2.0  # for the shim to apply its faults: the process may be paused or may have ended
MAX_LOG_LINE_CHARS = 120  # in a report
MAX_TRACEBACK_LINES = 30  # reported from a forbidden line on
READY_MARK = "front=listens"  # logged once for each start
# Each run uses its own loopback address, so that no other run takes the port of a coordinator that is down.
HOST = f"127.{1 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}.1"
_FORBIDDEN_LOG_LINE = re.compile(
    r"Traceback|invariant\.violated|deadline\.action_failed|[a-z]+\.(internal_error|broke)\b"
)


_PEAK_MEMORY = re.compile(r"^VmHWM:\s*(\d+) kB", re.M)
_FAILED_CALL = re.compile(rf"^{FAILED} (\d+\.\d+) \w+ (\d+)$", re.M)


class SoakCoordinator:
    """A coordinator with a fixed name and address, and its current process under the fault shim.

    Attributes:
        ready: True if clients may send requests on connections that are open.
        accepts_connections: True if clients may open new connections.
        sockets: The limit on descriptors that its configuration states.
    """

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
        self.ready = False
        self.accepts_connections = False
        self.sockets = DEFAULT_DESCRIPTORS
        self._shim_ready = False  # True once the shim handles its signal
        self._settings = settings
        self._record = record
        self._now_s = now_s
        self._config = folder / f"{name}.json"
        self._faults = folder / f"{name}.faults.json"
        self._log = folder / f"{name}.log"
        self._process: CoordinatorProcess | None = None
        self._active_faults: list[Fault] = []
        self._end_expected = False  # True if the soak itself ends the process
        self._process_started = trio.Event()  # set when the next process has started
        self._core_wait = CoreWaitSampler(name, record)

    async def start(self, known: dict[str, Any], channel: str) -> None:
        """Start a process, and wait until it listens, has ended, or ``START_TIMEOUT_S`` has passed."""
        self.write_config(known, channel)
        self._write_faults()
        starts = self._log_text().count(READY_MARK)
        self._end_expected = False
        self._shim_ready = False
        start = CoordinatorStart(self.name, self._now_s())
        self._record.starts.append(start)
        process_started = self._process_started
        environ = {
            "RELAY_CONFIG": str(self._config),
            ENVIRONMENT_VARIABLE: str(self._faults),
            TIMED_LOG_VARIABLE: "1",
        }
        program = ["-m", "fordstair.lab.fault_shim"]
        self._process = CoordinatorProcess(program, self._log, environ, append=True)
        process_started.set()
        self._process_started = trio.Event()
        with trio.move_on_after(START_TIMEOUT_S):
            while self._log_text().count(READY_MARK) == starts and self._is_running():
                await trio.sleep(POLL_S)
            self._shim_ready = self._is_running()
            if self._shim_ready:
                start.ready_s = self._now_s()
            start.end_requested = self._end_expected
            await self._apply_faults()  # a fault may have been removed before the shim was ready
            self.ready = self.accepts_connections = self._shim_ready and not self._end_expected

    async def wait_process_started(self) -> None:
        """Wait until the next process has been started."""
        await self._process_started.wait()

    def write_config(self, known: dict[str, Any], channel: str) -> None:
        """Write the configuration file for a start or a reload."""
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
        """Make the process reload its configuration.

        Do nothing if it has just started and SIGHUP, neither blocked nor handled yet, would end it.
        """
        if self._process is not None and self._handles_signal(signal.SIGHUP):
            self.signal(signal.SIGHUP)

    def _handles_signal(self, number: int) -> bool:
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
        """Add a fault to those that the shim injects, and wait until it is applied."""
        self._active_faults.append(fault)
        await self._apply_faults()

    async def remove(self, fault: Fault) -> None:
        """Remove a fault from those that the shim injects, and wait until that is applied."""
        if fault in self._active_faults:
            self._active_faults.remove(fault)
        await self._apply_faults()

    async def kill(self) -> None:
        """End the process by SIGKILL, and wait until it has ended."""
        self.ready = self.accepts_connections = False
        self._end_expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self._wait()

    async def stop(self) -> None:
        """End the process by SIGTERM; record an error and kill it if it does not end in time."""
        self._end_expected = True
        self.ready = self.accepts_connections = False
        self.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_S) as limit:
            await self._wait()
        if limit.cancelled_caught:
            self._record.log_errors.append(f"{self.name} has not ended {STOP_TIMEOUT_S:.0f} s after SIGTERM")
            await self.kill()

    async def terminate(self, signals: Sequence[TimedSignal], start_s: float, random: Random) -> None:
        """End the process as the platform does: by a sequence of signals, then SIGKILL at the earliest time.

        Clients use their open connections until the end, and open new ones for a short time after SIGTERM.
        """
        self._end_expected = True
        first_s = min(each.at_s for each in signals)
        sigterm_s = trio.current_time() - first_s
        end = PlannedShutdown(self.name, sigterm_s - start_s)
        self._record.planned_shutdowns.append(end)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_signals, signals, sigterm_s, start_s)
            nursery.start_soon(
                self._stop_new_connections, sigterm_s + random.uniform(*NEW_CLIENTS_AFTER_SIGTERM_S)
            )
            with trio.move_on_at(sigterm_s + KILL_AFTER_S):
                await self._wait()
            nursery.cancel_scope.cancel()
        if self._is_running():
            end.killed_s = trio.current_time() - start_s
            end.last_event = self._last_event()
        await self.kill()

    async def _send_signals(self, signals: Sequence[TimedSignal], sigterm_s: float, start_s: float) -> None:
        stopped_s = math.inf
        try:
            for each in signals:
                await trio.sleep_until(sigterm_s + each.at_s)
                number = signal.Signals[each.name]
                if number in (signal.SIGHUP, signal.SIGUSR1) and not self._handles_signal(number):
                    continue
                self.signal(number)
                if number is signal.SIGSTOP:
                    stopped_s = trio.current_time()
        finally:  # a pause ends at SIGCONT, or earlier if the process has ended or was killed
            if stopped_s < math.inf:
                self._record_pause(stopped_s - start_s, trio.current_time() - start_s)

    async def _stop_new_connections(self, at_s: float) -> None:
        await trio.sleep_until(at_s)
        self.accepts_connections = False

    def _record_pause(self, from_s: float, to_s: float) -> None:
        """Record that the process was paused."""
        fault = Fault(from_s, to_s - from_s, FaultKind.PAUSE, self.name)
        self._record.injected.append(InjectedFault(fault, Span(from_s, to_s)))

    async def send_start_signals(
        self, signals: Sequence[TimedSignal], start_s: float, random: Random
    ) -> bool:
        """Send signals to a process that is starting; return True if one of them has ended it."""
        begun_s = trio.current_time()
        for each in signals:
            await trio.sleep_until(begun_s + each.at_s)
            number = signal.Signals[each.name]
            if number is signal.SIGTERM:
                await self.terminate((TimedSignal(0.0, each.name),), start_s, random)
                return True
            if self._handles_signal(number):
                self.signal(number)
        return False

    def check_running(self, now_s: float) -> None:
        """Record an exit of the process if the soak did not cause it."""
        if self._process is None or self._end_expected:
            return
        if (status := self._process.returncode) is not None:
            self.ready = False
            self._end_expected = True
            self._record.exits.append(CoordinatorExit(self.name, now_s, False, status))

    def log_lines(self) -> list[str]:
        """Return the log lines of all its processes."""
        return self._log_text().splitlines()

    def sample_core_wait(self, now_s: float) -> None:
        """Record how long the process has waited for a core since the last sample."""
        if self._process is None:
            return
        with suppress(OSError, ValueError):
            _, waited_ns, _ = Path(f"/proc/{self._process.pid}/schedstat").read_text().split()
            self._core_wait.sample(self._process.pid, now_s, int(waited_ns) / 1e9)

    def sample_resources(self) -> None:
        """Record the number of open descriptors and the peak memory of the process."""
        if self._process is None:
            return
        resources = self._record.resources.setdefault(self.name, Resources())
        folder = Path(f"/proc/{self._process.pid}")
        with suppress(OSError):
            resources.descriptors = max(resources.descriptors, len(os.listdir(folder / "fd")))
            if (peak := _PEAK_MEMORY.search((folder / "status").read_text())) is not None:
                resources.memory_mb = max(resources.memory_mb, int(peak[1]) / KB_PER_MB)

    def read_failed_connections(self) -> None:
        """Record the connections on which the shim made a call fail, as its log lines say."""
        for at_s, port in _FAILED_CALL.findall(self._log_text()):
            failed = FailedConnection(self.name, int(port), float(at_s) - self._record.clock_base_s)
            self._record.failed_connections.append(failed)

    def scan_log(self) -> None:
        """Record the forbidden lines of the log, each with the lines around it."""
        lines = self._log_text().splitlines()
        for number, line in enumerate(lines):
            if _FORBIDDEN_LOG_LINE.search(line):
                excerpt = " / ".join(
                    line.strip()[:MAX_LOG_LINE_CHARS]
                    for line in lines[max(0, number - 1) : number + MAX_TRACEBACK_LINES]
                )
                if (error := f"{self.name}: {excerpt}") not in self._record.log_errors:
                    self._record.log_errors.append(error)

    def _is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def _wait(self) -> None:
        if self._process is not None:
            await self._process.wait()

    async def _apply_faults(self) -> None:
        self._write_faults()
        if not self._is_running() or not self._shim_ready:
            return
        applied = self._log_text().count(APPLIED)
        self.signal(signal.SIGUSR2)
        with trio.move_on_after(SHIM_TIMEOUT_S):
            while self._log_text().count(APPLIED) == applied:
                await trio.sleep(POLL_S)

    def _write_faults(self) -> None:
        calls: dict[str, dict[str, Any]] = {}
        interrupt_ms = 0.0
        for fault in self._active_faults:
            if fault.errno:
                calls.setdefault(fault.call, {}).update(errno=fault.errno, chance=fault.chance)
            if fault.kind is FaultKind.INTERRUPT_CALLS:
                interrupt_ms = INTERRUPT_INTERVAL_MS
            if fault.short_bytes:
                calls.setdefault(fault.call, {}).update(short=fault.short_bytes)
        step_ms = sum(fault.wall_step_ms for fault in self._active_faults)
        seed = len(self._active_faults)
        faults = {"wall_step_ms": step_ms, "calls": calls, "interrupt_ms": interrupt_ms, "seed": seed}
        new_file = self._faults.with_suffix(".new")
        new_file.write_text(ujson.dumps(faults))
        new_file.rename(self._faults)  # atomic, because the shim may read the file at any time

    def _last_event(self) -> str:
        lines = self._log_text().splitlines()
        return lines[-1][:MAX_LOG_LINE_CHARS] if lines else ""

    def _log_text(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""
