"""The console's commands, other than ``follow``: one JSON object in, one out."""

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
_SHOWN_CHARS = 40  # of a command's name in an error message

Answer = dict[str, Any]


class InvalidCommandError(Exception):
    """A line that cannot be used; the text, which the console shows, says why."""


@dataclass(slots=True, frozen=True)
class Command:
    """One command, with its fields as they came."""

    name: str
    fields: Mapping[str, Any]

    @property
    def seen_revision(self) -> int | None:
        """The revision of the overrides that its author has seen; None: it does not say."""
        seen = self.fields.get("seen")
        return seen if isinstance(seen, int) and not isinstance(seen, bool) else None

    @property
    def confirmed(self) -> bool:
        """Whether its author has confirmed that it disturbs service."""
        return self.fields.get("confirmed") is True

    def text(self, field: str) -> str:
        """Return a field that is a text; raise InvalidCommandError."""
        value = self.fields.get(field)
        if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_CHARS:
            raise InvalidCommandError(f"{field}: a text is wanted")
        return value


def read_command(line: bytes) -> Command:
    """Read one line; raise InvalidCommandError for what is no object with a command."""
    try:
        fields = ujson.loads(line)
    except ValueError:
        raise InvalidCommandError("a line is an object with a command") from None
    if not isinstance(fields, dict) or not isinstance(fields.get("command"), str):
        raise InvalidCommandError("a line is an object with a command")
    return Command(fields["command"], fields)


class ConsoleCommands:
    """Answers commands, and carries out the overrides that the register accepts."""

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
        """Answer one command of a user; raise InvalidCommandError."""
        if command.name == _COUNTERS:
            return {"counters": self.coordinator.counters.snapshot()}
        if command.name == _STATUS or command.name in TABLES:
            return self._show(command.name)
        return self._propose(_read_override(command), command, who)

    def _show(self, table: str) -> Answer:
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
            seen=command.seen_revision,
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
            self._carry_out(override)
            self.on_override()
        return _result_answer(result, self.overrides.revision)

    def _carry_out(self, override: Override) -> None:
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
        """Return what the register must know to judge."""
        coordinator = self.coordinator
        return ProgramState(
            frozenset(name for name, engine in coordinator.engines.items() if engine.ready),
            frozenset(coordinator.engines),
            {spec.name: spec.threads for spec in coordinator.settings.classes},
            coordinator.open_count,
            coordinator.draining,
        )


def _read_override(command: Command) -> Override:
    """Read an override; raise InvalidCommandError, naming what cannot be used."""
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
    raise InvalidCommandError(f"unknown command {command.name[:_SHOWN_CHARS]!r}")


def _result_answer(result: ProposalResult, revision: int) -> Answer:
    answer: Answer = {"verdict": result.verdict.value, "why": result.reason, "revision": revision}
    made = result.override
    if made is not None:
        answer |= {"target": made.target, "what": made.effect, "who": made.author, "at_ms": made.applied_ms}
    return answer
