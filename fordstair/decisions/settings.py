"""The settings of the decision module. Times are milliseconds throughout."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from fordstair.decisions.engine_list import EngineEntry


class Idempotency(Enum):
    """Whether a second run of a request has a second effect: never, never under its key, or always."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with_key"
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """Which engines share the memory in which they find duplicates of a request by its idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def is_shared_by(self, one: EngineEntry, other: EngineEntry) -> bool:
        """Whether two engines share it."""
        if self is DeduplicationScope.ALL:
            return True
        return one.zone == other.zone if self is DeduplicationScope.ZONE else one.cell == other.cell


class Discovery(Enum):
    """Whether updates of the engine list are pushed, or the list must be polled."""

    PUSH = "push"
    POLL = "ask"  # the gateway asks once, at its start, for the list to be watched


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    Raises ValueError, which names the field, for a value that is negative or not finite.
    """

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_objective_ms: float = 1000.0
    latency_objective_work_factor: float = 0.0  # times the work over the threads, added to the objective
    client_timeout_ms: float = 10000.0  # how long clients usually wait; bounds the shutdown, too
    priority_weight: float = 1.0  # what an answer within the objective is worth
    late_weight: float = 0.0  # the share of the weight that a late answer still earns
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # for how long engines find duplicates by the idempotency key
    ordered_by_key: bool = False  # requests with the same ordering key run one after the other
    allowed_zones: frozenset[int] | None = None  # None: all
    allowed_machine_kinds: frozenset[int] | None = None  # None: all
    threads: int = 1  # that a query runs on
    is_load: bool = False  # locks its table group at its engine while it runs
    waits_for_loads: bool = False  # waits for loads of its table group at its engine

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
        """Whether the class may run on an engine, by its zone and its kind of machine."""
        if self.allowed_zones is not None and entry.zone not in self.allowed_zones:
            return False
        return self.allowed_machine_kinds is None or entry.kind in self.allowed_machine_kinds


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; a quota of 0 means none is stated."""

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
    """What a gateway is given at its start.

    Raises ValueError, which names the field, for a value that is out of range.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    instances: int = 1  # coordinators in the fleet
    cores_by_kind: tuple[float, ...] = ()  # of an engine, by its kind of machine
    memory_mb_by_kind: tuple[float, ...] = ()
    largest_memory_grant_share: float = 1.0  # of an engine's memory, for one query
    memory_grants: bool = False  # whether engines heed memory grants
    priorities: bool = False  # whether engines heed priorities of running work
    progress_interval_ms: float = 0.0  # between notes on a running attempt; 0: none come
    load_report_fields: tuple[str, ...] = ()  # of a load report, in its order
    reports_by_health_check_only: bool = False  # part of the document; not used yet
    discovery: Discovery = Discovery.PUSH
    poll_within_ms: float = 10000.0  # part of the document; not used yet
    health_checks: bool = False  # whether health checks are allowed
    may_cancel: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1  # for one request, the first included
    over_quota_weight: float = 1.0  # the share of its weight that a request beyond its quota earns
    retry_budget: RetryBudget | None = None  # None: the module's own
    ordering_settle_ms: float = 0.0  # rest of an ordering key after an attempt that may still run
    slow_start_initial_capacity: float = 1.0  # the share of its capacity that a started engine has
    slow_start_ms: float = 0.0  # until an engine is warm
    slow_start_overload_factor: float = (
        1.0  # more than that over the present capacity makes an engine collapse
    )
    slow_start_window_ms: float = 1000.0  # over which the overload factor is measured

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
