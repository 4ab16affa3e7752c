"""What an operator's file may hold: every table and field, typed, with its bounds and its default.

The file is TOML. Times are milliseconds unless a field's name ends in ``_seconds``; memory is in MB; a
``thread`` is one core's worth of running work. Nothing here does I/O: see ``site.py`` for reading a file.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeAlias

import msgspec
from msgspec import Meta, Struct

Name: TypeAlias = Annotated[
    str,
    Meta(
        pattern=r"\A[A-Za-z][A-Za-z0-9._-]{0,63}\Z",
        description="a letter, then letters, digits, '.', '_' or '-'",
    ),
]
Address: TypeAlias = Annotated[
    str,
    Meta(
        pattern=r"\A[^\s:/]+:[0-9]{1,5}\Z|\A\[[0-9A-Fa-f:.]+\]:[0-9]{1,5}\Z",
        max_length=300,
        description="host:port, or [IPv6]:port",
    ),
]
Identifier: TypeAlias = Annotated[str, Meta(pattern=r"\A[A-Za-z_][A-Za-z0-9_]{0,127}\Z")]
TableName: TypeAlias = Annotated[
    str,
    Meta(
        pattern=r"\A[A-Za-z_][A-Za-z0-9_]*\.[A-Za-z_][A-Za-z0-9_]*\Z",
        max_length=257,
        description="schema.table",
    ),
]
Part: TypeAlias = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive: TypeAlias = Annotated[float, Meta(gt=0.0, le=1e9)]
NotNegative: TypeAlias = Annotated[float, Meta(ge=0.0, le=1e12)]
Threads: TypeAlias = Annotated[int, Meta(ge=1, le=1024)]
Text: TypeAlias = Annotated[str, Meta(max_length=4096)]
Protocol: TypeAlias = Literal["rest", "odata"]


class Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; a key that it does not know is a fault."""


class SiteTable(Table, frozen=True, kw_only=True):
    """The site as a whole."""

    name: Name
    listen: Address = "127.0.0.1:6565"  # MessagePack-RPC; port 0 takes a free one
    requests_per_s: NotNegative = 0.0  # what all teams together may ask for; 0: no quota is stated
    over_share_worth: Part = 0.1
    halls: Annotated[list[Name], Meta(min_length=1, max_length=64)] = msgspec.field(
        default_factory=lambda: ["hall-a"]
    )
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 0  # 0: drawn anew at each start


class LimitsTable(Table, frozen=True, kw_only=True):
    """What the machine gives."""

    memory_mb: Annotated[float, Meta(ge=32.0, le=1e6)] = 192.0
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    connect_timeout_ms: Annotated[float, Meta(ge=1.0, le=60_000.0)] = 250.0
    idle_ms: Annotated[float, Meta(ge=100.0, le=3_600_000.0)] = 30_000.0
    attempts: Annotated[int, Meta(ge=1, le=16)] = 4  # for one request, the first included
    may_cancel: bool = True
    retry_advice: bool = True  # refusals say when to come back
    retry_most_ms: NotNegative = 1_000.0


class ColdTable(Table, frozen=True, kw_only=True):
    """How an engine that has just started is spared."""

    start_part: Part = 0.32  # the part of its capacity that it starts with
    warm_ms: NotNegative = 15_000.0
    fall_multiple: Annotated[float, Meta(ge=1.0, le=100.0)] = 2.5  # of what it can do: more pushes it over
    fall_ms: Positive = 1_000.0


class ReportsTable(Table, frozen=True, kw_only=True):
    """What engines tell of themselves with each answer."""

    fields: Annotated[list[Literal["util", "inflight"]], Meta(max_length=2)] = msgspec.field(
        default_factory=lambda: ["util", "inflight"]
    )
    notes_ms: NotNegative = 500.0  # between notes on running work; 0: none come
    priorities: bool = True


class ClassTable(Table, frozen=True, kw_only=True):
    """One class of requests."""

    name: Name
    effect: Literal["safe", "unsafe"] = "safe"  # unsafe work is never repeated where it may have run
    promise_ms: Positive = 1_000.0  # wanted within this time ...
    aim_stretch: NotNegative = 0.0  # ... and this many times its work over its threads
    give_up_ms: Positive = 10_000.0
    worth: NotNegative = 1.0
    late_worth: Part = 0.0  # what an answer after the wanted time still earns
    threads: Threads = 1
    load: bool = False  # holds its group of tables on its engine while it runs
    waits_for_loads: bool = False


