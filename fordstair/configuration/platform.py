"""What the program is told: RELAY_* in the environment, the JSON that they name, an operator's file."""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from fordstair.configuration.settings_document import SettingsDocumentError, parse_settings
from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import ListUpdateKind
from fordstair.decisions.settings import Settings
from fordstair.net.command_channel import read_command


class ConfigError(Exception):
    """A field that cannot be used; the message names it, in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that a coordinator is told at its start."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    channel: str
    cursor: int
    known: tuple[tuple[int, ListUpdateKind, list[Engine]], ...]  # events: number, kind, engines
    settings: Settings
    connect_timeout_ms: float
    idle_ms: float
    budgets: Budgets | None = None


@dataclass(frozen=True, slots=True)
class Budgets:
    """Queues in front of the module, where an operator's file sets them."""

    shares: Mapping[int, float]  # by team, in the order of the settings
    threads_a_core: float
    waiting_most: int
    burst_ms: float
    debt_ms: float


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the path=value pairs of nested JSON, in the form that the module's own reader takes."""
    if isinstance(value, Mapping):
        for name, item in value.items():
            yield from flatten(item, f"{path}.{name}" if path else str(name))
    elif isinstance(value, list) and any(isinstance(item, Mapping | list) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(_plain(item) for item in value)
    else:
        yield path, _plain(value)


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_").replace("\n", "_")


def address(text: Any, field: str) -> tuple[str, int]:
    """Read host:port."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        raise ConfigError(f"{field}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration; raise ConfigError, which names the field."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: not set")
    try:
        told = ujson.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path}: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError("RELAY_CONFIG: not an object")
    overrides = {"name": environ.get("RELAY_NAME"), "listen": environ.get("RELAY_LISTEN")}
    return parse(told | {field: value for field, value in overrides.items() if value})


def parse(told: Mapping[str, Any]) -> Config:
    """Read the configuration's JSON."""
    settings = _object(told, "settings")
    pairs = dict(flatten(settings))
    try:
        parsed = parse_settings("\n".join(f"{path}={value}" for path, value in pairs.items()))
    except SettingsDocumentError as error:
        raise ConfigError(str(error)) from None
    limits, known = _object(told, "limits"), _object(told, "known")
    zones, kinds = settings.get("areas") or [], settings.get("hostTypes") or []
    try:
        events = tuple(read_command(command, zones, kinds) for command in known.get("cmds", []))
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"known.cmds: {type(error).__name__}: {error}") from None
    try:
        seed = int(str(told.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {told.get('seed')!r} is not hexadecimal") from None
    channel = str(told.get("channel", ""))
    if channel:
        address(channel, "channel")
    return Config(
        name=str(told.get("name", "")),
        listen=address(told.get("listen"), "listen"),
        seed=seed,
        sockets=int(_number(limits.get("sockets", 1_024), "limits.sockets", least=64)),
        memory_mb=_number(limits.get("memory_mb", 192), "limits.memory_mb"),
        channel=channel,
        cursor=int(_number(known.get("cursor", 0), "known.cursor")),
        known=events,
        settings=parsed,
        connect_timeout_ms=_setting(pairs, "limits.connectTimeoutMs", "250"),
        idle_ms=_setting(pairs, "limits.connIdleMs", "30000"),
    )


def _object(told: Mapping[str, Any], field: str) -> Mapping[str, Any]:
    value = told.get(field)
    if not isinstance(value, Mapping):
        raise ConfigError(f"{field}: an object is wanted")
    return value


def _setting(pairs: Mapping[str, str], path: str, default: str) -> float:
    return _number(pairs.get(path, default), f"settings.{path}")


def _number(value: Any, field: str, least: float = 0.0) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError):
        raise ConfigError(f"{field}: {value!r} is not a number") from None
    if not least <= number < float("inf"):
        raise ConfigError(f"{field}: {value!r} is out of range")
    return number
