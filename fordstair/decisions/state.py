"""Plain records and counters that the decision module keeps; they decide nothing and hold no tuned value."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from random import Random

from fordstair.decisions.engine_list import EngineEntry, EngineId
from fordstair.decisions.events import RequestArrived
from fordstair.decisions.settings import RequestClass, Settings


def usable(value: float) -> bool:
    """Whether a figure can be learned from: finite and not negative."""
    return math.isfinite(value) and value >= 0.0


class Mean:
    """A running mean that forgets; exact for its first values."""

    __slots__ = ("at", "n", "step", "value")

    def __init__(self, step: float, value: float = 0.0, n: int = 0) -> None:
        self.value, self.n, self.step, self.at = value, n, step, 0.0

    def add(self, x: float) -> None:
        """Take one value in."""
        self.n += 1
        self.value += (x - self.value) * max(self.step, 1.0 / self.n)


class RecentMeans:
    """Running means by class and table group; the least recently fed goes first."""

    __slots__ = ("means", "size", "step")

    def __init__(self, size: int, step: float) -> None:
        self.size, self.step = size, step
        self.means: OrderedDict[tuple[int, float], Mean] = OrderedDict()

    def get(self, pair: tuple[int, float]) -> Mean | None:
        """The mean of a pair, if it is remembered."""
        return self.means.get(pair)

    def add(self, pair: tuple[int, float], x: float) -> None:
        """Take one value in for the pair."""
        self.means.setdefault(pair, Mean(self.step)).add(x)
        self.means.move_to_end(pair)
        if len(self.means) > self.size:
            self.means.popitem(last=False)


class Ratio:
    """Truth over estimate: its mean and its usual scatter."""

    __slots__ = ("mean", "most", "spread")

    def __init__(self, step: float, most: float) -> None:
        self.mean, self.spread, self.most = Mean(step, 1.0), Mean(step), most

    def compare(self, truth: float, estimate: float) -> None:
        """Take one pair in; an extreme one counts as the most there may be."""
        if truth > 0.0 and estimate > 0.0:
            ratio = min(self.most, truth / estimate)
            self.spread.add(abs(ratio - self.mean.value))
            self.mean.add(ratio)


class Learned:
    """What is known of one class."""

    __slots__ = ("estimate", "expensive", "mean", "memory", "memory_ratio", "pace", "ratio")

    def __init__(self, step: float, most: float) -> None:
        self.mean, self.estimate = Mean(step), Mean(step)  # thread-milliseconds: true, and as told
        self.expensive = Mean(step)  # thread-milliseconds of those predicted expensive
        self.memory = Mean(step)  # MB needed
        self.ratio, self.memory_ratio = Ratio(step, most), Ratio(step, most)
        self.pace = Mean(step, 1.0)  # latency over work a thread: the fleet's slowness


class Bucket:
    """A token bucket that starts at a random part; short of a token it lends one by chance."""

    __slots__ = ("at", "tokens")

    def __init__(self) -> None:
        self.tokens, self.at = math.nan, 0.0

    def take(self, now: float, rate_per_s: float, burst: float, random: Random) -> bool:
        """Refill at the rate, up to the burst; take a token if there is one, or a part of one by chance."""
        if math.isnan(self.tokens):
            self.tokens, self.at = burst * random.random(), now
        self.tokens = min(burst, self.tokens + max(0.0, now - self.at) * rate_per_s / 1000.0)
        self.at = now
        if self.tokens < 1.0 and random.random() >= self.tokens:
            return False
        self.tokens -= 1.0
        return True


class Window:
    """Counts what happened within a sliding span."""

    __slots__ = ("span", "times")

    def __init__(self, span: float) -> None:
        self.times, self.span = deque[float](), span

    def add(self, now: float) -> None:
        """Count one event now; those older than it by the longest span are forgotten."""
        self.times.append(now)
        while self.times[0] < now - self.span:
            self.times.popleft()

    def since(self, start: float) -> int:
        """Events at or after that time."""
        return len(self.times) - bisect_left(self.times, start)


@dataclass(slots=True)
class Rule:
    """A selector by class or tenant with its bucket."""

    priority: int
    class_index: int | None
    tenant: int | None
    bucket: Bucket = field(default_factory=Bucket)


@dataclass(slots=True, eq=False)
class Engine:
    """One engine as this gateway sees it."""

    entry: EngineEntry
    place: float = 0.0  # drawn anew at each gateway, from 0 to 1; those that stand lowest are preferred
    errors: Mean = field(default_factory=lambda: Mean(0.0))  # share of failing outcomes
    pace: Mean = field(default_factory=lambda: Mean(0.0))  # slowness against the others, 1 is alike
    others: Mean = field(default_factory=lambda: Mean(0.0))  # threads of other gateways, by reports
    cores: float = 0.0
    memory: float = 0.0
    threads: int = 0  # of own attempts out
    threads_before: int = 0  # the same at the snapshot, a moment before the latest change
    snapshot_at: float = -math.inf
    faded_at: float = 0.0  # when marks were last brought up to date
    count: int = 0  # own attempts out
    report_at: float = -math.inf
    probed_at: float = -math.inf
    heard_at: float = -math.inf  # last sign of work done
    down_at: float = 0.0  # when it was last seen to take no connection
    strikes: float = 0.0
    held: dict[float, int] = field(default_factory=dict)  # own loads out, by table group

    def fit(self, entry: EngineEntry, settings: Settings) -> None:
        """Take over the list's word; an unknown or odd size counts as one core."""
        kind, cores, memory = entry.kind, settings.cores_by_kind, settings.memory_mb_by_kind
        told = cores[kind] if kind < len(cores) else entry.weight
        self.entry = entry
        self.cores = told if math.isfinite(told) and told > 0.0 else 1.0
        self.memory = memory[kind] if kind < len(memory) else 0.0

    def snapshot(self, now: float, lag: float) -> None:
        """Keep the threads as they stood, once the last snapshot is older than that."""
        if now - self.snapshot_at >= lag:
            self.threads_before, self.snapshot_at = self.threads, now

    def attach(self, request: Request, now: float, lag: float) -> None:
        """Count an attempt that goes out."""
        self.snapshot(now, lag)
        self.threads += request.spec.threads
        self.count += 1
        if request.spec.is_load:
            self.held[request.group] = self.held.get(request.group, 0) + 1

    def detach(self, request: Request, now: float, lag: float) -> None:
        """Count an attempt that has ended."""
        self.snapshot(now, lag)
        self.threads -= request.spec.threads
        self.count -= 1
        if request.spec.is_load:
            self.held[request.group] -= 1
            if not self.held[request.group]:
                del self.held[request.group]


