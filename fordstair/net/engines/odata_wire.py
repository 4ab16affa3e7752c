"""OData 4.01 as engines speak it: the action that starts a query, its headers and its pages.

The names of the platform's own parameters and headers are mapped to the terms of the code here, and those
that the REST form has as well in ``rest_wire``.
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
from fordstair.net.engines.http_messages import HttpRequest, HttpResponse

ROOT = "/odata/"
ACTION_PATH = ROOT + "RunStatement"
VERSION_HEADERS = (("OData-Version", "4.01"), ("OData-MaxVersion", "4.01"), ("Accept", "application/json"))
POLL_INTERVAL_MS = 100.0  # of a status monitor that names none
MAX_POLL_INTERVAL_MS = 1_000.0
STATUS_OK = 200
STATUS_RUNNING = 202
_REQUEST_TARGET = re.compile(r"[!-~]+", re.ASCII)  # what may stand in a request line
_SHOWN_CHARS = 80  # of an engine's own text in an error message

_REQUEST_ID = "Txn"
_REQUEST_CLASS = "Lane"
_IDEMPOTENCY_KEY = "Dedupe"
_TIME_LIMIT_MS = "LimitMs"
_PRIORITY = "Urgency"
_STATEMENT = "Statement"
_NEXT_LINK = "@odata.nextLink"
_SHORT_NEXT_LINK = "@nextLink"


class ForeignLinkError(Exception):
    """A link leads to another host; it is not followed."""


@dataclass(slots=True, frozen=True)
class Page:
    """One page of a result."""

    rows: bytes  # text: columns end with a tab, rows with a line feed
    next_path: str  # empty on the last page


def start_request(query: Query, limit_ms: int, priority: int) -> HttpRequest:
    """Return the POST of the action; id, class, key and statement go out as they came."""
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
    """Return the link to the status monitor; empty where the response names none."""
    return response.header(b"location")


def poll_interval_ms(response: HttpResponse) -> float:
    """Return how long the engine wants to be left alone: its Retry-After, within a bound."""
    retry_after_s = decimal_number(response.header(b"retry-after"))
    if retry_after_s is None:
        return POLL_INTERVAL_MS
    return min(MAX_POLL_INTERVAL_MS, retry_after_s * 1000.0)


def result_status(response: HttpResponse) -> int:
    """Return the HTTP status of the query's end; a status monitor itself answers 200 for any end."""
    result = decimal_number(response.header(b"asyncresult", "200"))
    if response.status == STATUS_OK and result is not None:
        return result
    return response.status


def result_succeeded(response: HttpResponse) -> bool:
    """Whether the response is the first page of a result."""
    return response.status == STATUS_OK and response.header(b"asyncresult", "200") == "200"


def own_path(address: str, link: str) -> str:
    """Return the path of a link, empty for an empty one.

    Raise ProtocolError for a link that cannot be read or requested, and ForeignLinkError.
    """
    if not link:
        return ""
    try:
        parts = urlsplit(urljoin(f"http://{address}{ROOT}", link))
    except ValueError as error:
        raise ProtocolError(f"no link: {error}") from None
    if parts.netloc != address or not parts.path.startswith("/"):
        raise ForeignLinkError("a link leads to another host")
    target = parts.path + (f"?{parts.query}" if parts.query else "")
    if not _REQUEST_TARGET.fullmatch(target):
        raise ProtocolError(f"no link: {target[:_SHOWN_CHARS]!r}")
    return target


def read_page(address: str, body: bytes) -> Page:
    """Read a page of the engine at ``address``.

    Raise ProtocolError for what is no page, or cannot stand in rows of text, and ForeignLinkError.
    """
    try:
        page = ujson.loads(body)
        rows = [[_cell(value) for name, value in row.items() if "@" not in name] for row in page["value"]]
        next_link = page.get(_NEXT_LINK, page.get(_SHORT_NEXT_LINK, ""))
        next_path = own_path(address, next_link)
        text = "".join("\t".join(row) + "\n" for row in rows).encode()
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError(f"no page of OData: {type(error).__name__}: {error}") from None
    return Page(text, next_path)


def _encode(parameters: dict[str, Any]) -> bytes:
    text = ujson.dumps(parameters, ensure_ascii=False, escape_forward_slashes=False, reject_bytes=True)
    return text.encode("utf-8", "surrogateescape")


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return ""
    if not isinstance(value, str | int | float):
        raise TypeError("a value that is not plain")
    text = str(value)
    if "\t" in text or "\n" in text:
        raise ValueError("a value with a tab or a line feed")
    return text
