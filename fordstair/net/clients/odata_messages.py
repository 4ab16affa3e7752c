"""Requests to the OData front and its responses, in JSON."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import ujson

from fordstair.net.clients.odata_errors import ODataError


@dataclass(slots=True, frozen=True)
class ODataRequest:
    """One HTTP request, or one part of a batch; header names are in lower case."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    in_batch: bool = False


@dataclass(slots=True)
class Response:
    """One HTTP response; its fields' names are those of the stored responses of repeatable requests."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def encode_json(value: Any) -> bytes:
    """Write a value as JSON."""
    text = ujson.dumps(value, ensure_ascii=False, escape_forward_slashes=False)
    return text.encode("utf-8", "replace")


def decode_json(body: bytes) -> Any:
    """Read JSON; raise ValueError for what is none, or could not be written again.

    The latter are texts with a lone surrogate and numbers that are not finite.
    """
    value = ujson.loads(body)
    try:
        ujson.dumps(value, ensure_ascii=False, allow_nan=False).encode()
    except OverflowError as error:
        raise ValueError(str(error)) from None
    return value


def error_response(error: ODataError) -> Response:
    """Return the response to a request that has failed."""
    body = {"error": {"code": error.code, "message": error.message}}
    return Response(error.status, encode_json(body), error.headers)
