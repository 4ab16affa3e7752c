"""What the OData front serves: entity sets, the options of a read, and the SQL that asks for it."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote
from xml.sax.saxutils import quoteattr

from odata_query import ast
from odata_query.exceptions import ODataException
from odata_query.grammar import ODataLexer, ODataParser
from odata_query.sql.base import AstToSqlVisitor

if TYPE_CHECKING:
    from fordstair.budgets.plan import FleetBudgetsConfig
    from fordstair.membership.configuration import MembershipConfig
    from fordstair.replication.service import Ledger

_KEY = re.compile(r"(?P<set>\w+)\((?:(?P<name>\w+)=)?'(?P<key>(?:[^']|'')*)'\)\Z")
_OPTIONS = {"$select", "$filter", "$orderby", "$top", "$skip", "$count", "$skiptoken", "$format"}


class ODataError(Exception):
    """An error answer: status, code and message, with the headers that belong to it."""

    def __init__(
        self, status: int, code: str, message: str, headers: Mapping[str, str] | None = None
    ) -> None:
        super().__init__(message)
        self.status, self.code, self.message, self.headers = status, code, message, dict(headers or {})


@dataclass(slots=True)
class Response:
    """One HTTP answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EntitySet:
    """One entity set: a table, its columns, and the classes that its requests belong to."""

    name: str
    table: str
    columns: tuple[str, ...]
    read: str  # class of a collection's read
    lookup: str  # class of a read by key
    write: str = ""  # class of a POST; empty where the set is only read
    cpu_ms: float = 0.0  # estimate of the work of one request; 0: none
    need_mb: float = 0.0  # estimate of its memory; 0: none

    @property
    def key(self) -> str:
        """The first column is the key."""
        return self.columns[0]


@dataclass(frozen=True, slots=True)
class Operator:
    """What an operator sets for the appliance."""

    listen: tuple[str, int] | None  # None: no OData is served
    root: str
    page_rows: int
    results_most: int
    result_ms: float
    team: str
    team_header: str
    engines: Mapping[str, str]  # protocol by engine id
    sets: Mapping[str, EntitySet]
    identity: Mapping[str, Any] = field(default_factory=dict)
    console: str = ""  # the path of its socket; empty: none
    watchers: int = 8  # consoles that may follow at a time
    fleet: MembershipConfig | None = None  # membership among coordinators; no address: the one that is bound
    fleet_listen: tuple[str, int] = ("127.0.0.1", 0)
    ledger: Ledger | None = None  # of loads that run at most once among all coordinators
    shares: FleetBudgetsConfig | None = None  # of budgets that the whole fleet has together
    eject_silent_zones: bool = False


class _Where(AstToSqlVisitor):
    """Turns a filter into SQL; it knows the set's own columns and nothing else."""

    def __init__(self, entity_set: EntitySet) -> None:
        super().__init__()
        self.columns = entity_set.columns

    def visit_Identifier(self, node: ast.Identifier) -> str:
        """A column, by its plain name."""
        if node.name not in self.columns or node.namespace:
            raise ODataError(400, "BadFilter", f"no property {node.name!r}")
        return str(node.name)

    def visit_String(self, node: ast.String) -> str:
        """A text; a lone wildcard in it would change what LIKE finds."""
        return quote(node.val)

    def visit_Call(self, node: ast.Call) -> str:
        """No functions: their wildcards and types differ from engine to engine."""
        raise ODataError(501, "NotImplemented", f"the function {node.func.name} is not served")

    def generic_visit(self, node: Any) -> Any:
        """What has no SQL here is refused instead of passed over."""
        raise ODataError(501, "NotImplemented", f"{type(node).__name__} is not served in a filter")


def quote(text: str) -> str:
    """Write a text as SQL."""
    return "'" + text.replace("'", "''") + "'"


@dataclass(frozen=True, slots=True)
class Read:
    """One read request, understood."""

    entity_set: EntitySet
    statement: str
    class_name: str
    select: tuple[str, ...]
    single: bool = False
    count: bool = False


def read_resource(path: str, sets: Mapping[str, EntitySet]) -> tuple[EntitySet, str | None]:
    """Return the set that a path names, and the key if there is one."""
    text = unquote(path)
    match = _KEY.match(text)
    entity_set = sets.get(match["set"] if match else text)
    if entity_set is None or (match and match["name"] not in (None, entity_set.key)):
        raise ODataError(404, "NotFound", f"no resource {text[:80]!r}")
    return entity_set, match["key"].replace("''", "'") if match else None


