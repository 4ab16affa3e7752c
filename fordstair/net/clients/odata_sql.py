"""Translates a resource path and its query options into SQL, and an entity into an INSERT."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from fordstair.net.clients.odata_errors import ODataError
from fordstair.net.clients.odata_filter import filter_to_sql, quote_text
from fordstair.net.clients.odata_model import EntitySet
from fordstair.net.decimal_text import decimal_number

_ENTITY_PATH_PATTERN = re.compile(r"(?P<set>\w+)\((?:(?P<name>\w+)=)?'(?P<key>(?:[^']|'')*)'\)\Z")
_OPTIONS = {"$select", "$filter", "$orderby", "$top", "$skip", "$count", "$skiptoken", "$format"}
_COLLECTION_OPTIONS = {"$filter", "$orderby", "$top", "$skip", "$count"}
_MAX_NUMBER_DIGITS = 9
# Limits the part of a client's text that an error message quotes.
_MAX_QUOTED_CHARS = 80

Options = Mapping[str, str]


@dataclass(frozen=True, slots=True)
class ReadQuery:
    """A read request, translated into a statement.

    Attributes:
        entity_set: the set to read.
        statement: the SQL statement.
        class_name: the class that the statement belongs to.
        select: the columns to return.
        single: whether it reads one entity by its key.
        count: whether the response includes the number of rows.
    """

    entity_set: EntitySet
    statement: str
    class_name: str
    select: tuple[str, ...]
    single: bool = False
    count: bool = False


@dataclass(frozen=True, slots=True)
class Resource:
    """The resource at a path: an entity set, or, with a key, one of its entities."""

    entity_set: EntitySet
    key: str | None


def read_resource(path: str, sets: Mapping[str, EntitySet]) -> Resource:
    """Return the resource at a path; raise ODataError if there is none."""
    text = unquote(path)
    match = _ENTITY_PATH_PATTERN.match(text)
    entity_set = sets.get(match["set"] if match else text)
    if entity_set is None or (match and match["name"] not in (None, entity_set.key)):
        raise ODataError(404, "NotFound", f"no resource {text[:_MAX_QUOTED_CHARS]!r}")
    return Resource(entity_set, match["key"].replace("''", "'") if match else None)


def parse_read(path: str, options: Options, sets: Mapping[str, EntitySet]) -> ReadQuery:
    """Translate a resource path and its query options into a statement; raise ODataError."""
    resource = read_resource(path, sets)
    entity_set = resource.entity_set
    _check_options(options)
    select = _selected_columns(options, entity_set)
    statement = f"SELECT {', '.join(entity_set.columns)} FROM {entity_set.table}"
    if resource.key is not None:
        if set(options) & _COLLECTION_OPTIONS:
            raise ODataError(400, "BadRequest", "a single entity takes $select alone")
        statement += f" WHERE {entity_set.key} = {quote_text(resource.key)}"
        return ReadQuery(entity_set, statement, entity_set.lookup_class, select, single=True)
    if options.get("$filter"):
        statement += f" WHERE {filter_to_sql(options['$filter'], entity_set)}"
    if options.get("$orderby"):
        statement += f" ORDER BY {_order_by_terms(options['$orderby'], entity_set)}"
    count = _count_requested(options)
    statement += _paging_clauses(options)
    return ReadQuery(entity_set, statement, entity_set.read_class, select, count=count)


def insert_statement(entity_set: EntitySet, entity: Any) -> str:
    """Return the INSERT statement for one entity; raise ODataError if the entity is invalid."""
    if not entity_set.write_class:
        raise ODataError(405, "NotAllowed", f"{entity_set.name} is only read", {"Allow": "GET"})
    if not isinstance(entity, dict):
        raise ODataError(400, "BadEntity", "an object is wanted")
    values = {name: value for name, value in entity.items() if "@" not in name}
    if set(values) != set(entity_set.columns):
        raise ODataError(400, "BadEntity", f"wanted are the properties {', '.join(entity_set.columns)}")
    if any(isinstance(value, bool) or not isinstance(value, str | int | float) for value in values.values()):
        raise ODataError(400, "BadEntity", "each property is a text or a number")
    texts = ", ".join(quote_text(str(values[column])) for column in entity_set.columns)
    return f"INSERT INTO {entity_set.table} ({', '.join(entity_set.columns)}) VALUES ({texts})"


def _check_options(options: Options) -> None:
    unknown = sorted(name for name in options if name.startswith("$") and name not in _OPTIONS)
    if unknown:
        raise ODataError(501, "NotImplemented", f"{unknown[0]} is not served")
    if options.get("$format", "json") not in ("json", "application/json"):
        raise ODataError(415, "NotAcceptable", "only JSON is served")


def _selected_columns(options: Options, entity_set: EntitySet) -> tuple[str, ...]:
    text = options.get("$select")
    select = tuple(name.strip() for name in text.split(",")) if text else ()
    if not select or select == ("*",):
        return entity_set.columns
    for name in select:
        if name not in entity_set.columns:
            raise ODataError(400, "BadSelect", f"no property {name[:_MAX_QUOTED_CHARS]!r}")
    return select


def _count_requested(options: Options) -> bool:
    count = options.get("$count", "false")
    if count not in ("true", "false"):
        raise ODataError(400, "BadRequest", "$count is true or false")
    if count == "true" and (options.get("$top") or options.get("$skip")):
        raise ODataError(501, "NotImplemented", "$count with $top or $skip is not served")
    return count == "true"


def _paging_clauses(options: Options) -> str:
    """Return the clauses for $skip and $top."""
    clauses = ""
    if "$skip" in options:
        clauses += f" OFFSET {_parse_natural('$skip', options['$skip'])} ROWS"
    if "$top" in options:
        clauses += f" FETCH FIRST {_parse_natural('$top', options['$top'])} ROWS ONLY"
    return clauses


def _order_by_terms(text: str, entity_set: EntitySet) -> str:
    terms = []
    for term in text.split(","):
        name, _, direction = term.strip().partition(" ")
        if name not in entity_set.columns or direction.strip() not in ("", "asc", "desc"):
            raise ODataError(400, "BadOrder", f"no order by {term.strip()[:_MAX_QUOTED_CHARS]!r}")
        terms.append(f"{name} {direction.strip().upper() or 'ASC'}")
    return ", ".join(terms)


def _parse_natural(option: str, text: str) -> int:
    number = decimal_number(text)
    if number is None or len(text) > _MAX_NUMBER_DIGITS:
        raise ODataError(400, "BadRequest", f"{option} is no natural number")
    return number
