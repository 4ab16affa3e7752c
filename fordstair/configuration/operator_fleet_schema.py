"""Schema of the fleet's tables in an operator's file: membership, the ledger of loads, fleet-wide budgets.

As in ``operator_schema.py``, attributes have the code's terms, ``rename`` gives the file's keys, and
``fordstair schema`` prints the names and docstrings of the tables.
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

    # TCP.
    listen: Address
    # File on a disk that outlives the program.
    store_path: Annotated[str, Meta(min_length=1, max_length=512)]
    # Address of each member that may be a replica, by the member's name.
    replica_addresses: Annotated[dict[Name, Address], Meta(min_length=1, max_length=64)]
    # Replicas of each key.
    replication_factor: Annotated[int, Meta(ge=1, le=7)] = 3
    claim_timeout_ms: Annotated[float, Meta(ge=10.0, le=60_000.0)] = 1_000.0
    # Time for which a load is remembered.
    retention_s: Annotated[float, Meta(ge=10.0, le=86_400.0)] = 600.0
    exchange_interval_ms: Annotated[float, Meta(ge=50.0, le=600_000.0)] = 5_000.0
    # Rate at which an exchange may pull entries from another member.
    max_kilobytes_per_s: Annotated[float, Meta(ge=1.0, le=1e6)] = 1_000.0
    max_entries: Annotated[int, Meta(ge=100, le=1_000_000)] = 50_000


class WholeTable(Table, frozen=True, kw_only=True, rename={"class_name": "class"}):
    """One budget of the whole fleet, in threads at engines or in requests a second."""

    # Default: all teams, or all classes, together.
    team: Name | None = None
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

    # UDP.
    listen: Address
    # Addresses of the voters: the members that may lead and have floors.
    members: Annotated[dict[Name, Address], Meta(min_length=1, max_length=64)]
    budgets: Annotated[list[WholeTable], Meta(min_length=1, max_length=32)]
    # Duration of a lease, from the time of its request.
    lease_ms: Annotated[float, Meta(ge=300.0, le=600_000.0)] = 5_000.0
    # Largest relative deviation of a clock's rate, either way.
    max_clock_drift: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.01
    # Fraction of an even share that is the floor of each member in ``members``.
    floor_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.2
    # Coordinators in the fleet; the number of ``members`` is used if it is greater.
    fleet_size: Annotated[int, Meta(ge=0, le=5_000)] = 0
    # File with a line for each period in which units were leased; empty for none.
    audit_path: Annotated[str, Meta(max_length=512)] = ""


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

    # Members of other clusters are rejected.
    cluster: Annotated[str, Meta(pattern=r"\A[A-Za-z][A-Za-z0-9._-]{0,63}\Z")]
    # UDP.
    listen: Address
    # Address at which the other members reach this one; default: ``listen``.
    advertise: Address | None = None
    # Unique name of this member; default: the site's name.
    member: Name | None = None
    # Members to join through.
    seeds: Annotated[list[Address], Meta(max_length=64)] = []
    # One member is probed per interval.
    probe_interval_ms: Annotated[float, Meta(ge=20.0, le=60_000.0)] = 1_000.0
    # An unanswered probe is then repeated through ``indirect_probes`` other members.
    probe_timeout_ms: Annotated[float, Meta(ge=5.0, le=30_000.0)] = 300.0
    indirect_probes: Annotated[int, Meta(ge=0, le=16)] = 3
    # Shortest suspicion, in probe intervals, times log10 of the number of members if that is over 1.
    suspicion_factor: Annotated[float, Meta(ge=1.0, le=100.0)] = 5.0
    # Longest suspicion, if no other member confirms it, as a multiple of the shortest.
    max_suspicion_factor: Annotated[float, Meta(ge=1.0, le=20.0)] = 6.0
    # Interval between exchanges of the full member list.
    sync_interval_ms: Annotated[float, Meta(ge=100.0, le=600_000.0)] = 10_000.0
    # Members that are dead or have left stay in the list for this time.
    dead_retention_s: Annotated[float, Meta(ge=10.0, le=604_800.0)] = 3_600.0
    max_members: Annotated[int, Meta(ge=2, le=5_000)] = 2_000
    ledger: LedgerTable | None = None
    budgets: FleetBudgetsTable | None = None
