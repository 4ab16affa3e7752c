"""Failures that a fleet of some forty gateways shows and a single gateway does not."""

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


def serve_request(
    harness: GatewayHarness, util: float, inflight: float, slow_report: tuple[float, float] | None = None
) -> None:
    """Send and serve one request; all engines report the same load, except engine 1 with ``slow_report``."""
    request = harness.send_request(SAFE, 100.0)
    on_slow = slow_report is not None and harness.sends(request)[0].engine == "10.0.0.1:80"
    harness.end_attempt(
        request,
        Status.OK,
        100.0,
        work_ms=100.0,
        report=slow_report if on_slow and slow_report else (util, inflight),
    )
    harness.advance(20.0)


def test_engine_that_fills_up_with_idle_cores_is_not_treated_as_idle() -> None:
    # With slow disks or a slow machine the cores are idle while all queries sent there are still running.
    harness = GatewayHarness(REPORTS, engines=8)
    for _ in range(40):
        serve_request(harness, 0.5, 6.0)
    before = len(harness.sends())
    for _ in range(200):
        serve_request(harness, 0.5, 6.0, slow_report=(0.15, 30.0))
    drawn = Counter(send.engine for send in harness.sends()[before:])
    assert drawn["10.0.0.1:80"] < 200 / 8 / 3


def test_cancelled_attempts_show_how_slow_their_engine_is() -> None:
    # Every attempt there is cancelled at its objective, so no response shows how long it would have taken.
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
    recent = Counter(send.engine for send in harness.sends()[-100:])
    assert harness.gateway.engines[slow].slowness.value > 1.5
    assert recent[slow] < 100 / 8 / 3


def test_one_error_followed_by_success_elsewhere_lowers_an_engines_reliability() -> None:
    harness = GatewayHarness(settings(instances=40), engines=8)
    for _ in range(60):
        harness.end_attempt(harness.send_request(SAFE, 100.0), Status.OK, 100.0, work_ms=100.0)
        harness.advance(20.0)
    request = harness.send_request(SAFE, 100.0)
    failing = harness.sends(request)[0].engine
    harness.end_attempt(request, Status.ERROR, 20.0)
    harness.end_attempt(request, Status.OK, 100.0, work_ms=100.0)
    assert harness.gateway.outliers.reliability(harness.gateway.now, harness.gateway.engines[failing]) < 0.25


def test_gateways_prefer_different_engines_and_cover_all_of_them_evenly() -> None:
    drawn, favourites = Counter[str](), Counter[str]()
    for seed in range(40):
        harness, own = GatewayHarness(settings(instances=40), engines=30, seed=seed), Counter[str]()
        for _ in range(30):
            request = harness.send_request(
                SAFE, 100.0, table_group=7.0
            )  # every gateway queries the same tables
            harness.end_attempt(request, Status.OK, 100.0, work_ms=100.0)
            harness.advance(100.0)
            own[harness.sends(request)[0].engine] += 1
        drawn += own
        favourites[own.most_common(1)[0][0]] += 1
    assert max(drawn.values()) < 3.0 * 40 * 30 / 30
    assert len(drawn) == 30
    assert max(favourites.values()) <= 8  # no engine is the favourite of more than a fifth of the gateways


def gateway_after_release(seed: int) -> GatewayHarness:
    """Return a gateway with twelve warm engines and eighteen that have just started."""
    harness = GatewayHarness(settings(instances=40), engines=0, seed=seed)
    harness.update_engine_list(
        *(entry(i) for i in range(1, 13)),
        *(entry(i, started=990.0) for i in range(13, 31)),
        kind=ListUpdateKind.FULL,
    )
    return harness


def test_new_engines_get_only_light_queries_within_their_slow_start_budget() -> None:
    sent, light, heavy = Counter[str](), Counter[bool](), Counter[bool]()
    for seed in range(40):
        harness = gateway_after_release(seed)
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
    assert not heavy[True]  # a few heavy queries would use up the whole budget
    assert max(sent.values()) < 3.0 * 0.3 * 0.85 * 8.0 * 2_000.0  # thread-milliseconds within the window


def test_pressure_counts_cold_cores_by_their_warmth() -> None:
    harness = gateway_after_release(1)
    for engine in list(harness.gateway.engines.values())[:12]:
        engine.other_threads.value = 2.0 * engine.cores
        engine.reported_at = harness.now
    # 12 engines have 2 other threads per core; the 18 cold ones have the capacity of 5.4 warm engines.
    assert harness.gateway.admission.pressure(harness.gateway.now, SAFE) > 0.1
    assert harness.gateway.load.capacity(
        harness.gateway.now, list(harness.gateway.engines.values())
    ) < 8.0 * (12 + 18 * 0.31)


