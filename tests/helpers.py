"""A gateway with a clock, for tests without the bench."""

from __future__ import annotations

from typing import Any, TypeVar

from fordstair.decisions.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    StartTimer,
)
from fordstair.decisions.engine_list import EngineEntry, EngineState, ListUpdateKind
from fordstair.decisions.events import (
    AttemptEnded,
    EngineListChanged,
    Event,
    PeerMessage,
    RequestArrived,
    Status,
    TimerFired,
)
from fordstair.decisions.gateway import Gateway
from fordstair.decisions.settings import Idempotency, RequestClass, Settings
from fordstair.decisions.tracked_engine import TrackedEngine

A = TypeVar("A")
SAFE, LOAD, KEYED = 0, 1, 2
CLASSES = (
    RequestClass(
        "quick",
        Idempotency.IDEMPOTENT,
        latency_objective_ms=600,
        latency_objective_work_factor=2,
        client_timeout_ms=3000,
    ),
    RequestClass(
        "load",
        Idempotency.NON_IDEMPOTENT,
        latency_objective_ms=4000,
        latency_objective_work_factor=2.5,
        client_timeout_ms=20000,
        priority_weight=7,
        late_weight=0.5,
        threads=2,
        ordered_by_key=True,
        is_load=True,
    ),
    RequestClass(
        "keyed",
        Idempotency.WITH_KEY,
        latency_objective_ms=4000,
        latency_objective_work_factor=2.5,
        client_timeout_ms=20000,
        priority_weight=6,
        late_weight=0.5,
        deduplication_window_ms=5000,
        threads=2,
    ),
)


def settings(**changes: Any) -> Settings:
    """Three classes, as far as a test does not say otherwise."""
    values: dict[str, Any] = {
        "classes": CLASSES,
        "cores_by_kind": (8.0, 8.0),
        "memory_mb_by_kind": (16384.0, 16384.0),
        "may_cancel": True,
        "max_attempts": 4,
        "ordering_settle_ms": 500.0,
        "slow_start_initial_capacity": 0.3,
        "slow_start_ms": 10000.0,
        "slow_start_overload_factor": 3.0,
        "slow_start_window_ms": 2000.0,
        "load_report_fields": ("util",),
        "health_checks": False,
        "priorities": True,
        "memory_grants": True,
    }
    return Settings(**{**values, **changes})


def entry(
    number: int, state: EngineState = EngineState.READY, started: float = 0.0, **more: int
) -> EngineEntry:
    return EngineEntry(f"10.0.0.{number}:80", state, started_ms=started, **more)


def selection_factor(gateway: Gateway, engine: TrackedEngine) -> float:
    """Return the factor by which the gateway draws an engine at its latest event."""
    reliability = gateway.outliers.reliability(gateway.now, engine)
    return gateway.outliers.selection_factor(reliability, engine)


class Rig:
    """Feeds events, runs timers when due, and remembers every action with its time."""

    def __init__(self, config: Settings | None = None, engines: int = 3, seed: int = 1) -> None:
        self.now = 1000.0
        self.gateway = Gateway(config or settings(), seed)
        self.log: list[tuple[float, Action]] = []
        self.timers: list[tuple[float, int]] = []
        self.ids = 0
        self.members(*(entry(i) for i in range(1, engines + 1)), kind=ListUpdateKind.FULL)

    def feed(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, StartTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
        return actions

    def members(self, *entries: EngineEntry, kind: ListUpdateKind = ListUpdateKind.DELTA) -> list[Action]:
        return self.feed(EngineListChanged(kind, entries))

    def ask(self, class_index: int = SAFE, cost: float = 100.0, **more: Any) -> int:
        self.ids += 1
        budget = more.pop(
            "time_left_ms", CLASSES[class_index].client_timeout_ms if class_index < len(CLASSES) else 3000.0
        )
        self.feed(RequestArrived(self.ids, class_index, budget, cost_ms=cost, **more))
        return self.ids

    def end(
        self,
        request: int,
        status: Status = Status.OK,
        latency: float = 100.0,
        attempt: int | None = None,
        **more: Any,
    ) -> list[Action]:
        sends = self.sends(request)
        number = len(sends) - 1 if attempt is None else attempt
        return self.feed(
            AttemptEnded(
                request,
                number,
                sends[number].engine,
                status,
                latency,
                request_over=status is Status.OK,
                **more,
            )
        )

    def pass_time(self, ms: float) -> None:
        """Let time pass; timers fire when due."""
        until = self.now + ms
        while due := [t for t in self.timers if t[0] <= until]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.feed(TimerFired(first[1]))
        self.now = until
        self.feed(PeerMessage(0, b""))  # tells the gateway the time, and nothing else

    def of(self, kind: type[A], request: int | None = None) -> list[A]:
        found: list[A] = [a for _, a in self.log if isinstance(a, kind)]
        return [a for a in found if request is None or getattr(a, "request", None) == request]

    def sends(self, request: int | None = None) -> list[SendAttempt]:
        return self.of(SendAttempt, request)

    def answers(self, request: int) -> list[Action]:
        return [*self.of(RejectRequest, request), *self.of(FailRequest, request)]

    def cancels(self, request: int) -> list[CancelAttempt]:
        return self.of(CancelAttempt, request)
