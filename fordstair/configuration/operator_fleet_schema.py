"""The tables of an operator's file on its fleet: membership, the ledger of loads, budgets of the whole fleet.

As in ``operator_schema.py``, attributes have the code's terms and ``rename`` gives the file's keys.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from fordstair.configuration.operator_types import Address, Name, Table


class LedgerTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "store_path": "store",
        "replica_addresses": "holders",
        "replication_factor": "replicas",
        "claim_timeout_ms": "claim_ms",
        "retention_s": "repeat_seconds",
        "exchange_interval_ms": "exchange_ms",
        "max_kilobytes_per_s": "kilobytes_per_s",
        "max_entries": "entries_most",
    },
):
    """The ledger of loads under a repeat id, shared by the fleet; without it each coordinator has its own."""

    listen: Address  # TCP
    store_path: Annotated[
        str, Meta(min_length=1, max_length=512)
    ]  # a file on a disk that outlives the program
    replica_addresses: Annotated[dict[Name, Address], Meta(min_length=1, max_length=64)]  # by member
    replication_factor: Annotated[int, Meta(ge=1, le=7)] = 3  # holders of each key
    claim_timeout_ms: Annotated[float, Meta(ge=10.0, le=60_000.0)] = 1_000.0
    retention_s: Annotated[float, Meta(ge=10.0, le=86_400.0)] = 600.0  # that a load is remembered
    exchange_interval_ms: Annotated[float, Meta(ge=50.0, le=600_000.0)] = 5_000.0
    max_kilobytes_per_s: Annotated[float, Meta(ge=1.0, le=1e6)] = 1_000.0  # that an exchange may bring
    max_entries: Annotated[int, Meta(ge=100, le=1_000_000)] = 50_000


class WholeTable(Table, frozen=True, kw_only=True, rename={"class_name": "class"}):
    """One budget of the whole fleet, in threads at engines or in requests a second."""

    team: Name | None = None  # default: all together
    class_name: Name | None = None
    threads: Annotated[int, Meta(ge=1, le=1_000_000)] | None = None
    requests_per_s: Annotated[float, Meta(ge=0.001, le=1e7)] | None = None


class FleetBudgetsTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "budgets": "whole",
        "lease_ms": "term_ms",
        "max_clock_drift": "drift",
        "floor_share": "floor_part",
        "fleet_size": "size",
        "audit_path": "audit",
    },
):
    """Budgets of the whole fleet, divided among its coordinators; needs ``[budgets]``."""

    listen: Address  # UDP
    members: Annotated[dict[Name, Address], Meta(min_length=1, max_length=64)]  # who may lead and has a floor
    budgets: Annotated[list[WholeTable], Meta(min_length=1, max_length=32)]
    lease_ms: Annotated[float, Meta(ge=300.0, le=600_000.0)] = (
        5_000.0  # of a share, from when it is asked for
    )
    max_clock_drift: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.01  # how far a clock's rate may be off
    floor_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.2  # of an even share, as a listed member's floor
    fleet_size: Annotated[int, Meta(ge=0, le=5_000)] = (
        0  # coordinators in the fleet; default: the listed ones
    )
    audit_path: Annotated[str, Meta(max_length=512)] = ""  # a file that gets a line for each share


class FleetTable(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "probe_interval_ms": "probe_ms",
        "probe_timeout_ms": "timeout_ms",
        "indirect_probes": "indirect",
        "suspicion_factor": "suspicion",
        "max_suspicion_factor": "suspicion_most",
        "sync_interval_ms": "sync_ms",
        "dead_retention_s": "forget_seconds",
        "max_members": "members_most",
    },
):
    """Membership among coordinators; off without this table."""

    cluster: Annotated[str, Meta(pattern=r"\A[A-Za-z][A-Za-z0-9._-]{0,63}\Z")]  # others' members are refused
    listen: Address  # UDP
    advertise: Address | None = None  # where the others reach this member; default: as ``listen``
    member: Name | None = None  # default: the site's name; no two members may share one
    seeds: Annotated[list[Address], Meta(max_length=64)] = []  # members to join through
    probe_interval_ms: Annotated[float, Meta(ge=20.0, le=60_000.0)] = 1_000.0  # one member is probed in each
    probe_timeout_ms: Annotated[float, Meta(ge=5.0, le=30_000.0)] = 300.0  # then others are asked to probe it
    indirect_probes: Annotated[int, Meta(ge=0, le=16)] = 3  # how many others
    suspicion_factor: Annotated[float, Meta(ge=1.0, le=100.0)] = (
        5.0  # periods at least, times log10 of the members
    )
    max_suspicion_factor: Annotated[float, Meta(ge=1.0, le=20.0)] = (
        6.0  # times that, where nobody confirms it
    )
    sync_interval_ms: Annotated[float, Meta(ge=100.0, le=600_000.0)] = 10_000.0  # between full exchanges
    dead_retention_s: Annotated[float, Meta(ge=10.0, le=604_800.0)] = 3_600.0  # dead members are kept so long
    max_members: Annotated[int, Meta(ge=2, le=5_000)] = 2_000
    ledger: LedgerTable | None = None
    budgets: FleetBudgetsTable | None = None
