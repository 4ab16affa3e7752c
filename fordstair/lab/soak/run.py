"""Runs one soak: coordinator processes, engines, discovery, clients, and the faults drawn from its seed."""

from __future__ import annotations

import itertools
import math
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

import trio

from fordstair.lab.platform_settings import SETTINGS
from fordstair.lab.soak.clients import Clients
from fordstair.lab.soak.coordinators import (
    CROWDED_DESCRIPTORS,
    DEFAULT_DESCRIPTORS,
    HOST,
    MEMORY_MB,
    SoakCoordinator,
)
from fordstair.lab.soak.crowd import crowd
from fordstair.lab.soak.discovery import DRAINING, READY, FakeDiscovery
from fordstair.lab.soak.engines import WatchedEngine
from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.oracle import Oracle
from fordstair.lab.soak.plan import Fault, FaultKind, TimedSignal, draw_faults
from fordstair.lab.soak.records import (
    ColdStart,
    DiscoveryConnection,
    Drain,
    DrainNotification,
    InjectedFault,
    Kill,
    PlannedShutdown,
    SoakRecord,
    Span,
)
from fordstair.lab.soak.story import request_timeline

MAX_LAG_S = 0.5  # the violations of a run that lagged more do not count
MS_PER_S = 1_000.0
WATCH_INTERVAL_S = 0.05
BURST_CONNECTIONS = (50, 300)  # at most a third of a coordinator's descriptors
RESOURCE_SAMPLE_INTERVAL_TICKS = 10
SLOWDOWN_FACTOR = 6.0  # work takes this many times as long during a SLOW_DOWN fault
FIRST_PORT = 20_000  # below the range of ephemeral ports


@dataclass(frozen=True, slots=True)
class Plan:
    """The size of a soak.

    Attributes:
        rate_per_s: The requests a second to each coordinator.
        crowd: The number of idle and half-written connections to each coordinator.
        bursts: True to open many connections at once whenever a coordinator has restarted.
    """

    seed: int
    seconds: float = 15.0
    coordinators: int = 10
    engines: int = 6
    faults_per_s: float = 6.0
    rate_per_s: float = 6.0
    crowd: int = 0
    bursts: bool = False


@dataclass(slots=True)
class Report:
    """The result of a soak."""

    plan: Plan
    faults: list[Fault]
    record: SoakRecord
    judgement: Judgement

    @property
    def violations(self) -> list[Violation]:
        """The violations, in order of time."""
        return sorted(self.judgement.violations, key=lambda each: each.at_s)

    @property
    def answers(self) -> Counter[str]:
        """The number of requests by outcome."""
        return Counter(each.answers[0][1] if each.answers else "no answer" for each in self.record.requests)

    @property
    def killed_shutdowns(self) -> list[PlannedShutdown]:
        """The planned shutdowns that ended by SIGKILL."""
        return [end for end in self.record.planned_shutdowns if end.killed_s < math.inf]

    def _killed_shutdown_line(self, end: PlannedShutdown) -> str:
        """Return when a coordinator was killed, how long it was paused before that, and its last log line."""
        pauses = self.record.active_spans(FaultKind.PAUSE, end.name)
        paused_s = sum(pause.overlap(end.sigterm_s, end.killed_s) for pause in pauses)
        return f"  {end.name} killed at {end.killed_s:.2f}, paused for {paused_s:.2f} s: {end.last_event}"

    def __str__(self) -> str:
        kinds = Counter(each.fault.kind.value for each in self.record.injected)
        lines = [
            f"seed {self.plan.seed}: {len(self.record.requests)} requests {dict(self.answers)}, "
            f"{len(self.record.attempts)} attempts, worst lag {self.record.worst_lag_s * 1e3:.0f} ms",
            f"  faults {dict(kinds)}",
            f"  {len(self.record.planned_shutdowns)} planned ends, "
            f"of them {len(self.killed_shutdowns)} by SIGKILL",
            *(self._killed_shutdown_line(end) for end in self.killed_shutdowns),
            *(f"  {line}" for line in self.judgement.lines()),
        ]
        if self.violations:
            lines += [f"  fault {fault}" for fault in self.faults]
            lines += [f"  VIOLATION {violation}" for violation in self.violations]
            for txn in sorted({violation.txn for violation in self.violations if violation.txn}):
                lines += [f"  STORY {txn}", *(f"    {line}" for line in request_timeline(self.record, txn))]
        return "\n".join(lines)


