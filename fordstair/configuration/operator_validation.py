"""All faults of an operator's file at once, each with the path of its field; pure."""

from __future__ import annotations

import re
import typing
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import NoneType, UnionType
from typing import Any

import msgspec

from fordstair.configuration.operator_schema import File, Table, member_of

FAULTS_MOST = 200
_AT = re.compile(r" - at `[^`]*`\Z")


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault: where, as ``class.0.worth``, and what is wrong there."""

    path: str
    reason: str

    def line(self, file: str) -> str:
        """Return it in the form ``file: path: reason``."""
        return f"{file}: {self.path}: {self.reason}" if self.path else f"{file}: {self.reason}"


class Faulty(Exception):
    """A file that cannot be used, with every fault that was found."""

    def __init__(self, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("; ".join(f"{fault.path}: {fault.reason}" for fault in self.faults))


def read(told: Mapping[str, Any], *, whole: bool) -> File:
    """Return the typed file, or raise Faulty with all that is wrong.

    ``whole`` asks for what a site without a platform needs: its name, classes, teams and engines.
    """
    faults = list(_table(told, File, ""))[:FAULTS_MOST]
    if faults:
        raise Faulty(faults)
    file = msgspec.convert(told, File)
    if faults := [*_between(file), *(_missing(file) if whole else ())][:FAULTS_MOST]:
        raise Faulty(faults)
    return file


def _table(told: Any, kind: type[Table], path: str) -> Iterator[Fault]:
    """Yield the faults of one table, field by field: the library itself stops at the first."""
    if not isinstance(told, Mapping):
        yield Fault(path, f"a table is wanted, not {_named(told)}")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in told:
        if name not in fields:
            yield Fault(_join(path, str(name)), f"unknown key; known are {', '.join(sorted(fields))}")
    for name, field in fields.items():
        if name in told:
            yield from _value(told[name], field.type, _join(path, name))
        elif field.required:
            yield Fault(_join(path, name), "is missing")


def _value(value: Any, kind: Any, path: str) -> Iterator[Fault]:
    inner = kind
    while typing.get_origin(inner) is typing.Annotated:
        inner = typing.get_args(inner)[0]
    if typing.get_origin(inner) in (typing.Union, UnionType):
        some = [each for each in typing.get_args(inner) if each is not NoneType]
        if len(some) == 1 and isinstance(some[0], type) and issubclass(some[0], Table):
            inner = some[0]
    if isinstance(inner, type) and issubclass(inner, Table):
        yield from _table(value, inner, path)
        return
    items = typing.get_args(inner)
    if typing.get_origin(inner) is list and isinstance(value, list):
        before = len(items) and isinstance(items[0], type) and issubclass(items[0], Table)
        if before:  # each table by itself; of the list only its length is left to check
            for index, each in enumerate(value):
                yield from _value(each, items[0], f"{path}.{index}")
            value, kind = [None] * len(value), _with_items(kind)
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        reason = _AT.sub("", str(error))
        yield Fault(path, reason[:1].lower() + reason[1:])
    except RecursionError:
        yield Fault(path, "is nested too deeply")


def _with_items(kind: Any) -> Any:
    """Return the type of a list of the same bounds with items of any kind."""
    if typing.get_origin(kind) is typing.Annotated:
        return typing.Annotated[(list[Any], *kind.__metadata__)]
    return list[Any]


def _missing(file: File) -> Iterator[Fault]:
    if file.site is None:
        yield Fault("site", "is missing")
    for name, items in (("class", file.classes), ("team", file.teams), ("engine", file.engines)):
        if not items:
            yield Fault(name, f"at least one [[{name}]] is needed")
    for index, engine in enumerate(file.engines):
        if engine.address is None:
            yield Fault(f"engine.{index}.address", "is missing")


def _between(file: File) -> Iterator[Fault]:
    """Yield what is wrong between fields that are each right by themselves."""
    named = (
        ("class", [each.name for each in file.classes]),
        ("team", [each.name for each in file.teams]),
        ("engine", [each.id for each in file.engines]),
        ("set", [each.name for each in file.sets]),
    )
    for where, names in named:
        yield from _twice(where, "id" if where == "engine" else "name", names)
    yield from _twice("engine", "address", [each.address for each in file.engines])
    yield from _ports(file)
    if sum(team.share for team in file.teams) > 1.0 + 1e-9:
        yield Fault("team", f"the shares add up to {sum(team.share for team in file.teams):.3g}, over 1")
    halls = file.site.halls if file.site is not None else []
    for index, engine in enumerate(file.engines):
        if file.site is not None and engine.hall is not None and engine.hall not in halls:
            yield Fault(f"engine.{index}.hall", f"{engine.hall!r} is not in site.halls")
    for index, each in enumerate(file.classes):
        if each.load and each.effect != "unsafe":
            yield Fault(f"class.{index}.effect", "a load is unsafe: it must never run twice")
        if each.give_up_ms < each.promise_ms:
            yield Fault(f"class.{index}.give_up_ms", "is shorter than promise_ms")
    yield from _sets(file)
    if file.sets and file.odata is None:
        yield Fault("odata", "is missing, while there are entity sets")
    teams = {team.name for team in file.teams}
    if file.odata is not None and file.odata.team and teams and file.odata.team not in teams:
        yield Fault("odata.team", f"no team {file.odata.team!r}")
    for identity, team in (file.identity.teams if file.identity is not None else {}).items():
        if teams and team not in teams:
            yield Fault(f"identity.teams.{identity}", f"no team {team!r}")
    yield from _fleet(file)
    yield from _fleet_budgets(file)
    if file.console is not None and not file.console.socket.startswith("/"):
        yield Fault("console.socket", "a path from the root is wanted")


def _fleet(file: File) -> Iterator[Fault]:
    if (fleet := file.fleet) is None:
        return
    if 2.0 * fleet.timeout_ms > fleet.probe_ms:
        yield Fault("fleet.timeout_ms", "is over half of probe_ms: others could not answer within the period")
    if fleet.advertise is not None and fleet.advertise.endswith(":0"):
        yield Fault("fleet.advertise", "port 0 cannot be reached")
    if fleet.advertise is None and fleet.listen.rpartition(":")[0] in ("0.0.0.0", "[::]"):
        yield Fault("fleet.advertise", "is missing: the others cannot reach the address in fleet.listen")
    for index, seed in enumerate(fleet.seeds):
        if seed.endswith(":0"):
            yield Fault(f"fleet.seeds.{index}", "port 0 cannot be reached")
    yield from _twice("fleet", "seeds", list(fleet.seeds), flat=True)
    if (ledger := fleet.ledger) is not None:
        own = member_of(file)
        if own and own not in ledger.holders:
            yield Fault("fleet.ledger.holders", f"does not name this member, {own!r}")
        for name, address in ledger.holders.items():
            if int(address.rpartition(":")[2]) > 65_535 or address.endswith(":0"):
                yield Fault(f"fleet.ledger.holders.{name}", "has a port that cannot be reached")
        if len(set(ledger.holders.values())) < len(ledger.holders):
            yield Fault("fleet.ledger.holders", "names one address twice")
        if not ledger.store.startswith("/"):
            yield Fault("fleet.ledger.store", "a path from the root is wanted")
        if ledger.repeat_seconds * 1000.0 < 10.0 * ledger.claim_ms:
            yield Fault("fleet.ledger.repeat_seconds", "is under ten times claim_ms")
        if file.odata is None:
            yield Fault("fleet.ledger", "serves OData alone, which is not set up")


def _fleet_budgets(file: File) -> Iterator[Fault]:
    if file.fleet is None or (told := file.fleet.budgets) is None:
        return
    at = "fleet.budgets"
    if file.budgets is None:
        yield Fault(at, "needs [budgets]: requests wait there for their turn")
    for name, address in told.members.items():
        if int(address.rpartition(":")[2]) > 65_535 or address.endswith(":0"):
            yield Fault(f"{at}.members.{name}", "has a port that cannot be reached")
    if len(set(told.members.values())) < len(told.members):
        yield Fault(f"{at}.members", "names one address twice")
    if told.audit and not told.audit.startswith("/"):
        yield Fault(f"{at}.audit", "a path from the root is wanted")
    teams, classes = {each.name for each in file.teams}, {each.name for each in file.classes}
    seen = dict[tuple[bool, str | None, str | None], int]()
    for index, whole in enumerate(told.wholes):
        if (whole.threads is None) == (whole.requests_per_s is None):
            yield Fault(f"{at}.whole.{index}", "wants either threads or requests_per_s")
        if whole.team is not None and teams and whole.team not in teams:
            yield Fault(f"{at}.whole.{index}.team", f"no team {whole.team!r}")
        if whole.klass is not None and classes and whole.klass not in classes:
            yield Fault(f"{at}.whole.{index}.class", f"no class {whole.klass!r}")
        key = (whole.threads is None, whole.team, whole.klass)
        if key in seen:
            yield Fault(f"{at}.whole.{index}", f"is of the same as {at}.whole.{seen[key]}")
        seen.setdefault(key, index)
        needs = [each.threads for each in file.classes if whole.klass in (None, each.name)]
        if whole.threads is not None and needs and whole.threads < max(needs):
            yield Fault(f"{at}.whole.{index}.threads", f"a request takes {max(needs)}")


def _sets(file: File) -> Iterator[Fault]:
    effects = {each.name: each.effect for each in file.classes}
    for index, each in enumerate(file.sets):
        yield from _twice(f"set.{index}", "columns", list(each.columns), flat=True)
        for field, klass in (("read", each.read), ("lookup", each.lookup), ("write", each.write)):
            if klass is None or not effects:
                continue
            if klass not in effects:
                yield Fault(f"set.{index}.{field}", f"no class {klass!r}")
            elif (effects[klass] == "unsafe") != (field == "write"):
                needs = "an unsafe" if field == "write" else "a safe"
                yield Fault(f"set.{index}.{field}", f"{needs} class is wanted, and {klass!r} is not")


def _ports(file: File) -> Iterator[Fault]:
    listening = [("site.listen", file.site.listen)] if file.site is not None else []
    listening += [("odata.listen", file.odata.listen)] if file.odata is not None else []
    engines = [
        (f"engine.{index}.address", each.address)
        for index, each in enumerate(file.engines)
        if each.address is not None
    ]
    fleet = (
        []
        if file.fleet is None
        else [
            ("fleet.listen", file.fleet.listen),
            *((f"fleet.seeds.{index}", seed) for index, seed in enumerate(file.fleet.seeds)),
        ]
    )
    if file.fleet is not None and file.fleet.advertise is not None:
        fleet.append(("fleet.advertise", file.fleet.advertise))
    for path, address in (*listening, *engines, *fleet):
        if int(address.rpartition(":")[2]) > 65_535:
            yield Fault(path, f"port {address.rpartition(':')[2]} is over 65535")
    for path, address in engines:
        if address.endswith(":0"):
            yield Fault(path, "port 0 is no engine's")
    taken = dict[str, str]()
    for path, address in (*listening, *engines):
        if (
            not address.endswith(":0")
            and address in taken
            and not (path.startswith("engine") and taken[address].startswith("engine"))
        ):
            yield Fault(path, f"is the same as {taken[address]}")
        taken.setdefault(address, path)


def _twice(where: str, field: str, names: list[Any], flat: bool = False) -> Iterator[Fault]:
    seen = dict[Any, int]()
    for index, name in enumerate(names):
        if name is not None and name in seen:
            path = f"{where}.{field}.{index}" if flat else f"{where}.{index}.{field}"
            yield Fault(
                path,
                f"{name!r} stands at {where}.{seen[name]} already" if not flat else f"{name!r} stands twice",
            )
        elif name is not None:
            seen[name] = index


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _named(value: Any) -> str:
    return {str: "a text", bool: "true or false", int: "a number", float: "a number", list: "a list"}.get(
        type(value), type(value).__name__
    )
