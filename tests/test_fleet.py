"""What a fleet of some forty gateways breaks that is fine for one, each tested without the bench."""

from __future__ import annotations

import itertools
from collections import Counter
from random import Random

from fordstair.decisions.actions import CancelAttempt, SendAttempt
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.decisions.events import Status
from fordstair.lab.machine import Job, Machine
from tests.helpers import SAFE, GatewayHarness, entry, settings

REPORTS = settings(load_report_fields=("util", "inflight"), instances=40)


def answered(
    harness: GatewayHarness, util: float, inflight: float, slow: tuple[float, float] | None = None
) -> None:
    """Ask once; the engine's report is the same everywhere but on engine 1, if that one is slow."""
    request = harness.send_request(SAFE, 100.0)
    on_slow = slow is not None and harness.sends(request)[0].engine == "10.0.0.1:80"
    harness.end_attempt(
        request, Status.OK, 100.0, work_ms=100.0, report=slow if on_slow and slow else (util, inflight)
    )
    harness.advance(20.0)


def test_an_engine_that_fills_up_while_its_cores_idle_is_not_drawn_as_an_idle_one() -> None:
    # Slow disks or a machine gone slow: nothing uses the cores, and all that was sent is still there.
    harness = GatewayHarness(REPORTS, engines=8)
    for _ in range(40):
        answered(harness, 0.5, 6.0)
    before = len(harness.sends())
    for _ in range(200):
        answered(harness, 0.5, 6.0, slow=(0.15, 30.0))
    drawn = Counter(send.engine for send in harness.sends()[before:])
    assert drawn["10.0.0.1:80"] < 200 / 8 / 3


def test_an_attempt_that_was_cut_tells_how_slow_its_engine_is() -> None:
    # All that runs there is stopped at its aim, so no answer ever says how long it would have taken.
    harness = GatewayHarness(settings(instances=40), engines=8)
    slow = "10.0.0.1:80"
    for _ in range(160):
        request = harness.send_request(SAFE, 100.0)
        while (engine := harness.sends(request)[-1].engine) == slow and not harness.answers(request):
            harness.advance(100.0)
            if harness.cancels(request):
                harness.end_attempt(request, Status.CANCELLED, 900.0)
                break
        else:
            if engine != slow:
                harness.end_attempt(request, Status.OK, 100.0, work_ms=100.0)
        harness.advance(20.0)
    late = Counter(send.engine for send in harness.sends()[-100:])
    assert harness.gateway.engines[slow].slowness.value > 1.5
    assert late[slow] < 100 / 8 / 3


def test_one_error_that_another_engine_disproves_is_enough_to_turn_most_away() -> None:
    harness = GatewayHarness(settings(instances=40), engines=8)
    for _ in range(60):
        harness.end_attempt(harness.send_request(SAFE, 100.0), Status.OK, 100.0, work_ms=100.0)
        harness.advance(20.0)
    request = harness.send_request(SAFE, 100.0)
    sick = harness.sends(request)[0].engine
    harness.end_attempt(request, Status.ERROR, 20.0)
    harness.end_attempt(request, Status.OK, 100.0, work_ms=100.0)
    assert harness.gateway.outliers.reliability(harness.gateway.now, harness.gateway.engines[sick]) < 0.25


def test_gateways_prefer_different_engines_and_cover_all_of_them_evenly() -> None:
    drawn, first = Counter[str](), Counter[str]()
    for seed in range(40):
        harness, mine = GatewayHarness(settings(instances=40), engines=30, seed=seed), Counter[str]()
        for _ in range(30):
            request = harness.send_request(SAFE, 100.0, table_group=7.0)  # the same tables everywhere
            harness.end_attempt(request, Status.OK, 100.0, work_ms=100.0)
            harness.advance(100.0)
            mine[harness.sends(request)[0].engine] += 1
        drawn += mine
        first[mine.most_common(1)[0][0]] += 1
    assert max(drawn.values()) < 3.0 * 40 * 30 / 30
    assert len(drawn) == 30
    assert max(first.values()) <= 8  # no engine is the favourite of a fifth of them


