"""Reads the settings document: the ``path=value`` lines that the platform and the simulator send."""

from __future__ import annotations

import math
from typing import TypeVar

from fordstair.configuration.errors import SettingsDocumentError
from fordstair.decisions.settings import (
    DeduplicationScope,
    Discovery,
    Idempotency,
    RequestClass,
    RetryBudget,
    Settings,
    Tenant,
)

Choice = TypeVar("Choice")

_IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.WITH_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
_DISCOVERY = {"push": Discovery.PUSH, "ask": Discovery.POLL}
_DEDUPLICATION_SCOPES = {scope.value: scope for scope in DeduplicationScope}
_BOOLEANS = {"true": True, "false": False}
DEFAULT_RETRY_WINDOW_MS = 5_000.0


class SettingsDocument:
    """The document's values by path, with one method for each type.

    A value that cannot be read raises SettingsDocumentError, which names its path.
    """

    def __init__(self, text: str) -> None:
        self.values: dict[str, str] = {}
        for line in text.splitlines():
            if not line.strip():
                continue
            path, separator, value = line.partition("=")
            if not separator:
                raise SettingsDocumentError(f"settings: no '=' in line {line!r}")
            self.values[path.strip()] = value.strip()

    def __contains__(self, path: str) -> bool:
        return path in self.values

    def text(self, path: str, default: str = "") -> str:
        """Return a value as it is written."""
        return self.values.get(path, default)

    def number(self, path: str, default: float = 0.0) -> float:
        """Return a finite number; the first one of a list."""
        return self._numbers(path, str(default))[0]

    def integer(self, path: str, default: int) -> int:
        """Return a whole number."""
        value = self.number(path, default)
        if value != int(value):
            raise SettingsDocumentError(f"settings: {path}: {value} is not a whole number")
        return int(value)

    def boolean(self, path: str, default: bool = False) -> bool:
        """Return a boolean; the first one of a list."""
        return self._booleans(path, "true" if default else "false")[0]

    def numbers(self, path: str) -> tuple[float, ...]:
        """Return a list of finite numbers; empty if the path has no value."""
        return self._numbers(path, "") if self.text(path) else ()

    def booleans(self, path: str) -> tuple[bool, ...]:
        """Return a list of booleans; empty if the path has no value."""
        return self._booleans(path, "") if self.text(path) else ()

    def texts(self, path: str) -> tuple[str, ...]:
        """Return a list of texts, without empty ones."""
        return tuple(part for part in self.text(path).split(",") if part)

    def choice(self, path: str, choices: dict[str, Choice], default: str) -> Choice:
        """Return the entry of ``choices`` that the value names."""
        value = self.text(path, default)
        if value not in choices:
            raise SettingsDocumentError(f"settings: {path}: unknown value {value!r}")
        return choices[value]

    def _numbers(self, path: str, default: str) -> tuple[float, ...]:
        try:
            values = tuple(float(part) for part in self.text(path, default).split(","))
        except ValueError:
            raise SettingsDocumentError(f"settings: {path}: {self.text(path)!r} is not a number") from None
        if not all(math.isfinite(value) for value in values):
            raise SettingsDocumentError(f"settings: {path}: {self.text(path)!r} is not finite")
        return values

    def _booleans(self, path: str, default: str) -> tuple[bool, ...]:
        parts = self.text(path, default).split(",")
        if any(part not in _BOOLEANS for part in parts):
            raise SettingsDocumentError(f"settings: {path}: {self.text(path)!r} is not true or false")
        return tuple(_BOOLEANS[part] for part in parts)


