"""Reads an operator's file and converts it to the Config, Settings and options that the program runs on."""

from __future__ import annotations

import secrets
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from fordstair.configuration.errors import ConfigError, ConfigurationProblem, InvalidOperatorFileError
from fordstair.configuration.operator_fleet_schema import WholeTable
from fordstair.configuration.operator_options import OperatorOptions
from fordstair.configuration.operator_schema import ClassTable, EngineTable, File, SetTable, member_name
from fordstair.configuration.operator_validation import validate_operator_file
from fordstair.configuration.platform import AdmissionQueueSettings, Config, parse_address
from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineEntry, ListUpdateKind
from fordstair.decisions.settings import Idempotency, RequestClass, Settings, Tenant
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.engine_list_wire import EngineListEvent

if TYPE_CHECKING:
    from fordstair.budgets.plan import FleetBudgetsConfig, FleetLimit
    from fordstair.membership.configuration import MembershipConfig
    from fordstair.replication.settings import ReplicationSettings

MAX_FILE_BYTES = 1024 * 1024
DEFAULT_ODATA_ROOT = "/odata"
DEFAULT_PAGE_ROWS = 200
DEFAULT_RESULT_LIFETIME_S = 60


def read_operator_file(path: str, *, require_site: bool) -> File:
    """Read and validate a file; ``require_site`` also requires what a site without a platform needs.

    Raises:
        InvalidOperatorFileError: The file cannot be used; the error holds all problems.
    """
    try:
        document = tomllib.loads(_read_text(path))
    except OSError as error:
        raise _file_error(error.strerror or str(error)) from None
    except UnicodeDecodeError as error:
        raise _file_error(f"is not UTF-8: byte {error.start}") from None
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        raise _file_error(f"is not TOML: {error}") from None
    return validate_operator_file(document, require_site=require_site)


def load_operator_file(path: str, *, require_site: bool) -> File:
    """Read a file as ``read_operator_file`` does, but raise a ConfigError with one line per problem."""
    try:
        return read_operator_file(path, require_site=require_site)
    except InvalidOperatorFileError as invalid:
        raise ConfigError("\n".join(problem.line(path) for problem in invalid.problems)) from None


def _read_text(path: str) -> str:
    with Path(path).open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise _file_error(f"is over {MAX_FILE_BYTES} bytes")
    return data.decode()


def _file_error(reason: str) -> InvalidOperatorFileError:
    return InvalidOperatorFileError([ConfigurationProblem("", reason)])


def decision_settings(file: File) -> Settings:
    """Return the settings of the decision module for a site with one instance."""
    assert file.site is not None
    kinds = machine_kinds(file.engines)
    return Settings(
        classes=tuple(map(_request_class, file.classes)),
        tenants=tuple(Tenant(team.name, team.share * file.site.requests_per_s) for team in file.teams),
        cores_by_kind=tuple(cores for cores, _ in kinds),
        memory_mb_by_kind=tuple(mb for _, mb in kinds),
        priorities=file.load_reports.priorities,
        progress_interval_ms=file.load_reports.progress_interval_ms,
        load_report_fields=tuple(file.load_reports.fields),
        may_cancel=file.limits.may_cancel,
        sends_retry_after=file.limits.sends_retry_after,
        max_retry_after_ms=file.limits.max_retry_after_ms,
        max_attempts=file.limits.max_attempts,
        over_quota_weight=file.site.over_quota_weight,
        slow_start_initial_capacity=file.slow_start.initial_capacity,
        slow_start_ms=file.slow_start.duration_ms,
        slow_start_overload_factor=file.slow_start.overload_factor,
        slow_start_window_ms=file.slow_start.window_ms,
    )


def coordinator_config(file: File) -> Config:
    """Return the configuration of a site without a platform; its engines are those of the file."""
    assert file.site is not None
    engines = engine_list(file)
    return Config(
        name=file.site.name,
        listen=parse_address(file.site.listen, "site.listen"),
        seed=file.site.seed or secrets.randbits(63),
        sockets=file.limits.max_sockets,
        memory_mb=file.limits.memory_mb,
        channel="",
        cursor=1,
        known=(EngineListEvent(1, ListUpdateKind.FULL, engines),),
        settings=decision_settings(file),
        connect_timeout_ms=file.limits.connect_timeout_ms,
        idle_ms=file.limits.idle_timeout_ms,
        budgets=_admission_queue(file),
    )


def engine_list(file: File) -> list[Engine]:
    """Return the file's engines that have an address."""
    assert file.site is not None
    kinds = machine_kinds(file.engines)
    zones = file.site.zones
    return [
        Engine(
            EngineEntry(
                each.id,
                zone=zones.index(each.zone or zones[0]),
                kind=kinds.index((each.cores, each.memory_mb)),
            ),
            each.address,
            each.protocol,
        )
        for each in file.engines
        if each.address is not None
    ]


def machine_kinds(engines: list[EngineTable]) -> list[tuple[float, float]]:
    """Return the distinct machine kinds, as cores and memory in MB, in the order of their first engine."""
    return list(dict.fromkeys((each.cores, each.memory_mb) for each in engines))