def test_attempt_that_may_still_start_is_not_retried() -> None:
    harness = GatewayHarness(settings(instances=40), engines=8)
    for may_still_run in (False, True):
        request = harness.send_request(SAFE, 100.0)
        harness.end_attempt(request, Status.CANCELLED, 900.0, may_still_run=may_still_run)
        assert len(harness.sends(request)) == (1 if may_still_run else 2)
        assert bool(harness.answers(request)) == may_still_run


class SimulatedSite:
    """Many gateways that share machines, in steps of virtual time; a restarted gateway loses its state.

    Attributes:
        executed: number of actions of each gateway's log that have been executed.
        jobs: gateway, request, attempt and start time of each running job.
        sent: time, engine and thread-milliseconds of each attempt sent.
        requests: every request, with the gateway that received it.
    """

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
        self.machines = {name: Machine(8.0, cold_capacity=0.32, warm_up_ms=15_000.0) for name in self.entries}
        self.harnesses = [self.start_gateway(seed * 1_000 + number) for number in range(gateways)]
        self.executed = [0] * gateways
        self.jobs: dict[str, tuple[GatewayHarness, int, int, float]] = {}
        self.sent: list[tuple[float, str, float]] = []
        self.requests: list[tuple[GatewayHarness, int]] = []

    def start_gateway(self, seed: int) -> GatewayHarness:
        harness = GatewayHarness(self.config, engines=0, seed=seed)
        harness.now = self.now
        harness.update_engine_list(*self.entries.values(), kind=ListUpdateKind.FULL)
        return harness

    def restart(self, gateways: int, cold: int) -> None:
        """Restart the first ``gateways`` gateways without their state, and the first ``cold`` engines."""
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
        self.requests = [
            (harness, request)
            for harness, request in self.requests
            if harness not in self.harnesses[:gateways]
        ]
        for number in range(gateways):
            self.harnesses[number], self.executed[number] = self.start_gateway(900_000 + number), 0
        for harness in self.harnesses[gateways:]:
            harness.update_engine_list(*list(self.entries.values())[:cold])
            for request in {
                send.request for send in harness.sends() if send.engine in list(self.entries)[:cold]
            }:
                if not harness.answers(request) and request in harness.gateway.requests:
                    harness.end_attempt(request, Status.RESET)

    def run(self, seconds: float, per_s: float) -> None:
        """Simulate clients that send requests at the given rate."""
        for _ in range(int(seconds * 1_000.0 / self.STEP_MS)):
            self.now += self.STEP_MS
            for harness in self.harnesses:
                harness.advance(self.now - harness.now)
            for _ in range(int(per_s * self.STEP_MS / 1_000.0 + self.random.random())):
                harness = self.random.choice(self.harnesses)
                self.requests.append(
                    (harness, harness.send_request(SAFE, self.random.choice((60.0, 120.0, 300.0))))
                )
            for name, machine in self.machines.items():
                for job in machine.advance(self.now):
                    self.end_job(name, machine, job)
            self.execute_actions()

    def end_job(self, name: str, machine: Machine, job: Job) -> None:
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

    def execute_actions(self) -> None:
        """Execute the gateways' actions since the last step."""
        for number, harness in enumerate(self.harnesses):
            for _, action in itertools.islice(harness.action_log, self.executed[number], None):
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
                            machine.remove(job, self.now)
                        if (held := self.jobs.pop(job, None)) is not None:
                            harness.end_attempt(request, Status.CANCELLED, self.now - held[3], held[2])
            self.executed[number] = len(harness.action_log)


def test_restarted_gateways_together_respect_the_slow_start_of_cold_engines() -> None:
    site = SimulatedSite(60, 40, 1)
    site.run(1.5, 1_700.0)
    restarted_ms = site.now
    site.restart(gateways=42, cold=12)
    site.run(2.5, 1_700.0)
    cold = {f"10.0.0.{n}:80" for n in range(1, 13)}
    after = [(at - restarted_ms, engine, cost) for at, engine, cost in site.sent if at > restarted_ms]
    # The budget of a cold engine within any second is 2.5 times its capacity at 85 % of the cores.
    for engine in cold:
        for start in range(0, 1_500, 100):
            sent = sum(cost for at, name, cost in after if name == engine and start <= at < start + 1_000.0)
            warmth = 0.32 + 0.68 * start / 15_000.0
            assert sent <= 2.5 * 0.85 * 8.0 * warmth * 1_000.0, (engine, start, sent)
    # Gateways without any state spread their attempts over the warm engines.
    early = Counter(engine for at, engine, _ in after if at < 500.0)
    warm = [early[name] for name in site.entries if name not in cold]
    assert max(warm) < 3.0 * sum(warm) / len(warm)
    assert min(warm) > 0
    site.run(4.0, 0.0)
    # Running gateways have answered all their requests and hold no state of them any more.
    assert not any(harness.gateway.requests or harness.gateway.attempts for harness in site.harnesses)
    refused = sum(bool(harness.answers(request)) for harness, request in site.requests)
    assert refused < 0.2 * len(site.requests)