class Soak:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.record = SoakRecord()
        self.start_s = math.nan
        self.engines: dict[str, WatchedEngine] = {}
        self.coordinators: dict[str, SoakCoordinator] = {}
        self.clients: dict[str, Clients] = {}
        self.discovery = FakeDiscovery({}, (), self.record, self.now_s)
        self._channel_index = 0  # index of the discovery port that configurations name
        self._start_limiter = trio.CapacityLimiter(2)  # concurrent starts slow each other down
        self._restarting: set[str] = set()
        self._random = Random(plan.seed)

    def now_s(self) -> float:
        """Return the seconds since the start of the run."""
        return trio.current_time() - self.start_s

    async def run(self) -> Report:
        """Run the plan, and judge what was observed."""
        names = [f"n{number}" for number in range(self.plan.coordinators)]
        engine_names = [f"s-{number:08x}" for number in range(1, self.plan.engines + 1)]
        faults = draw_faults(self.plan.seed, self.plan.seconds, self.plan.faults_per_s, names, engine_names)
        self.start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for name in engine_names:
                self.engines[name] = WatchedEngine(name, self.record, self.start_s)
                await nursery.start(self.engines[name].serve)
            addresses = {name: engine.address for name, engine in self.engines.items()}
            self.discovery = FakeDiscovery(addresses, names, self.record, self.now_s)
            await nursery.start(self.discovery.run)
            try:
                await self._start_coordinators(names)
                self.start_s = trio.current_time()
                self.record.clock_base_s = time.monotonic()
                for engine in self.engines.values():
                    engine.rebase(self.start_s)
                nursery.start_soon(self._watch)
                await self._send_and_inject_with_crowd(faults)
            finally:
                with trio.CancelScope(shield=True):
                    await self._stop_all()
            nursery.cancel_scope.cancel()
        for each in self.coordinators.values():
            each.scan_log()
            each.read_failed_connections()
            self.record.logs[each.name] = each.log_lines()
        return Report(self.plan, faults, self.record, Oracle(self.record).judgement())

    async def _start_coordinators(self, names: list[str]) -> None:
        settings = SETTINGS | {"instances": len(names)}
        self.record.crowded = self.plan.crowd > 0
        self.record.coordinators = names
        self.record.memory_limit_mb = MEMORY_MB
        self.record.descriptor_limit = CROWDED_DESCRIPTORS if self.plan.crowd else DEFAULT_DESCRIPTORS
        async with trio.open_nursery() as nursery:
            for port, name in enumerate(names, FIRST_PORT):
                self.coordinators[name] = SoakCoordinator(
                    name, port, self.folder, settings, self.record, self.now_s
                )
                if self.plan.crowd:
                    self.coordinators[name].sockets = CROWDED_DESCRIPTORS
                nursery.start_soon(self._start, self.coordinators[name])

    async def _start(self, coordinator: SoakCoordinator) -> None:
        async with self._start_limiter:
            known, draining = self.discovery.known_engines(), self.discovery.draining()
            number = self.discovery.number
            await coordinator.start(known, self._channel_address(coordinator))
            at_start = DiscoveryConnection(coordinator.name)
            self.record.drain_notifications += [
                DrainNotification(coordinator.name, engine, self.now_s(), at_start, number)
                for engine in draining
            ]

    def _channel_address(self, coordinator: SoakCoordinator) -> str:
        return f"127.0.0.1:{self.discovery.ports[coordinator.name][self._channel_index]}"

    async def _send_and_inject_with_crowd(self, faults: list[Fault]) -> None:
        """Send traffic and inject faults; return once the last request has ended."""
        ports = [coordinator.port for coordinator in self.coordinators.values()]
        async with crowd(HOST, ports, self.plan.crowd, self.plan.seed):
            await self._send_and_inject(faults)

    async def _send_and_inject(self, faults: list[Fault]) -> None:
        async with trio.open_nursery() as nursery:
            for number, coordinator in enumerate(self.coordinators.values()):
                clients = self.clients[coordinator.name] = Clients(
                    coordinator,
                    self.record,
                    self.plan.seed * 1_000 + number,
                    self.plan.rate_per_s,
                    self.start_s,
                )
                nursery.start_soon(clients.run, self.plan.seconds)
            for fault in faults:
                nursery.start_soon(self._inject, fault)

    async def _stop_all(self) -> None:
        for coordinator in self.coordinators.values():
            coordinator.check_running(self.now_s())
        async with trio.open_nursery() as nursery:
            for coordinator in self.coordinators.values():
                coordinator.signal(signal.SIGCONT)
                nursery.start_soon(coordinator.stop)

    async def _terminate_now(self, coordinator: SoakCoordinator, signals: Sequence[TimedSignal]) -> None:
        await coordinator.terminate(signals, self.start_s, self._random)

    async def _watch(self) -> None:
        """Record unexpected exits, core waits, resource use, and the lag of this program itself."""
        for tick in itertools.count():
            due_s = trio.current_time() + WATCH_INTERVAL_S
            await trio.sleep_until(due_s)
            self.record.worst_lag_s = max(self.record.worst_lag_s, trio.current_time() - due_s)
            for coordinator in self.coordinators.values():
                coordinator.check_running(self.now_s())
                coordinator.sample_core_wait(self.now_s())
                if tick % RESOURCE_SAMPLE_INTERVAL_TICKS == 0:
                    coordinator.sample_resources()

    async def _inject(self, fault: Fault) -> None:
        """Inject a fault for its duration, and record the span in which it was in force."""
        await trio.sleep_until(self.start_s + fault.at_s)
        entry = InjectedFault(fault, Span(self.now_s(), math.inf))
        self.record.injected.append(entry)
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.STEP_CLOCK: self._shim_fault,
            FaultKind.FAIL_CALL: self._shim_fault,
            FaultKind.SHORTEN_CALL: self._shim_fault,
            FaultKind.INTERRUPT_CALLS: self._shim_fault,
            FaultKind.PAUSE: self._pause,
            FaultKind.KILL: self._kill,
            FaultKind.TERMINATE: self._terminate,
            FaultKind.RELOAD: self._reload,
            FaultKind.DRAIN: self._drain,
            FaultKind.SILENCE_DISCOVERY: self._silence_discovery,
            FaultKind.RESET_DISCOVERY: self._reset_discovery,
        }
        await handlers.get(fault.kind, self._engine_fault)(fault)
        entry.active = Span(entry.active.from_s, self.now_s())

    async def _shim_fault(self, fault: Fault) -> None:
        coordinator = self.coordinators[fault.name]
        await coordinator.inject(fault)
        await trio.sleep(fault.duration_s)
        await coordinator.remove(fault)

    async def _pause(self, fault: Fault) -> None:
        self.coordinators[fault.name].signal(signal.SIGSTOP)
        await trio.sleep(fault.duration_s)
        self.coordinators[fault.name].signal(signal.SIGCONT)

    async def _kill(self, fault: Fault) -> None:
        await self._restart(fault, partial(self._kill_now, self.coordinators[fault.name]))

    async def _kill_now(self, coordinator: SoakCoordinator) -> None:
        self.record.kills.append(Kill(coordinator.name, self.now_s()))
        await coordinator.kill()

    async def _terminate(self, fault: Fault) -> None:
        await self._restart(fault, partial(self._terminate_now, self.coordinators[fault.name], fault.signals))

    async def _restart(self, fault: Fault, end: Callable[[], Awaitable[None]]) -> None:
        coordinator = self.coordinators[fault.name]
        if coordinator.name in self._restarting:
            return
        self._restarting.add(coordinator.name)
        await end()
        await trio.sleep(fault.duration_s)
        await self._start_with_signals(coordinator, fault.start_signals)
        self._restarting.discard(coordinator.name)

    async def _start_with_signals(self, coordinator: SoakCoordinator, signals: Sequence[TimedSignal]) -> None:
        """Start a coordinator and send signals meanwhile; start it again if they end it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._start, coordinator)
            await coordinator.wait_process_started()
            ended = await coordinator.send_start_signals(signals, self.start_s, self._random)
        if ended:
            await self._start(coordinator)
        if self.plan.bursts and coordinator.accepts_connections:
            self.clients[coordinator.name].burst(self._random.randint(*BURST_CONNECTIONS))

    async def _reload(self, fault: Fault) -> None:
        self._channel_index = 1 - self._channel_index
        coordinator = self.coordinators[fault.name]
        coordinator.write_config(self.discovery.known_engines(), self._channel_address(coordinator))
        coordinator.reload()

    async def _drain(self, fault: Fault) -> None:
        if self.discovery.states[fault.name] == DRAINING:
            return
        entry = Drain(fault.name, Span(self.now_s(), math.inf), self.discovery.number + 1)
        self.record.drains.append(entry)
        self.discovery.announce(fault.name, DRAINING)
        await trio.sleep(fault.duration_s)
        entry.announced = Span(entry.announced.from_s, self.now_s())
        self.discovery.announce(fault.name, READY)

    async def _silence_discovery(self, fault: Fault) -> None:
        self.discovery.suspend()
        await trio.sleep(fault.duration_s)
        self.discovery.resume()

    async def _reset_discovery(self, fault: Fault) -> None:
        await self.discovery.reset()

    async def _engine_fault(self, fault: Fault) -> None:
        engine = self.engines[fault.name]
        if fault.kind is FaultKind.SILENCE:
            engine.go_silent()
            await trio.sleep(fault.duration_s)
            engine.end_silence()
        elif fault.kind is FaultKind.SLOW_DOWN:
            engine.slow_down(SLOWDOWN_FACTOR)
            await trio.sleep(fault.duration_s)
            engine.slow_down(1.0)
        elif fault.kind is FaultKind.FILL_UP:
            engine.full = True
            await trio.sleep(fault.duration_s)
            engine.full = False
        elif fault.kind is FaultKind.RESTART_COLD:
            self._restart_cold(engine, fault)
        elif fault.kind is FaultKind.RESET_CONNECTIONS:
            engine.reset_connections()

    def _restart_cold(self, engine: WatchedEngine, fault: Fault) -> None:
        """Restart an engine's process; discovery announces about half of the restarts."""
        announced = int(fault.at_s * MS_PER_S) % 2 == 0
        self.record.cold_starts.append(ColdStart(engine.name, self.now_s(), announced))
        engine.restart_cold()
        if announced:
            self.discovery.announce_start(engine.name)


def soak(plan: Plan) -> Report:
    """Run one soak; the same plan injects the same faults."""
    with tempfile.TemporaryDirectory() as folder:
        return trio.run(Soak(plan, Path(folder)).run)
