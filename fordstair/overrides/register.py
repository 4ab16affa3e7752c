"""Adjustments: which are in force, who made them, and which may be made.

Each accepted adjustment gets the next revision. Two operators who adjust the same thing at once must not
undo each other unawares: a proposal names the revision that its author has seen, and one that a later
adjustment of the same target has overtaken is refused as a conflict. What disturbs service is refused
until it is confirmed. All of it is in force until the program starts again.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

import immutables

ACTIVE_LIMIT = 1_024
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
    """Bound the threads that a class may have out; None lifts the bound."""

    class_name: str
    threads: int | None


@dataclass(frozen=True, slots=True)
class Drain:
    """Answer what is open, take nothing more, and end."""


Override: TypeAlias = Cordon | Uncordon | SetConcurrencyLimit | Drain


@dataclass(frozen=True, slots=True)
class AppliedOverride:
    """One accepted change."""

    target: str
    effect: str
    author: str
    applied_ms: float
    revision: int


@dataclass(frozen=True, slots=True)
class ProposalResult:
    """What became of a proposal, and why; with the adjustment where it was accepted."""

    verdict: Verdict
    reason: str = ""
    override: AppliedOverride | None = None


@dataclass(frozen=True, slots=True)
class ProgramState:
    """What the ledger must know of the program to judge a proposal."""

    ready_engines: frozenset[str]  # engines that take new work
    known_engines: frozenset[str]  # engines that are known
    class_threads: dict[str, int]  # threads that one request of the class takes, by name
    open_requests: int = 0  # requests that wait for an answer
    draining: bool = False


class OverrideRegister:
    """The adjustments in force."""

    def __init__(self) -> None:
        self.revision = 0
        self.active: immutables.Map[str, AppliedOverride] = immutables.Map()
        self._touched: dict[str, int] = {}  # by target: the revision that changed it last

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
        """Judge a change, and take it in where it is accepted; the caller then carries it out.

        ``seen`` is the revision of the picture that the author acted on; None asks for no such check.
        """
        target = _target(change)
        if program.draining:
            return ProposalResult(
                Verdict.ALREADY if isinstance(change, Drain) else Verdict.REFUSED, "the program is draining"
            )
        if (
            isinstance(change, Cordon | Uncordon)
            and change.engine not in program.known_engines
            and not (isinstance(change, Uncordon) and target in self.active)
        ):
            return ProposalResult(Verdict.UNKNOWN, f"no engine {change.engine!r}")
        if isinstance(change, SetConcurrencyLimit) and change.class_name not in program.class_threads:
            return ProposalResult(Verdict.UNKNOWN, f"no class {change.class_name!r}")
        if (
            isinstance(change, SetConcurrencyLimit)
            and change.threads is not None
            and not 0 <= change.threads <= 1_000_000
        ):
            return ProposalResult(Verdict.REFUSED, "a limit is 0 to 1000000 threads")
        if self._is_so(change):
            return ProposalResult(Verdict.ALREADY, "it is so already", self.active.get(target))
        if seen is not None and self._touched.get(target, 0) > seen:
            last = self.active.get(target)
            by = f"{last.author} has it at {last.effect}" if last is not None else "it was lifted meanwhile"
            return ProposalResult(Verdict.CONFLICT, f"another operator was first: {by}", last)
        if target not in self.active and len(self.active) >= ACTIVE_LIMIT:
            return ProposalResult(
                Verdict.REFUSED, f"{ACTIVE_LIMIT} adjustments are in force; lift some first"
            )
        if not confirmed and (disturbs := service_impact(change, program)):
            return ProposalResult(Verdict.CONFIRM, disturbs)
        return ProposalResult(Verdict.DONE, "", self._take(change, target, author, now_ms))

    def _take(self, change: Override, target: str, author: str, now_ms: float) -> AppliedOverride:
        self.revision += 1
        self._touched[target] = self.revision
        made = AppliedOverride(target, describe(change), author, now_ms, self.revision)
        lifted = isinstance(change, Uncordon) or (
            isinstance(change, SetConcurrencyLimit) and change.threads is None
        )
        self.active = (
            self.active.delete(target)
            if lifted and target in self.active
            else (self.active if lifted else self.active.set(target, made))
        )
        if len(self._touched) > 2 * ACTIVE_LIMIT:  # what is long past conflicts with nobody
            kept = sorted(self._touched.items(), key=lambda item: item[1])[-ACTIVE_LIMIT:]
            self._touched = dict(kept)
        return made

    def _is_so(self, change: Override) -> bool:
        held = self.active.get(_target(change))
        if isinstance(change, Uncordon) or (
            isinstance(change, SetConcurrencyLimit) and change.threads is None
        ):
            return held is None
        return held is not None and held.effect == describe(change)


def describe(change: Override) -> str:
    """Return what a change does, as it is shown while it is in force."""
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
    """Return how a change disturbs service; empty where it does not to speak of."""
    match change:
        case Drain():
            return (
                f"the program ends; {program.open_requests} requests are open"
                if program.open_requests
                else "the program ends"
            )
        case Cordon(engine) if program.ready_engines <= {engine}:
            return "no other engine is ready: all new requests will be refused"
        case Cordon(engine) if engine in program.ready_engines and len(program.ready_engines) <= 2:
            return "one engine alone is left ready"
        case SetConcurrencyLimit(
            class_name, threads
        ) if threads is not None and threads < program.class_threads[class_name]:
            needed = program.class_threads[class_name]
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