def understand(path: str, options: Mapping[str, str], sets: Mapping[str, EntitySet]) -> Read:
    """Turn a resource and its options into a statement."""
    entity_set, key = read_resource(path, sets)
    if unknown := sorted(name for name in options if name.startswith("$") and name not in _OPTIONS):
        raise ODataError(501, "NotImplemented", f"{unknown[0]} is not served")
    if options.get("$format", "json") not in ("json", "application/json"):
        raise ODataError(415, "NotAcceptable", "only JSON is served")
    select = tuple(name.strip() for name in options["$select"].split(",")) if options.get("$select") else ()
    select = entity_set.columns if not select or select == ("*",) else select
    for name in select:
        if name not in entity_set.columns:
            raise ODataError(400, "BadSelect", f"no property {name[:80]!r}")
    sql = f"SELECT {', '.join(entity_set.columns)} FROM {entity_set.table}"
    if key is not None:
        if set(options) & {"$filter", "$orderby", "$top", "$skip", "$count"}:
            raise ODataError(400, "BadRequest", "a single entity takes $select alone")
        sql += f" WHERE {entity_set.key} = {quote(key)}"
        return Read(entity_set, sql, entity_set.lookup, select, single=True)
    if options.get("$filter"):
        sql += f" WHERE {_filter(options['$filter'], entity_set)}"
    if options.get("$orderby"):
        sql += f" ORDER BY {_order(options['$orderby'], entity_set)}"
    count, top, skip = options.get("$count", "false"), options.get("$top"), options.get("$skip")
    if count not in ("true", "false"):
        raise ODataError(400, "BadRequest", "$count is true or false")
    if count == "true" and (top or skip):
        raise ODataError(501, "NotImplemented", "$count with $top or $skip is not served")
    if skip is not None:
        sql += f" OFFSET {_natural('$skip', skip)} ROWS"
    if top is not None:
        sql += f" FETCH FIRST {_natural('$top', top)} ROWS ONLY"
    return Read(entity_set, sql, entity_set.read, select, count=count == "true")


def insertion(entity_set: EntitySet, entity: Any) -> str:
    """Return the statement that loads one entity."""
    if not entity_set.write:
        raise ODataError(405, "NotAllowed", f"{entity_set.name} is only read", {"Allow": "GET"})
    if not isinstance(entity, dict):
        raise ODataError(400, "BadEntity", "an object is wanted")
    values = {name: value for name, value in entity.items() if "@" not in name}
    if set(values) != set(entity_set.columns):
        raise ODataError(400, "BadEntity", f"wanted are the properties {', '.join(entity_set.columns)}")
    if any(isinstance(value, bool) or not isinstance(value, str | int | float) for value in values.values()):
        raise ODataError(400, "BadEntity", "each property is a text or a number")
    texts = ", ".join(quote(str(values[column])) for column in entity_set.columns)
    return f"INSERT INTO {entity_set.table} ({', '.join(entity_set.columns)}) VALUES ({texts})"


def _filter(text: str, entity_set: EntitySet) -> str:
    try:
        return str(_Where(entity_set).visit(ODataParser().parse(ODataLexer().tokenize(text))))
    except ODataException as error:
        raise ODataError(400, "BadFilter", f"the filter cannot be read: {error}") from None
    except RecursionError:
        raise ODataError(400, "BadFilter", "the filter is nested too deeply") from None


def _order(text: str, entity_set: EntitySet) -> str:
    terms = []
    for term in text.split(","):
        name, _, way = term.strip().partition(" ")
        if name not in entity_set.columns or way.strip() not in ("", "asc", "desc"):
            raise ODataError(400, "BadOrder", f"no order by {term.strip()[:80]!r}")
        terms.append(f"{name} {way.strip().upper() or 'ASC'}")
    return ", ".join(terms)


def _natural(option: str, text: str) -> int:
    if not text.isdecimal() or len(text) > 9:
        raise ODataError(400, "BadRequest", f"{option} is no natural number")
    return int(text)


def metadata(sets: Mapping[str, EntitySet]) -> bytes:
    """Return the model as CSDL XML."""
    types, container = [], []
    for each in sets.values():
        properties = "".join(
            f'<Property Name={quoteattr(column)} Type="Edm.String" '
            f'Nullable="{"false" if column == each.key else "true"}"/>'
            for column in each.columns
        )
        types.append(
            f"<EntityType Name={quoteattr(each.name + 'Row')}><Key><PropertyRef "
            f"Name={quoteattr(each.key)}/></Key>{properties}</EntityType>"
        )
        container.append(
            f"<EntitySet Name={quoteattr(each.name)} "
            f"EntityType={quoteattr('fordstair.' + each.name + 'Row')}/>"
        )
    return (
        '<?xml version="1.0" encoding="UTF-8"?>'
        '<edmx:Edmx xmlns:edmx="http://docs.oasis-open.org/odata/ns/edmx" Version="4.01">'
        "<edmx:DataServices>"
        '<Schema xmlns="http://docs.oasis-open.org/odata/ns/edm" Namespace="fordstair">'
        f'{"".join(types)}<EntityContainer Name="Container">{"".join(container)}</EntityContainer>'
        "</Schema></edmx:DataServices></edmx:Edmx>"
    ).encode()
