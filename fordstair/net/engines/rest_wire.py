"""The platform's REST wire format; only this module maps its paths and headers to the code's terms."""

from __future__ import annotations

import math

from fordstair.core.ports import Query
from fordstair.decisions.events import NoteKind, Status
from fordstair.net.decimal_text import decimal_number
from fordstair.net.engines.errors import ProtocolError
from fordstair.net.engines.http_messages import HttpRequest, HttpResponse
from fordstair.net.engines.page_length import SEPARATORS_PER_ROW

QUERIES_PATH = "/o"
MAX_PAGES = 1_000
MAX_PAGE_BYTES = 6_000  # of a sound engine

_REQUEST_ID = "X-Txn"
_REQUEST_CLASS = "X-Lane"
_IDEMPOTENCY_KEY = "X-Dedupe"
_ORDERING_KEY = "X-Name"
_TIME_LIMIT_MS = "X-Limit-Ms"
_PRIORITY = "X-Urgency"
_LOAD_REPORT = b"x-gauges"
_NOT_RUN = b"x-unrun"
_PAGE_COUNT = b"x-sheets"
_PAGE_NUMBER = b"x-sheet"
_NOTE_KIND = b"x-how"
_NOTE_VALUE = b"x-val"

_NOTE_KINDS = {"p": NoteKind.PROGRESS, "s": NoteKind.SPILL, "w": NoteKind.WAIT}
_NOT_RUN_STATUSES = {503: Status.FULL, 504: Status.NOT_STARTED}


def query_path(request_id: str) -> str:
    """Return the path of a query: DELETE cancels it, PUT sets its priority."""
    return f"{QUERIES_PATH}/{request_id}"


def page_path(request_id: str, page: int) -> str:
    """Return the path of a page of a query's result, from 0; page 0 also reports progress."""
    return f"{QUERIES_PATH}/{request_id}/{page}"


def start_request(query: Query, limit_ms: int, priority: int) -> HttpRequest:
    """Return the POST that starts a query; ID, class, keys and statement are sent as received."""
    headers = [
        (_REQUEST_ID, query.transaction_id),
        (_REQUEST_CLASS, query.class_name),
        (_TIME_LIMIT_MS, str(limit_ms)),
        (_PRIORITY, str(priority)),
    ]
    if query.idempotency_key:
        headers.append((_IDEMPOTENCY_KEY, query.idempotency_key))
    if query.ordering_key:
        headers.append((_ORDERING_KEY, query.ordering_key))
    return HttpRequest("POST", QUERIES_PATH, headers, query.statement)


def load_report(response: HttpResponse, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return the engine's load report, in the order of ``fields``; empty if there is none."""
    return parse_report(response.header(_LOAD_REPORT), fields)


def note(response: HttpResponse) -> tuple[NoteKind, float] | None:
    """Return the engine's note on a running query; None if there is none."""
    return parse_note(response.header(_NOTE_KIND), response.header(_NOTE_VALUE))


def page_count(response: HttpResponse) -> int:
    """Return the number of pages of the result; raise ProtocolError if it is malformed or out of bounds."""
    text = response.header(_PAGE_COUNT)
    pages = decimal_number(text)
    if pages is None or not 1 <= pages <= MAX_PAGES:
        raise ProtocolError(f"invalid page count {text[:20]!r}")
    return pages


def page_rows(response: HttpResponse, page: int) -> bytes:
    """Return the rows of a later page; raise ProtocolError for another page, for example a duplicate."""
    if response.header(_PAGE_NUMBER) != str(page):
        raise ProtocolError(f"the response is not page {page}")
    return complete_rows(response.body)


def failure_status(response: HttpResponse, http_status: int) -> Status:
    """Return the status that a response without a result proves: only X-Unrun proves that nothing ran."""
    if response.header(_NOT_RUN) != "1":
        return Status.ERROR
    return _NOT_RUN_STATUSES.get(http_status, Status.ERROR)


def parse_report(text: str, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Parse ``inflight:7;util:0.61`` in the order of ``fields``; empty if one is missing or malformed."""
    values_by_name = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
    try:
        values = tuple(float(values_by_name[name]) for name in fields)
    except (KeyError, ValueError):
        return ()
    return values if all(math.isfinite(value) for value in values) else ()


def parse_note(kind: str, value: str) -> tuple[NoteKind, float] | None:
    """Parse a note; return None for an unknown or malformed one."""
    try:
        number = float(value)
    except ValueError:
        return None
    return (_NOTE_KINDS[kind], number) if kind in _NOTE_KINDS and math.isfinite(number) else None


def complete_rows(body: bytes) -> bytes:
    """Return a page of complete rows; raise ProtocolError for one that a wrong length has truncated."""
    ends_complete = not body or body.endswith(b"\n")
    if not ends_complete or (
        body and any(row.count(b"\t") != SEPARATORS_PER_ROW for row in body[:-1].split(b"\n"))
    ):
        raise ProtocolError("the page contains an incomplete row")
    return body
