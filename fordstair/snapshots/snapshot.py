"""What a console is told: typed views, one immutable picture of them all, and the step between two.

A picture never changes once it is made; tables are persistent maps, so that a new one shares with the
one before it whatever did not change. Times are Unix milliseconds. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Literal, TypeAlias

import immutables
import msgspec
from msgspec import Struct

State: TypeAlias = Literal["ready", "warming", "silent", "doubted", "failing", "draining", "aside", "avoided"]


class SiteView(Struct, frozen=True):
    """The program as a whole."""

    name: str = ""
    started_ms: float = 0.0
    draining: bool = False
    open: int = 0  # requests that wait for their answer
    out: int = 0  # of these, attempts at engines
    revision: int = 0  # of the adjustments in force
    watchers: int = 0


class EngineView(Struct, frozen=True, rename={"zone": "hall"}):
    """One engine as the decision module believes it to be."""

    id: str
    state: State
    address: str
    protocol: str
    zone: int
    cores: float
    out: int = 0  # own attempts
    threads: int = 0  # of these
    load: float = 0.0  # threads a core, those of others by report
    trust: float = 1.0  # 1 without faults and silence, towards 0 with them
    warmth: float = 1.0  # share of its capacity that it is surely up to
    strikes: float = 0.0
    heard_ms: float = 0.0  # last sign of work done; 0: never
    report_ms: float = 0.0  # last load report; 0: never
    changed_ms: float = 0.0  # since when it is in this state
    priorities: bool = True  # whether its protocol knows the priority of running work


class ClassView(Struct, frozen=True):
    """One class of requests."""

    name: str
    place: int = 0  # in the order of the settings
    open: int = 0
    out: int = 0
    threads: int = 0  # held by what is out
    limit: int | None = None  # threads, as an operator has set
    taken: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    oldest_ms: float = 0.0  # when the oldest open request was taken; 0: none is open


class TeamView(Struct, frozen=True):
    """One team."""

    name: str
    place: int = 0  # in the order of the settings
    open: int = 0
    out: int = 0
    threads: int = 0
    oldest_ms: float = 0.0
    queued: int = 0  # that wait for their turn, where there are budgets
    wait_ms: float | None = None  # that a request of the first class may expect now


class RequestView(Struct, frozen=True, rename={"class_name": "lane"}):
    """One open request."""

    id: int
    txn: str
    class_name: str
    team: str
    taken_ms: float
    deadline_ms: float
    attempts: int
    engine: str  # where it runs; empty while it waits


class RefusalView(Struct, frozen=True, rename={"class_name": "lane"}):
    """How often a class was refused for one reason, and when last."""

    class_name: str
    reason: str
    count: int


class AdjustmentView(Struct, frozen=True):
    """What an operator has changed, in force until the program starts again."""

    target: str  # "engine:s-1", "class:lookup", "site"
    what: str
    who: str
    at_ms: float
    revision: int


class MemberView(Struct, frozen=True):
    """One coordinator of the fleet as this one believes it to be; itself among them."""

    name: str
    address: str
    state: str  # alive, suspect, dead, left; of itself also "mute": it hears others and is not heard
    incarnation: int
    since_ms: float = 0.0  # since when it is in this state
    by: str = ""  # who said so
    accusers: int = 0  # of a suspect
    until_ms: float = 0.0  # when a suspect counts as dead; 0: no suspect
    cut_off: bool = False  # reached through others alone
    own: bool = False
    health: int = 0  # of itself: 0 is healthy, timeouts stretch by one more than this
    behind: int | None = None  # ranges of the ledger in which it differed when last compared; None: never was
    entries: int = 0  # of itself: loads that its ledger remembers ...
    store_bytes: int = 0  # ... and what they take on disk
    doubted: str = ""  # of itself: why its ledger grants nothing just now


class ShareView(Struct, frozen=True):
    """One member's share of one budget of the fleet: this one's own, and all members' where this one leads.

    Amounts are threads or requests a second. Of others ``out`` and ``floor`` are not told.
    """

    member: str
    budget: str  # "threads:karri-energy:*": its kind, team and class
    whole: float
    share: float  # in force, floor included
    floor: float = 0.0
    out: float = 0.0
    wants: float = 0.0
    until_ms: float = 0.0  # when what goes beyond the floor runs out; 0: nothing does
    leader: str = ""  # who grants, as far as is known
    own: bool = False
    leads: bool = False  # of itself: it surely grants now


class NoteView(Struct, frozen=True):
    """A line of the log."""

    number: int
    at_ms: float
    level: str
    text: str


TABLES: dict[str, type[Struct]] = {
    "engines": EngineView,
    "classes": ClassView,
    "teams": TeamView,
    "requests": RequestView,
    "refusals": RefusalView,
    "adjustments": AdjustmentView,
    "members": MemberView,
    "shares": ShareView,
}


# The order in which a table is shown: a persistent map has none of its own.
_ORDER: dict[str, Callable[[Any], Any]] = {
    "engines": lambda row: row.id,
    "classes": lambda row: row.place,
    "teams": lambda row: row.place,
    "requests": lambda row: row.id,
    "refusals": lambda row: (-row.count, row.class_name, row.reason),
    "adjustments": lambda row: row.revision,
    "members": lambda row: (not row.own, row.name),
    "shares": lambda row: (row.budget, not row.own, row.member),
}


class Picture(Struct, frozen=True):
    """Everything at one moment. Numbers count up; number 0 is the empty picture before the first."""

    number: int = 0
    at_ms: float = 0.0
    site: SiteView = SiteView()
    tables: immutables.Map[str, immutables.Map[str, Any]] = immutables.Map(
        {name: immutables.Map() for name in TABLES}
    )
    notes: tuple[NoteView, ...] = ()

    def table(self, name: str) -> immutables.Map[str, Any]:
        """Return one table, by key."""
        return self.tables[name]

    def rows(self, name: str) -> list[Any]:
        """Return one table's rows, in order."""
        return sorted(self.tables[name].values(), key=_ORDER[name])


