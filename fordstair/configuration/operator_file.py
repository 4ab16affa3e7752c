"""From an operator's file to what the program runs on: the same Config and Settings as the platform's."""

from __future__ import annotations

import secrets
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

from fordstair.configuration.operator_schema import ClassTable, EngineTable, File, SetTable, member_of
from fordstair.configuration.operator_validation import Fault, Faulty, read
from fordstair.configuration.platform import Budgets, Config, ConfigError, address
from fordstair.core.ports import Engine
from fordstair.decisions.engine_list import EngineEntry, ListUpdateKind
from fordstair.decisions.settings import Idempotency, RequestClass, Settings, Tenant
from fordstair.net.clients.odata_model import EntitySet, Operator

if TYPE_CHECKING:
    from fordstair.budgets.plan import FleetBudgetsConfig
    from fordstair.membership.configuration import MembershipConfig
    from fordstair.replication.service import Ledger

LARGEST_FILE = 1024 * 1024
OPERATOR_LISTEN = "127.0.0.1:0"


def load_file(path: str, *, whole: bool) -> File:
    """Read and check a file; raise Faulty, which holds all faults."""
    try:
        with Path(path).open("rb") as opened:
            text = opened.read(LARGEST_FILE + 1)
        if len(text) > LARGEST_FILE:
            raise Faulty([Fault("", f"is over {LARGEST_FILE} bytes")])
        told = tomllib.loads(text.decode())
    except OSError as error:
        raise Faulty([Fault("", error.strerror or str(error))]) from None
    except UnicodeDecodeError as error:
        raise Faulty([Fault("", f"is not UTF-8: byte {error.start}")]) from None
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        raise Faulty([Fault("", f"is not TOML: {error}")]) from None
    return read(told, whole=whole)


def load_checked(path: str, *, whole: bool) -> File:
    """Read a file as ``load_file`` does, but raise ConfigError with one line a fault."""
    try:
        return load_file(path, whole=whole)
    except Faulty as faulty:
        raise ConfigError("\n".join(fault.line(path) for fault in faulty.faults)) from None


def settings(file: File) -> Settings:
    """Return what the decision module is told of a site: one instance, its classes, teams and machines."""
    assert file.site is not None
    kinds = machine_kinds(file.engines)
    return Settings(
        classes=tuple(map(_class, file.classes)),
        tenants=tuple(Tenant(team.name, team.share * file.site.requests_per_s) for team in file.teams),
        cores_by_kind=tuple(cores for cores, _ in kinds),
        memory_mb_by_kind=tuple(mb for _, mb in kinds),
        priorities=file.reports.priorities,
        progress_interval_ms=file.reports.notes_ms,
        load_report_fields=tuple(file.reports.fields),
        may_cancel=file.limits.may_cancel,
        sends_retry_after=file.limits.retry_advice,
        max_retry_after_ms=file.limits.retry_most_ms,
        max_attempts=file.limits.attempts,
        over_quota_weight=file.site.over_share_worth,
        slow_start_initial_capacity=file.cold.start_part,
        slow_start_ms=file.cold.warm_ms,
        slow_start_overload_factor=file.cold.fall_multiple,
        slow_start_window_ms=file.cold.fall_ms,
    )


def config(file: File) -> Config:
    """Return the configuration of a site that no platform tells of; its engines are the file's."""
    assert file.site is not None
    engines = engine_list(file)
    return Config(
        name=file.site.name,
        listen=address(file.site.listen, "site.listen"),
        seed=file.site.seed or secrets.randbits(63),
        sockets=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        channel="",
        cursor=1,
        known=((1, ListUpdateKind.FULL, engines),),
        settings=settings(file),
        connect_timeout_ms=file.limits.connect_timeout_ms,
        idle_ms=file.limits.idle_ms,
        budgets=_budgets(file),
    )


def engine_list(file: File) -> list[Engine]:
    """Return the file's engines that have an address."""
    assert file.site is not None
    kinds, halls = machine_kinds(file.engines), file.site.halls
    return [
        Engine(
            EngineEntry(
                each.id,
                zone=halls.index(each.hall or halls[0]),
                kind=kinds.index((each.cores, each.memory_mb)),
            ),
            each.address,
            each.protocol,
        )
        for each in file.engines
        if each.address is not None
    ]


def machine_kinds(engines: list[EngineTable]) -> list[tuple[float, float]]:
    """Return the kinds of machines, as cores and memory, in the order of their first engine."""
    return list(dict.fromkeys((each.cores, each.memory_mb) for each in engines))


