"""Builds the components that an operator's file enables.

Their modules are imported inside the functions, so that they use no memory on the platform (64 MB).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from fordstair.configuration.errors import ConfigError
from fordstair.configuration.platform import Config
from fordstair.core.coordinator import Coordinator
from fordstair.runtime.clock import WallClock
from fordstair.runtime.counters import Counters
from fordstair.runtime.deadlines import Deadlines

if TYPE_CHECKING:
    from fordstair.budgets.plan import FleetBudgetsConfig
    from fordstair.budgets.transport import FleetBudgets
    from fordstair.configuration.operator_options import OperatorOptions
    from fordstair.core.admission_queue import AdmissionQueue
    from fordstair.membership.transport import Membership
    from fordstair.net.clients.odata_front import ODataFront
    from fordstair.net.console_server import ConsoleServer
    from fordstair.net.identity import Identity
    from fordstair.replication.service import ReplicationService


def build_identity(
    operator: OperatorOptions | None, deadlines: Deadlines, counters: Counters
) -> Identity | None:
    """Read this program's certificate and the trusted ones; raise ConfigError if they cannot be used."""
    if operator is None or not operator.identity:
        return None
    from fordstair.net.identity import Identity, parse_identity_table

    return Identity(parse_identity_table(operator.identity), deadlines, counters)


def build_admission_queue(config: Config, coordinator: Coordinator) -> AdmissionQueue | None:
    """Put a queue that enforces the tenants' quotas before the decision module."""
    if config.budgets is None:
        return None
    from fordstair.core.admission_queue import AdmissionQueue
    from fordstair.scheduling.scheduler import Scheduler

    queue_settings = config.budgets
    scheduler = Scheduler(
        dict(queue_settings.shares),
        1.0,
        max_waiting=queue_settings.max_waiting,
        burst_ms=queue_settings.burst_ms,
        debt_ms=queue_settings.debt_ms,
    )
    queue = AdmissionQueue(coordinator, scheduler, queue_settings.threads_per_core)
    coordinator.extensions.admission_queue = queue
    return queue


def add_zone_watch(operator: OperatorOptions | None, coordinator: Coordinator) -> None:
    """Eject zones that are unreachable as a whole."""
    if operator is None or not operator.eject_silent_zones:
        return
    from fordstair.core.zone_watch import ZoneWatch

    coordinator.extensions.zone_watch = ZoneWatch(coordinator)


def build_fleet_budgets(
    operator: OperatorOptions | None, config: Config, coordinator: Coordinator, queue: AdmissionQueue | None
) -> FleetBudgets | None:
    """Take part in the fleet's budgets: releasing a request also needs this member's quota of them.

    Raise ConfigError if there is no admission queue to hold requests back.
    """
    if operator is None or operator.fleet_budgets is None:
        return None
    if queue is None:
        raise ConfigError(
            "fleet.budgets: requires the [budgets] table, in a file that configures the whole site"
        )
    from fordstair.budgets.transport import FleetBudgets

    fleet_config = replace(operator.fleet_budgets, member=operator.fleet_budgets.member or config.name)
    budgets = FleetBudgets(fleet_config, config.seed)
    _limit_queue(queue, budgets, fleet_config, coordinator)
    coordinator.counters.include("shares", lambda: budgets.counts)
    return budgets


def _limit_queue(
    queue: AdmissionQueue, budgets: FleetBudgets, fleet_config: FleetBudgetsConfig, coordinator: Coordinator
) -> None:
    """Report the queue's demand to the fleet's budgets, and limit the queue by the quotas they return."""
    from fordstair.budgets.local_limits import LocalLimits

    settings = coordinator.settings
    limits = LocalLimits(
        fleet_config.plan.limits,
        [tenant.name for tenant in settings.tenants] or [""],
        [spec.name for spec in settings.classes],
        budgets.allotment,
        fleet_config.plan.request_interval_ms,
    )
    queue.local_limits = limits
    budgets.set_demand_source(lambda: limits.demand(coordinator.deadlines.clock()))
    budgets.on_allotment = queue.release


def build_odata_front(
    operator: OperatorOptions | None, coordinator: Coordinator, identity: Identity | None
) -> ODataFront | None:
    """Serve OData clients in addition to the platform's clients."""
    if operator is None or operator.listen is None:
        return None
    from fordstair.net.clients.odata_front import ODataFront

    if identity is None:
        return ODataFront(coordinator, operator)
    return ODataFront(coordinator, operator, identity.team_of, identity.secure)


def build_ledger(
    operator: OperatorOptions | None, config: Config, odata: ODataFront | None, counters: Counters
) -> ReplicationService | None:
    """Share the record of loads with the other members, so that no load runs twice in the fleet."""
    if operator is None or operator.ledger is None or odata is None:
        return None
    from fordstair.net.clients.repeatable_requests import ReplicatedIdempotencyStore
    from fordstair.replication.service import ReplicationService

    settings = replace(operator.ledger, member=operator.ledger.member or config.name)
    ledger = ReplicationService(settings, config.seed)
    odata.idempotency_store = ReplicatedIdempotencyStore(ledger.claim_coordinator)
    counters.include("ledger", lambda: ledger.counts)
    return ledger


def build_membership(
    operator: OperatorOptions | None, config: Config, counters: Counters
) -> Membership | None:
    """Take part in the fleet's membership."""
    if operator is None or operator.fleet is None:
        return None
    from fordstair.membership.transport import Membership

    fleet = replace(operator.fleet, name=operator.fleet.name or config.name)
    membership = Membership(fleet, operator.fleet_listen, config.seed)
    counters.include("fleet", lambda: membership.counts)
    return membership


def build_console_server(
    operator: OperatorOptions | None,
    config: Config,
    coordinator: Coordinator,
    drain: Callable[[], None],
    wall_clock: WallClock,
    membership: Membership | None,
    ledger: ReplicationService | None,
    budgets: FleetBudgets | None,
) -> ConsoleServer | None:
    """Serve operators' consoles; ``drain`` requests the program's stop."""
    if operator is None or not operator.console_socket:
        return None
    from fordstair.net.console_server import ConsoleServer

    return ConsoleServer(
        config.name, coordinator, drain, wall_clock, operator.max_consoles, membership, ledger, budgets
    )
