"""Runs one soak: processes, engines, discovery, clients, and the faults that its seed has drawn."""

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
    CROWDED_SOCKETS,
    HOST,
    MEMORY_MB,
    USUAL_SOCKETS,
    SoakCoordinator,
)
from fordstair.lab.soak.crowd import crowd
from fordstair.lab.soak.discovery import DRAINING, READY, DiscoveryStandIn
from fordstair.lab.soak.engines import WatchedEngine
from fordstair.lab.soak.judgement import Judgement, Violation
from fordstair.lab.soak.oracle import Oracle
from fordstair.lab.soak.plan import Fault, FaultKind, TimedSignal, draw_faults
from fordstair.lab.soak.records import (
    ColdStart,
    DiscoveryConnection,
    Drain,
    InjectedFault,
    Kill,
    PlannedEnd,
    SoakRecord,
    Span,
    ToldOfDrain,
)
from fordstair.lab.soak.story import story

MAX_LAG_S = 0.5  # a run that was itself later than that judges nothing
MS_PER_S = 1_000.0
WATCH_INTERVAL_S = 0.05
BURST_CONNECTIONS = (50, 300)  # a third of a coordinator's descriptors at most
RESOURCES_EVERY = 10  # looks
SLOWNESS = 6.0  # times as long, at an engine that is slowed down
FIRST_PORT = 20_000  # below those that the system hands out by itself


@dataclass(frozen=True, slots=True)
class Plan:
    """How large a soak is."""

    seed: int
    seconds: float = 15.0
    coordinators: int = 10
    engines: int = 6
    faults_per_s: float = 6.0
    rate_per_s: float = 6.0  # requests to one coordinator
    crowd: int = 0  # idle and half-written connections to one coordinator
    bursts: bool = False  # many new connections at once, whenever a coordinator has started again


@dataclass(slots=True)
class Report:
    """What a soak came to."""

    plan: Plan
    faults: list[Fault]
    record: SoakRecord
    judgement: Judgement

    @property
    def violations(self) -> list[Violation]:
        """The broken rules, in order of time."""
        return sorted(self.judgement.violations, key=lambda each: each.at_s)

    @property
    def answers(self) -> Counter[str]:
        """How requests ended."""
        return Counter(each.answers[0][1] if each.answers else "no answer" for each in self.record.requests)

    @property
    def running_at_kill(self) -> list[PlannedEnd]:
        """The planned ends that came by SIGKILL."""
        return [end for end in self.record.planned_ends if end.killed_s < math.inf]

    def _killed_line(self, end: PlannedEnd) -> str:
        """Return what is known of a program that SIGKILL met: for how long it was stopped before, its log."""
        pauses = self.record.held(FaultKind.PAUSE, end.name)
        paused_s = sum(pause.overlap(end.signalled_s, end.killed_s) for pause in pauses)
        return f"  {end.name} killed at {end.killed_s:.2f}, paused for {paused_s:.2f} s: {end.last_event}"

    def __str__(self) -> str:
        kinds = Counter(each.fault.kind.value for each in self.record.injected)
        lines = [
            f"seed {self.plan.seed}: {len(self.record.requests)} requests {dict(self.answers)}, "
            f"{len(self.record.attempts)} attempts, worst lag {self.record.worst_lag_s * 1e3:.0f} ms",
            f"  faults {dict(kinds)}",
            f"  {len(self.record.planned_ends)} planned ends, of them {len(self.running_at_kill)} by SIGKILL",
            *(self._killed_line(end) for end in self.running_at_kill),
            *(f"  {line}" for line in self.judgement.lines()),
        ]
        if self.violations:
            lines += [f"  fault {fault}" for fault in self.faults]
            lines += [f"  VIOLATION {violation}" for violation in self.violations]
            for txn in sorted({violation.txn for violation in self.violations if violation.txn}):
                lines += [f"  STORY {txn}", *(f"    {line}" for line in story(self.record, txn))]
        return "\n".join(lines)


