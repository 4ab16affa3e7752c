"""Schema of an operator's file: its tables and fields, each with its type, bounds and default.

The file is TOML. Times are milliseconds unless a key ends in ``_seconds``; memory is in MB; a ``thread`` is
one core's worth of running work. Nothing here does I/O: ``operator_file.py`` reads a file.

Attributes have the code's terms; ``rename`` gives the key of the file where it differs. ``fordstair schema``
prints the names and docstrings of the tables, so a change to them changes its output.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from fordstair.configuration.operator_fleet_schema import FleetTable
from fordstair.configuration.operator_types import (
    Address,
    Fraction,
    Identifier,
    Name,
    NotNegative,
    Positive,
    Protocol,
    Table,
    TableName,
    Text,
    Threads,
)


class SiteTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "over_quota_weight": "over_share_worth",
        "zones": "halls",
    },
):
    """The site as a whole."""

    name: Name
    # MessagePack-RPC; port 0 binds any free port.
    listen: Address = "127.0.0.1:6565"
    # Quota of all teams together; 0 sets none.
    requests_per_s: NotNegative = 0.0
    over_quota_weight: Fraction = 0.1
    zones: Annotated[list[Name], Meta(min_length=1, max_length=64)] = msgspec.field(
        default_factory=lambda: ["hall-a"]
    )
    # 0 draws a new seed at each start.
    seed: Annotated[int, Meta(ge=0, le=2**63 - 1)] = 0


class LimitsTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "max_sockets": "sockets",
        "idle_timeout_ms": "idle_ms",
        "max_attempts": "attempts",
        "sends_retry_after": "retry_advice",
        "max_retry_after_ms": "retry_most_ms",
    },
):
    """What the machine gives."""

    memory_mb: Annotated[float, Meta(ge=32.0, le=1e6)] = 192.0
    max_sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    connect_timeout_ms: Annotated[float, Meta(ge=1.0, le=60_000.0)] = 250.0
    idle_timeout_ms: Annotated[float, Meta(ge=100.0, le=3_600_000.0)] = 30_000.0
    # Attempts for one request, the first included.
    max_attempts: Annotated[int, Meta(ge=1, le=16)] = 4
    may_cancel: bool = True
    # Rejections carry a time after which to retry.
    sends_retry_after: bool = True
    max_retry_after_ms: NotNegative = 1_000.0


class ColdTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "initial_capacity": "start_part",
        "duration_ms": "warm_ms",
        "overload_factor": "fall_multiple",
        "window_ms": "fall_ms",
    },
):
    """How an engine that has just started is spared."""

    # Fraction of its full capacity that a cold engine starts with.
    initial_capacity: Fraction = 0.32
    duration_ms: NotNegative = 15_000.0
    # Multiple of its present capacity; a higher load overloads a cold engine.
    overload_factor: Annotated[float, Meta(ge=1.0, le=100.0)] = 2.5
    window_ms: Positive = 1_000.0


class ReportsTable(Table, frozen=True, kw_only=True, rename={"progress_interval_ms": "notes_ms"}):
    """What engines tell of themselves with each answer."""

    fields: Annotated[list[Literal["util", "inflight"]], Meta(max_length=2)] = msgspec.field(
        default_factory=lambda: ["util", "inflight"]
    )
    # Interval between notes on a running query; 0 if engines send none.
    progress_interval_ms: NotNegative = 500.0
    priorities: bool = True


class ClassTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "latency_objective_ms": "promise_ms",
        "latency_objective_work_factor": "aim_stretch",
        "client_timeout_ms": "give_up_ms",
        "priority_weight": "worth",
        "late_weight": "late_worth",
        "is_load": "load",
    },
):
    """One class of requests."""

    name: Name
    # An unsafe request is never repeated if it may have run.
    effect: Literal["safe", "unsafe"] = "safe"
    # The objective is latency_objective_ms + latency_objective_work_factor * work / threads.
    latency_objective_ms: Positive = 1_000.0
    latency_objective_work_factor: NotNegative = 0.0
    client_timeout_ms: Positive = 10_000.0
    priority_weight: NotNegative = 1.0
    # Fraction of its weight that an answer after the objective still has.
    late_weight: Fraction = 0.0
    threads: Threads = 1
    # A load locks its group of tables on its engine while it runs.
    is_load: bool = False
    waits_for_loads: bool = False


class BudgetsTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "threads_per_core": "threads_a_core",
        "max_waiting": "waiting_most",
    },
):
    """Queues in front of the decision module, fair between teams by their shares; off without this table."""

    # Threads that may be in flight, for each core of the engines.
    threads_per_core: Annotated[float, Meta(ge=0.25, le=16.0)] = 1.5
    max_waiting: Annotated[int, Meta(ge=1, le=100_000)] = 10_000
    # Credit that a team may accumulate, and debt that it may run up, as time at its share of the capacity.
    burst_ms: Annotated[float, Meta(ge=10.0, le=60_000.0)] = 8_000.0
    debt_ms: Annotated[float, Meta(ge=0.0, le=600_000.0)] = 4_000.0


class TeamTable(Table, frozen=True, kw_only=True):
    """One team, with its part of the site."""

    name: Name
    share: Annotated[float, Meta(gt=0.0, le=1.0)]


class EngineTable(Table, frozen=True, kw_only=True, rename={"zone": "hall"}):
    """One engine; without an address it is one that a register tells of."""

    id: Name
    address: Address | None = None
    # Default: the first zone of the site.
    zone: Name | None = None
    cores: Annotated[float, Meta(gt=0.0, le=4096.0)] = 4.0
    memory_mb: Positive = 8_192.0
    protocol: Protocol = "rest"


class ODataTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "max_results": "results_most",
        "result_lifetime_s": "result_seconds",
    },
):
    """The OData front."""

    listen: Address
    root: Annotated[str, Meta(pattern=r"\A/?[A-Za-z0-9._/-]{0,200}\Z")] = "/odata"
    page_rows: Annotated[int, Meta(ge=1, le=100_000)] = 200
    max_results: Annotated[int, Meta(ge=1, le=100_000)] = 64
    result_lifetime_s: Annotated[int, Meta(ge=1, le=100_000)] = 60
    # Team of clients that have neither an identity nor the header.
    team: Text = ""
    team_header: Text = ""


class SetTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "read_class": "read",
        "lookup_class": "lookup",
        "write_class": "write",
        "memory_mb": "need_mb",
    },
):
    """One entity set: a table, and the classes of what is asked of it."""

    name: Identifier
    table: TableName
    # The first column is the key.
    columns: Annotated[list[Identifier], Meta(min_length=1, max_length=256)]
    read_class: Name
    # Default: ``read_class``.
    lookup_class: Name | None = None
    # Without it the set is read-only.
    write_class: Name | None = None
    cpu_ms: NotNegative = 0.0
    memory_mb: NotNegative = 0.0


class IdentityTable(Table, frozen=True, kw_only=True):
    """SPIFFE identities, as files that are read anew when they change."""

    certificate: Text
    key: Text
    bundle: Text
    trust_domain: Annotated[str, Meta(pattern=r"\A[a-z0-9._-]{1,255}\Z")]
    # Team by the client's SPIFFE ID.
    teams: dict[str, Name] = {}
    engines: list[str] = []


class RoutingTable(Table, frozen=True, kw_only=True, rename={"eject_silent_zones": "avoid_silent_halls"}):
    """Where requests go when engines fail together."""

    # A zone is ejected when several of its engines are silent, and tried again some seconds later.
    eject_silent_zones: bool = False


class ConsoleTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "socket_path": "socket",
        "max_consoles": "watchers",
    },
):
    """The console's door."""

    socket_path: Annotated[str, Meta(min_length=1, max_length=100)]
    # Consoles that may stream snapshots at a time.
    max_consoles: Annotated[int, Meta(ge=1, le=64)] = 8


class LogTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "format": "form",
        "repeat_window_s": "repeat_seconds",
        "max_waiting_lines": "lines_most",
    },
):
    """The log on standard error."""

    format: Literal["human", "json"] = "human"
    level: Literal["debug", "info", "warning", "error"] = "info"
    # Equal lines within this time are counted instead of repeated.
    repeat_window_s: Annotated[float, Meta(ge=0.0, le=3600.0)] = 10.0
    # Lines that are buffered for a slow reader of standard error.
    max_waiting_lines: Annotated[int, Meta(ge=16, le=65_536)] = 1_024


class File(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "slow_start": "cold",
        "load_reports": "reports",
        "classes": "class",
        "teams": "team",
        "engines": "engine",
        "entity_sets": "set",
    },
):
    """The whole file; a site without a platform needs ``site``, ``class``, ``team`` and ``engine``."""

    site: SiteTable | None = None
    limits: LimitsTable = LimitsTable()
    slow_start: ColdTable = ColdTable()
    load_reports: ReportsTable = ReportsTable()
    classes: Annotated[list[ClassTable], Meta(max_length=64)] = []
    teams: Annotated[list[TeamTable], Meta(max_length=4096)] = []
    budgets: BudgetsTable | None = None
    engines: Annotated[list[EngineTable], Meta(max_length=4096)] = []
    odata: ODataTable | None = None
    entity_sets: Annotated[list[SetTable], Meta(max_length=1024)] = []
    identity: IdentityTable | None = None
    fleet: FleetTable | None = None
    routing: RoutingTable = RoutingTable()
    console: ConsoleTable | None = None
    log: LogTable = LogTable()


def member_name(file: File) -> str:
    """Return the coordinator's name in its fleet: ``fleet.member``, else the site's; empty without either."""
    member = file.fleet.member if file.fleet is not None else None
    return member or (file.site.name if file.site is not None else "")


def json_schema() -> dict[str, object]:
    """Return the JSON Schema of the file, for editors that check TOML against one."""
    schema = msgspec.json.schema(File)
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "fordstair operator's file",
        **schema,
    }
