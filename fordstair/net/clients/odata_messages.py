"""The OData front's requests and responses, and their JSON encoding."""

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
    """One HTTP response; responses to repeatable requests are stored with these field names."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def encode_json(value: Any) -> bytes:
    """Encode a value as JSON."""
    text = ujson.dumps(value, ensure_ascii=False, escape_forward_slashes=False)
    return text.encode("utf-8", "replace")


def decode_json(body: bytes) -> Any:
    """Decode JSON; raise ValueError if it is invalid or could not be encoded again.

    Texts with a lone surrogate and numbers that are not finite could not be encoded again.
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
