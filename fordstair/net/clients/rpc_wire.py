"""The platform's MessagePack-RPC protocol: reads messages, encodes responses, and maps the wire's names."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

import msgpack

from fordstair.net.clients.messagepack import IncompleteMessageError, MalformedMessageError, read

HEALTH_CHECK_METHOD = "alive"

_REQUEST = 0
_RESPONSE = 1
_REQUEST_FIRST_BYTE = 0x94  # an array of four: kind, id, method, parameters
_KIND_OFFSET = 1
_OVERLOADED = "Overloaded"
_INTERNAL = "Internal"
_INVALID = "Invalid"
_RETRY_AFTER_MS = "later"
_REASON = "reason"
_ID_LIMIT = 2**32

Error: TypeAlias = tuple[str, dict[str, str]]


@dataclass(slots=True)
class RequestMessage:
    """A request."""

    request_id: int
    method: str
    params: Any


@dataclass(slots=True, frozen=True)
class RequestStart:
    """What can be read of a request that is not whole; ``method`` is empty if it cannot be read."""

    request_id: int
    method: str


@dataclass(slots=True)
class InvalidMessage:
    """A request that is invalid, but has an id under which it can be answered."""

    request_id: int


@dataclass(slots=True)
class CancelMessage:
    """A notification that cancels a request: its client no longer waits for the response."""

    request_id: int


@dataclass(slots=True)
class UnknownNotification:
    """A notification with an unknown method; it is ignored."""


Message: TypeAlias = RequestMessage | InvalidMessage | CancelMessage | UnknownNotification


def read_message(value: Any) -> Message:
    """Return the message in a MessagePack value; raise MalformedMessageError if it is not a message."""
    request_id: int
    method: memoryview
    match value:
        case [0, int(request_id), memoryview() as method, params] if _is_id(request_id):
            return RequestMessage(request_id, str(method, "utf-8", "replace"), params)
        case [0, int(request_id), *_] if _is_id(request_id):
            return InvalidMessage(request_id)
        case [2, memoryview() as method, [int(request_id)]] if method == b"cancelRequest":
            return CancelMessage(request_id)
        case [2, memoryview(), _]:
            return UnknownNotification()
    raise MalformedMessageError("neither a request nor a notification")


def read_request_start(view: memoryview) -> RequestStart | None:
    """Return the start of a request that is incomplete or malformed; None if its id cannot be read."""
    if not view or view[0] != _REQUEST_FIRST_BYTE:
        return None
    try:
        kind, offset = read(view, _KIND_OFFSET)
        request_id, offset = read(view, offset)
    except (IncompleteMessageError, MalformedMessageError):
        return None
    if kind != _REQUEST or not _is_id(request_id):
        return None
    return RequestStart(request_id, _read_method(view, offset))


def _read_method(view: memoryview, offset: int) -> str:
    """Return the method at an offset; an empty text if it cannot be read."""
    try:
        method, _ = read(view, offset)
    except (IncompleteMessageError, MalformedMessageError):
        return ""
    return str(method, "utf-8", "replace") if isinstance(method, memoryview) else ""


def result_response(request_id: int, pages: Sequence[bytes]) -> bytes:
    """Return the response with all rows."""
    return _response(request_id, None, [b"".join(pages), {}])


def health_response(request_id: int, *, accepting: bool) -> bytes:
    """Return the response to a health check."""
    return _response(request_id, None, [accepting, {}])


def overloaded_response(request_id: int, retry_after_ms: float) -> bytes:
    """Return the response that says that a retry is harmless, and when to retry (0: no advice)."""
    fields = {_RETRY_AFTER_MS: str(math.ceil(retry_after_ms))} if retry_after_ms > 0.0 else {}
    return _response(request_id, (_OVERLOADED, fields), None)


def internal_error_response(request_id: int, reason: str) -> bytes:
    """Return the response to a failed request; it promises nothing about the request's effect."""
    return _response(request_id, (_INTERNAL, {_REASON: reason}), None)


def invalid_response(request_id: int, reason: str) -> bytes:
    """Return the response to an invalid request."""
    return _response(request_id, (_INVALID, {_REASON: reason}), None)


def _response(request_id: int, error: Error | None, result: object) -> bytes:
    encoded: bytes = msgpack.packb([_RESPONSE, request_id, error, result], use_bin_type=True)
    return encoded


def _is_id(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < _ID_LIMIT
