"""All decisions of one gateway. Its settings, events and actions are in fordstair.decisions/interface.py."""

import math
from collections.abc import Callable
from random import Random
from typing import Any
from zlib import crc32

from fordstair.decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetQueryResources,
    StartTimer,
    WatchEngineList,
)
from fordstair.decisions.engine_list import EngineId, EngineState, ListUpdateKind
from fordstair.decisions.events import (
    AttemptEnded,
    AttemptNote,
    ClientDisconnected,
    ConcurrencyLimitSet,
    EngineListChanged,
    Event,
    HealthCheckEnded,
    NoteKind,
    RequestArrived,
    RequestWithdrawn,
    Status,
    StreamStarted,
    TimerFired,
)
from fordstair.decisions.retries import may_have_run, must_not_repeat, window_end
from fordstair.decisions.settings import DeduplicationScope, Discovery, Idempotency, RetryBudget, Settings
from fordstair.decisions.state import (
    Attempt,
    Engine,
    Learned,
    Line,
    Mean,
    RecentMeans,
    Request,
    Rule,
    Window,
    usable,
)

CALM_LOAD, FULL_LOAD = 1.2, 2.0  # threads a core at which pressure starts, and at which it is 1
MULTIPLE_CALM, MULTIPLE_FULL = 3.0, 0.3  # times the class mean that counts as expensive, by pressure
BURST_S, TENANT_TOKENS, BINDS_AT = 1.0, 4.0, 0.05  # rate held; least for a tenant; pressure that binds
LATE_CALM, LATE_FULL, LATE_MOST = 0.35, 1.0, 2.0  # latency over aim: pressure starts, is 1; cap on a sample
QUIET_STEP, BUSY_STEP, POOL_MS = 0.15, 0.02, 2000.0  # weight of one sample in pooled means, and their memory
CACHE_SIZE, LEARN_STEP, GROUP_STEP = 512, 0.06, 0.1  # pairs; weight of an outcome in class and pair means
RATIO_MOST, BAD_PLAN, ROUGH_BAD_PLAN = 4.0, 16.0, 3.5  # truth over estimate; bad plan by notes, by time
GRANT_SPREADS, BLIND_GRANT, TOP_WORTH = 2.0, 1.3, 1.5  # scatter; times the mean need; worth ranked first
BUSY_PER_THREAD, SOUND = 0.75, 0.3  # busy cores a running thread; marks under which idleness is not believed
COUNTER, COUNTER_TOP, COUNTER_CALM = 2.0, 1.3, 1.8  # threads a core of own attempts; times it by class, calm
COUNTER_HEAVY = 0.6  # times it for what costs more than its class's mean
STEEPNESS, LOAD_BASE = 4.0, 0.2  # exponent of the draw on load; threads a core added to each load
OWN, OWN_GAIN, HELD_FACTOR = 8, 6.0, 0.2  # own engines; draw factors: own, load held
TRUST_HALF_MS, OLD_MS, FORGIVE_MS, STEP_MS = 4000.0, 2000.0, 6000.0, 250.0  # reports halve, old; marks; steps
PROBES_PER_REQUEST, PROBES_SAVED = 0.4, 8.0  # probes that a request earns, and saved at most
LOOK_AT, STALE_MS, FRESH_MS, HOLD_MS = 4, 500.0, 700.0, 25.0  # engines looked at; ages; wait for answers
BUSY_AT_CAPACITY, COLD_SAFETY, COLD_SIGMAS = 0.85, 1.0, 2.0  # busy cores; cold budget's part used; scatter
LIGHT_PART, LIGHT_LEAST, HEAVY_FROM = 0.08, 0.1, 0.6  # of a cold budget; of work; warmth for all
FAULTS = (Status.RESET, Status.CONNECT_FAILED, Status.FULL)  # full, since what hangs fills up
PROVEN = 0.4  # share of errors that the first one is read as which is surely its engine's
ERRORS_MOST = 2  # engines that may answer with an error before the request counts as at fault
OWN_RATION = RetryBudget(1.0, 0.5, 5000.0)  # where none is stated
IDLE_PART, IDLE_THREADS, TOO_IDLE, SILENT = 0.1, 2.0, 2.0, 0.5  # part of due threads, least due; strikes
SLOW_COUNT = 2.0  # times the threads by utilisation from which those by count are believed
PATIENCE, PATIENCE_MIN_MS = 3.0, 300.0  # times the expected latency before an attempt is looked into
LATE_LOOK_MS = 250.0  # between looks at late work
AIM_SLACK, DEADLINE_MARGIN_MS = 1.5, 10.0  # work over its prediction, at most; last answer before the client


