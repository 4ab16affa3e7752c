"""The OData 4.01 wire format of engines: the action that starts a query, its headers and its pages.

The names of the platform's own parameters and headers are mapped to the terms of the code here; the headers
that are shared with the REST form are mapped in ``rest_wire``.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any
from urllib.parse import urljoin, urlsplit

import ujson

from fordstair.core.ports import Query
from fordstair.net.decimal_text import decimal_number
from fordstair.net.engines.errors import ProtocolError
from fordstair.net.engines.http_messages import STATUS_OK, HttpRequest, HttpResponse

ROOT = "/odata/"
ACTION_PATH = ROOT + "RunStatement"
VERSION_HEADERS = (("OData-Version", "4.01"), ("OData-MaxVersion", "4.01"), ("Accept", "application/json"))
DEFAULT_POLL_INTERVAL_MS = 100.0
MAX_POLL_INTERVAL_MS = 1_000.0
_REQUEST_TARGET = re.compile(r"[!-~]+", re.ASCII)
# Bounds an engine's own text in an error message.
_MAX_QUOTED_CHARS = 80

_REQUEST_ID = "Txn"
_REQUEST_CLASS = "Lane"
_IDEMPOTENCY_KEY = "Dedupe"
_TIME_LIMIT_MS = "LimitMs"
_PRIORITY = "Urgency"
_STATEMENT = "Statement"
_NEXT_LINK = "@odata.nextLink"
_SHORT_NEXT_LINK = "@nextLink"


class ForeignLinkError(Exception):
    """A link leads to another host and is not followed."""


@dataclass(slots=True, frozen=True)
class Page:
    """One page of a result.

    Attributes:
        rows: text; tabs separate columns, each row ends with a line feed.
        next_path: empty on the last page.
    """

    rows: bytes
    next_path: str


def start_request(query: Query, limit_ms: int, priority: int) -> HttpRequest:
    """Return the POST of the action; ID, class, key and statement are sent as received."""
    parameters: dict[str, str | int] = {
        _REQUEST_ID: query.transaction_id,
        _REQUEST_CLASS: query.class_name,
        _TIME_LIMIT_MS: limit_ms,
        _PRIORITY: priority,
        _STATEMENT: query.statement.decode("utf-8", "surrogateescape"),
    }
    if query.idempotency_key:
        parameters[_IDEMPOTENCY_KEY] = query.idempotency_key
    headers = [*VERSION_HEADERS, ("Content-Type", "application/json"), ("Prefer", "respond-async,wait=0")]
    return HttpRequest("POST", ACTION_PATH, headers, _encode(parameters))


def monitor_link(response: HttpResponse) -> str:
    """Return the link to the status monitor; empty if the response names none."""
    return response.header(b"location")


def poll_interval_ms(response: HttpResponse) -> float:
    """Return the delay before the next poll: the engine's Retry-After, up to a bound."""
    retry_after_s = decimal_number(response.header(b"retry-after"))
    if retry_after_s is None:
        return DEFAULT_POLL_INTERVAL_MS
    return min(MAX_POLL_INTERVAL_MS, retry_after_s * 1000.0)


def result_status(response: HttpResponse) -> int:
    """Return the HTTP status of the query's result; the status monitor itself responds 200 for any result."""
    result = decimal_number(response.header(b"asyncresult", "200"))
    if response.status == STATUS_OK and result is not None:
        return result
    return response.status


def result_succeeded(response: HttpResponse) -> bool:
    """Return whether the response is the first page of a result."""
    return response.status == STATUS_OK and response.header(b"asyncresult", "200") == "200"


def same_host_path(address: str, link: str) -> str:
    """Return the path and query of a link; empty for an empty link.

    Raise ProtocolError for a link that cannot be parsed or requested, and ForeignLinkError.
    """
    if not link:
        return ""
    try:
        parts = urlsplit(urljoin(f"http://{address}{ROOT}", link))
    except ValueError as error:
        raise ProtocolError(f"invalid link: {error}") from None
    if parts.netloc != address or not parts.path.startswith("/"):
        raise ForeignLinkError("a link leads to another host")
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    if not _REQUEST_TARGET.fullmatch(target):
        raise ProtocolError(f"invalid link: {target[:_MAX_QUOTED_CHARS]!r}")
    return target


def read_page(address: str, body: bytes) -> Page:
    """Parse a page from the engine at ``address``.

    Raise ProtocolError for a malformed page or a value that rows of text cannot carry, and ForeignLinkError.
    """
    try:
        page = ujson.loads(body)
        rows = [[_column(value) for name, value in row.items() if "@" not in name] for row in page["value"]]
        next_link = page.get(_NEXT_LINK, page.get(_SHORT_NEXT_LINK, ""))
        next_path = same_host_path(address, next_link)
        text = "".join("\t".join(row) + "\n" for row in rows).encode()
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError(f"malformed OData page: {type(error).__name__}: {error}") from None
    return Page(text, next_path)


def _encode(parameters: dict[str, Any]) -> bytes:
    text = ujson.dumps(parameters, ensure_ascii=False, escape_forward_slashes=False, reject_bytes=True)
    return text.encode("utf-8", "surrogateescape")


def _column(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return ""
    if not isinstance(value, str | int | float):
        raise TypeError("a column's value is not a string, number, boolean or null")
    text = str(value)
    if "\t" in text or "\n" in text:
        raise ValueError("a column's value contains a tab or a line feed")
    return text
