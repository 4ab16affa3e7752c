"""Reads the settings document: ``path=value`` lines, from the platform as from the simulator."""

from __future__ import annotations

import math
from typing import TypeVar

from fordstair.decisions.settings import (
    DeduplicationScope,
    Discovery,
    Idempotency,
    RequestClass,
    RetryBudget,
    Settings,
    Tenant,
)

T = TypeVar("T")

_IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.WITH_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}


class SettingsDocumentError(ValueError):
    """A setting that cannot be read; the message names its path and what is wrong."""


class _Pairs:
    """The settings text as typed look-ups that name what cannot be read."""

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            if line.strip():
                path, sep, value = line.partition("=")
                if not sep:
                    raise SettingsDocumentError(f"settings: no '=' in line {line!r}")
                self.values[path.strip()] = value.strip()

    def text(self, path: str, default: str = "") -> str:
        return self.values.get(path, default)

    def number(self, path: str, default: float = 0.0) -> float:
        return self._numbers(path, str(default))[0]

    def whole(self, path: str, default: int) -> int:
        value = self.number(path, default)
        if value != int(value):
            raise SettingsDocumentError(f"settings: {path}: {value} is not a whole number")
        return int(value)

    def flag(self, path: str, default: bool = False) -> bool:
        return self._flags(path, "true" if default else "false")[0]

    def numbers(self, path: str) -> tuple[float, ...]:
        return self._numbers(path, "") if self.text(path) else ()

    def flags(self, path: str) -> tuple[bool, ...]:
        return self._flags(path, "") if self.text(path) else ()

    def _numbers(self, path: str, default: str) -> tuple[float, ...]:
        try:
            values = tuple(float(part) for part in self.text(path, default).split(","))
        except ValueError:
            raise SettingsDocumentError(f"settings: {path}: {self.text(path)!r} is not a number") from None
        if not all(math.isfinite(value) for value in values):
            raise SettingsDocumentError(f"settings: {path}: {self.text(path)!r} is not finite")
        return values

    def _flags(self, path: str, default: str) -> tuple[bool, ...]:
        parts = self.text(path, default).split(",")
        if any(part not in ("true", "false") for part in parts):
            raise SettingsDocumentError(f"settings: {path}: {self.text(path)!r} is not true or false")
        return tuple(part == "true" for part in parts)

    def choice(self, path: str, table: dict[str, T], default: str) -> T:
        value = self.text(path, default)
        if value not in table:
            raise SettingsDocumentError(f"settings: {path}: unknown value {value!r}")
        return table[value]


def parse_settings(text: str) -> Settings:
    """Read the path=value settings; unknown keys are skipped."""
    pairs = _Pairs(text)
    budget = None
    if "obligations.furtherRatio" in pairs.values or "obligations.budgetFree" in pairs.values:
        budget = RetryBudget(
            base_retries=pairs.number("obligations.budgetFree"),
            ratio=pairs.number("obligations.furtherRatio"),
            window_ms=pairs.number("obligations.lookBackMs", 5000.0),
        )
    fields = tuple(part for part in pairs.text("report.fields").split(",") if part)
    source = pairs.text("report.source", "silent")
    try:
        return Settings(
            classes=tuple(_class(pairs, i) for i in range(pairs.whole("categories.count", 0))),
            tenants=tuple(
                Tenant(pairs.text(f"projects.{i}.name", str(i)), pairs.number(f"projects.{i}.quotaPerS"))
                for i in range(pairs.whole("projects.count", 0))
            ),
            instances=pairs.whole("instances", 1),
            cores_by_kind=pairs.numbers("extra.cpuOfKind"),
            memory_mb_by_kind=pairs.numbers("extra.kindMemoryMb"),
            largest_memory_grant_share=pairs.number("extra.largestShare", 1.0),
            memory_grants=pairs.flag("extra.grants"),
            priorities=pairs.flag("extra.priorities"),
            progress_interval_ms=pairs.number("extra.tellsEveryMs"),
            load_report_fields=fields if source != "silent" else (),
            reports_by_health_check_only=source == "pull",
            discovery=pairs.choice("discovery", {"push": Discovery.PUSH, "ask": Discovery.ASK}, "push"),
            poll_within_ms=pairs.number("obligations.askWithinMs", 10000.0),
            health_checks=pairs.flag("limits.probes"),
            may_cancel=pairs.flag("limits.mayCancel"),
            sends_retry_after=pairs.flag("limits.retryAfter"),
            max_retry_after_ms=pairs.number("limits.maxRetryAfterMs"),
            max_attempts=pairs.whole("limits.sendCap", 1),
            over_quota_weight=pairs.number("overShareWorth", 1.0),
            retry_budget=budget,
            ordering_settle_ms=pairs.number("obligations.orderSettleMs"),
            slow_start_initial_capacity=pairs.number("obligations.coldFrom", 1.0),
            slow_start_ms=pairs.number("obligations.coldMs"),
            slow_start_overload_factor=pairs.number("obligations.fallMultiple", 1.0),
            slow_start_window_ms=pairs.number("obligations.fallMs", 1000.0),
        )
    except ValueError as error:
        raise SettingsDocumentError(f"settings: {error}") from None


def _class(pairs: _Pairs, index: int) -> RequestClass:
    path = f"categories.{index}"
    threads, loads = pairs.numbers("extra.parallelism"), pairs.flags("extra.loads")
    waits = pairs.flags("extra.waitsForLoads")

    def places(name: str) -> frozenset[int] | None:
        if f"{path}.{name}" not in pairs.values:
            return None
        return frozenset(int(value) for value in pairs.numbers(f"{path}.{name}"))

    return RequestClass(
        name=pairs.text(f"{path}.name", str(index)),
        idempotency=pairs.choice(f"{path}.effect", _IDEMPOTENCY, "non_idempotent"),
        latency_objective_ms=pairs.number(f"{path}.promiseMs", 1000.0),
        latency_objective_work_factor=pairs.number(f"{path}.aimStretch"),
        client_timeout_ms=pairs.number(f"{path}.giveUpMs", 10000.0),
        priority_weight=pairs.number(f"{path}.worth", 1.0),
        late_weight=pairs.number(f"{path}.lateWorth"),
        deduplication_scope=pairs.choice(f"{path}.group", {s.value: s for s in DeduplicationScope}, "all"),
        deduplication_window_ms=pairs.number(f"{path}.memorySpanMs"),
        ordered_by_key=pairs.flag(f"{path}.serialByKey"),
        allowed_zones=places("areasOpen"),
        allowed_machine_kinds=places("hostTypesAllowed"),
        threads=int(threads[index]) if index < len(threads) else 1,
        is_load=index < len(loads) and loads[index],
        waits_for_loads=index < len(waits) and waits[index],
    )