class BudgetsTable(Table, frozen=True, kw_only=True):
    """Queues in front of the decision module, fair between teams by their shares; off without this table."""

    threads_a_core: Annotated[float, Meta(ge=0.25, le=16.0)] = 1.5  # that may be out at engines
    waiting_most: Annotated[int, Meta(ge=1, le=100_000)] = 10_000
    burst_ms: Annotated[float, Meta(ge=10.0, le=60_000.0)] = 8_000.0  # of its budget that a team may save up
    debt_ms: Annotated[float, Meta(ge=0.0, le=600_000.0)] = 4_000.0  # of its budget that a team may owe


class TeamTable(Table, frozen=True, kw_only=True):
    """One team, with its part of the site."""

    name: Name
    share: Annotated[float, Meta(gt=0.0, le=1.0)]


class EngineTable(Table, frozen=True, kw_only=True):
    """One engine; without an address it is one that a register tells of."""

    id: Name
    address: Address | None = None
    hall: Name | None = None  # default: the site's first
    cores: Annotated[float, Meta(gt=0.0, le=4096.0)] = 4.0
    memory_mb: Positive = 8_192.0
    protocol: Protocol = "rest"


class ODataTable(Table, frozen=True, kw_only=True):
    """The OData front."""

    listen: Address
    root: Annotated[str, Meta(pattern=r"\A/?[A-Za-z0-9._/-]{0,200}\Z")] = "/odata"
    page_rows: Annotated[int, Meta(ge=1, le=100_000)] = 200
    results_most: Annotated[int, Meta(ge=1, le=100_000)] = 64
    result_seconds: Annotated[int, Meta(ge=1, le=100_000)] = 60
    team: Text = ""  # of clients that have neither identity nor header
    team_header: Text = ""


class SetTable(Table, frozen=True, kw_only=True):
    """One entity set: a table, and the classes of what is asked of it."""

    name: Identifier
    table: TableName
    columns: Annotated[list[Identifier], Meta(min_length=1, max_length=256)]  # the first one is the key
    read: Name
    lookup: Name | None = None  # default: as ``read``
    write: Name | None = None  # none: the set is only read
    cpu_ms: NotNegative = 0.0
    need_mb: NotNegative = 0.0


class IdentityTable(Table, frozen=True, kw_only=True):
    """SPIFFE identities, as files that are read anew when they change."""

    certificate: Text
    key: Text
    bundle: Text
    trust_domain: Annotated[str, Meta(pattern=r"\A[a-z0-9._-]{1,255}\Z")]
    teams: dict[str, Name] = {}  # by SPIFFE ID
    engines: list[str] = []


class LedgerTable(Table, frozen=True, kw_only=True):
    """The ledger of loads under a repeat id, shared by the fleet; without it each coordinator has its own."""

    listen: Address  # TCP
    store: Annotated[str, Meta(min_length=1, max_length=512)]  # a file on a disk that outlives the program
    holders: Annotated[dict[Name, Address], Meta(min_length=1, max_length=64)]  # by member
    replicas: Annotated[int, Meta(ge=1, le=7)] = 3  # holders of each key
    claim_ms: Annotated[float, Meta(ge=10.0, le=60_000.0)] = 1_000.0
    repeat_seconds: Annotated[float, Meta(ge=10.0, le=86_400.0)] = 600.0  # that a load is remembered
    exchange_ms: Annotated[float, Meta(ge=50.0, le=600_000.0)] = 5_000.0
    kilobytes_per_s: Annotated[float, Meta(ge=1.0, le=1e6)] = 1_000.0  # that an exchange may bring
    entries_most: Annotated[int, Meta(ge=100, le=1_000_000)] = 50_000


class WholeTable(Table, frozen=True, kw_only=True, rename={"klass": "class"}):
    """One budget of the whole fleet, in threads at engines or in requests a second."""

    team: Name | None = None  # default: all together
    klass: Name | None = None
    threads: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None
    requests_per_s: Annotated[float, Meta(ge=0.001, le=1e7)] | None = None