@dataclass(slots=True, eq=False)
class Request:
    """One request from arrival to final answer."""

    id: int
    class_index: int
    spec: RequestClass
    tenant: int
    group: float
    key: int
    told: float  # cost estimate, 0 if none
    memory: float  # memory estimate, 0 if none
    cost: float = 0.0  # predicted thread-milliseconds
    deadline: float = 0.0  # last moment for the final answer
    useful_until: float = 0.0  # from then on an answer is worth nothing
    sent: int = 0
    finished: bool = False
    out: Attempt | None = None
    maybe_since: float | None = None  # send of the first attempt that may have run
    maybe_on: EngineEntry | None = None
    last_engine: EngineId | None = None
    erred_on: list[Engine] = field(default_factory=list)  # engines that answered it with an error
    looked: bool = False  # fresh reports were asked for before the next attempt
    looking: bool = False  # it waits for them

    @classmethod
    def of(cls, event: RequestArrived, spec: RequestClass) -> Request:
        """The request as told; odd estimates count as none."""
        told, memory = (x if usable(x) else 0.0 for x in (event.cost_ms, event.memory_mb))
        group = event.group if math.isfinite(event.group) else 0.0
        return cls(event.request, event.class_index, spec, event.tenant, group, event.key, told, memory)

    @property
    def key_line(self) -> int:
        """The key whose order binds this request; 0 where none does."""
        return self.key if self.spec.ordered else 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that is out."""

    request: Request
    number: int
    engine: Engine
    sent: float
    expected: float  # latency
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class Line:
    """The requests of one key, in the order taken."""

    key: int
    queue: deque[Request] = field(default_factory=deque)
    out: int = 0
    rest_until: float = -math.inf
    pumped: bool = False

    def ended(self, rest_until: float) -> None:
        """Count an attempt that has ended; the key rests until then."""
        self.out -= 1
        self.rest_until = max(self.rest_until, rest_until)

    def head_idle(self) -> bool:
        """Whether the first unfinished request has the turn and was never sent; finished ones are dropped."""
        while self.queue and self.queue[0].finished:
            self.queue.popleft()
        return bool(self.queue) and self.queue[0].sent == 0 and not self.queue[0].looking