class CostCache:
    """What outcomes taught of cost and memory: LRU by class and table group, and means by class."""

    def __init__(self, settings: Settings) -> None:
        self.classes = settings.classes
        self.groups = RecentMeans(CACHE_SIZE, GROUP_STEP)
        self.pace = Mean(QUIET_STEP, 1.0, 3)
        self.of = [Learned(LEARN_STEP, RATIO_MOST) for _ in settings.classes]

    def mean(self, k: int) -> float:
        """The class mean: outcomes, else estimates seen, else the latency aim."""
        told, c = self.of[k].mean.value or self.of[k].estimate.value, self.classes[k]
        return max(1.0, told or c.latency_objective_ms * c.threads)

    def priority_weight(self, k: int) -> float:
        """Worth per thread-second, over the lowest of all classes."""
        rates = [c.priority_weight / self.mean(i) for i, c in enumerate(self.classes)]
        return rates[k] / max(1e-9, min(rates))

    def predict(self, k: int, group: float, told: float) -> float:
        if told > 0.0:
            self.of[k].estimate.add(told)
        return self.forecast(k, group, told)

    def forecast(self, k: int, group: float, told: float) -> float:
        """The prediction, for whoever only asks: nothing is learned from it."""
        if told > 0.0:
            return max(1.0, told * self.of[k].ratio.mean.value)
        cached = self.groups.get((k, group))
        return max(1.0, cached.value) if cached else self.mean(k)

    def learn(self, r: Request, e: Engine, work: float, latency: float, memory: float) -> None:
        """Only served attempts teach: a quick error or a cut attempt would drag the means down."""
        k, threads = r.class_index, r.spec.threads
        cost = max(1.0, work if work > 0.0 else latency * threads)
        if cost < BAD_PLAN * r.cost or not self.of[k].mean.n:  # a bad plan tells nothing of the next
            self.of[k].mean.add(cost)
            self.groups.add((k, r.group), cost)
            self.of[k].ratio.compare(work, r.told)
        if usable(memory) and memory > 0.0:
            self.of[k].memory.add(memory)
            self.of[k].memory_ratio.compare(memory, r.memory)
        pace = min(20.0, latency * threads / cost)
        e.pace.add(min(10.0, pace / max(0.1, self.of[k].pace.value)))
        self.of[k].pace.add(pace)
        self.pace.add(pace)

    def cut(self, r: Request, e: Engine, ran: float) -> None:
        """An attempt that was stopped tells how slow its engine is at least; often nothing else does."""
        pace = min(10.0, ran * r.spec.threads / r.cost / max(0.1, self.of[r.class_index].pace.value))
        if pace > e.pace.value:
            e.pace.add(pace)

    def grant(self, r: Request) -> float:
        """Memory by the estimate, corrected by what was needed, with room for its usual scatter."""
        ratio = self.of[r.class_index].memory_ratio
        told = r.memory * (ratio.mean.value + GRANT_SPREADS * ratio.spread.value)
        return told or self.of[r.class_index].memory.value * BLIND_GRANT

    def latency(self, r: Request) -> float:
        pace = max(
            1.0, self.of[r.class_index].pace.value, self.pace.value
        )  # of all: a class may be seen seldom
        return r.cost / r.spec.threads * pace