def operator_options(file: File) -> OperatorOptions:
    """Return the options of the OData front, the console, the identities and the fleet."""
    front = file.odata
    return OperatorOptions(
        listen=parse_address(front.listen, "odata.listen") if front is not None else None,
        root="/" + (front.root if front is not None else DEFAULT_ODATA_ROOT).strip("/"),
        page_rows=front.page_rows if front is not None else DEFAULT_PAGE_ROWS,
        max_results=front.max_results if front is not None else 1,
        result_lifetime_ms=(front.result_lifetime_s if front is not None else DEFAULT_RESULT_LIFETIME_S)
        * 1000.0,
        team=front.team if front is not None else "",
        team_header=front.team_header if front is not None else "",
        engines={each.id: each.protocol for each in file.engines},
        entity_sets={each.name: _entity_set(each) for each in file.entity_sets},
        identity=_identity_table(file),
        console_socket=file.console.socket_path if file.console is not None else "",
        max_consoles=file.console.max_consoles if file.console is not None else 0,
        eject_silent_zones=file.routing.eject_silent_zones,
        fleet=_membership_config(file),
        ledger=_replication_settings(file),
        fleet_budgets=_fleet_budgets_config(file),
        fleet_listen=parse_address(file.fleet.listen, "fleet.listen") if file.fleet is not None else ("", 0),
    )


def _identity_table(file: File) -> dict[str, Any]:
    if (table := file.identity) is None:
        return {}
    return {
        "certificate": table.certificate,
        "key": table.key,
        "bundle": table.bundle,
        "trust_domain": table.trust_domain,
        "teams": dict(table.teams),
        "engines": list(table.engines),
    }


def _membership_config(file: File) -> MembershipConfig | None:
    if (table := file.fleet) is None:
        return None
    from fordstair.membership.configuration import MembershipConfig

    # With port 0 the address is known only once it is bound. Without fleet.member the site's name is used.
    advertised = table.advertise or ("" if table.listen.endswith(":0") else table.listen)
    return MembershipConfig(
        table.cluster,
        member_name(file),
        advertised,
        tuple(table.seeds),
        table.probe_interval_ms,
        table.probe_timeout_ms,
        table.indirect_probes,
        table.suspicion_factor,
        table.max_suspicion_factor,
        table.sync_interval_ms,
        table.dead_retention_s * 1000.0,
        table.max_members,
    )


def _replication_settings(file: File) -> ReplicationSettings | None:
    if file.fleet is None or (table := file.fleet.ledger) is None:
        return None
    from fordstair.replication.settings import ReplicationSettings

    return ReplicationSettings(
        file.fleet.cluster,
        member_name(file),
        dict(table.replica_addresses),
        parse_address(table.listen, "fleet.ledger.listen"),
        table.store_path,
        table.replication_factor,
        table.claim_timeout_ms,
        table.retention_s * 1000.0,
        table.exchange_interval_ms,
        table.max_kilobytes_per_s * 1000.0,
        table.max_entries,
    )


def _fleet_budgets_config(file: File) -> FleetBudgetsConfig | None:
    if file.fleet is None or (table := file.fleet.budgets) is None:
        return None
    from fordstair.budgets.plan import BudgetPlan, FleetBudgetsConfig

    plan = BudgetPlan(
        file.fleet.cluster,
        tuple(_fleet_limit(file, budget) for budget in table.budgets),
        tuple(sorted(table.members)),
        table.lease_ms,
        table.max_clock_drift,
        table.floor_share,
        table.fleet_size,
    )
    return FleetBudgetsConfig(
        plan,
        member_name(file),
        parse_address(table.listen, "fleet.budgets.listen"),
        dict(table.members),
        table.audit_path,
    )


def _fleet_limit(file: File, budget: WholeTable) -> FleetLimit:
    from fordstair.budgets.plan import UNITS_PER_REQUEST_PER_S, FleetLimit

    scope = (budget.team or "", budget.class_name or "")
    if budget.threads is None:
        return FleetLimit("rate", int(UNITS_PER_REQUEST_PER_S * (budget.requests_per_s or 0.0)), *scope)
    # No request can start with an allotment smaller than its threads.
    class_threads = [each.threads for each in file.classes if budget.class_name in (None, each.name)] or [1]
    return FleetLimit(
        "threads", budget.threads, *scope, quantum=max(class_threads), min_useful=min(class_threads)
    )


def _admission_queue(file: File) -> AdmissionQueueSettings | None:
    if (table := file.budgets) is None:
        return None
    return AdmissionQueueSettings(
        {number: team.share for number, team in enumerate(file.teams)},
        table.threads_per_core,
        table.max_waiting,
        table.burst_ms,
        table.debt_ms,
    )


def _request_class(table: ClassTable) -> RequestClass:
    return RequestClass(
        table.name,
        Idempotency.IDEMPOTENT if table.effect == "safe" else Idempotency.NON_IDEMPOTENT,
        latency_objective_ms=table.latency_objective_ms,
        latency_objective_work_factor=table.latency_objective_work_factor,
        client_timeout_ms=table.client_timeout_ms,
        priority_weight=table.priority_weight,
        late_weight=table.late_weight,
        threads=table.threads,
        is_load=table.is_load,
        waits_for_loads=table.waits_for_loads,
    )


def _entity_set(table: SetTable) -> EntitySet:
    return EntitySet(
        table.name,
        table.table,
        tuple(table.columns),
        table.read_class,
        table.lookup_class or table.read_class,
        table.write_class or "",
        table.cpu_ms,
        table.memory_mb,
    )
