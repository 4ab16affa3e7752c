"""Engines that expect OData 4.01: a query is an action, its news a status monitor, its pages next links."""

from __future__ import annotations

from typing import Any
from urllib.parse import urljoin, urlsplit

import ujson

from fordstair.core.ports import AttemptRequest, Call, QueryProgress
from fordstair.decisions.events import Status
from fordstair.net.engines.call import HttpCall, HttpTransport
from fordstair.net.engines.http_client import Answer, Broken
from fordstair.net.engines.rest import parse_report

ROOT = "/odata/"
ACTION = ROOT + "RunStatement"
_VERSION = [("OData-Version", "4.01"), ("OData-MaxVersion", "4.01"), ("Accept", "application/json")]
PAUSE_MS = 100.0  # between two looks at a status monitor that answers at once
PAUSE_MOST_MS = 1_000.0


class ODataTransport(HttpTransport):
    """Carries attempts to engines that expect OData."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        """Prepare one attempt."""
        return ODataCall(self, attempt_request)


class ODataCall(HttpCall):
    """One attempt: POST of the action with respond-async, then its monitor, then its next links."""

    monitor = ""
    next_link = ""
    pause_ms = PAUSE_MS
    headers = _VERSION

    @property
    def path(self) -> str:
        """The status monitor, once the engine has named it."""
        return self.monitor

    def post(self, limit_ms: int) -> tuple[str, list[tuple[str, str]], bytes]:
        """Id, class and statement go out as they came, as the action's parameters."""
        query = self.attempt_request.query
        parameters = {
            "Txn": query.transaction_id,
            "Lane": query.class_name,
            "LimitMs": limit_ms,
            "Urgency": self.attempt_request.priority,
            "Statement": query.statement.decode("utf-8", "surrogateescape"),
        }
        headers = [*_VERSION, ("Content-Type", "application/json"), ("Prefer", "respond-async,wait=0")]
        return ACTION, headers, _encode(parameters)

    async def poll(self) -> QueryProgress:
        """Look at the monitor, no more often than the engine wants."""
        await self.deadlines.sleep(self.pause_ms)
        return await super().poll()

    async def next_page(self) -> bytes | None:
        """Follow the next link; a lost page is an error of a query that has run."""
        if not self.next_link:
            return None
        return await self.ask(self.next_link, self._page)

    def _page(self, answer: Answer) -> bytes:
        if answer.status != 200:
            raise self.end(Status.ERROR, f"a page: status {answer.status}")
        return self._rows(answer)

    async def set_priority(self, priority: int) -> None:
        """OData has no word for the priority of running work."""

    def read(self, answer: Answer) -> QueryProgress:
        """Read news: 202 names the monitor, a result is the first page, all else has ended."""
        report = parse_report(answer.text(b"x-gauges"), self.fields)
        if answer.status == 202:
            self.monitor = self._own_path(answer.text(b"location")) or self.monitor
            if not self.monitor:
                raise self.end(Status.ERROR, "202 without a status monitor")
            wait = answer.text(b"retry-after")
            self.pause_ms = min(PAUSE_MOST_MS, float(wait) * 1000.0) if wait.isdecimal() else PAUSE_MS
            return QueryProgress(True, load_report=report)
        result = answer.text(b"asyncresult", "200")  # the monitor itself answers 200 for any end
        if answer.status != 200 or result != "200":
            if result.isdecimal() and answer.status == 200:
                answer.status = int(result)
            raise self.end_unserved(answer, report)
        rows = self._rows(answer)
        self.ended = True
        return QueryProgress(False, rows, load_report=report)

    def _rows(self, answer: Answer) -> bytes:
        """Return a page as text; what is no page, or cannot stand in rows of text, raises Broken."""
        try:
            page = ujson.loads(answer.body)
            rows = [[_cell(value) for name, value in row.items() if "@" not in name] for row in page["value"]]
            link = page.get("@odata.nextLink", page.get("@nextLink", ""))
            self.next_link = self._own_path(link) if link else ""
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise Broken(f"no page of OData: {type(error).__name__}: {error}") from None
        return "".join("\t".join(row) + "\n" for row in rows).encode()

    def _own_path(self, link: str) -> str:
        """Return the path of a link; one that leads to another host is not followed."""
        if not link:
            return ""
        parts = urlsplit(urljoin(f"http://{self.address}{ROOT}", link))
        if parts.netloc != self.address or not parts.path.startswith("/"):
            raise self.end(Status.ERROR, "a link leads to another host")
        return parts.path + (f"?{parts.query}" if parts.query else "")


def _encode(parameters: dict[str, Any]) -> bytes:
    return ujson.dumps(
        parameters, ensure_ascii=False, escape_forward_slashes=False, reject_bytes=True
    ).encode("utf-8", "surrogateescape")


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if value is None:
        return ""
    if not isinstance(value, str | int | float):
        raise ValueError("a value that is not plain")
    text = str(value)
    if "\t" in text or "\n" in text:
        raise ValueError("a value with a tab or a line feed")
    return text