def after_a_release(seed: int) -> GatewayHarness:
    """Twelve warm engines, and eighteen that have just started."""
    harness = GatewayHarness(settings(instances=40), engines=0, seed=seed)
    harness.update_engine_list(
        *(entry(i) for i in range(1, 13)),
        *(entry(i, started=990.0) for i in range(13, 31)),
        kind=ListUpdateKind.FULL,
    )
    return harness


def test_new_engines_start_up_with_light_work_within_their_budget() -> None:
    sent, light, heavy = Counter[str](), Counter[bool](), Counter[bool]()
    for seed in range(40):
        harness = after_a_release(seed)
        for number in range(24):  # one second of full load: 30 engines of 8 cores, over 40 gateways
            cost = 1_500.0 if number % 12 == 0 else 100.0
            request = harness.send_request(SAFE, cost)
            for send in harness.sends(request):
                cold = int(send.engine.split(".")[3].split(":")[0]) > 12
                (light if cost < 200.0 else heavy)[cold] += 1
                sent[send.engine] += int(cost) if cold else 0
            harness.advance(40.0)
            if harness.sends(request):
                harness.end_attempt(request, Status.OK, 40.0, work_ms=cost)
    assert light[True] > 0.15 * light.total(), (light, heavy, sent)
    assert not heavy[True]  # a few of those would spend the whole budget
    assert max(sent.values()) < 3.0 * 0.3 * 0.85 * 8.0 * 2_000.0  # thread-milliseconds within the window


def test_cold_cores_count_by_their_warmth_where_pressure_is_judged() -> None:
    harness = after_a_release(1)
    for engine in list(harness.gateway.engines.values())[:12]:
        engine.other_threads.value = 2.0 * engine.cores
        engine.reported_at = harness.now
    assert (
        harness.gateway.admission.pressure(harness.gateway.now, SAFE) > 0.1
    )  # 24 threads a core on 12 engines, and 5.4 engines' worth beside
    assert harness.gateway.load.capacity(
        harness.gateway.now, list(harness.gateway.engines.values())
    ) < 8.0 * (12 + 18 * 0.31)


def test_an_attempt_that_may_begin_yet_is_followed_by_no_other() -> None:
    harness = GatewayHarness(settings(instances=40), engines=8)
    for may_still_run in (False, True):
        request = harness.send_request(SAFE, 100.0)
        harness.end_attempt(request, Status.CANCELLED, 900.0, may_still_run=may_still_run)
        assert len(harness.sends(request)) == (1 if may_still_run else 2)
        assert bool(harness.answers(request)) == may_still_run


