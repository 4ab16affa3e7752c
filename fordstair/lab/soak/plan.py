"""Which faults a soak injects, when, and into what: drawn from a seed, pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

ENGINE_CORES = 8.0
HOUR_MS = 3_600_000.0
WALL_STEPS_MS = (-HOUR_MS, -20_000.0, -3_000.0, -400.0, 400.0, 3_000.0, 20_000.0, HOUR_MS)
# What accept(2), connect(2) and socket(2) document as passing; a faked ECONNREFUSED would be a false proof.
ERRNOS = {
    "open": ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
    "accept": ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ENETDOWN"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EAGAIN"),
    "send": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
    "recv": ("ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
}
CONNECTION_CALLS = ("send", "recv")  # a failure of which ends a connection
CONNECTION_CALL_CHANCES = (0.002, 0.05)  # each request makes many of them
SHORT_BYTES = (1, 7, 100)
EXTRA_SIGNALS = ("SIGHUP", "SIGUSR1", "SIGTERM")
MOST_EXTRA_SIGNALS = 3
SERIES_S = (-0.3, 2.0)  # from SIGTERM: when the other signals of a series come
PAUSED_SERIES_SHARE = 0.4  # of the planned ends, with a pause about SIGTERM
SERIES_PAUSE_S = (0.1, 1.5)
SIGNALLED_START_SHARE = 0.5  # of the restarts, with signals while the program starts
START_SIGNALS_S = (0.0, 1.2)  # from the start


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
class Recipe:
    """How often a kind of fault is drawn, and how long it lasts."""

    target: Target
    weight: float
    shortest_s: float = 0.0
    longest_s: float = 0.0


RECIPES = {
    FaultKind.STEP_CLOCK: Recipe(Target.COORDINATOR, 8.0, 0.5, 5.0),
    FaultKind.PAUSE: Recipe(Target.COORDINATOR, 3.0, 0.05, 1.5),
    FaultKind.KILL: Recipe(Target.COORDINATOR, 1.5, 0.1, 1.0),
    FaultKind.TERMINATE: Recipe(Target.COORDINATOR, 2.0, 0.1, 1.0),
    FaultKind.RELOAD: Recipe(Target.COORDINATOR, 2.0),
    FaultKind.FAIL_CALL: Recipe(Target.COORDINATOR, 4.0, 0.5, 3.0),
    FaultKind.INTERRUPT_CALLS: Recipe(Target.COORDINATOR, 1.0, 0.5, 3.0),
    FaultKind.SHORTEN_CALL: Recipe(Target.COORDINATOR, 1.0, 0.5, 3.0),
    FaultKind.SILENCE: Recipe(Target.ENGINE, 2.0, 0.3, 5.0),
    FaultKind.RESTART_COLD: Recipe(Target.ENGINE, 4.0),
    FaultKind.RESET_CONNECTIONS: Recipe(Target.ENGINE, 3.0),
    FaultKind.SLOW_DOWN: Recipe(Target.ENGINE, 1.5, 1.0, 4.0),
    FaultKind.FILL_UP: Recipe(Target.ENGINE, 1.0, 0.5, 2.0),
    FaultKind.DRAIN: Recipe(Target.ENGINE, 2.0, 2.0, 5.0),
    FaultKind.SILENCE_DISCOVERY: Recipe(Target.DISCOVERY, 1.0, 1.0, 6.0),
    FaultKind.RESET_DISCOVERY: Recipe(Target.DISCOVERY, 1.0),
}


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal by its name, and when it is sent."""

    at_s: float  # from the planned end's SIGTERM, or from the start
    name: str


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: from when, for how long, of which kind, where, and what the kind needs besides."""

    at_s: float
    lasts_s: float
    kind: FaultKind
    name: str  # of the coordinator or engine
    wall_step_ms: float = 0.0
    call: str = ""
    errno: str = ""
    chance: float = 0.0
    short_bytes: int = 0
    signals: tuple[TimedSignal, ...] = ()  # of a planned end, SIGTERM at 0 among them
    start_signals: tuple[TimedSignal, ...] = ()  # to the process that is started after an end

    def __str__(self) -> str:
        more = f" {self.wall_step_ms:+.0f} ms" if self.wall_step_ms else ""
        more += f" {self.call} {self.errno} {self.chance:.2f}" if self.errno else ""
        more += f" {self.call} {self.short_bytes} bytes" if self.short_bytes else ""
        more += "".join(f" {each.name}@{each.at_s:+.2f}" for each in self.signals)
        more += "".join(f" start:{each.name}@{each.at_s:.2f}" for each in self.start_signals)
        return f"{self.at_s:.2f} for {self.lasts_s:.2f}: {self.kind.value} {self.name}{more}"


def draw_faults(
    seed: int, seconds: float, per_second: float, coordinators: Sequence[str], engines: Sequence[str]
) -> list[Fault]:
    """Draw the faults of a run, in order of time; they overlap freely."""
    random = Random(seed)
    faults = list[Fault]()
    at_s = 0.5
    kinds = list(RECIPES)
    weights = [recipe.weight for recipe in RECIPES.values()]
    names = {Target.COORDINATOR: coordinators, Target.ENGINE: engines, Target.DISCOVERY: ("discovery",)}
    while (at_s := at_s + random.expovariate(per_second)) < seconds:
        kind = random.choices(kinds, weights)[0]
        recipe = RECIPES[kind]
        lasts_s = random.uniform(recipe.shortest_s, recipe.longest_s)
        name = random.choice(names[recipe.target])
        faults.append(_detailed(random, Fault(at_s, lasts_s, kind, name)))
    return faults


def _detailed(random: Random, fault: Fault) -> Fault:
    at = (fault.at_s, fault.lasts_s, fault.kind, fault.name)
    if fault.kind is FaultKind.STEP_CLOCK:
        return Fault(*at, wall_step_ms=random.choice(WALL_STEPS_MS))
    if fault.kind is FaultKind.FAIL_CALL:
        call = random.choice(list(ERRNOS))
        chances = CONNECTION_CALL_CHANCES if call in CONNECTION_CALLS else (0.1, 1.0)
        return Fault(*at, call=call, errno=random.choice(ERRNOS[call]), chance=random.uniform(*chances))
    if fault.kind is FaultKind.SHORTEN_CALL:
        return Fault(*at, call=random.choice(CONNECTION_CALLS), short_bytes=random.choice(SHORT_BYTES))
    if fault.kind is FaultKind.TERMINATE:
        return Fault(*at, signals=_draw_series(random), start_signals=_draw_start_signals(random))
    if fault.kind is FaultKind.KILL:
        return Fault(*at, start_signals=_draw_start_signals(random))
    return fault


def _draw_series(random: Random) -> tuple[TimedSignal, ...]:
    """Draw the signals of a planned end, in order of time."""
    signals = [TimedSignal(0.0, "SIGTERM")]
    for _ in range(random.randint(0, MOST_EXTRA_SIGNALS)):
        signals.append(TimedSignal(random.uniform(*SERIES_S), random.choice(EXTRA_SIGNALS)))
    first_s = min(each.at_s for each in signals if each.name == "SIGTERM")
    signals = [TimedSignal(each.at_s - first_s, each.name) for each in signals]  # the first SIGTERM counts
    if random.random() < PAUSED_SERIES_SHARE:
        stop_s = random.uniform(-0.3, 0.3)
        signals.append(TimedSignal(stop_s, "SIGSTOP"))
        signals.append(TimedSignal(stop_s + random.uniform(*SERIES_PAUSE_S), "SIGCONT"))
    return tuple(sorted(signals, key=lambda each: each.at_s))


def _draw_start_signals(random: Random) -> tuple[TimedSignal, ...]:
    """Draw the signals that a program gets while it starts, in order of time."""
    if random.random() >= SIGNALLED_START_SHARE:
        return ()
    count = random.randint(1, MOST_EXTRA_SIGNALS)
    signals = [
        TimedSignal(random.uniform(*START_SIGNALS_S), random.choice(EXTRA_SIGNALS)) for _ in range(count)
    ]
    return tuple(sorted(signals, key=lambda each: each.at_s))
