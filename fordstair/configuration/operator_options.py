"""The options that an operator's file adds to the platform's configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from fordstair.budgets.plan import FleetBudgetsConfig
    from fordstair.membership.configuration import MembershipConfig
    from fordstair.net.clients.odata_model import EntitySet
    from fordstair.replication.settings import ReplicationSettings


@dataclass(frozen=True, slots=True)
class OperatorOptions:
    """Options of an operator's file.

    Attributes:
        listen: Host and port of the OData front; None if OData is not served.
        root: Path under which OData is served.
        max_results: Results that are stored at a time for their further pages.
        team: Team of OData clients that have neither an identity nor the team header.
        engines: Protocol of each engine, by engine id.
        identity: The file's ``[identity]`` table; empty if there is none.
        console_socket: Path of the console's socket; empty if there is no console.
        max_consoles: Consoles that may stream snapshots at a time.
        fleet: Membership among coordinators; with an empty address the bound one is advertised.
        ledger: Replicated ledger of the loads that run at most once among all coordinators.
        fleet_budgets: Budgets that all coordinators of the fleet share.
    """

    listen: tuple[str, int] | None
    root: str
    page_rows: int
    max_results: int
    result_lifetime_ms: float
    team: str
    team_header: str
    engines: Mapping[str, str]
    entity_sets: Mapping[str, EntitySet]
    identity: Mapping[str, Any] = field(default_factory=dict)
    console_socket: str = ""
    max_consoles: int = 8
    fleet: MembershipConfig | None = None
    fleet_listen: tuple[str, int] = ("127.0.0.1", 0)
    ledger: ReplicationSettings | None = None
    fleet_budgets: FleetBudgetsConfig | None = None
    eject_silent_zones: bool = False