class Gateway:
    """Decides for one gateway: hand each event to handle() with the time, carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random, self.cache = settings, Random(seed), CostCache(settings)
        self.engines: dict[EngineId, Engine] = {}
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.lines: dict[int, Line] = {}
        self.timers: dict[int, Request | Attempt | Line] = {}
        self.limits: dict[int, int] = {}  # threads that a class may have out, where an operator says so
        self.rules = [Rule(90, None, t) for t in range(len(settings.tenants))]  # highest priority first
        self.rules += [Rule(50, k, None) for k in range(len(settings.classes))]
        self.ration = settings.retry_budget or OWN_RATION
        self.taken, self.extras = (Window(self.ration.window_ms + 2.0) for _ in range(2))
        self.pool, self.late, self.typical, self.busy, self.count = (Mean(BUSY_STEP) for _ in range(5))
        self.opening: list[Action] = [WatchEngineList()] if settings.discovery is Discovery.ASK else []
        self.light = Mean(BUSY_STEP)  # thread-milliseconds of light requests, over all: a part of the typical
        usual = sum(settings.cores_by_kind) / max(1, len(settings.cores_by_kind))
        self.light_ms = (
            LIGHT_PART
            * settings.slow_start_overload_factor
            * settings.slow_start_initial_capacity
            * usual
            * settings.slow_start_window_ms
        )
        self.salt = self.random.getrandbits(32)
        self.probe_credit, self.now, self.token, self.actions = 0.0, 0.0, 0, list[Action]()
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: self.on_request,
            AttemptEnded: self.on_outcome,
            AttemptNote: self.on_note,
            HealthCheckEnded: self.on_report,
            TimerFired: self.on_timer,
            EngineListChanged: self.on_members,
            ClientDisconnected: self.on_over,
            StreamStarted: self.on_over,
            RequestWithdrawn: self.on_withdrawn,
            ConcurrencyLimitSet: self.on_limit,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at its time; return the actions to carry out, in order."""
        self.now, self.actions, self.opening = now, self.opening, []
        self.handlers.get(type(event), lambda _: None)(event)
        return self.actions

    def take_in(self, mean: Mean, x: float, priority_weight: float = 1.0) -> None:
        """Add to a pooled mean: by time where samples are many, by number where they are few."""
        step = min(QUIET_STEP, max(BUSY_STEP, (self.now - mean.at) / POOL_MS))
        mean.step, mean.at = min(0.5, step * math.sqrt(priority_weight)), self.now
        mean.add(x)

    def pressure(self, k: int) -> float:
        """0 when calm to 1 when full: by threads a core on the engines open to the class, or by lateness."""
        engines = self.open_to(k)
        load = sum(self.load(e) * e.cores for e in engines) / max(1.0, self.capacity(engines))
        late: float = self.late.value * 0.5 ** ((self.now - self.late.at) / TRUST_HALF_MS)
        late = (late - LATE_CALM) / (LATE_FULL - LATE_CALM)  # utilisation hides what waits, lateness does not
        return min(1.0, max(0.0, late, (load - CALM_LOAD) / (FULL_LOAD - CALM_LOAD)))

    def turned_away(self, r: Request) -> str:
        """Why not to admit it; empty to admit. The highest-priority rule that matches decides."""
        p, learned = self.pressure(r.class_index), self.cache.of[r.class_index]
        for rule in self.rules:
            if rule.tenant is not None and rule.tenant == r.tenant:
                rate = self.settings.tenants[rule.tenant].quota_per_s / self.settings.instances
                within = rule.bucket.take(self.now, rate, max(TENANT_TOKENS, rate * BURST_S), self.random)
                if rate > 0.0 and p > BINDS_AT and not within:
                    return "over the team's share"
            elif rule.class_index == r.class_index:
                if self.over_limit(r) or self.counter_full(r):
                    return "over the limit set here" if self.over_limit(r) else "threads are full"
                if (
                    r.cost
                    <= self.cache.mean(r.class_index) * MULTIPLE_CALM * (MULTIPLE_FULL / MULTIPLE_CALM) ** p
                ):
                    return ""
                learned.expensive.add(r.cost)
                cores = self.capacity(self.open_to(r.class_index)) / self.settings.instances
                rate = cores * 1000.0 / learned.expensive.value * (1.0 - p) ** 2
                within = rule.bucket.take(self.now, rate, max(1.0, rate * BURST_S), self.random)
                return "" if within or p <= BINDS_AT or not learned.mean.n else "too costly under pressure"
        return ""

    def over_limit(self, r: Request) -> bool:
        if (most := self.limits.get(r.class_index)) is None:
            return False
        out = sum(
            a.request.spec.threads for a in self.attempts.values() if a.request.class_index == r.class_index
        )
        return out + r.spec.threads > most

    def on_limit(self, event: ConcurrencyLimitSet) -> None:
        self.limits.pop(event.class_index, None)
        self.limits |= {} if event.threads is None else {event.class_index: event.threads}

    def counter_full(self, r: Request) -> bool:
        """Own threads against this gateway's part of the cores; past the knee, more of them do less work."""
        engines = self.open_to(r.class_index)
        cores = self.capacity(engines) / self.settings.instances
        most = COUNTER * cores * (COUNTER_CALM - (COUNTER_CALM - 1.0) * self.pressure(r.class_index))
        most *= COUNTER_TOP if self.cache.priority_weight(r.class_index) >= TOP_WORTH else 1.0
        most *= COUNTER_HEAVY if r.cost > self.cache.mean(r.class_index) else 1.0
        held = sum(e.threads for e in engines)
        return held + r.spec.threads > max(most, 2.0 * r.spec.threads)  # a part under one query tells nothing

    def has_room(self, event: RequestArrived) -> bool:
        """Whether the counters would let it in now; for who holds requests back, and changes nothing."""
        r = Request.of(event, self.settings.classes[event.class_index])
        r.cost = self.cache.forecast(r.class_index, r.group, r.told)
        return bool(self.open_to(r.class_index)) and not self.over_limit(r) and not self.counter_full(r)

    def open_to(self, k: int) -> list[Engine]:
        c, ready = self.settings.classes[k], EngineState.READY
        return [e for e in self.engines.values() if e.entry.state is ready and c.allows(e.entry)]

    def capacity(self, engines: list[Engine]) -> float:
        """Cores that are surely there: after a release most engines may be cold, and idle by order."""
        return sum(e.cores * self.warmth(e) for e in engines)

    def load(self, e: Engine) -> float:
        """Threads a core: own ones, and the others' by report; an old one fades into those of all."""
        trust: float = 0.5 ** max(0.0, (self.now - e.report_at) / TRUST_HALF_MS)
        pooled: float = self.pool.value * 0.5 ** max(0.0, (self.now - self.pool.at) / TRUST_HALF_MS)
        return (e.threads + trust * max(0.0, e.others.value)) / e.cores + (1.0 - trust) * pooled

    def marks(self, e: Engine) -> float:
        """1 without faults and silence, towards 0 with them; time forgives."""
        if self.now - e.faded_at >= STEP_MS:
            left = 0.5 ** min(60.0, (self.now - e.faded_at) / FORGIVE_MS)
            e.strikes, e.errors.value, e.faded_at = e.strikes * left, e.errors.value * left, self.now
            e.pace.value = 1.0 + (e.pace.value - 1.0) * left
        return float((1.0 - min(1.0, e.errors.value)) ** 3 * 0.2 ** min(3.0, e.strikes))

    def health(self, e: Engine) -> float:
        """Marks, and slowness against the others, as one factor; its floor keeps a trickle going."""
        return max(0.01, self.marks(e) * min(1.0, max(0.15, 1.0 / max(0.01, e.pace.value))) ** 2)

    def warmth(self, e: Engine) -> float:
        """Share of full capacity surely there after a start; the ramp is not told, so it is read low."""
        s = self.settings
        start = min(self.now, max(e.entry.started_ms, e.down_at))  # what took no connection was not running
        if not start > 0.0 or self.now - start >= s.slow_start_ms:
            return 1.0
        return (
            s.slow_start_initial_capacity
            + (1.0 - s.slow_start_initial_capacity) * ((self.now - start) / s.slow_start_ms) ** 2
        )

    def cold_part(self, r: Request, e: Engine, warmth: float, cores: float, alone: bool) -> float:
        """Guards a cold engine: drawn so seldom that all gateways' sends, with scatter, fit its budget.

        Light queries scatter less, so that more work fits: beside warm engines only they start one up.
        """
        s = self.settings
        if not alone and r.cost <= self.light_ms:
            size, share = self.light_ms, max(LIGHT_LEAST, self.light.value / max(1.0, self.typical.value))
        elif alone or warmth >= HEAVY_FROM:
            size, share = max(self.cache.mean(k) for k in range(len(self.cache.classes))), 1.0
        else:
            return 0.0
        multiple = s.slow_start_overload_factor * warmth * COLD_SAFETY
        grain = (
            COLD_SIGMAS**2 * size / max(1.0, multiple * BUSY_AT_CAPACITY * e.cores * s.slow_start_window_ms)
        )
        part = multiple * (math.sqrt(grain + 4.0) - math.sqrt(grain)) ** 2 / 4.0
        return part * e.cores / max(1.0, cores) / share

    def preferred(self, e: Engine) -> bool:
        """Whether an engine is one of the few that this gateway prefers, drawn anew for each gateway.

        Where there are many of both, each would meet every engine too seldom to learn of it, and at a new
        connection each time; the choices of all together still cover the engines evenly.
        """
        return e.place * len(self.engines) < OWN

    def allowed(self, r: Request) -> list[Engine]:
        engines = self.open_to(r.class_index)
        if (
            r.maybe_on is not None and r.spec.idempotency is Idempotency.WITH_KEY
        ):  # only these discard its duplicates
            engines = [e for e in engines if r.spec.deduplication_scope.joins(r.maybe_on, e.entry)]
        return [e for e in engines if e.entry.engine != r.last_engine] if len(engines) > 1 else engines

    def draw(self, r: Request, engines: list[Engine]) -> Engine | None:
        """The report-weighted draw; None where all are cold and their budgets leave no room."""
        mean, weights = sum(self.load(e) for e in engines) / max(1, len(engines)), []
        cores = sum(e.cores for e in self.open_to(r.class_index))
        warmths = [self.warmth(e) for e in engines]
        for e, warmth in zip(engines, warmths, strict=True):
            # What fails fast or is refused looks idle: an engine with marks counts as loaded as the mean.
            load = max(self.load(e), mean if self.marks(e) < SOUND else 0.0)
            w = e.cores * warmth * self.health(e) / (LOAD_BASE + load) ** STEEPNESS
            blocked = r.group in e.held and (r.spec.is_load or r.spec.waits_for_loads)
            weights.append(w * (OWN_GAIN if self.preferred(e) else 1.0) * (HELD_FACTOR if blocked else 1.0))
        warm = sum(w for w, warmth in zip(weights, warmths, strict=True) if warmth >= 1.0)
        weights = [
            w if warmth >= 1.0 else min(w, self.cold_part(r, e, warmth, cores, not warm) * (warm or 1.0))
            for e, w, warmth in zip(engines, weights, warmths, strict=True)
        ]
        nobody = 0.0 if warm else max(0.0, 1.0 - sum(weights))
        return self.random.choices([*engines, None], [*weights, nobody])[0] if engines else None

    def choose(self, r: Request) -> Engine | None:
        """Draw among all, or, after a look at some engines, among those with a fresh report."""
        engines = self.allowed(r)
        fresh = [e for e in engines if self.now - e.report_at <= FRESH_MS] if r.looked else []
        return self.draw(r, fresh if len(fresh) > 1 else engines)

    def look_first(self, r: Request) -> bool:
        """Before a heavy query goes out, probe a drawn few whose reports are old; wait a moment for them."""
        if r.looked or r.cost < self.typical.value or not self.settings.probes:
            return False
        r.looked = True
        for _ in range(LOOK_AT):
            e = self.draw(r, self.allowed(r))
            if e and self.probe_credit >= 1.0 and self.now - max(e.report_at, e.probed_at) >= STALE_MS:
                self.probe_credit, e.probed_at, r.looking = self.probe_credit - 1.0, self.now, True
                self.actions.append(CheckHealth(e.entry.engine))
        if r.looking:
            self.set_timer(HOLD_MS, r)
        return r.looking

    def on_members(self, event: EngineListChanged) -> None:
        if event.kind is ListUpdateKind.FAILED:
            return self.actions.append(WatchEngineList())
        if event.kind is not ListUpdateKind.DELTA:
            listed = {entry.engine for entry in event.entries}
            self.engines = {i: e for i, e in self.engines.items() if i in listed}
        for entry in event.entries:
            if entry.state is EngineState.GONE:
                self.engines.pop(entry.engine, None)
                continue
            if (e := self.engines.get(entry.engine)) is None:
                place = crc32(f"{self.salt}|{entry.engine}".encode()) / 2.0**32
                e = self.engines[entry.engine] = Engine(entry, place)
            if entry.started_ms > e.entry.started_ms or not e.cores:  # a new process owns no old marks
                e.errors, e.pace, e.others, e.strikes = Mean(0.15), Mean(0.15, 1.0, 10), Mean(0.3), 0.0
            e.fit(entry, self.settings)

    def on_report(self, event: HealthCheckEnded | AttemptEnded) -> None:
        """Take in a load report; a probe's answer clears no marks, and one unanswered is a silence."""
        if (e := self.engines.get(event.engine)) is None:
            return
        if event.status is Status.CONNECT_FAILED and not (isinstance(event, AttemptEnded) and event.late):
            e.down_at = self.now
        if isinstance(event, HealthCheckEnded) and event.status is not Status.OK:
            self.strike(e, SILENT)
        told = dict(zip(self.settings.load_report_fields, event.report, strict=False))
        util, inflight = (told.get(field, math.nan) for field in ("util", "inflight"))
        before = e.threads_before if self.now - e.snapshot_at < STEP_MS else e.threads
        if usable(util):
            total = min(1.0, util) * e.cores / BUSY_PER_THREAD
            due = max(before, self.pool.value * e.cores)
            if self.warmth(e) >= 1.0 and due >= IDLE_THREADS and total < IDLE_PART * due:
                self.strike(e, max(0.0, TOO_IDLE - e.strikes))  # it should be as busy as others: it hangs
            if usable(inflight):
                # An engine gone slow looks idle while it fills up: what it holds, at the usual threads for
                # each, tells of that, whoever sent it.
                self.take_in(self.busy, total)
                self.take_in(self.count, inflight)
                counted = inflight * self.busy.value / max(1.0, self.count.value)
                total = counted if counted > SLOW_COUNT * total else total
        elif usable(inflight):
            usual = sum(c.threads for c in self.settings.classes) / len(self.settings.classes)
            total = inflight * (e.threads / e.count if e.count else usual)
        else:
            return
        e.others.n = e.others.n if self.now - e.report_at <= OLD_MS else 0  # what is old tells nothing
        e.others.add(total - before)  # what was sent or ended since the report was made is known here
        e.report_at = self.now
        self.take_in(self.pool, max(0.0, total - before) / e.cores)

    def on_request(self, event: RequestArrived) -> None:
        spec = self.settings.classes[event.class_index]
        self.taken.add(self.now)
        self.probe_credit = min(PROBES_SAVED, self.probe_credit + PROBES_PER_REQUEST)
        r = Request.of(event, spec)
        r.cost = self.cache.predict(r.class_index, r.group, r.told)
        self.typical.add(r.cost)
        self.light.add(r.cost if r.cost <= self.light_ms else 0.0)
        r.deadline = self.now + (event.budget_ms if usable(event.budget_ms) else 0.0) - DEADLINE_MARGIN_MS
        aim = (
            self.now
            + spec.latency_objective_ms
            + spec.latency_objective_work_factor * r.cost * AIM_SLACK / spec.threads
        )
        r.useful_until = r.deadline if spec.late_weight > 0.0 else min(r.deadline, aim)
        self.requests[r.id] = r
        if why := self.turned_away(r):
            return self.give_up(r, why)
        self.set_timer(max(0.0, min(r.useful_until, aim) - self.now), r)
        if not r.key_line:
            return self.dispatch(r)
        line = self.lines.setdefault(r.key, Line(r.key))
        line.queue.append(r)
        if self.now + sum(self.cache.latency(q) for q in line.queue) > r.deadline:
            return self.give_up(r, "its key's line is too long")  # it would wait out its time behind its key
        self.pump(line)

    def may_repeat(self, r: Request) -> bool:
        """Whether a further attempt keeps the class's promise, the cap and the attempt budget."""
        budget = self.ration
        if r.sent >= self.settings.max_attempts or self.now + 0.5 * r.cost / r.spec.threads > r.useful_until:
            return False
        if len(r.erred_on) >= ERRORS_MOST:
            return False
        if must_not_repeat(r) or self.now > window_end(r):
            return False
        start = self.now - budget.window_ms  # both edges of the window are read against us
        allowed = budget.free + budget.ratio * self.taken.since(start + 1.0)
        return r.sent == 0 or self.extras.since(start - 1.0) + 1 <= allowed

    def dispatch(self, r: Request) -> None:
        """Send the next attempt, or end the request at once where no engine may have it."""
        r.looking = False
        if (may := self.may_repeat(r)) and self.look_first(r):
            return
        e = self.choose(r) if may else None
        if e is None:
            return self.give_up(r, "no engine is open" if may else "no further attempt")
        self.set_terms(r, e)
        until = window_end(r)
        if r.sent:
            self.extras.add(self.now)
        a = Attempt(r, r.sent, e, self.now, self.cache.latency(r))
        r.sent, r.out, r.last_engine, r.looked = r.sent + 1, a, e.entry.engine, False
        self.attempts[(r.id, a.number)] = a
        e.attach(r, self.now, STEP_MS)
        if r.key_line:
            self.lines[r.key].out += 1
        self.actions.append(SendAttempt(r.id, e.entry.engine, begin_by=until))
        self.set_timer(max(PATIENCE_MIN_MS, PATIENCE * a.expected), a)

    def set_terms(self, r: Request, e: Engine) -> None:
        """Memory by what was learned; priority by worth per thread-second, large ones of a class last."""
        most = self.settings.largest_memory_grant_share * (e.memory or 1e9)
        grant = min(most, self.cache.grant(r)) if self.settings.grants else 0.0
        rank = (
            3
            if self.cache.priority_weight(r.class_index) >= TOP_WORTH
            else 2
            if r.cost <= self.cache.mean(r.class_index)
            else 1
        )
        self.actions.append(SetQueryResources(r.id, grant, rank if self.settings.priorities else 1))

    def move(self, a: Attempt) -> None:
        """Cancel and try elsewhere, where class and budget allow."""
        if (
            a.request.out is a
            and a.request.spec.idempotency is not Idempotency.NON_IDEMPOTENT
            and self.may_repeat(a.request)
        ):
            self.cancel(a)

    def cancel(self, a: Attempt) -> None:
        if self.settings.may_cancel and not a.cancelled:
            a.cancelled = True
            self.actions.append(CancelAttempt(a.request.id, a.number))

    def on_note(self, event: AttemptNote) -> None:
        if (a := self.attempts.get((event.request, event.attempt))) is None:
            return
        elapsed, a.engine.heard_at = self.now - a.sent, self.now
        if event.kind is NoteKind.PROGRESS and usable(event.value):
            total = elapsed / max(0.01, event.value)
            if elapsed > 500.0 and total > BAD_PLAN * a.expected and total - elapsed > 2.0 * a.expected:
                self.move(a)  # a bad plan: a fresh draw costs less than waiting it out

    def on_timer(self, event: TimerFired) -> None:
        target = self.timers.pop(event.token, False)
        if isinstance(target, Line):
            self.pump(target)
        elif isinstance(target, Request) and target.looking:
            self.dispatch(target)
        elif isinstance(target, Request) and not target.finished and self.may_be_late(target):
            self.set_timer(min(LATE_LOOK_MS, target.useful_until - self.now), target)
        elif isinstance(target, Request) and not target.finished:
            self.take_in(self.late, LATE_FULL, target.spec.priority_weight)  # a jam shows here first
            self.give_up(target, "too late")
        elif isinstance(target, Attempt) and target.request.out is target and not target.request.finished:
            self.look_into(target)

    def may_be_late(self, r: Request) -> bool:
        """Late work still earns something, but what it holds keeps a jam going: then its aim is its end."""
        return self.now < r.useful_until and self.pressure(r.class_index) <= BINDS_AT

    def strike(self, e: Engine, strikes: float) -> None:
        """Mark an engine as silent; once it is, what else it holds need not wait so long."""
        crossed, e.strikes = e.strikes < 1.0 <= e.strikes + strikes, min(4.0, e.strikes + strikes)
        for a in list(self.attempts.values()) if crossed else ():
            if a.engine is e and a.sent >= e.heard_at:
                self.move(a)

    def look_into(self, a: Attempt) -> None:
        """Patience is over: silence marks the engine, whatever its cause; an overlong run marks the plan."""
        if a.engine.heard_at < a.sent:
            self.move(a)
            self.strike(a.engine, SILENT)
        elif (
            not self.settings.progress_interval_ms
            and (  # where notes come, they tell a bad plan from a long run
                a.request.spec.waits_for_loads or self.now - a.sent > ROUGH_BAD_PLAN * a.expected
            )
        ):
            self.move(a)
        if not a.cancelled:
            self.set_timer(max(PATIENCE_MIN_MS, a.expected), a)

    def on_outcome(self, event: AttemptEnded) -> None:
        if (a := self.attempts.pop((event.request, event.attempt), None)) is None:
            return
        r, e, served = a.request, a.engine, event.status is Status.OK
        e.detach(r, self.now, STEP_MS)
        if r.key_line:
            running = event.status in (Status.TIMEOUT, Status.RESET, Status.CANCELLED)  # it may be, still
            self.lines[r.key].ended(
                self.now + self.settings.ordering_settle_ms + 1.0 if running else self.now
            )
        if served and usable(event.work_ms) and usable(event.latency_ms):
            self.cache.learn(r, e, event.work_ms, event.latency_ms, event.memory_mb)
            e.heard_at, e.strikes = self.now, max(0.0, e.strikes - 1.0)
            aim = (
                r.spec.latency_objective_ms
                + r.spec.latency_objective_work_factor * (event.work_ms or r.cost) / r.spec.threads
            )
            self.take_in(self.late, min(LATE_MOST, event.latency_ms / max(1.0, aim)), r.spec.priority_weight)
        elif a.cancelled or event.status in (Status.CANCELLED, Status.TIMEOUT):
            self.cache.cut(r, e, self.now - a.sent)
        # An error may be the statement's own: what no engine can use must not make all of them look sick, so
        # it marks its engine only once another one has served the same request.
        if event.status is Status.ERROR:
            r.erred_on.append(e)
        for sick in r.erred_on if served else ():
            sick.errors.value = max(sick.errors.value, PROVEN)  # it is the engine's, and few more will tell
            sick.errors.add(1.0)
        if served or event.status in FAULTS:
            e.errors.add(0.0 if served else 1.0)
        self.on_report(event)
        if not event.status.proves_not_run and r.maybe_since is None:
            r.maybe_since, r.maybe_on = a.sent, e.entry
        r.out = None if r.out is a else r.out
        if event.complete or served:
            self.finish(r)
        elif not r.finished and event.may_still_run:
            self.give_up(r, "an attempt may begin yet")  # a further one would be a second one beside it
        elif not r.finished:
            self.dispatch(r)
        self.pump(self.lines.get(r.key_line))

    def on_over(self, event: ClientDisconnected | StreamStarted) -> None:
        if r := self.requests.get(event.request):
            self.finish(r)

    def on_withdrawn(self, event: RequestWithdrawn) -> None:
        if r := self.requests.get(event.request):
            self.give_up(r, "the program ends")

    def give_up(self, r: Request, why: str) -> None:
        """The final answer at once: a refusal where a retry does no harm, else a failure."""
        again = r.spec.idempotency is Idempotency.IDEMPOTENT or (
            r.spec.idempotency is Idempotency.WITH_KEY
            and r.spec.deduplication_scope is DeduplicationScope.ALL
        )
        if r.out is not None:
            self.cancel(r.out)
        if again or not may_have_run(r):
            advice = self.settings.max_retry_after_ms * (0.25 + 0.75 * self.pressure(r.class_index))
            self.actions.append(RejectRequest(r.id, advice if self.settings.sends_retry_after else 0.0, why))
        else:
            self.actions.append(FailRequest(r.id, why))
        self.finish(r)

    def finish(self, r: Request) -> None:
        r.finished, r.looking = True, False
        self.requests.pop(r.id, None)
        self.pump(self.lines.get(r.key_line))

    def pump(self, line: Line | None) -> None:
        """Give the turn to the next of a key, once nothing of it is out and its rest is over."""
        if line is None or line.out or line.pumped:
            return
        line.pumped = True  # a head given up in here ends in here again
        while line.queue and not line.out and self.now >= line.rest_until and line.head_idle():
            self.dispatch(line.queue[0])
        line.pumped = False
        if not line.out and self.now < line.rest_until:
            self.set_timer(line.rest_until - self.now, line)
        elif not line.out and not line.queue:
            self.lines.pop(line.key, None)

    def set_timer(self, delay: float, target: Request | Attempt | Line) -> None:
        self.token += 1
        self.timers[self.token] = target
        self.actions.append(StartTimer(self.token, delay))
