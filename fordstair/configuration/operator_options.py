"""What an operator's file turns on beside the platform's configuration."""

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
class Operator:
    """What an operator sets for the appliance."""

    listen: tuple[str, int] | None  # None: no OData is served
    root: str
    page_rows: int
    max_results: int  # that are stored for their further pages
    result_lifetime_ms: float
    team: str
    team_header: str
    engines: Mapping[str, str]  # protocol by engine id
    entity_sets: Mapping[str, EntitySet]
    identity: Mapping[str, Any] = field(default_factory=dict)
    console: str = ""  # the path of its socket; empty: none
    watchers: int = 8  # consoles that may follow at a time
    fleet: MembershipConfig | None = None  # membership among coordinators; no address: the one that is bound
    fleet_listen: tuple[str, int] = ("127.0.0.1", 0)
    ledger: ReplicationSettings | None = None  # of loads that run at most once among all coordinators
    shares: FleetBudgetsConfig | None = None  # of budgets that the whole fleet has together
    eject_silent_zones: bool = False
