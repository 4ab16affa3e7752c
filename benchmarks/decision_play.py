"""Sends lookups to one gateway in virtual time, and measures the processor time of its calls.

    python benchmarks/decision_play.py ENGINES LOOKUPS SLICES SEED CPU

A first run, with engines that answer after the time that a lookup takes, records every event with its time.
A second gateway with the same seed then handles the same events, and only its calls are timed: the driver's
own work is in no figure. The first half of the lookups fills the engines; the others are timed in slices of
equal size, one for each line on standard input, so that ``benchmarks.decisions`` can alternate two checkouts
on one CPU (the CPUs of a busy machine differ by more than the bound). Each line of output is a JSON object:
first a summary of the recorded run, then one for each slice. PYTHONPATH selects the commit to measure.
"""

from __future__ import annotations

import gc
import hashlib
import heapq
import importlib
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

CORES_PER_ENGINE = 8.0
LOOKUP_WORK_MS = 100.0  # mean, of processor time at an engine
UTILISATION = 0.6  # of all cores, by the arriving lookups
FAULT_SHARE = 0.02  # of attempts: half get an error response, half cannot connect
WARM_UP_SHARE = 0.5  # of the lookups, before the first slice
TABLE_GROUPS = 12
CLIENT_TIMEOUT_MS = 3_000.0
# The names up to commit 8b7ffb3, when the module was the package cairnhoist; only _load_old uses them.
OLD_SETTING_NAMES = {
    "load_report_fields": "report_fields",
    "slow_start_initial_capacity": "cold_from",
    "slow_start_ms": "cold_ms",
    "slow_start_overload_factor": "fall_multiple",
    "slow_start_window_ms": "fall_ms",
}
OLD_REQUEST_NAMES = {"table_group": "group"}
OLD_CLASS_NAMES = {
    "latency_objective_ms": "promise_ms",
    "latency_objective_work_factor": "aim_stretch",
    "client_timeout_ms": "give_up_ms",
    "priority_weight": "worth",
    "request_over": "complete",
}


@dataclass(frozen=True, slots=True)
class DecisionModule:
    """The parts of the decision module that a driver uses; factories take today's names for any commit."""

    gateway: Callable[..., Any]
    settings: Callable[..., Any]
    request_class: Callable[..., Any]
    engine_entry: Callable[..., Any]
    engine_list_changed: Callable[..., Any]
    request_arrived: Callable[..., Any]
    request_arrived_type: Any
    attempt_ended: Callable[..., Any]
    attempt_ended_type: Any
    timer_fired: Callable[..., Any]
    send_attempt: Any
    start_timer: Any
    full_list: Any
    status: Any


class Play:
    """A simulation of one gateway, its clients and its engines, from one seed."""

    def __init__(self, module: DecisionModule, engine_count: int, seed: int) -> None:
        self.module = module
        self.random = Random(seed)
        self.gateway = new_gateway(module, seed)
        self.engine_count = engine_count
        self.now = 1_000.0
        self.events: list[tuple[float, Any]] = []
        self.arrival_indices: list[int] = []
        self.attempt_counts: Counter[int] = Counter()
        self._digest = hashlib.sha256()
        self._scheduled: list[tuple[float, int, Any]] = []
        self._event_count = 0
        self._running = dict.fromkeys((engine_id(number) for number in range(engine_count)), 0)

    def run(self, lookups: int) -> str:
        """Run that many lookups to their end; return a digest of the attempts and the number of actions."""
        entries = tuple(self.module.engine_entry(engine_id(number)) for number in range(self.engine_count))
        self._feed(self.module.engine_list_changed(self.module.full_list, entries))
        arrivals_per_ms = self.engine_count * CORES_PER_ENGINE * UTILISATION / LOOKUP_WORK_MS
        arrival_ms = self.now
        for request in range(1, lookups + 1):
            arrival_ms += self.random.expovariate(arrivals_per_ms)
            self._schedule(arrival_ms, self._arrival(request))
        while self._scheduled:
            self.now, _, event = heapq.heappop(self._scheduled)
            if isinstance(event, self.module.request_arrived_type):
                self.arrival_indices.append(len(self.events))
            elif isinstance(event, self.module.attempt_ended_type):
                self._running[event.engine] -= 1
            self._feed(event)
        return self._digest.hexdigest()[:16]

    def _arrival(self, request: int) -> Any:
        cost_ms = self.random.lognormvariate(4.3, 0.7)
        group = float(self.random.randrange(TABLE_GROUPS))
        return self.module.request_arrived(request, 0, CLIENT_TIMEOUT_MS, cost_ms=cost_ms, table_group=group)

    def _feed(self, event: Any) -> None:
        self.events.append((self.now, event))
        for action in self.gateway.handle(self.now, event):
            if isinstance(action, self.module.send_attempt):
                self._send(action)
            elif isinstance(action, self.module.start_timer):
                self._schedule(self.now + action.delay_ms, self.module.timer_fired(action.token))
            self._digest.update(b"|")

    def _send(self, action: Any) -> None:
        self._digest.update(f"{action.request} {action.engine}".encode())
        attempt = self.attempt_counts[action.request]
        self.attempt_counts[action.request] += 1
        self._running[action.engine] += 1
        running = self._running[action.engine]
        utilisation = min(1.0, running / CORES_PER_ENGINE)
        latency_ms = self.random.lognormvariate(4.3, 0.7) * max(1.0, running / CORES_PER_ENGINE)
        fault_draw = self.random.random()
        status = self.module.status.OK
        if fault_draw < FAULT_SHARE:
            status = (
                self.module.status.ERROR
                if fault_draw < FAULT_SHARE / 2
                else self.module.status.CONNECT_FAILED
            )
        complete = status is self.module.status.OK
        ended = self.module.attempt_ended(
            action.request,
            attempt,
            action.engine,
            status,
            latency_ms,
            request_over=complete,
            work_ms=latency_ms if complete else 0.0,
            report=(utilisation, float(running)) if complete else (),
        )
        self._schedule(self.now + latency_ms, ended)

    def _schedule(self, at_ms: float, event: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._scheduled, (at_ms, self._event_count, event))


