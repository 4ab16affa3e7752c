"""Draws from a seed which faults a soak injects, when, and into what; does no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

ENGINE_CORES = 8.0
HOUR_MS = 3_600_000.0
WALL_STEPS_MS = (-HOUR_MS, -20_000.0, -3_000.0, -400.0, 400.0, 3_000.0, 20_000.0, HOUR_MS)
# Errors that accept(2), connect(2) and socket(2) document as transient. ECONNREFUSED is left out because it
# would prove, falsely, that no process listens at the address.
ERRNOS = {
    "open": ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
    "accept": ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EAGAIN"),
    "send": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
    "recv": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
}
CONNECTION_CALLS = ("send", "recv")  # a failure ends the connection
CONNECTION_CALL_CHANCES = (0.002, 0.05)  # low, because each request makes many of these calls
SHORT_BYTES = (1, 7, 100)
EXTRA_SIGNALS = ("SIGHUP", "SIGUSR1", "SIGTERM")
MAX_EXTRA_SIGNALS = 3
EXTRA_SIGNAL_DELAY_S = (-0.3, 2.0)  # relative to SIGTERM
PAUSED_SHUTDOWN_SHARE = 0.4  # of the planned shutdowns: paused close to SIGTERM
SHUTDOWN_PAUSE_S = (0.1, 1.5)
SIGNALLED_START_SHARE = 0.5  # of the restarts: signals are sent during the start
START_SIGNAL_DELAY_S = (0.0, 1.2)  # after the start


class Target(Enum):
    """What a fault is injected into."""

    COORDINATOR = "coordinator"
    ENGINE = "engine"
    DISCOVERY = "discovery"


class FaultKind(Enum):
    """One kind of fault, on one kind of target."""

    STEP_CLOCK = "step_clock"
    PAUSE = "pause"
    KILL = "kill"
    TERMINATE = "terminate"
    RELOAD = "reload"
    FAIL_CALL = "fail_call"
    INTERRUPT_CALLS = "interrupt_calls"
    SHORTEN_CALL = "shorten_call"
    SILENCE = "silence"
    RESTART_COLD = "restart_cold"
    RESET_CONNECTIONS = "reset_connections"
    SLOW_DOWN = "slow_down"
    FILL_UP = "fill_up"
    DRAIN = "drain"
    SILENCE_DISCOVERY = "silence_discovery"
    RESET_DISCOVERY = "reset_discovery"


@dataclass(frozen=True, slots=True)
class FaultSpec:
    """The target of a kind of fault, its weight in the draw, and the range of its duration."""

    target: Target
    weight: float
    min_duration_s: float = 0.0
    max_duration_s: float = 0.0


FAULT_SPECS = {
    FaultKind.STEP_CLOCK: FaultSpec(Target.COORDINATOR, 8.0, 0.5, 5.0),
    FaultKind.PAUSE: FaultSpec(Target.COORDINATOR, 3.0, 0.05, 1.5),
    FaultKind.KILL: FaultSpec(Target.COORDINATOR, 1.5, 0.1, 1.0),
    FaultKind.TERMINATE: FaultSpec(Target.COORDINATOR, 2.0, 0.1, 1.0),
    FaultKind.RELOAD: FaultSpec(Target.COORDINATOR, 2.0),
    FaultKind.FAIL_CALL: FaultSpec(Target.COORDINATOR, 4.0, 0.5, 3.0),
    FaultKind.INTERRUPT_CALLS: FaultSpec(Target.COORDINATOR, 1.0, 0.5, 3.0),
    FaultKind.SHORTEN_CALL: FaultSpec(Target.COORDINATOR, 1.0, 0.5, 3.0),
    FaultKind.SILENCE: FaultSpec(Target.ENGINE, 2.0, 0.3, 5.0),
    FaultKind.RESTART_COLD: FaultSpec(Target.ENGINE, 4.0),
    FaultKind.RESET_CONNECTIONS: FaultSpec(Target.ENGINE, 3.0),
    FaultKind.SLOW_DOWN: FaultSpec(Target.ENGINE, 1.5, 1.0, 4.0),
    FaultKind.FILL_UP: FaultSpec(Target.ENGINE, 1.0, 0.5, 2.0),
    FaultKind.DRAIN: FaultSpec(Target.ENGINE, 2.0, 2.0, 5.0),
    FaultKind.SILENCE_DISCOVERY: FaultSpec(Target.DISCOVERY, 1.0, 1.0, 6.0),
    FaultKind.RESET_DISCOVERY: FaultSpec(Target.DISCOVERY, 1.0),
}


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal and its time.

    Attributes:
        at_s: When it is sent, relative to the SIGTERM of a planned shutdown or to the start of a process.
    """

    at_s: float
    name: str


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, with the details that its kind needs.

    Attributes:
        name: The coordinator or engine.
        signals: The signals of a planned shutdown, with its SIGTERM at 0.
        start_signals: The signals to the process that is started after a kill or a shutdown.
    """

    at_s: float
    duration_s: float
    kind: FaultKind
    name: str
    wall_step_ms: float = 0.0
    call: str = ""
    errno: str = ""
    chance: float = 0.0
    short_bytes: int = 0
    signals: tuple[TimedSignal, ...] = ()
    start_signals: tuple[TimedSignal, ...] = ()

    def __str__(self) -> str:
        details = f" {self.wall_step_ms:+.0f} ms" if self.wall_step_ms else ""
        details += f" {self.call} {self.errno} {self.chance:.2f}" if self.errno else ""
        details += f" {self.call} {self.short_bytes} bytes" if self.short_bytes else ""
        details += "".join(f" {each.name}@{each.at_s:+.2f}" for each in self.signals)
        details += "".join(f" start:{each.name}@{each.at_s:.2f}" for each in self.start_signals)
        return f"{self.at_s:.2f} for {self.duration_s:.2f}: {self.kind.value} {self.name}{details}"


def draw_faults(
    seed: int, seconds: float, faults_per_s: float, coordinators: Sequence[str], engines: Sequence[str]
) -> list[Fault]:
    """Draw the faults of a run in order of time; they may overlap."""
    random = Random(seed)
    faults = list[Fault]()
    at_s = 0.5
    kinds = list(FAULT_SPECS)
    weights = [spec.weight for spec in FAULT_SPECS.values()]
    names = {Target.COORDINATOR: coordinators, Target.ENGINE: engines, Target.DISCOVERY: ("discovery",)}
    while (at_s := at_s + random.expovariate(faults_per_s)) < seconds:
        kind = random.choices(kinds, weights)[0]
        spec = FAULT_SPECS[kind]
        duration_s = random.uniform(spec.min_duration_s, spec.max_duration_s)
        name = random.choice(names[spec.target])
        faults.append(_draw_details(random, Fault(at_s, duration_s, kind, name)))
    return faults


def _draw_details(random: Random, fault: Fault) -> Fault:
    common = (fault.at_s, fault.duration_s, fault.kind, fault.name)
    if fault.kind is FaultKind.STEP_CLOCK:
        return Fault(*common, wall_step_ms=random.choice(WALL_STEPS_MS))
    if fault.kind is FaultKind.FAIL_CALL:
        call = random.choice(list(ERRNOS))
        chances = CONNECTION_CALL_CHANCES if call in CONNECTION_CALLS else (0.1, 1.0)
        return Fault(*common, call=call, errno=random.choice(ERRNOS[call]), chance=random.uniform(*chances))
    if fault.kind is FaultKind.SHORTEN_CALL:
        return Fault(*common, call=random.choice(CONNECTION_CALLS), short_bytes=random.choice(SHORT_BYTES))
    if fault.kind is FaultKind.TERMINATE:
        return Fault(
            *common, signals=_draw_shutdown_signals(random), start_signals=_draw_start_signals(random)
        )
    if fault.kind is FaultKind.KILL:
        return Fault(*common, start_signals=_draw_start_signals(random))
    return fault


def _draw_shutdown_signals(random: Random) -> tuple[TimedSignal, ...]:
    """Draw the signals of a planned shutdown, in order of time."""
    signals = [TimedSignal(0.0, "SIGTERM")]
    for _ in range(random.randint(0, MAX_EXTRA_SIGNALS)):
        signals.append(TimedSignal(random.uniform(*EXTRA_SIGNAL_DELAY_S), random.choice(EXTRA_SIGNALS)))
    first_s = min(each.at_s for each in signals if each.name == "SIGTERM")
    signals = [
        TimedSignal(each.at_s - first_s, each.name) for each in signals
    ]  # relative to the first SIGTERM
    if random.random() < PAUSED_SHUTDOWN_SHARE:
        stop_s = random.uniform(-0.3, 0.3)
        signals.append(TimedSignal(stop_s, "SIGSTOP"))
        signals.append(TimedSignal(stop_s + random.uniform(*SHUTDOWN_PAUSE_S), "SIGCONT"))
    return tuple(sorted(signals, key=lambda each: each.at_s))


def _draw_start_signals(random: Random) -> tuple[TimedSignal, ...]:
    """Draw the signals that a process gets while it starts, in order of time."""
    if random.random() >= SIGNALLED_START_SHARE:
        return ()
    count = random.randint(1, MAX_EXTRA_SIGNALS)
    signals = [
        TimedSignal(random.uniform(*START_SIGNAL_DELAY_S), random.choice(EXTRA_SIGNALS)) for _ in range(count)
    ]
    return tuple(sorted(signals, key=lambda each: each.at_s))