def operator(file: File) -> Operator:
    """Return what the OData front, the console and the identities are set to."""
    front = file.odata
    return Operator(
        listen=address(front.listen, "odata.listen") if front is not None else None,
        root="/" + (front.root if front is not None else "/odata").strip("/"),
        page_rows=front.page_rows if front is not None else 200,
        results_most=front.results_most if front is not None else 1,
        result_ms=(front.result_seconds if front is not None else 60) * 1000.0,
        team=front.team if front is not None else "",
        team_header=front.team_header if front is not None else "",
        engines={each.id: each.protocol for each in file.engines},
        sets={each.name: _entity_set(each) for each in file.sets},
        identity={}
        if file.identity is None
        else {
            "certificate": file.identity.certificate,
            "key": file.identity.key,
            "bundle": file.identity.bundle,
            "trust_domain": file.identity.trust_domain,
            "teams": dict(file.identity.teams),
            "engines": list(file.identity.engines),
        },
        console=file.console.socket if file.console is not None else "",
        watchers=file.console.watchers if file.console is not None else 0,
        eject_silent_zones=file.routing.avoid_silent_halls,
        fleet=_fleet(file),
        ledger=_ledger(file),
        shares=_shares(file),
        fleet_listen=address(file.fleet.listen, "fleet.listen") if file.fleet is not None else ("", 0),
    )


def _fleet(file: File) -> MembershipConfig | None:
    if (told := file.fleet) is None:
        return None
    from fordstair.membership.configuration import MembershipConfig

    # Port 0 is known once it is bound; a member's name is the site's where the file gives none.
    advertised = told.advertise or ("" if told.listen.endswith(":0") else told.listen)
    return MembershipConfig(
        told.cluster,
        member_of(file),
        advertised,
        tuple(told.seeds),
        told.probe_ms,
        told.timeout_ms,
        told.indirect,
        told.suspicion,
        told.suspicion_most,
        told.sync_ms,
        told.forget_seconds * 1000.0,
        told.members_most,
    )


def _ledger(file: File) -> Ledger | None:
    if file.fleet is None or (told := file.fleet.ledger) is None:
        return None
    from fordstair.replication.service import Ledger

    return Ledger(
        file.fleet.cluster,
        member_of(file),
        dict(told.holders),
        address(told.listen, "fleet.ledger.listen"),
        told.store,
        told.replicas,
        told.claim_ms,
        told.repeat_seconds * 1000.0,
        told.exchange_ms,
        told.kilobytes_per_s * 1000.0,
        told.entries_most,
    )


def _shares(file: File) -> FleetBudgetsConfig | None:
    if file.fleet is None or (told := file.fleet.budgets) is None:
        return None
    from fordstair.budgets.plan import UNITS_PER_REQUEST_PER_S, BudgetPlan, FleetBudgetsConfig, FleetLimit

    limits = list[FleetLimit]()
    for each in told.wholes:
        # an allotment that no request fits into would be of no use
        needs = [spec.threads for spec in file.classes if each.klass in (None, spec.name)] or [1]
        rate = int(UNITS_PER_REQUEST_PER_S * (each.requests_per_s or 0.0))
        of = (each.team or "", each.klass or "")
        limits.append(
            FleetLimit("rate", rate, *of)
            if each.threads is None
            else FleetLimit("threads", each.threads, *of, quantum=max(needs), min_useful=min(needs))
        )
    plan = BudgetPlan(
        file.fleet.cluster,
        tuple(limits),
        tuple(sorted(told.members)),
        told.term_ms,
        told.drift,
        told.floor_part,
        told.size,
    )
    return FleetBudgetsConfig(
        plan, member_of(file), address(told.listen, "fleet.budgets.listen"), dict(told.members), told.audit
    )


def _budgets(file: File) -> Budgets | None:
    if (told := file.budgets) is None:
        return None
    return Budgets(
        {number: team.share for number, team in enumerate(file.teams)},
        told.threads_a_core,
        told.waiting_most,
        told.burst_ms,
        told.debt_ms,
    )


def _class(told: ClassTable) -> RequestClass:
    return RequestClass(
        told.name,
        Idempotency.IDEMPOTENT if told.effect == "safe" else Idempotency.NON_IDEMPOTENT,
        latency_objective_ms=told.promise_ms,
        latency_objective_work_factor=told.aim_stretch,
        client_timeout_ms=told.give_up_ms,
        priority_weight=told.worth,
        late_weight=told.late_worth,
        threads=told.threads,
        is_load=told.load,
        waits_for_loads=told.waits_for_loads,
    )


def _entity_set(told: SetTable) -> EntitySet:
    return EntitySet(
        told.name,
        told.table,
        tuple(told.columns),
        told.read,
        told.lookup or told.read,
        told.write or "",
        told.cpu_ms,
        told.need_mb,
    )