def parse_settings(text: str) -> Settings:
    """Return the settings of a document; unknown paths are ignored.

    Raises:
        SettingsDocumentError: A value cannot be read or is out of range.
    """
    document = SettingsDocument(text)
    retry_budget = _retry_budget(document)
    has_reports = document.text("report.source", "silent") != "silent"
    try:
        return Settings(
            classes=tuple(
                _request_class(document, index) for index in range(document.integer("categories.count", 0))
            ),
            tenants=tuple(_tenant(document, index) for index in range(document.integer("projects.count", 0))),
            instances=document.integer("instances", 1),
            cores_by_kind=document.numbers("extra.cpuOfKind"),
            memory_mb_by_kind=document.numbers("extra.kindMemoryMb"),
            largest_memory_grant_share=document.number("extra.largestShare", 1.0),
            memory_grants=document.boolean("extra.grants"),
            priorities=document.boolean("extra.priorities"),
            progress_interval_ms=document.number("extra.tellsEveryMs"),
            load_report_fields=document.texts("report.fields") if has_reports else (),
            reports_by_health_check_only=document.text("report.source", "silent") == "pull",
            discovery=document.choice("discovery", _DISCOVERY, "push"),
            poll_within_ms=document.number("obligations.askWithinMs", 10000.0),
            health_checks=document.boolean("limits.probes"),
            may_cancel=document.boolean("limits.mayCancel"),
            sends_retry_after=document.boolean("limits.retryAfter"),
            max_retry_after_ms=document.number("limits.maxRetryAfterMs"),
            max_attempts=document.integer("limits.sendCap", 1),
            over_quota_weight=document.number("overShareWorth", 1.0),
            retry_budget=retry_budget,
            ordering_settle_ms=document.number("obligations.orderSettleMs"),
            slow_start_initial_capacity=document.number("obligations.coldFrom", 1.0),
            slow_start_ms=document.number("obligations.coldMs"),
            slow_start_overload_factor=document.number("obligations.fallMultiple", 1.0),
            slow_start_window_ms=document.number("obligations.fallMs", 1000.0),
        )
    except ValueError as error:
        raise SettingsDocumentError(f"settings: {error}") from None


def _retry_budget(document: SettingsDocument) -> RetryBudget | None:
    if "obligations.furtherRatio" not in document and "obligations.budgetFree" not in document:
        return None
    return RetryBudget(
        base_retries=document.number("obligations.budgetFree"),
        ratio=document.number("obligations.furtherRatio"),
        window_ms=document.number("obligations.lookBackMs", DEFAULT_RETRY_WINDOW_MS),
    )


def _tenant(document: SettingsDocument, index: int) -> Tenant:
    path = f"projects.{index}"
    return Tenant(document.text(f"{path}.name", str(index)), document.number(f"{path}.quotaPerS"))


def _request_class(document: SettingsDocument, index: int) -> RequestClass:
    path = f"categories.{index}"
    threads = document.numbers("extra.parallelism")
    are_loads = document.booleans("extra.loads")
    wait_for_loads = document.booleans("extra.waitsForLoads")
    return RequestClass(
        name=document.text(f"{path}.name", str(index)),
        idempotency=document.choice(f"{path}.effect", _IDEMPOTENCY, "non_idempotent"),
        latency_objective_ms=document.number(f"{path}.promiseMs", 1000.0),
        latency_objective_work_factor=document.number(f"{path}.aimStretch"),
        client_timeout_ms=document.number(f"{path}.giveUpMs", 10000.0),
        priority_weight=document.number(f"{path}.worth", 1.0),
        late_weight=document.number(f"{path}.lateWorth"),
        deduplication_scope=document.choice(f"{path}.group", _DEDUPLICATION_SCOPES, "all"),
        deduplication_window_ms=document.number(f"{path}.memorySpanMs"),
        ordered_by_key=document.boolean(f"{path}.serialByKey"),
        allowed_zones=_allowed_numbers(document, f"{path}.areasOpen"),
        allowed_machine_kinds=_allowed_numbers(document, f"{path}.hostTypesAllowed"),
        threads=int(threads[index]) if index < len(threads) else 1,
        is_load=index < len(are_loads) and are_loads[index],
        waits_for_loads=index < len(wait_for_loads) and wait_for_loads[index],
    )


def _allowed_numbers(document: SettingsDocument, path: str) -> frozenset[int] | None:
    """Return the numbers of the zones or machine kinds that a class may use; None if it may use all."""
    if path not in document:
        return None
    return frozenset(int(value) for value in document.numbers(path))