class FleetBudgetsTable(Table, frozen=True, kw_only=True, rename={"wholes": "whole"}):
    """Budgets of the whole fleet, divided among its coordinators; needs ``[budgets]``."""

    listen: Address  # UDP
    members: Annotated[dict[Name, Address], Meta(min_length=1, max_length=64)]  # who may lead and has a floor
    wholes: Annotated[list[WholeTable], Meta(min_length=1, max_length=32)]
    term_ms: Annotated[float, Meta(ge=300.0, le=600_000.0)] = 5_000.0  # of a share, from when it is asked for
    drift: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.01  # how far a clock's rate may be off
    floor_part: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.2  # of an even share, as a listed member's floor
    size: Annotated[int, Meta(ge=0, le=5_000)] = 0  # coordinators in the fleet; default: the listed ones
    audit: Annotated[str, Meta(max_length=512)] = ""  # a file that gets a line for each share


class FleetTable(Table, frozen=True, kw_only=True):
    """Membership among coordinators; off without this table."""

    cluster: Annotated[str, Meta(pattern=r"\A[A-Za-z][A-Za-z0-9._-]{0,63}\Z")]  # others' members are refused
    listen: Address  # UDP
    advertise: Address | None = None  # where the others reach this member; default: as ``listen``
    member: Name | None = None  # default: the site's name; no two members may share one
    seeds: Annotated[list[Address], Meta(max_length=64)] = []  # members to join through
    probe_ms: Annotated[float, Meta(ge=20.0, le=60_000.0)] = 1_000.0  # one member is probed in each
    timeout_ms: Annotated[float, Meta(ge=5.0, le=30_000.0)] = 300.0  # then others are asked to probe it
    indirect: Annotated[int, Meta(ge=0, le=16)] = 3  # how many others
    suspicion: Annotated[float, Meta(ge=1.0, le=100.0)] = 5.0  # periods at least, times log10 of the members
    suspicion_most: Annotated[float, Meta(ge=1.0, le=20.0)] = 6.0  # times that, where nobody confirms it
    sync_ms: Annotated[float, Meta(ge=100.0, le=600_000.0)] = 10_000.0  # between full exchanges
    forget_seconds: Annotated[float, Meta(ge=10.0, le=604_800.0)] = 3_600.0  # dead members are kept so long
    members_most: Annotated[int, Meta(ge=2, le=5_000)] = 2_000
    ledger: LedgerTable | None = None
    budgets: FleetBudgetsTable | None = None


class RoutingTable(Table, frozen=True, kw_only=True):
    """Where requests go when engines fail together."""

    avoid_silent_halls: bool = False  # found out by several of its engines, and tried again after seconds


class ConsoleTable(Table, frozen=True, kw_only=True):
    """The console's door."""

    socket: Annotated[str, Meta(min_length=1, max_length=100)]
    watchers: Annotated[int, Meta(ge=1, le=64)] = 8  # consoles that may follow at a time


class LogTable(Table, frozen=True, kw_only=True):
    """The log on standard error."""

    form: Literal["human", "json"] = "human"
    level: Literal["debug", "info", "warning", "error"] = "info"
    repeat_seconds: Annotated[float, Meta(ge=0.0, le=3600.0)] = 10.0  # equal lines are counted for so long
    lines_most: Annotated[int, Meta(ge=16, le=65_536)] = 1_024  # that may wait for a slow reader


class File(
    Table,
    frozen=True,
    kw_only=True,
    rename={"classes": "class", "teams": "team", "engines": "engine", "sets": "set"},
):
    """The whole file; a site without a platform needs ``site``, ``class``, ``team`` and ``engine``."""

    site: SiteTable | None = None
    limits: LimitsTable = LimitsTable()
    cold: ColdTable = ColdTable()
    reports: ReportsTable = ReportsTable()
    classes: Annotated[list[ClassTable], Meta(max_length=64)] = []
    teams: Annotated[list[TeamTable], Meta(max_length=4096)] = []
    budgets: BudgetsTable | None = None
    engines: Annotated[list[EngineTable], Meta(max_length=4096)] = []
    odata: ODataTable | None = None
    sets: Annotated[list[SetTable], Meta(max_length=1024)] = []
    identity: IdentityTable | None = None
    fleet: FleetTable | None = None
    routing: RoutingTable = RoutingTable()
    console: ConsoleTable | None = None
    log: LogTable = LogTable()


def member_of(file: File) -> str:
    """Return a coordinator's name in its fleet: what is set there, else the site's; empty for neither."""
    own = file.fleet.member if file.fleet is not None else None
    return own or (file.site.name if file.site is not None else "")


def json_schema() -> dict[str, object]:
    """Return the JSON Schema of the file, for editors that check TOML against one."""
    schema = msgspec.json.schema(File)
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "fordstair operator's file",
        **schema,
    }