def engine_id(number: int) -> str:
    """Return the address that names an engine."""
    return f"10.0.{number // 250}.{number % 250 + 1}:80"


def new_gateway(module: DecisionModule, seed: int) -> Any:
    """Return a gateway for one class of lookups."""
    lookup = module.request_class(
        name="lookup",
        latency_objective_ms=600.0,
        latency_objective_work_factor=2.0,
        client_timeout_ms=CLIENT_TIMEOUT_MS,
        priority_weight=1.0,
    )
    settings = module.settings(
        classes=(lookup,),
        cores_by_kind=(CORES_PER_ENGINE,),
        memory_mb_by_kind=(16_384.0,),
        may_cancel=True,
        max_attempts=4,
        load_report_fields=("util", "inflight"),
        slow_start_initial_capacity=0.3,
        slow_start_ms=10_000.0,
        slow_start_overload_factor=3.0,
        slow_start_window_ms=2_000.0,
    )
    return module.gateway(settings, seed)


def load_decision_module() -> DecisionModule:
    """Return the importable decision module: the one under its old name if there is one, else today's."""
    try:
        return _load_old()
    except ModuleNotFoundError:
        return _load_current()


def _load_current() -> DecisionModule:
    actions = importlib.import_module("fordstair.decisions.actions")
    engine_list = importlib.import_module("fordstair.decisions.engine_list")
    events = importlib.import_module("fordstair.decisions.events")
    settings = importlib.import_module("fordstair.decisions.settings")
    return DecisionModule(
        gateway=importlib.import_module("fordstair.decisions.gateway").Gateway,
        settings=settings.Settings,
        request_class=settings.RequestClass,
        engine_entry=engine_list.EngineEntry,
        engine_list_changed=events.EngineListChanged,
        request_arrived=events.RequestArrived,
        request_arrived_type=events.RequestArrived,
        attempt_ended=events.AttemptEnded,
        attempt_ended_type=events.AttemptEnded,
        timer_fired=events.TimerFired,
        send_attempt=actions.SendAttempt,
        start_timer=actions.StartTimer,
        full_list=engine_list.ListUpdateKind.FULL,
        status=events.Status,
    )


def _load_old() -> DecisionModule:
    interface = importlib.import_module("cairnhoist.interface")
    return DecisionModule(
        gateway=importlib.import_module("cairnhoist.logic").Gateway,
        settings=_renaming(interface.Settings, OLD_SETTING_NAMES),
        request_class=_renaming(interface.RequestClass, OLD_CLASS_NAMES),
        engine_entry=interface.EngineEntry,
        engine_list_changed=interface.MembersChanged,
        request_arrived=_renaming(interface.RequestArrived, OLD_REQUEST_NAMES),
        request_arrived_type=interface.RequestArrived,
        attempt_ended=interface.AttemptEnded,
        attempt_ended_type=interface.AttemptEnded,
        timer_fired=interface.TimerFired,
        send_attempt=interface.Send,
        start_timer=interface.SetTimer,
        full_list=interface.ListKind.FULL,
        status=interface.Status,
    )


def _renaming(make: Callable[..., Any], old_names: dict[str, str]) -> Callable[..., Any]:
    def build(*values: Any, **fields: Any) -> Any:
        return make(*values, **{old_names.get(name, name): value for name, value in fields.items()})

    return build


def main() -> None:
    """Record a run, then time one slice for each line of input."""
    engine_count, lookups, slices, seed, cpu = (int(argument) for argument in sys.argv[1:])
    os.sched_setaffinity(0, {cpu})
    module = load_decision_module()
    play = Play(module, engine_count, seed)
    digest = play.run(lookups)
    warm_up_count = int(lookups * WARM_UP_SHARE)
    lookups_per_slice = (lookups - warm_up_count) // slices
    starts = [play.arrival_indices[warm_up_count + number * lookups_per_slice] for number in range(slices)]
    ends = [*starts[1:], len(play.events)]
    gateway = new_gateway(module, seed)
    for now, event in play.events[: starts[0]]:
        gateway.handle(now, event)
    gc.collect()
    gc.freeze()
    print(json.dumps({"sent": play.attempt_counts.total(), "actions": digest}), flush=True)
    for start, end in zip(starts, ends, strict=True):
        if not sys.stdin.readline():
            return
        slice_events = play.events[start:end]
        begun_s = time.process_time()
        for now, event in slice_events:
            gateway.handle(now, event)
        cpu_s = time.process_time() - begun_s
        print(json.dumps({"cpu_us_per_lookup": cpu_s * 1e6 / lookups_per_slice}), flush=True)


if __name__ == "__main__":
    main()
