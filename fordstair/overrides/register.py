"""The register of operator overrides: it decides on proposals and keeps the active overrides.

Each accepted override gets the next revision. Two operators must not undo each other's overrides unknowingly:
a proposal carries the revision that its author has seen, and is a conflict if its target has changed since.
A proposal that disturbs service must be confirmed. Overrides are active until the program restarts.
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
    """The decision on a proposal.

    Attributes:
        ALREADY: The target already is in that state; nothing was changed.
        CONFLICT: The target has changed since the revision that the author has seen; look again.
        CONFIRM: The override disturbs service and was not confirmed.
        UNKNOWN: There is no such engine or class.
        REFUSED: The override is out of bounds, or not possible at present.
    """

    DONE = "done"
    ALREADY = "already"
    CONFLICT = "conflict"
    CONFIRM = "confirm"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Cordon:
    """Send an engine no new attempts."""

    engine: str


@dataclass(frozen=True, slots=True)
class Uncordon:
    """Send an engine new attempts again."""

    engine: str


@dataclass(frozen=True, slots=True)
class SetConcurrencyLimit:
    """Limit the threads that a class may have in flight; None removes the limit."""

    class_name: str
    threads: int | None


@dataclass(frozen=True, slots=True)
class Drain:
    """Accept no more requests, answer the open ones and exit."""


Override: TypeAlias = Cordon | Uncordon | SetConcurrencyLimit | Drain


@dataclass(frozen=True, slots=True)
class AppliedOverride:
    """One accepted override.

    Attributes:
        target: ``engine:`` with an engine id, ``class:`` with a class name, or ``site``.
        effect: Description of the effect that is shown while the override is active.
        applied_ms: Unix time.
    """

    target: str
    effect: str
    author: str
    applied_ms: float
    revision: int


@dataclass(frozen=True, slots=True)
class ProposalResult:
    """The decision on a proposal.

    Attributes:
        override: The accepted override, or the active one that has the same effect or conflicts; else None.
    """

    verdict: Verdict
    reason: str = ""
    override: AppliedOverride | None = None


@dataclass(frozen=True, slots=True)
class ProgramState:
    """The state of the program that decisions on proposals depend on.

    Attributes:
        ready_engines: Engines that take new attempts.
        class_threads: Threads of one request, by the name of its class.
        open_requests: Number of requests without an answer.
    """

    ready_engines: frozenset[str]
    known_engines: frozenset[str]
    class_threads: dict[str, int]
    open_requests: int = 0
    draining: bool = False


class OverrideRegister:
    """Decides on proposed overrides and keeps the accepted ones.

    Attributes:
        revision: Revision of the last accepted override; 0 if there is none.
        active: Active overrides by target.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.active: immutables.Map[str, AppliedOverride] = immutables.Map()
        self._last_revision_by_target: dict[str, int] = {}

    def propose(
        self,
        change: Override,
        author: str,
        now_ms: float,
        program: ProgramState,
        *,
        seen_revision: int | None = None,
        confirmed: bool = False,
    ) -> ProposalResult:
        """Decide on an override and register it if it is accepted; the caller then applies it to the program.

        Args:
            change: The proposed override.
            author: User who proposes it.
            now_ms: Unix time.
            program: State of the program before the change.
            seen_revision: Revision of the snapshot that the author acted on; None skips the conflict check.
            confirmed: The author accepts that service is disturbed.
        """
        target = _target(change)
        if program.draining:
            verdict = Verdict.ALREADY if isinstance(change, Drain) else Verdict.REFUSED
            return ProposalResult(verdict, "the program is draining")
        if (rejection := self._validate(change, program)) is not None:
            return rejection
        if self._in_effect(change):
            return ProposalResult(Verdict.ALREADY, "it is so already", self.active.get(target))
        if seen_revision is not None and self._last_revision_by_target.get(target, 0) > seen_revision:
            return self._conflict(target)
        if target not in self.active and len(self.active) >= MAX_ACTIVE:
            return ProposalResult(Verdict.REFUSED, f"{MAX_ACTIVE} adjustments are in force; lift some first")
        if not confirmed and (impact := service_impact(change, program)):
            return ProposalResult(Verdict.CONFIRM, impact)
        return ProposalResult(Verdict.DONE, "", self._register(change, target, author, now_ms))

    def _validate(self, change: Override, program: ProgramState) -> ProposalResult | None:
        """Return the rejection of a change that names an unknown target or is out of bounds, else None."""
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
        """Return whether the target already is in the state that the change would make."""
        active = self.active.get(_target(change))
        if _removes_override(change):
            return active is None
        return active is not None and active.effect == describe(change)

    def _conflict(self, target: str) -> ProposalResult:
        last = self.active.get(target)
        by = f"{last.author} has it at {last.effect}" if last is not None else "it was lifted meanwhile"
        return ProposalResult(Verdict.CONFLICT, f"another operator was first: {by}", last)

    def _register(self, change: Override, target: str, author: str, now_ms: float) -> AppliedOverride:
        self.revision += 1
        self._last_revision_by_target[target] = self.revision
        applied = AppliedOverride(target, describe(change), author, now_ms, self.revision)
        if not _removes_override(change):
            self.active = self.active.set(target, applied)
        elif target in self.active:
            self.active = self.active.delete(target)
        # Drops the oldest revisions; no author still acts on a snapshot from before them.
        if len(self._last_revision_by_target) > MAX_REMEMBERED_TARGETS:
            latest = sorted(self._last_revision_by_target.items(), key=lambda item: item[1])[-MAX_ACTIVE:]
            self._last_revision_by_target = dict(latest)
        return applied


def _removes_override(change: Override) -> bool:
    """Return whether a change ends an active override instead of adding one."""
    return isinstance(change, Uncordon) or (
        isinstance(change, SetConcurrencyLimit) and change.threads is None
    )


def describe(change: Override) -> str:
    """Return a change's effect as it is shown while the override is active."""
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
    """Return how a change disturbs service; empty if it has no impact that needs to be confirmed."""
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
