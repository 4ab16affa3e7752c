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
    """Which engines share the memory of a keyed request's duplicates."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    def joins(self, one: EngineEntry, other: EngineEntry) -> bool:
        """Whether two engines share it."""
        if self is DeduplicationScope.ALL:
            return True
        return one.zone == other.zone if self is DeduplicationScope.ZONE else one.cell == other.cell


class Discovery(Enum):
    """Whether membership changes come by themselves."""

    PUSH = "push"
    ASK = "ask"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_objective_ms: float = 1000.0
    latency_objective_work_factor: float = 0.0
    client_timeout_ms: float = 10000.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    ordered: bool = False
    zones: frozenset[int] | None = None
    kinds: frozenset[int] | None = None
    threads: int = 1
    is_load: bool = False
    waits_for_loads: bool = False

    def __post_init__(self) -> None:
        _check(
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
        """Whether an engine is of the places and kinds that the class is bound to, if it is bound."""
        placed = self.zones is None or entry.zone in self.zones
        return placed and (self.kinds is None or entry.kind in self.kinds)


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; a quota of 0 means none is stated."""

    name: str
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _check(f"tenants.{self.name}", self, "quota_per_s")


@dataclass(slots=True, frozen=True)
class RetryBudget:
    """The ration of attempts beyond each request's first."""

    free: float
    ratio: float
    window_ms: float

    def __post_init__(self) -> None:
        _check("retry_budget", self, "free", "ratio", "window_ms")


@dataclass(slots=True, frozen=True)
class Settings:
    """What a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    instances: int = 1
    cores_by_kind: tuple[float, ...] = ()
    memory_mb_by_kind: tuple[float, ...] = ()
    largest_memory_grant_share: float = 1.0
    grants: bool = False
    priorities: bool = False
    progress_interval_ms: float = 0.0
    load_report_fields: tuple[str, ...] = ()
    reports_by_probe_only: bool = False
    discovery: Discovery = Discovery.PUSH
    poll_within_ms: float = 10000.0
    probes: bool = False
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
        _check(
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


def _check(where: str, item: object, *names: str) -> None:
    for name in names:
        value = getattr(item, name)
        if not math.isfinite(value) or value < 0:
            raise ValueError(f"{where}.{name}: must be finite and not negative, not {value}")
