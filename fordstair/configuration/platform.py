"""Reads the platform's configuration: RELAY_* environment variables, and the JSON file that they name."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fordstair.configuration.errors import ConfigError, SettingsDocumentError
from fordstair.configuration.settings_document import parse_settings
from fordstair.decisions.settings import Settings
from fordstair.net.engine_list_wire import EngineListEvent, read_known_event

DEFAULT_SOCKETS = 1_024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT_MS = "250"
DEFAULT_IDLE_TIMEOUT_MS = "30000"
MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a coordinator.

    Attributes:
        listen: Host and port of the platform's front.
        seed: Seed of the random number generators.
        sockets: Sockets that the process may have open.
        memory_mb: Memory that the process may use.
        channel: Address of the command channel, host:port; empty if there is none.
        cursor: Number of the last event of the engine list in ``known``.
        known: Events of the engine list that are known at the start.
        idle_ms: Time after which engines close an idle connection.
        budgets: Queues in front of the decision module; None without ``[budgets]`` in an operator's file.
    """

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    channel: str
    cursor: int
    known: tuple[EngineListEvent, ...]
    settings: Settings
    connect_timeout_ms: float
    idle_ms: float
    budgets: AdmissionQueueSettings | None = None


@dataclass(frozen=True, slots=True)
class AdmissionQueueSettings:
    """Settings of the queues in front of the decision module.

    Attributes:
        shares: Fraction of the capacity, by the tenant's index in the settings.
        threads_per_core: Threads that may be in flight, for each core of the engines.
        max_waiting: Maximum number of queued requests.
        burst_ms: Credit that a tenant may accumulate, as time at its share of the capacity.
        debt_ms: Debt that a tenant may run up, as time at its share of the capacity.
    """

    shares: Mapping[int, float]
    threads_per_core: float
    max_waiting: int
    burst_ms: float
    debt_ms: float


def load_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file that ``RELAY_CONFIG`` names; ``RELAY_NAME`` and ``RELAY_LISTEN`` override its fields.

    Raises:
        ConfigError: The file or a field cannot be used; the message names the field.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set")
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError("RELAY_CONFIG: not an object")
    overrides = {"name": environ.get("RELAY_NAME"), "listen": environ.get("RELAY_LISTEN")}
    return parse(document | {field: value for field, value in overrides.items() if value})


def parse(document: Mapping[str, Any]) -> Config:
    """Return the configuration of a JSON document; raise ConfigError, which names the field."""
    settings = _object(document, "settings")
    values = dict(flatten(settings))
    parsed_settings = _settings(values)
    limits = _object(document, "limits")
    known = _object(document, "known")
    return Config(
        name=str(document.get("name", "")),
        known=_known_events(known, settings),
        seed=_seed(document),
        channel=_channel(document),
        listen=parse_address(document.get("listen"), "listen"),
        sockets=int(_number(limits.get("sockets", DEFAULT_SOCKETS), "limits.sockets", minimum=MIN_SOCKETS)),
        memory_mb=_number(limits.get("memory_mb", DEFAULT_MEMORY_MB), "limits.memory_mb"),
        cursor=int(_number(known.get("cursor", 0), "known.cursor")),
        settings=parsed_settings,
        connect_timeout_ms=_setting(values, "limits.connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
        idle_ms=_setting(values, "limits.connIdleMs", DEFAULT_IDLE_TIMEOUT_MS),
    )


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested JSON as path and value, the lines of the settings document."""
    if isinstance(value, Mapping):
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, Mapping | list) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(_scalar(item) for item in value)
    else:
        yield path, _scalar(value)


def parse_address(value: Any, field: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``; raise ConfigError, which names the field."""
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ConfigError(f"{field}: {value!r} is not host:port")
    return host.strip("[]"), int(port)


def _scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_").replace("\n", "_")


def _settings(values: Mapping[str, str]) -> Settings:
    try:
        return parse_settings("\n".join(f"{path}={value}" for path, value in values.items()))
    except SettingsDocumentError as error:
        raise ConfigError(str(error)) from None


def _known_events(known: Mapping[str, Any], settings: Mapping[str, Any]) -> tuple[EngineListEvent, ...]:
    zones = settings.get("areas") or []
    kinds = settings.get("hostTypes") or []
    try:
        events = tuple(read_known_event(command, zones, kinds) for command in known.get("cmds", []))
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"known.cmds: {type(error).__name__}: {error}") from None
    for event in events:
        for engine in event.engines:
            parse_address(engine.address, f"known.cmds: the address of {engine.entry.engine}")
    return events


def _seed(document: Mapping[str, Any]) -> int:
    try:
        return int(str(document.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {document.get('seed')!r} is not hexadecimal") from None


def _channel(document: Mapping[str, Any]) -> str:
    channel = str(document.get("channel", ""))
    if channel:
        parse_address(channel, "channel")
    return channel


def _object(document: Mapping[str, Any], field: str) -> Mapping[str, Any]:
    value = document.get(field)
    if not isinstance(value, Mapping):
        raise ConfigError(f"{field}: expected a JSON object")
    return value


def _setting(values: Mapping[str, str], path: str, default: str) -> float:
    return _number(values.get(path, default), f"settings.{path}")


def _number(value: Any, field: str, minimum: float = 0.0) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        raise ConfigError(f"{field}: {value!r} is not a number") from None
    if not minimum <= number < float("inf"):
        raise ConfigError(f"{field}: {value!r} is not a finite number of at least {minimum:g}")
    return number
