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

IN_FORCE_MOST = 1_024
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
class SetAside:
    """Send an engine nothing new."""

    engine: str


@dataclass(frozen=True, slots=True)
class BringBack:
    """Send an engine work again."""

    engine: str


@dataclass(frozen=True, slots=True)
class Limit:
    """Bound the threads that a class may have out; None lifts the bound."""

    class_name: str
    threads: int | None


@dataclass(frozen=True, slots=True)
class Drain:
    """Answer what is open, take nothing more, and end."""


Change: TypeAlias = SetAside | BringBack | Limit | Drain


@dataclass(frozen=True, slots=True)
class Adjustment:
    """One accepted change."""

    target: str
    what: str
    who: str
    at_ms: float
    revision: int


@dataclass(frozen=True, slots=True)
class Ruling:
    """What became of a proposal, and why; with the adjustment where it was accepted."""

    verdict: Verdict
    why: str = ""
    adjustment: Adjustment | None = None


@dataclass(frozen=True, slots=True)
class Standing:
    """What the ledger must know of the program to judge a proposal."""

    ready: frozenset[str]  # engines that take new work
    listed: frozenset[str]  # engines that are known
    classes: dict[str, int]  # threads that one request of the class takes, by name
    open: int = 0  # requests that wait for an answer
    draining: bool = False


class Ledger:
    """The adjustments in force."""

    def __init__(self) -> None:
        self.revision = 0
        self.in_force: immutables.Map[str, Adjustment] = immutables.Map()
        self._touched: dict[str, int] = {}  # by target: the revision that changed it last

    def propose(
        self,
        change: Change,
        who: str,
        now_ms: float,
        standing: Standing,
        *,
        seen: int | None = None,
        confirmed: bool = False,
    ) -> Ruling:
        """Judge a change, and take it in where it is accepted; the caller then carries it out.

        ``seen`` is the revision of the picture that the author acted on; None asks for no such check.
        """
        target = _target(change)
        if standing.draining:
            return Ruling(
                Verdict.ALREADY if isinstance(change, Drain) else Verdict.REFUSED, "the program is draining"
            )
        if (
            isinstance(change, SetAside | BringBack)
            and change.engine not in standing.listed
            and not (isinstance(change, BringBack) and target in self.in_force)
        ):
            return Ruling(Verdict.UNKNOWN, f"no engine {change.engine!r}")
        if isinstance(change, Limit) and change.class_name not in standing.classes:
            return Ruling(Verdict.UNKNOWN, f"no class {change.class_name!r}")
        if isinstance(change, Limit) and change.threads is not None and not 0 <= change.threads <= 1_000_000:
            return Ruling(Verdict.REFUSED, "a limit is 0 to 1000000 threads")
        if self._is_so(change):
            return Ruling(Verdict.ALREADY, "it is so already", self.in_force.get(target))
        if seen is not None and self._touched.get(target, 0) > seen:
            last = self.in_force.get(target)
            by = f"{last.who} has it at {last.what}" if last is not None else "it was lifted meanwhile"
            return Ruling(Verdict.CONFLICT, f"another operator was first: {by}", last)
        if target not in self.in_force and len(self.in_force) >= IN_FORCE_MOST:
            return Ruling(Verdict.REFUSED, f"{IN_FORCE_MOST} adjustments are in force; lift some first")
        if not confirmed and (disturbs := disturbance(change, standing)):
            return Ruling(Verdict.CONFIRM, disturbs)
        return Ruling(Verdict.DONE, "", self._take(change, target, who, now_ms))

    def _take(self, change: Change, target: str, who: str, now_ms: float) -> Adjustment:
        self.revision += 1
        self._touched[target] = self.revision
        made = Adjustment(target, describe(change), who, now_ms, self.revision)
        lifted = isinstance(change, BringBack) or (isinstance(change, Limit) and change.threads is None)
        self.in_force = (
            self.in_force.delete(target)
            if lifted and target in self.in_force
            else (self.in_force if lifted else self.in_force.set(target, made))
        )
        if len(self._touched) > 2 * IN_FORCE_MOST:  # what is long past conflicts with nobody
            kept = sorted(self._touched.items(), key=lambda item: item[1])[-IN_FORCE_MOST:]
            self._touched = dict(kept)
        return made

    def _is_so(self, change: Change) -> bool:
        held = self.in_force.get(_target(change))
        if isinstance(change, BringBack) or (isinstance(change, Limit) and change.threads is None):
            return held is None
        return held is not None and held.what == describe(change)


def describe(change: Change) -> str:
    """Return what a change does, as it is shown while it is in force."""
    match change:
        case SetAside():
            return "set aside"
        case BringBack():
            return "brought back"
        case Limit(_, threads):
            return "no limit" if threads is None else f"at most {threads} threads"
        case Drain():
            return "draining"


def disturbance(change: Change, standing: Standing) -> str:
    """Return how a change disturbs service; empty where it does not to speak of."""
    match change:
        case Drain():
            return (
                f"the program ends; {standing.open} requests are open"
                if standing.open
                else "the program ends"
            )
        case SetAside(engine) if standing.ready <= {engine}:
            return "no other engine is ready: all new requests will be refused"
        case SetAside(engine) if engine in standing.ready and len(standing.ready) <= 2:
            return "one engine alone is left ready"
        case Limit(class_name, threads) if threads is not None and threads < standing.classes[class_name]:
            return (
                f"one {class_name} takes {standing.classes[class_name]} threads: all of them will be refused"
            )
    return ""


def _target(change: Change) -> str:
    match change:
        case SetAside(engine) | BringBack(engine):
            return f"engine:{engine}"
        case Limit(class_name, _):
            return f"class:{class_name}"
        case Drain():
            return SITE
