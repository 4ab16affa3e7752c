"""The console's commands other than ``follow``: each is one JSON object, answered by another."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
import ujson

from fordstair.core.coordinator import Coordinator
from fordstair.overrides.register import (
    Cordon,
    Drain,
    Override,
    OverrideRegister,
    ProgramState,
    ProposalResult,
    SetConcurrencyLimit,
    Uncordon,
    Verdict,
)
from fordstair.runtime.clock import WallClock
from fordstair.runtime.event_log import EventLog
from fordstair.snapshots.collector import SnapshotCollector
from fordstair.snapshots.views import TABLES

log = EventLog(__name__)

FOLLOW = "follow"
_COUNTERS = "counters"
_STATUS = "status"
_MAX_TEXT_CHARS = 200
# Bounds a command's name in an error message.
_MAX_QUOTED_CHARS = 40

Answer = dict[str, Any]


class InvalidCommandError(Exception):
    """A line is not a valid command; the console shows the message."""


@dataclass(slots=True, frozen=True)
class Command:
    """One command, with its fields as received."""

    name: str
    fields: Mapping[str, Any]

    @property
    def seen_revision(self) -> int | None:
        """The revision of the overrides that the command's author has seen; None if not given."""
        seen = self.fields.get("seen")
        return seen if isinstance(seen, int) and not isinstance(seen, bool) else None

    @property
    def confirmed(self) -> bool:
        """Return whether the command's author has confirmed that it disturbs service."""
        return self.fields.get("confirmed") is True

    def text(self, field: str) -> str:
        """Return a text field; raise InvalidCommandError if it is missing, empty, too long or not text."""
        value = self.fields.get(field)
        if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_CHARS:
            raise InvalidCommandError(f"{field}: a text is wanted")
        return value


def read_command(line: bytes) -> Command:
    """Parse one line; raise InvalidCommandError unless it is an object with a command."""
    try:
        fields = ujson.loads(line)
    except ValueError:
        raise InvalidCommandError("a line is an object with a command") from None
    if not isinstance(fields, dict) or not isinstance(fields.get("command"), str):
        raise InvalidCommandError("a line is an object with a command")
    return Command(fields["command"], fields)


class ConsoleCommands:
    """Answers commands, and applies the overrides that the register accepts."""

    def __init__(
        self,
        coordinator: Coordinator,
        overrides: OverrideRegister,
        collector: SnapshotCollector,
        wall_clock: WallClock,
        drain: Callable[[], None],
    ) -> None:
        self.coordinator = coordinator
        self.overrides = overrides
        self.collector = collector
        self.wall_clock = wall_clock
        self._drain = drain
        self.on_override: Callable[[], None] = lambda: None

    def answer(self, command: Command, who: str) -> Answer:
        """Answer one command from user ``who``; raise InvalidCommandError."""
        if command.name == _COUNTERS:
            return {"counters": self.coordinator.counters.snapshot()}
        if command.name == _STATUS or command.name in TABLES:
            return self._table_answer(command.name)
        return self._propose(_read_override(command), command, who)

    def _table_answer(self, table: str) -> Answer:
        snapshot = self.collector.collect(self.coordinator.deadlines.clock())
        if table == _STATUS:
            return {"at_ms": snapshot.at_ms, "status": msgspec.to_builtins(snapshot.site)}
        rows = [msgspec.to_builtins(row) for row in snapshot.rows(table)]
        return {"at_ms": snapshot.at_ms, table: rows}

    def _propose(self, override: Override, command: Command, who: str) -> Answer:
        result = self.overrides.propose(
            override,
            who,
            self.wall_clock.unix(self.coordinator.deadlines.clock()).value,
            self._program_state(),
            seen_revision=command.seen_revision,
            confirmed=command.confirmed,
        )
        log.info(
            "override.decided",
            what=type(override).__name__,
            verdict=result.verdict.value,
            who=who,
            **{name: getattr(override, name) for name in override.__slots__},
            why=result.reason,
        )
        if result.verdict is Verdict.DONE:
            self.coordinator.counters.add("adjustments")
            self._apply(override)
            self.on_override()
        return _result_answer(result, self.overrides.revision)

    def _apply(self, override: Override) -> None:
        match override:
            case Cordon(engine):
                self.coordinator.set_cordoned(engine, True)
            case Uncordon(engine):
                self.coordinator.set_cordoned(engine, False)
            case SetConcurrencyLimit(class_name, threads):
                self.coordinator.set_concurrency_limit(self.coordinator.classes[class_name], threads)
            case Drain():
                self._drain()

    def _program_state(self) -> ProgramState:
        """Return the state by which the register decides on a proposal."""
        coordinator = self.coordinator
        return ProgramState(
            frozenset(name for name, engine in coordinator.engines.items() if engine.ready),
            frozenset(coordinator.engines),
            {spec.name: spec.threads for spec in coordinator.settings.classes},
            coordinator.open_count,
            coordinator.draining,
        )


def _read_override(command: Command) -> Override:
    """Parse an override; raise InvalidCommandError, which names the invalid field or command."""
    match command.name:
        case "set-aside":
            return Cordon(command.text("engine"))
        case "bring-back":
            return Uncordon(command.text("engine"))
        case "limit":
            threads = command.fields.get("threads")
            if threads is not None and (isinstance(threads, bool) or not isinstance(threads, int)):
                raise InvalidCommandError("threads: a whole number, or null to lift the limit")
            return SetConcurrencyLimit(command.text("class"), threads)
        case "drain":
            return Drain()
    raise InvalidCommandError(f"unknown command {command.name[:_MAX_QUOTED_CHARS]!r}")


def _result_answer(result: ProposalResult, revision: int) -> Answer:
    answer: Answer = {"verdict": result.verdict.value, "why": result.reason, "revision": revision}
    applied = result.override
    if applied is not None:
        answer |= {
            "target": applied.target,
            "what": applied.effect,
            "who": applied.author,
            "at_ms": applied.applied_ms,
        }
    return answer
