"""Checks of an operator's file that compare fields which are valid by themselves. Does no I/O.

Paths and reasons name tables and keys as they are written in the file.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator, Sequence

from fordstair.configuration.errors import ConfigurationProblem
from fordstair.configuration.operator_fleet_schema import (
    FleetBudgetsTable,
    FleetTable,
    LedgerTable,
    WholeTable,
)
from fordstair.configuration.operator_schema import File, member_name

MAX_PORT = 65_535
# Excess over 1 that rounding may leave in the sum of the teams' shares.
SHARE_TOLERANCE = 1e-9
# A load must be remembered for at least this many claim timeouts.
MIN_RETENTION_CLAIM_TIMEOUTS = 10.0


def missing_site_fields(file: File) -> Iterator[ConfigurationProblem]:
    """Yield a problem for each table or field that a site without a platform needs and the file lacks."""
    if file.site is None:
        yield ConfigurationProblem("site", "is missing")
    for name, items in (("class", file.classes), ("team", file.teams), ("engine", file.engines)):
        if not items:
            yield ConfigurationProblem(name, f"at least one [[{name}]] is needed")
    for index, engine in enumerate(file.engines):
        if engine.address is None:
            yield ConfigurationProblem(f"engine.{index}.address", "is missing")


def inconsistencies(file: File) -> Iterator[ConfigurationProblem]:
    """Yield a problem for each field that contradicts another one."""
    yield from _check_duplicates(file)
    yield from _check_ports(file)
    yield from _check_shares(file)
    yield from _check_zones(file)
    yield from _check_classes(file)
    yield from _check_entity_sets(file)
    yield from _check_team_references(file)
    if file.fleet is not None:
        yield from _check_fleet(file, file.fleet)
        if file.fleet.budgets is not None:
            yield from _check_fleet_budgets(file, file.fleet.budgets)
    if file.console is not None and not file.console.socket_path.startswith("/"):
        yield ConfigurationProblem("console.socket", "a path from the root is wanted")


def _check_duplicates(file: File) -> Iterator[ConfigurationProblem]:
    yield from _duplicates_in_tables("class", "name", [each.name for each in file.classes])
    yield from _duplicates_in_tables("team", "name", [each.name for each in file.teams])
    yield from _duplicates_in_tables("engine", "id", [each.id for each in file.engines])
    yield from _duplicates_in_tables("set", "name", [each.name for each in file.entity_sets])
    yield from _duplicates_in_tables("engine", "address", [each.address for each in file.engines])


def _check_shares(file: File) -> Iterator[ConfigurationProblem]:
    total = sum(team.share for team in file.teams)
    if total > 1.0 + SHARE_TOLERANCE:
        yield ConfigurationProblem("team", f"the shares add up to {total:.3g}, over 1")


def _check_zones(file: File) -> Iterator[ConfigurationProblem]:
    if file.site is None:
        return
    for index, engine in enumerate(file.engines):
        if engine.zone is not None and engine.zone not in file.site.zones:
            yield ConfigurationProblem(f"engine.{index}.hall", f"{engine.zone!r} is not in site.halls")


def _check_classes(file: File) -> Iterator[ConfigurationProblem]:
    for index, each in enumerate(file.classes):
        if each.is_load and each.effect != "unsafe":
            yield ConfigurationProblem(f"class.{index}.effect", "a load is unsafe: it must never run twice")
        if each.client_timeout_ms < each.latency_objective_ms:
            yield ConfigurationProblem(f"class.{index}.give_up_ms", "is shorter than promise_ms")


def _check_entity_sets(file: File) -> Iterator[ConfigurationProblem]:
    effects = {each.name: each.effect for each in file.classes}
    for index, each in enumerate(file.entity_sets):
        yield from _duplicates_in_list(f"set.{index}.columns", each.columns)
        class_names = (("read", each.read_class), ("lookup", each.lookup_class), ("write", each.write_class))
        for field, class_name in class_names:
            if class_name is None or not effects:
                continue
            if class_name not in effects:
                yield ConfigurationProblem(f"set.{index}.{field}", f"no class {class_name!r}")
            elif (effects[class_name] == "unsafe") != (field == "write"):
                expected = "an unsafe" if field == "write" else "a safe"
                reason = f"{expected} class is wanted, and {class_name!r} is not"
                yield ConfigurationProblem(f"set.{index}.{field}", reason)
    if file.entity_sets and file.odata is None:
        yield ConfigurationProblem("odata", "is missing, while there are entity sets")


def _check_team_references(file: File) -> Iterator[ConfigurationProblem]:
    teams = {team.name for team in file.teams}
    if not teams:
        return
    if file.odata is not None and file.odata.team and file.odata.team not in teams:
        yield ConfigurationProblem("odata.team", f"no team {file.odata.team!r}")
    for identity, team in (file.identity.teams if file.identity is not None else {}).items():
        if team not in teams:
            yield ConfigurationProblem(f"identity.teams.{identity}", f"no team {team!r}")


def _check_fleet(file: File, fleet: FleetTable) -> Iterator[ConfigurationProblem]:
    if 2.0 * fleet.probe_timeout_ms > fleet.probe_interval_ms:
        reason = "is over half of probe_ms: others could not answer within the period"
        yield ConfigurationProblem("fleet.timeout_ms", reason)
    if fleet.advertise is not None and _has_port_zero(fleet.advertise):
        yield ConfigurationProblem("fleet.advertise", "port 0 cannot be reached")
    if fleet.advertise is None and fleet.listen.rpartition(":")[0] in ("0.0.0.0", "[::]"):
        reason = "is missing: the others cannot reach the address in fleet.listen"
        yield ConfigurationProblem("fleet.advertise", reason)
    for index, seed in enumerate(fleet.seeds):
        if _has_port_zero(seed):
            yield ConfigurationProblem(f"fleet.seeds.{index}", "port 0 cannot be reached")
    yield from _duplicates_in_list("fleet.seeds", fleet.seeds)
    if fleet.ledger is not None:
        yield from _check_ledger(file, fleet.ledger)


def _check_ledger(file: File, ledger: LedgerTable) -> Iterator[ConfigurationProblem]:
    member = member_name(file)
    if member and member not in ledger.replica_addresses:
        yield ConfigurationProblem("fleet.ledger.holders", f"does not name this member, {member!r}")
    yield from _check_member_addresses("fleet.ledger.holders", ledger.replica_addresses)
    if not ledger.store_path.startswith("/"):
        yield ConfigurationProblem("fleet.ledger.store", "a path from the root is wanted")
    if ledger.retention_s * 1000.0 < MIN_RETENTION_CLAIM_TIMEOUTS * ledger.claim_timeout_ms:
        yield ConfigurationProblem("fleet.ledger.repeat_seconds", "is under ten times claim_ms")
    if file.odata is None:
        yield ConfigurationProblem("fleet.ledger", "serves OData alone, which is not set up")


def _check_fleet_budgets(file: File, table: FleetBudgetsTable) -> Iterator[ConfigurationProblem]:
    if file.budgets is None:
        yield ConfigurationProblem("fleet.budgets", "needs [budgets]: requests wait there for their turn")
    yield from _check_member_addresses("fleet.budgets.members", table.members)
    if table.audit_path and not table.audit_path.startswith("/"):
        yield ConfigurationProblem("fleet.budgets.audit", "a path from the root is wanted")
    first_index = dict[tuple[bool, str | None, str | None], int]()
    for index, budget in enumerate(table.budgets):
        path = f"fleet.budgets.whole.{index}"
        yield from _check_budget_references(file, budget, path)
        key = (budget.threads is None, budget.team, budget.class_name)
        if key in first_index:
            yield ConfigurationProblem(path, f"is of the same as fleet.budgets.whole.{first_index[key]}")
        first_index.setdefault(key, index)
        class_threads = [each.threads for each in file.classes if budget.class_name in (None, each.name)]
        if budget.threads is not None and class_threads and budget.threads < max(class_threads):
            yield ConfigurationProblem(f"{path}.threads", f"a request takes {max(class_threads)}")


def _check_budget_references(file: File, budget: WholeTable, path: str) -> Iterator[ConfigurationProblem]:
    teams = {each.name for each in file.teams}
    classes = {each.name for each in file.classes}
    if (budget.threads is None) == (budget.requests_per_s is None):
        yield ConfigurationProblem(path, "wants either threads or requests_per_s")
    if budget.team is not None and teams and budget.team not in teams:
        yield ConfigurationProblem(f"{path}.team", f"no team {budget.team!r}")
    if budget.class_name is not None and classes and budget.class_name not in classes:
        yield ConfigurationProblem(f"{path}.class", f"no class {budget.class_name!r}")


def _check_member_addresses(path: str, addresses: dict[str, str]) -> Iterator[ConfigurationProblem]:
    for name, address in addresses.items():
        if _port(address) > MAX_PORT or _has_port_zero(address):
            yield ConfigurationProblem(f"{path}.{name}", "has a port that cannot be reached")
    if len(set(addresses.values())) < len(addresses):
        yield ConfigurationProblem(path, "names one address twice")


def _check_ports(file: File) -> Iterator[ConfigurationProblem]:
    listen_addresses = list(_listen_addresses(file))
    engines = [
        (f"engine.{index}.address", engine.address)
        for index, engine in enumerate(file.engines)
        if engine.address is not None
    ]
    for path, address in (*listen_addresses, *engines, *_fleet_addresses(file)):
        if _port(address) > MAX_PORT:
            yield ConfigurationProblem(path, f"port {address.rpartition(':')[2]} is over {MAX_PORT}")
    for path, address in engines:
        if _has_port_zero(address):
            yield ConfigurationProblem(path, "port 0 is no engine's")
    yield from _check_address_collisions(listen_addresses, engines)


def _listen_addresses(file: File) -> Iterator[tuple[str, str]]:
    if file.site is not None:
        yield "site.listen", file.site.listen
    if file.odata is not None:
        yield "odata.listen", file.odata.listen


def _fleet_addresses(file: File) -> Iterator[tuple[str, str]]:
    if file.fleet is None:
        return
    yield "fleet.listen", file.fleet.listen
    for index, seed in enumerate(file.fleet.seeds):
        yield f"fleet.seeds.{index}", seed
    if file.fleet.advertise is not None:
        yield "fleet.advertise", file.fleet.advertise


def _check_address_collisions(
    listen_addresses: Iterable[tuple[str, str]], engines: Iterable[tuple[str, str]]
) -> Iterator[ConfigurationProblem]:
    """Yield a problem for each address that two listeners, or a listener and an engine, have in common.

    Two engines with the same address are found by ``_check_duplicates``.
    """
    first_path = dict[str, str]()
    for path, address in listen_addresses:
        if not _has_port_zero(address) and address in first_path:
            yield ConfigurationProblem(path, f"is the same as {first_path[address]}")
        first_path.setdefault(address, path)
    for path, address in engines:
        if not _has_port_zero(address) and address in first_path:
            yield ConfigurationProblem(path, f"is the same as {first_path[address]}")


def _duplicates_in_tables(
    table: str, field: str, values: Sequence[Hashable]
) -> Iterator[ConfigurationProblem]:
    for index, value, first in _duplicates(values):
        reason = f"{value!r} stands at {table}.{first} already"
        yield ConfigurationProblem(f"{table}.{index}.{field}", reason)


def _duplicates_in_list(path: str, values: Sequence[Hashable]) -> Iterator[ConfigurationProblem]:
    for index, value, _ in _duplicates(values):
        yield ConfigurationProblem(f"{path}.{index}", f"{value!r} stands twice")


def _duplicates(values: Sequence[Hashable]) -> Iterator[tuple[int, Hashable, int]]:
    """Yield each repeated value that is not None, as its index, the value and the index of its first use."""
    first_index = dict[Hashable, int]()
    for index, value in enumerate(values):
        if value is None:
            continue
        if value in first_index:
            yield index, value, first_index[value]
        else:
            first_index[value] = index


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _has_port_zero(address: str) -> bool:
    return address.endswith(":0")
