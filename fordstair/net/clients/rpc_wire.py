"""MessagePack-RPC as the platform's clients speak it: its names, mapped to the terms of the code."""

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
_REQUEST_HEAD = 0x94  # an array of four: kind, id, method, parameters
_ID_AT = 1  # where a message's items begin
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

    number: int
    method: str
    params: Any


@dataclass(slots=True)
class InvalidMessage:
    """A request that can be answered, but not used."""

    number: int


@dataclass(slots=True)
class CancelMessage:
    """The client no longer waits for a request's answer."""

    number: int


@dataclass(slots=True)
class UnknownNotification:
    """A notification that is not known here: it is ignored."""


Message: TypeAlias = RequestMessage | InvalidMessage | CancelMessage | UnknownNotification


def read_message(value: Any) -> Message:
    """Return the message in a MessagePack value; raise MalformedMessageError where it is none."""
    number: int
    method: memoryview
    match value:
        case [0, int(number), memoryview() as method, params] if _is_id(number):
            return RequestMessage(number, str(method, "utf-8", "replace"), params)
        case [0, int(number), *_] if _is_id(number):
            return InvalidMessage(number)
        case [2, memoryview() as method, [int(number)]] if method == b"cancelRequest":
            return CancelMessage(number)
        case [2, memoryview(), _]:
            return UnknownNotification()
    raise MalformedMessageError("neither a request nor a notification")


def request_number(view: memoryview) -> int | None:
    """Return the id of a request that is malformed further on; None where it cannot be read."""
    if not view or view[0] != _REQUEST_HEAD:
        return None
    try:
        kind, at = read(view, _ID_AT)
        number, _ = read(view, at)
    except (IncompleteMessageError, MalformedMessageError):
        return None
    return number if kind == _REQUEST and _is_id(number) else None


def result_response(number: int, pages: Sequence[bytes]) -> bytes:
    """Return the response with all rows."""
    return _response(number, None, [b"".join(pages), {}])


def health_response(number: int, *, accepting: bool) -> bytes:
    """Return the response to a health check."""
    return _response(number, None, [accepting, {}])


def overloaded_response(number: int, retry_after_ms: float) -> bytes:
    """Return the response that says that a retry is harmless, and when to make it (0: at any time)."""
    fields = {_RETRY_AFTER_MS: str(math.ceil(retry_after_ms))} if retry_after_ms > 0.0 else {}
    return _response(number, (_OVERLOADED, fields), None)


def internal_error_response(number: int, reason: str) -> bytes:
    """Return the response that promises nothing about the effect."""
    return _response(number, (_INTERNAL, {_REASON: reason}), None)


def invalid_response(number: int, reason: str) -> bytes:
    """Return the response to a request that cannot be used."""
    return _response(number, (_INVALID, {_REASON: reason}), None)


def _response(number: int, error: Error | None, result: object) -> bytes:
    encoded: bytes = msgpack.packb([_RESPONSE, number, error, result], use_bin_type=True)
    return encoded


def _is_id(number: object) -> bool:
    return isinstance(number, int) and not isinstance(number, bool) and 0 <= number < _ID_LIMIT
