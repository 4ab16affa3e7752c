"""Reads the platform's configuration: RELAY_* in the environment, and the JSON file that they name."""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

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
    """All that a coordinator is configured with at its start; addresses are host and port."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    channel: str
    cursor: int
    known: tuple[EngineListEvent, ...]  # events: number, kind, engines
    settings: Settings
    connect_timeout_ms: float
    idle_ms: float
    budgets: AdmissionQueueSettings | None = None


@dataclass(frozen=True, slots=True)
class AdmissionQueueSettings:
    """Queues in front of the decision module, where an operator's file sets them."""

    shares: Mapping[int, float]  # of the capacity, by tenant in the order of the settings
    threads_a_core: float
    waiting_most: int  # requests
    burst_ms: float  # of its share that a tenant may save up
    debt_ms: float  # of its share that a tenant may owe


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration that the environment names; raise ConfigError, which names the field."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set")
    try:
        document = ujson.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError("RELAY_CONFIG: not an object")
    overrides = {"name": environ.get("RELAY_NAME"), "listen": environ.get("RELAY_LISTEN")}
    return parse(document | {field: value for field, value in overrides.items() if value})


def parse(document: Mapping[str, Any]) -> Config:
    """Read the configuration's JSON; raise ConfigError, which names the field."""
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
        listen=address(document.get("listen"), "listen"),
        sockets=int(_number(limits.get("sockets", DEFAULT_SOCKETS), "limits.sockets", least=MIN_SOCKETS)),
        memory_mb=_number(limits.get("memory_mb", DEFAULT_MEMORY_MB), "limits.memory_mb"),
        cursor=int(_number(known.get("cursor", 0), "known.cursor")),
        settings=parsed_settings,
        connect_timeout_ms=_setting(values, "limits.connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
        idle_ms=_setting(values, "limits.connIdleMs", DEFAULT_IDLE_TIMEOUT_MS),
    )


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the lines of the settings document, as path and value, for nested JSON."""
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


def address(value: Any, field: str) -> tuple[str, int]:
    """Read ``host:port``; raise ConfigError, which names the field."""
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
            address(engine.address, f"known.cmds: the address of {engine.entry.engine}")
    return events


def _seed(document: Mapping[str, Any]) -> int:
    try:
        return int(str(document.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {document.get('seed')!r} is not hexadecimal") from None


def _channel(document: Mapping[str, Any]) -> str:
    channel = str(document.get("channel", ""))
    if channel:
        address(channel, "channel")
    return channel


def _object(document: Mapping[str, Any], field: str) -> Mapping[str, Any]:
    value = document.get(field)
    if not isinstance(value, Mapping):
        raise ConfigError(f"{field}: an object is wanted")
    return value


def _setting(values: Mapping[str, str], path: str, default: str) -> float:
    return _number(values.get(path, default), f"settings.{path}")


def _number(value: Any, field: str, least: float = 0.0) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        raise ConfigError(f"{field}: {value!r} is not a number") from None
    if not least <= number < float("inf"):
        raise ConfigError(f"{field}: {value!r} is out of range")
    return number
