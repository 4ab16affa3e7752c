"""The settings of the decision module. Times are milliseconds throughout."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from fordstair.decisions.engine_list import EngineEntry


class Idempotency(Enum):
    """Effect of running a request twice: no second effect, none under the same key, or always a second."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with_key"
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """The set of engines that find each other's duplicates of a request by its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def is_shared_by(self, one: EngineEntry, other: EngineEntry) -> bool:
        """Return whether two engines find each other's duplicates."""
        if self is DeduplicationScope.ALL:
            return True
        return one.zone == other.zone if self is DeduplicationScope.ZONE else one.cell == other.cell


class Discovery(Enum):
    """How updates of the engine list arrive.

    Attributes:
        PUSH: They are pushed.
        POLL: The list must be polled; the gateway requests that it is watched once, at its start.
    """

    PUSH = "push"
    POLL = "ask"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_work_factor: Multiplied by work / threads and added to the objective.
        client_timeout_ms: Time that clients usually wait; also bounds the shutdown.
        priority_weight: Worth of an answer within the objective.
        late_weight: Share of the weight that a late answer still has.
        deduplication_window_ms: Time for which engines find duplicates by the idempotency key.
        ordered_by_key: Requests with the same ordering key run one after the other.
        allowed_zones: Zones in which the class may run; None allows all.
        allowed_machine_kinds: Machine kinds on which the class may run; None allows all.
        threads: Threads on which a query runs.
        is_load: A query locks its table group at its engine while it runs.
        waits_for_loads: A query waits for loads of its table group at its engine.

    Raises:
        ValueError: A value is negative, not finite or otherwise out of range; the message names the field.
    """

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_objective_ms: float = 1000.0
    latency_objective_work_factor: float = 0.0
    client_timeout_ms: float = 10000.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    ordered_by_key: bool = False
    allowed_zones: frozenset[int] | None = None
    allowed_machine_kinds: frozenset[int] | None = None
    threads: int = 1
    is_load: bool = False
    waits_for_loads: bool = False

    def __post_init__(self) -> None:
        _check_not_negative(
            f"classes.{self.name}",
            self,
            "latency_objective_ms",
            "latency_objective_work_factor",
            "client_timeout_ms",
            "priority_weight",
            "late_weight",
            "deduplication_window_ms",
        )
        if self.threads < 1:
            raise ValueError(f"classes.{self.name}.threads: must be at least 1, not {self.threads}")

    def allows(self, entry: EngineEntry) -> bool:
        """Return whether the class may run on an engine, by its zone and machine kind."""
        if self.allowed_zones is not None and entry.zone not in self.allowed_zones:
            return False
        return self.allowed_machine_kinds is None or entry.kind in self.allowed_machine_kinds


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; a quota of 0 means that it has none."""

    name: str
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _check_not_negative(f"tenants.{self.name}", self, "quota_per_s")


@dataclass(slots=True, frozen=True)
class RetryBudget:
    """The limit on retries, over all requests of a sliding window: ``base_retries + ratio x arrivals``."""

    base_retries: float
    ratio: float
    window_ms: float

    def __post_init__(self) -> None:
        _check_not_negative("retry_budget", self, "base_retries", "ratio", "window_ms")


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings that a gateway gets at its start.

    Attributes:
        instances: Number of coordinators in the fleet.
        cores_by_kind: Cores of an engine, by machine kind.
        memory_mb_by_kind: Memory of an engine, by machine kind.
        largest_memory_grant_share: Maximum share of an engine's memory for one query.
        memory_grants: Engines honour memory grants.
        priorities: Engines honour priorities of running work.
        progress_interval_ms: Interval between notes on a running attempt; 0 if engines send none.
        load_report_fields: Names of the values of a load report, in order.
        reports_by_health_check_only: Part of the settings document; not used yet.
        poll_within_ms: Part of the settings document; not used yet.
        health_checks: Health checks are allowed.
        max_attempts: Maximum number of attempts of one request, including the first.
        over_quota_weight: Share of its weight that a request beyond its quota has.
        retry_budget: None for the default of the retry policy.
        ordering_settle_ms: Wait of an ordering key after an attempt that may still run.
        slow_start_initial_capacity: Share of its capacity that a started engine has.
        slow_start_ms: Time until an engine is warm.
        slow_start_overload_factor: Multiple of its present capacity above which an engine collapses.
        slow_start_window_ms: Window over which the overload factor is measured.

    Raises:
        ValueError: A value is out of range; the message names the field.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    instances: int = 1
    cores_by_kind: tuple[float, ...] = ()
    memory_mb_by_kind: tuple[float, ...] = ()
    largest_memory_grant_share: float = 1.0
    memory_grants: bool = False
    priorities: bool = False
    progress_interval_ms: float = 0.0
    load_report_fields: tuple[str, ...] = ()
    reports_by_health_check_only: bool = False
    discovery: Discovery = Discovery.PUSH
    poll_within_ms: float = 10000.0
    health_checks: bool = False
    may_cancel: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    over_quota_weight: float = 1.0
    retry_budget: RetryBudget | None = None
    ordering_settle_ms: float = 0.0
    slow_start_initial_capacity: float = 1.0
    slow_start_ms: float = 0.0
    slow_start_overload_factor: float = 1.0
    slow_start_window_ms: float = 1000.0

    def __post_init__(self) -> None:
        _check_not_negative(
            "settings",
            self,
            "largest_memory_grant_share",
            "progress_interval_ms",
            "poll_within_ms",
            "max_retry_after_ms",
            "over_quota_weight",
            "ordering_settle_ms",
            "slow_start_initial_capacity",
            "slow_start_ms",
            "slow_start_overload_factor",
            "slow_start_window_ms",
        )
        for name in ("instances", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"settings.{name}: must be at least 1")
        if not self.classes:
            raise ValueError("settings.classes: at least one class is needed")


def _check_not_negative(where: str, settings: object, *names: str) -> None:
    for name in names:
        value = getattr(settings, name)
        if not math.isfinite(value) or value < 0:
            raise ValueError(f"{where}.{name}: must be finite and not negative, not {value}")
