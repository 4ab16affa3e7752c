"""Runs a gateway on a fake clock, for tests without the simulator."""

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

ActionT = TypeVar("ActionT")
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
    """Return settings with the classes of CLASSES, and with these changes applied."""
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
    number: int, state: EngineState = EngineState.READY, started: float = 0.0, **fields: int
) -> EngineEntry:
    return EngineEntry(f"10.0.0.{number}:80", state, started_ms=started, **fields)


def selection_factor(gateway: Gateway, engine: TrackedEngine) -> float:
    """Return an engine's selection factor at the time of the gateway's latest event."""
    reliability = gateway.outliers.reliability(gateway.now, engine)
    return gateway.outliers.selection_factor(reliability, engine)


class GatewayHarness:
    """Feeds events to a gateway, fires its timers when due, and records every action with its time."""

    def __init__(self, config: Settings | None = None, engines: int = 3, seed: int = 1) -> None:
        self.now = 1000.0
        self.gateway = Gateway(config or settings(), seed)
        self.action_log: list[tuple[float, Action]] = []
        self.timers: list[tuple[float, int]] = []
        self.last_request = 0
        self.update_engine_list(*(entry(i) for i in range(1, engines + 1)), kind=ListUpdateKind.FULL)

    def feed(self, event: Event) -> list[Action]:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self.action_log.append((self.now, action))
            if isinstance(action, StartTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
        return actions

    def update_engine_list(
        self, *entries: EngineEntry, kind: ListUpdateKind = ListUpdateKind.DELTA
    ) -> list[Action]:
        return self.feed(EngineListChanged(kind, entries))

    def send_request(self, class_index: int = SAFE, cost: float = 100.0, **fields: Any) -> int:
        self.last_request += 1
        time_left_ms = fields.pop(
            "time_left_ms", CLASSES[class_index].client_timeout_ms if class_index < len(CLASSES) else 3000.0
        )
        self.feed(RequestArrived(self.last_request, class_index, time_left_ms, cost_ms=cost, **fields))
        return self.last_request

    def end_attempt(
        self,
        request: int,
        status: Status = Status.OK,
        latency: float = 100.0,
        attempt: int | None = None,
        **fields: Any,
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
                **fields,
            )
        )

    def advance(self, ms: float) -> None:
        """Advance the clock, and fire timers when due."""
        until = self.now + ms
        while due := [t for t in self.timers if t[0] <= until]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.feed(TimerFired(first[1]))
        self.now = until
        self.feed(PeerMessage(0, b""))  # Has no effect but to set the gateway's time.

    def actions_of(self, kind: type[ActionT], request: int | None = None) -> list[ActionT]:
        found: list[ActionT] = [a for _, a in self.action_log if isinstance(a, kind)]
        return [a for a in found if request is None or getattr(a, "request", None) == request]

    def sends(self, request: int | None = None) -> list[SendAttempt]:
        return self.actions_of(SendAttempt, request)

    def answers(self, request: int) -> list[Action]:
        return [*self.actions_of(RejectRequest, request), *self.actions_of(FailRequest, request)]

    def cancels(self, request: int) -> list[CancelAttempt]:
        return self.actions_of(CancelAttempt, request)
