"""Turns the requests of the platform's front, with their fields and statement, into ``Query`` objects."""

from __future__ import annotations

import re
from typing import Any

from fordstair.core.coordinator import Coordinator
from fordstair.core.ports import ClientActivity, Query
from fordstair.decisions.settings import Idempotency

_TRANSACTION_ID = b"txn"
_TEAM = b"team"
_TIME_LIMIT_MS = b"limit"
_COST_MS = b"cpu"
_MEMORY_MB = b"need_mb"
_IDEMPOTENCY_KEY = b"unique"
_ORDERING_KEY = b"item"
# The parameters are a map of fields, and the statement.
_PARAMETER_COUNT = 2

# float() accepts more than engines do: signs, exponents, nan, underscores.
_NUMBER_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?", re.ASCII)
_TRANSACTION_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)
# A key is sent to the engine byte for byte, so it may hold only what an HTTP header carries unchanged.
_KEY_PATTERN = re.compile(r"[!-~](?:[ -~]{0,254}[!-~])?", re.ASCII)


class InvalidRequestError(Exception):
    """The request is invalid; the message is sent to its client."""


def read_query(
    method: str,
    params: Any,
    coordinator: Coordinator,
    max_statement_bytes: int,
    read_delay_ms: float = 0.0,
    client_activity: ClientActivity = ClientActivity.KNOWN,
) -> Query:
    """Read a request's fields and statement; raise InvalidRequestError that names the invalid part."""
    if method not in coordinator.classes:
        raise InvalidRequestError(f"unknown class {method[:40]!r}")
    if not isinstance(params, list) or len(params) != _PARAMETER_COUNT or not isinstance(params[0], dict):
        raise InvalidRequestError("params must be a map and a body")
    fields, body = params
    if not isinstance(body, memoryview) or len(body) > max_statement_bytes:
        raise InvalidRequestError(f"the body must be at most {max_statement_bytes} bytes")
    transaction_id = _read_transaction_id(fields, coordinator)
    tenant = _read_tenant(fields, coordinator)
    statement = bytes(body)  # a copy, since the body is a slice of the read buffer
    return Query(
        transaction_id,
        method,
        coordinator.classes[method],
        tenant,
        _number(fields, _TIME_LIMIT_MS),
        statement,
        None,
        _number(fields, _COST_MS, 0.0),
        _number(fields, _MEMORY_MB, 0.0),
        read_delay_ms,
        _read_idempotency_key(fields, method, coordinator),
        _read_key(fields, _ORDERING_KEY) if _ORDERING_KEY in fields else "",
        client_activity,
    )


def _read_transaction_id(fields: dict[Any, Any], coordinator: Coordinator) -> str:
    transaction_id = _text(fields, _TRANSACTION_ID)
    if not _TRANSACTION_ID_PATTERN.fullmatch(transaction_id):
        raise InvalidRequestError("txn must be 16 hex digits")
    # An engine could not tell two queries with the same id apart.
    if coordinator.is_in_progress(transaction_id):
        raise InvalidRequestError("a request with this txn is open")
    if coordinator.is_past_load(transaction_id):
        raise InvalidRequestError("a load with this txn may have run")
    return transaction_id


def _read_idempotency_key(fields: dict[Any, Any], class_name: str, coordinator: Coordinator) -> str:
    """Return the idempotency key; an empty one for a class without keys.

    For a class with keys it is required: an engine would run a repeated query without a key again.
    """
    spec = coordinator.settings.classes[coordinator.classes[class_name]]
    if spec.idempotency is not Idempotency.WITH_KEY:
        return ""
    return _read_key(fields, _IDEMPOTENCY_KEY)


def _read_key(fields: dict[Any, Any], name: bytes) -> str:
    key = _text(fields, name)
    if not _KEY_PATTERN.fullmatch(key):
        raise InvalidRequestError(f"{name.decode()} must be 1 to 256 printable characters")
    return key


def _read_tenant(fields: dict[Any, Any], coordinator: Coordinator) -> int:
    """Return the tenant's index; without configured teams the field is ignored."""
    team = _text(fields, _TEAM) if coordinator.tenants else ""
    tenant = coordinator.tenant_index(team)
    if tenant is None:
        raise InvalidRequestError(f"unknown team {team[:40]!r}")
    return tenant


def _text(fields: dict[Any, Any], name: bytes) -> str:
    value = fields.get(name)
    if not isinstance(value, memoryview):
        raise InvalidRequestError(f"{name.decode()} is missing")
    try:
        return str(value, "utf-8")
    except UnicodeDecodeError:
        raise InvalidRequestError(f"{name.decode()} is not UTF-8") from None


def _number(fields: dict[Any, Any], name: bytes, default: float | None = None) -> float:
    if default is not None and name not in fields:
        return default
    text = _text(fields, name)
    if not _NUMBER_PATTERN.fullmatch(text):
        raise InvalidRequestError(f"{name.decode()} is no number in range")
    return float(text)