class Frame(Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """The step from picture ``base`` to picture ``number``; from base 0 it is the full picture."""

    number: int
    base: int
    at_ms: float
    site: SiteView | None = None
    engines: dict[str, EngineView] = {}
    classes: dict[str, ClassView] = {}
    teams: dict[str, TeamView] = {}
    requests: dict[str, RequestView] = {}
    refusals: dict[str, RefusalView] = {}
    adjustments: dict[str, AdjustmentView] = {}
    members: dict[str, MemberView] = {}
    shares: dict[str, ShareView] = {}
    gone: dict[str, list[str]] = {}  # keys that a table holds no more
    notes: list[NoteView] = []


class Gap(Exception):
    """A frame that does not continue the picture at hand."""


def renewed(table: immutables.Map[str, Any], rows: dict[str, Any]) -> immutables.Map[str, Any]:
    """Return the table with exactly these rows, sharing all that is equal."""
    gone = [key for key in table if key not in rows]
    news = {key: row for key, row in rows.items() if table.get(key) != row}
    if not gone and not news:
        return table
    change = table.mutate()
    for key in gone:
        del change[key]
    change.update(news)
    return change.finish()


def step(old: Picture, new: Picture) -> Frame:
    """Return the frame that leads from one picture to a later one."""
    changed, gone = dict[str, dict[str, Any]](), dict[str, list[str]]()
    for name in TABLES:
        before, after = old.tables[name], new.tables[name]
        if before is after:
            continue
        if rows := {key: row for key, row in after.items() if before.get(key) != row}:
            changed[name] = rows
        if keys := [key for key in before if key not in after]:
            gone[name] = keys
    last = old.notes[-1].number if old.notes else 0
    return Frame(
        new.number,
        old.number,
        new.at_ms,
        new.site if new.site != old.site else None,
        gone=gone,
        notes=[note for note in new.notes if note.number > last],
        **changed,
    )


def follow(picture: Picture, frame: Frame, notes_most: int = 200) -> Picture:
    """Return the picture after a frame; raise Gap where the frame continues another one."""
    if frame.base == 0:
        picture = Picture()
    elif frame.base != picture.number or frame.number <= picture.number:
        raise Gap(f"a step from {frame.base} to {frame.number} where {picture.number} is at hand")
    tables = picture.tables
    for name in TABLES:
        rows, gone = getattr(frame, name), frame.gone.get(name, [])
        if rows or gone:
            change = tables[name].mutate()
            for key in gone:
                change.pop(key, None)
            change.update(rows)
            tables = tables.set(name, change.finish())
    site = picture.site if frame.site is None else frame.site
    return Picture(frame.number, frame.at_ms, site, tables, (*picture.notes, *frame.notes)[-notes_most:])


encode = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[Frame] = msgspec.json.Decoder(Frame)


def decode(line: bytes | bytearray | memoryview) -> Frame:
    """Read a frame; raise Gap for what is none."""
    try:
        return _decoder.decode(line)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise Gap(f"not a frame: {error}") from None
