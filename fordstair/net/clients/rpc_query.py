"""Reads the requests of the platform's front: fields and a statement become a ``Query``."""

from __future__ import annotations

import re
from typing import Any

from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import Query
from fordstair.core.statements import table_group

_NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?", re.ASCII)
_TXN = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)


class BadRequest(Exception):
    """A request that cannot be used; the text says why."""


def read_query(
    method: str, params: Any, coordinator: Coordinator, largest: int, waited_ms: float = 0.0
) -> Query:
    """Read a request's fields and statement; raise BadRequest, naming what cannot be used."""
    if method not in coordinator.classes:
        raise BadRequest(f"unknown class {method[:40]!r}")
    if not isinstance(params, list) or len(params) != 2 or not isinstance(params[0], dict):
        raise BadRequest("params must be a map and a body")
    fields, body = params
    if not isinstance(body, memoryview) or len(body) > largest:
        raise BadRequest(f"the body must be at most {largest} bytes")
    txn = _text(fields, b"txn")
    if not _TXN.fullmatch(txn):
        raise BadRequest("txn must be 16 hex digits")
    if coordinator.is_in_progress(txn):  # an engine could not tell the two queries apart
        raise BadRequest("a request with this txn is open")
    team = _text(fields, b"team") if coordinator.tenants else ""  # of a site without teams it says nothing
    if (tenant := coordinator.tenant_index(team)) is None:
        raise BadRequest(f"unknown team {team[:40]!r}")
    statement = bytes(body)  # the copy outlives the read buffer
    return Query(
        txn,
        method,
        coordinator.classes[method],
        tenant,
        _number(fields, b"limit"),
        statement,
        table_group(statement.decode("utf-8", "replace")),
        _number(fields, b"cpu", 0.0),
        _number(fields, b"need_mb", 0.0),
        waited_ms,
    )


def _text(fields: dict[Any, Any], name: bytes) -> str:
    value = fields.get(name)
    if not isinstance(value, memoryview):
        raise BadRequest(f"{name.decode()} is missing")
    try:
        return str(value, "utf-8")
    except UnicodeDecodeError:
        raise BadRequest(f"{name.decode()} is not UTF-8") from None


def _number(fields: dict[Any, Any], name: bytes, default: float | None = None) -> float:
    if default is not None and name not in fields:
        return default
    text = _text(fields, name)
    if not _NUMBER.fullmatch(text):  # float() takes more than engines do: signs, exponents, nan, underscores
        raise BadRequest(f"{name.decode()} is no number in range")
    return float(text)
