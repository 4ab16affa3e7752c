"""The register of operator overrides: which are active, who made them, and which may be made.

Each accepted override gets the next revision. Two operators who override the same thing at once must not undo
each other unawares: a proposal names the revision that its author has seen, and one that a later override of
the same target has overtaken is a conflict. What disturbs service must be confirmed. All overrides are active
until the program starts again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

import immutables

MAX_ACTIVE = 1_024
MAX_REMEMBERED_TARGETS = 2 * MAX_ACTIVE
MAX_LIMIT_THREADS = 1_000_000
SITE = "site"


class Verdict(Enum):
    """What became of a proposal."""

    DONE = "done"
    ALREADY = "already"  # it is so, and nothing was changed
    CONFLICT = "conflict"  # another operator was first; look again
    CONFIRM = "confirm"  # it disturbs service, and was not confirmed
    UNKNOWN = "unknown"  # no such engine or class
    REFUSED = "refused"  # not now, or not in these bounds


@dataclass(frozen=True, slots=True)
class Cordon:
    """Send an engine nothing new."""

    engine: str


@dataclass(frozen=True, slots=True)
class Uncordon:
    """Send an engine work again."""

    engine: str


@dataclass(frozen=True, slots=True)
class SetConcurrencyLimit:
    """Bound the threads that a class may have in flight; None lifts the bound."""

    class_name: str
    threads: int | None


@dataclass(frozen=True, slots=True)
class Drain:
    """Answer what is open, take nothing more, and end."""


Override: TypeAlias = Cordon | Uncordon | SetConcurrencyLimit | Drain


@dataclass(frozen=True, slots=True)
class AppliedOverride:
    """One accepted override."""

    target: str  # "engine:s-1", "class:lookup", "site"
    effect: str  # as it is shown while it is active
    author: str
    applied_ms: float  # Unix time
    revision: int


@dataclass(frozen=True, slots=True)
class ProposalResult:
    """What became of a proposal, and why; with the override where it was accepted, or is in its way."""

    verdict: Verdict
    reason: str = ""
    override: AppliedOverride | None = None


@dataclass(frozen=True, slots=True)
class ProgramState:
    """What the register must know of the program to judge a proposal."""

    ready_engines: frozenset[str]  # engines that take new work
    known_engines: frozenset[str]
    class_threads: dict[str, int]  # threads that one request of the class takes, by name
    open_requests: int = 0  # requests that wait for an answer
    draining: bool = False


class OverrideRegister:
    """The active overrides, by target."""

    def __init__(self) -> None:
        self.revision = 0
        self.active: immutables.Map[str, AppliedOverride] = immutables.Map()
        self._last_revision: dict[str, int] = {}  # by target: the revision that changed it last

    def propose(
        self,
        change: Override,
        author: str,
        now_ms: float,
        program: ProgramState,
        *,
        seen: int | None = None,
        confirmed: bool = False,
    ) -> ProposalResult:
        """Judge an override, and register it where it is accepted; the caller then carries it out.

        Args:
            change: what is proposed.
            author: who proposes it.
            now_ms: Unix time in milliseconds.
            program: the state of the program that it would change.
            seen: the revision of the snapshot that the author acted on; None asks for no such check.
            confirmed: whether the author accepts that service is disturbed.
        """
        target = _target(change)
        if program.draining:
            verdict = Verdict.ALREADY if isinstance(change, Drain) else Verdict.REFUSED
            return ProposalResult(verdict, "the program is draining")
        if (invalid := self._invalid(change, program)) is not None:
            return invalid
        if self._in_effect(change):
            return ProposalResult(Verdict.ALREADY, "it is so already", self.active.get(target))
        if seen is not None and self._last_revision.get(target, 0) > seen:
            return self._conflict(target)
        if target not in self.active and len(self.active) >= MAX_ACTIVE:
            return ProposalResult(Verdict.REFUSED, f"{MAX_ACTIVE} adjustments are in force; lift some first")
        if not confirmed and (impact := service_impact(change, program)):
            return ProposalResult(Verdict.CONFIRM, impact)
        return ProposalResult(Verdict.DONE, "", self._register(change, target, author, now_ms))

    def _invalid(self, change: Override, program: ProgramState) -> ProposalResult | None:
        """Return why a change cannot be made at all; None where it can."""
        match change:
            case Cordon(engine) if engine not in program.known_engines:
                return ProposalResult(Verdict.UNKNOWN, f"no engine {engine!r}")
            case Uncordon(engine) if not (engine in program.known_engines or _target(change) in self.active):
                return ProposalResult(Verdict.UNKNOWN, f"no engine {engine!r}")
            case SetConcurrencyLimit(class_name, _) if class_name not in program.class_threads:
                return ProposalResult(Verdict.UNKNOWN, f"no class {class_name!r}")
            case SetConcurrencyLimit(_, int(threads)) if not 0 <= threads <= MAX_LIMIT_THREADS:
                return ProposalResult(Verdict.REFUSED, f"a limit is 0 to {MAX_LIMIT_THREADS} threads")
        return None

    def _in_effect(self, change: Override) -> bool:
        """Whether the target already is as the change would make it."""
        active = self.active.get(_target(change))
        if _lifts(change):
            return active is None
        return active is not None and active.effect == describe(change)

    def _conflict(self, target: str) -> ProposalResult:
        last = self.active.get(target)
        by = f"{last.author} has it at {last.effect}" if last is not None else "it was lifted meanwhile"
        return ProposalResult(Verdict.CONFLICT, f"another operator was first: {by}", last)

    def _register(self, change: Override, target: str, author: str, now_ms: float) -> AppliedOverride:
        self.revision += 1
        self._last_revision[target] = self.revision
        applied = AppliedOverride(target, describe(change), author, now_ms, self.revision)
        if not _lifts(change):
            self.active = self.active.set(target, applied)
        elif target in self.active:
            self.active = self.active.delete(target)
        if len(self._last_revision) > MAX_REMEMBERED_TARGETS:  # what is long past conflicts with nobody
            latest = sorted(self._last_revision.items(), key=lambda item: item[1])[-MAX_ACTIVE:]
            self._last_revision = dict(latest)
        return applied


def _lifts(change: Override) -> bool:
    """Whether a change ends an override instead of making one."""
    return isinstance(change, Uncordon) or (
        isinstance(change, SetConcurrencyLimit) and change.threads is None
    )


def describe(change: Override) -> str:
    """Return what a change does, as it is shown while it is active."""
    match change:
        case Cordon():
            return "set aside"
        case Uncordon():
            return "brought back"
        case SetConcurrencyLimit(_, threads):
            return "no limit" if threads is None else f"at most {threads} threads"
        case Drain():
            return "draining"


def service_impact(change: Override, program: ProgramState) -> str:
    """Return how a change disturbs service; empty where it hardly does."""
    match change:
        case Drain() if program.open_requests:
            return f"the program ends; {program.open_requests} requests are open"
        case Drain():
            return "the program ends"
        case Cordon(engine) if program.ready_engines <= {engine}:
            return "no other engine is ready: all new requests will be refused"
        case Cordon(engine) if engine in program.ready_engines and len(program.ready_engines) <= 2:
            return "one engine alone is left ready"
        case SetConcurrencyLimit(class_name, int(threads)):
            needed = program.class_threads[class_name]
            if threads < needed:
                return f"one {class_name} takes {needed} threads: all of them will be refused"
    return ""


def _target(change: Override) -> str:
    match change:
        case Cordon(engine) | Uncordon(engine):
            return f"engine:{engine}"
        case SetConcurrencyLimit(class_name, _):
            return f"class:{class_name}"
        case Drain():
            return SITE