class Soak:
    """One run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.record = SoakRecord()
        self.start_s = math.nan
        self.engines: dict[str, WatchedEngine] = {}
        self.coordinators: dict[str, SoakCoordinator] = {}
        self.clients: dict[str, Clients] = {}
        self.discovery = DiscoveryStandIn({}, (), self.record, self.now_s)
        self._channel = 0  # which of discovery's ports is told
        self._starts = trio.CapacityLimiter(2)  # at a time: they would slow each other down
        self._restarting: set[str] = set()
        self._random = Random(plan.seed)

    def now_s(self) -> float:
        """Return the time of the run."""
        return trio.current_time() - self.start_s

    async def run(self) -> Report:
        """Play the plan, and judge what was seen."""
        names = [f"n{number}" for number in range(self.plan.coordinators)]
        engine_names = [f"s-{number:08x}" for number in range(1, self.plan.engines + 1)]
        faults = draw_faults(self.plan.seed, self.plan.seconds, self.plan.faults_per_s, names, engine_names)
        self.start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for name in engine_names:
                self.engines[name] = WatchedEngine(name, self.record, self.start_s)
                await nursery.start(self.engines[name].serve)
            addresses = {name: engine.address for name, engine in self.engines.items()}
            self.discovery = DiscoveryStandIn(addresses, names, self.record, self.now_s)
            await nursery.start(self.discovery.run)
            try:
                await self._start_coordinators(names)
                self.start_s = trio.current_time()
                self.record.clock_base_s = time.monotonic()
                for engine in self.engines.values():
                    engine.rebase(self.start_s)
                nursery.start_soon(self._watch)
                await self._play(faults)
            finally:
                with trio.CancelScope(shield=True):
                    await self._end_all()
            nursery.cancel_scope.cancel()
        for each in self.coordinators.values():
            each.read_log()
            each.read_failed_connections()
            self.record.logs[each.name] = each.log_lines()
        return Report(self.plan, faults, self.record, Oracle(self.record).judgement())

    async def _start_coordinators(self, names: list[str]) -> None:
        settings = SETTINGS | {"instances": len(names)}
        self.record.crowded = self.plan.crowd > 0
        self.record.coordinators = names
        self.record.memory_limit_mb = MEMORY_MB
        self.record.descriptor_limit = CROWDED_SOCKETS if self.plan.crowd else USUAL_SOCKETS
        async with trio.open_nursery() as nursery:
            for port, name in enumerate(names, FIRST_PORT):
                self.coordinators[name] = SoakCoordinator(
                    name, port, self.folder, settings, self.record, self.now_s
                )
                if self.plan.crowd:
                    self.coordinators[name].sockets = CROWDED_SOCKETS
                nursery.start_soon(self._start, self.coordinators[name])

    async def _start(self, coordinator: SoakCoordinator) -> None:
        async with self._starts:
            known, draining = self.discovery.known(), self.discovery.draining()
            number = self.discovery.number
            await coordinator.start(known, self._address(coordinator))
            at_start = DiscoveryConnection(coordinator.name)
            self.record.told += [
                ToldOfDrain(coordinator.name, engine, self.now_s(), at_start, number) for engine in draining
            ]

    def _address(self, coordinator: SoakCoordinator) -> str:
        return f"127.0.0.1:{self.discovery.ports[coordinator.name][self._channel]}"

    async def _play(self, faults: list[Fault]) -> None:
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

    async def _end_all(self) -> None:
        for coordinator in self.coordinators.values():
            coordinator.check_running(self.now_s())
        async with trio.open_nursery() as nursery:
            for coordinator in self.coordinators.values():
                coordinator.signal(signal.SIGCONT)
                nursery.start_soon(coordinator.stop)

    async def _end(self, coordinator: SoakCoordinator, series: Sequence[TimedSignal]) -> None:
        await coordinator.terminate(series, self.start_s, self._random)

    async def _watch(self) -> None:
        """Look for ends that nobody wanted, and for how late this program is itself."""
        for look in itertools.count():
            due_s = trio.current_time() + WATCH_INTERVAL_S
            await trio.sleep_until(due_s)
            self.record.worst_lag_s = max(self.record.worst_lag_s, trio.current_time() - due_s)
            for coordinator in self.coordinators.values():
                coordinator.check_running(self.now_s())
                coordinator.sample_core_wait(self.now_s())
                if look % RESOURCES_EVERY == 0:
                    coordinator.sample_resources()

    async def _inject(self, fault: Fault) -> None:
        """Let a fault hold for its time, and write down when it did."""
        await trio.sleep_until(self.start_s + fault.at_s)
        entry = InjectedFault(fault, Span(self.now_s(), math.inf))
        self.record.injected.append(entry)
        on_target: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
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
        await on_target.get(fault.kind, self._engine_fault)(fault)
        entry.held = Span(entry.held.from_s, self.now_s())

    async def _shim_fault(self, fault: Fault) -> None:
        coordinator = self.coordinators[fault.name]
        await coordinator.inject(fault)
        await trio.sleep(fault.lasts_s)
        await coordinator.lift(fault)

    async def _pause(self, fault: Fault) -> None:
        self.coordinators[fault.name].signal(signal.SIGSTOP)
        await trio.sleep(fault.lasts_s)
        self.coordinators[fault.name].signal(signal.SIGCONT)

    async def _kill(self, fault: Fault) -> None:
        await self._restart(fault, partial(self._kill_now, self.coordinators[fault.name]))

    async def _kill_now(self, coordinator: SoakCoordinator) -> None:
        self.record.kills.append(Kill(coordinator.name, self.now_s()))
        await coordinator.kill()

    async def _terminate(self, fault: Fault) -> None:
        await self._restart(fault, partial(self._end, self.coordinators[fault.name], fault.signals))

    async def _restart(self, fault: Fault, end: Callable[[], Awaitable[None]]) -> None:
        coordinator = self.coordinators[fault.name]
        if coordinator.name in self._restarting:
            return
        self._restarting.add(coordinator.name)
        await end()
        await trio.sleep(fault.lasts_s)
        await self._start_under_signals(coordinator, fault.start_signals)
        self._restarting.discard(coordinator.name)

    async def _start_under_signals(
        self, coordinator: SoakCoordinator, signals: Sequence[TimedSignal]
    ) -> None:
        """Start a coordinator; one that signals end meanwhile is started again."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._start, coordinator)
            await coordinator.wait_begun()
            ended = await coordinator.signal_start(signals, self.start_s, self._random)
        if ended:
            await self._start(coordinator)
        if self.plan.bursts and coordinator.accepts:
            self.clients[coordinator.name].burst(self._random.randint(*BURST_CONNECTIONS))

    async def _reload(self, fault: Fault) -> None:
        self._channel = 1 - self._channel
        coordinator = self.coordinators[fault.name]
        coordinator.write_config(self.discovery.known(), self._address(coordinator))
        coordinator.reload()

    async def _drain(self, fault: Fault) -> None:
        if self.discovery.states[fault.name] == DRAINING:
            return
        entry = Drain(fault.name, Span(self.now_s(), math.inf), self.discovery.number + 1)
        self.record.drains.append(entry)
        self.discovery.announce(fault.name, DRAINING)
        await trio.sleep(fault.lasts_s)
        entry.announced = Span(entry.announced.from_s, self.now_s())
        self.discovery.announce(fault.name, READY)

    async def _silence_discovery(self, fault: Fault) -> None:
        self.discovery.go_silent()
        await trio.sleep(fault.lasts_s)
        self.discovery.speak_again()

    async def _reset_discovery(self, fault: Fault) -> None:
        await self.discovery.reset()

    async def _engine_fault(self, fault: Fault) -> None:
        engine = self.engines[fault.name]
        if fault.kind is FaultKind.SILENCE:
            engine.go_silent()
            await trio.sleep(fault.lasts_s)
            engine.end_silence()
        elif fault.kind is FaultKind.SLOW_DOWN:
            engine.slow_down(SLOWNESS)
            await trio.sleep(fault.lasts_s)
            engine.slow_down(1.0)
        elif fault.kind is FaultKind.FILL_UP:
            engine.full = True
            await trio.sleep(fault.lasts_s)
            engine.full = False
        elif fault.kind is FaultKind.RESTART_COLD:
            self._restart_cold(engine, fault)
        elif fault.kind is FaultKind.RESET_CONNECTIONS:
            engine.reset_connections()

    def _restart_cold(self, engine: WatchedEngine, fault: Fault) -> None:
        """Start an engine's process anew; discovery tells of every second one."""
        announced = int(fault.at_s * MS_PER_S) % 2 == 0
        self.record.cold_starts.append(ColdStart(engine.name, self.now_s(), announced))
        engine.restart_cold()
        if announced:
            self.discovery.announce_start(engine.name)


def soak(plan: Plan) -> Report:
    """Run one soak; the same plan injects the same faults."""
    with tempfile.TemporaryDirectory() as folder:
        return trio.run(Soak(plan, Path(folder)).run)