class Site:
    """Many gateways before shared machines, in steps of virtual time; a restart empties their memory."""

    STEP_MS = 25.0

    def __init__(self, gateways: int, engines: int, seed: int) -> None:
        self.random, self.now = Random(seed), 1_000.0
        self.config = settings(
            instances=gateways,
            load_report_fields=("util", "inflight"),
            slow_start_initial_capacity=0.32,
            slow_start_ms=15_000.0,
            slow_start_overload_factor=2.5,
            slow_start_window_ms=1_000.0,
        )
        self.entries = {f"10.0.0.{n}:80": entry(n) for n in range(1, engines + 1)}
        self.machines = {name: Machine(8.0, cold_part=0.32, warm_ms=15_000.0) for name in self.entries}
        self.harnesses = [self.started(seed * 1_000 + number) for number in range(gateways)]
        self.read = [0] * gateways  # how much of each log was carried out
        self.jobs: dict[str, tuple[GatewayHarness, int, int, float]] = {}  # harness, request, attempt, since
        self.sent: list[tuple[float, str, float]] = []  # time, engine, thread-milliseconds
        self.asked: list[tuple[GatewayHarness, int]] = []

    def started(self, seed: int) -> GatewayHarness:
        harness = GatewayHarness(self.config, engines=0, seed=seed)
        harness.now = self.now
        harness.update_engine_list(*self.entries.values(), kind=ListUpdateKind.FULL)
        return harness

    def restart(self, gateways: int, cold: int) -> None:
        """Kill the first gateways and start them anew, while the first engines come back cold."""
        for number in range(1, cold + 1):
            name = f"10.0.0.{number}:80"
            self.entries[name] = entry(number, started=self.now)
            self.machines[name].restart(self.now)
        self.jobs = {
            job: held
            for job, held in self.jobs.items()
            if held[0] not in self.harnesses[:gateways]
            and any(job in machine.jobs for machine in self.machines.values())
        }
        self.asked = [
            (harness, request) for harness, request in self.asked if harness not in self.harnesses[:gateways]
        ]
        for number in range(gateways):
            self.harnesses[number], self.read[number] = self.started(900_000 + number), 0
        for harness in self.harnesses[gateways:]:
            harness.update_engine_list(*list(self.entries.values())[:cold])
            for request in {
                send.request for send in harness.sends() if send.engine in list(self.entries)[:cold]
            }:
                if not harness.answers(request) and request in harness.gateway.requests:
                    harness.end_attempt(request, Status.RESET)

    def run(self, seconds: float, per_s: float) -> None:
        """Let clients ask at that rate."""
        for _ in range(int(seconds * 1_000.0 / self.STEP_MS)):
            self.now += self.STEP_MS
            for harness in self.harnesses:
                harness.advance(self.now - harness.now)
            for _ in range(int(per_s * self.STEP_MS / 1_000.0 + self.random.random())):
                harness = self.random.choice(self.harnesses)
                self.asked.append(
                    (harness, harness.send_request(SAFE, self.random.choice((60.0, 120.0, 300.0))))
                )
            for name, machine in self.machines.items():
                for job in machine.advance(self.now):
                    self.ended(name, machine, job)
            self.carry_out()

    def ended(self, name: str, machine: Machine, job: Job) -> None:
        harness, request, attempt, since = self.jobs.pop(job.id, (None, 0, 0, 0.0))
        if harness is not None:
            harness.end_attempt(
                request,
                Status.OK,
                self.now - since,
                attempt,
                work_ms=job.work_ms,
                report=(machine.util, float(len(machine.jobs))),
            )

    def carry_out(self) -> None:
        """Do what the gateways ordered since the last step."""
        for number, harness in enumerate(self.harnesses):
            for _, action in itertools.islice(harness.action_log, self.read[number], None):
                match action:
                    case SendAttempt(request, engine):
                        cost, job = (
                            harness.gateway.requests[request].cost,
                            f"{number}.{id(harness)}.{request}",
                        )
                        self.jobs[job] = (
                            harness,
                            request,
                            harness.gateway.requests[request].attempts_sent - 1,
                            self.now,
                        )
                        self.machines[engine].start(Job(job, cost, 1), self.now)
                        self.sent.append((self.now, engine, cost))
                    case CancelAttempt(request, _):
                        job = f"{number}.{id(harness)}.{request}"
                        for machine in self.machines.values():
                            machine.drop(job, self.now)
                        if (held := self.jobs.pop(job, None)) is not None:
                            harness.end_attempt(request, Status.CANCELLED, self.now - held[3], held[2])
            self.read[number] = len(harness.action_log)


def test_when_most_gateways_start_anew_beside_cold_engines_all_together_spare_them() -> None:
    site = Site(60, 40, 1)
    site.run(1.5, 1_700.0)
    restart = site.now
    site.restart(gateways=42, cold=12)
    site.run(2.5, 1_700.0)
    cold = {f"10.0.0.{n}:80" for n in range(1, 13)}
    after = [(at - restart, engine, cost) for at, engine, cost in site.sent if at > restart]
    # the site's budget for a cold engine: its capacity at 85 % of the cores, times 2.5, over any second
    for engine in cold:
        for start in range(0, 1_500, 100):
            got = sum(cost for at, name, cost in after if name == engine and start <= at < start + 1_000.0)
            warmth = 0.32 + 0.68 * start / 15_000.0
            assert got <= 2.5 * 0.85 * 8.0 * warmth * 1_000.0, (engine, start, got)
    # gateways that know nothing yet spread what they send over the warm engines
    early = Counter(engine for at, engine, _ in after if at < 500.0)
    warm = [early[name] for name in site.entries if name not in cold]
    assert max(warm) < 3.0 * sum(warm) / len(warm)
    assert min(warm) > 0
    site.run(4.0, 0.0)
    # every request of those that live got its answer, and no table of theirs holds anything more
    assert not any(harness.gateway.requests or harness.gateway.attempts for harness in site.harnesses)
    refused = sum(bool(harness.answers(request)) for harness, request in site.asked)
    assert refused < 0.2 * len(site.asked)
