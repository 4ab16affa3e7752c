"""The platform's engine protocol: a query is started by POST and asked for under its id."""

from __future__ import annotations

import math

from fordstair.core.ports import AttemptRequest, Call, QueryProgress
from fordstair.decisions.events import NoteKind, Status
from fordstair.net.engines.call import DROP_MS, HttpCall, HttpTransport
from fordstair.net.engines.http_client import Answer, Broken

PAGES_MOST = 1_000
_NOTES = {"p": NoteKind.PROGRESS, "s": NoteKind.SPILL, "w": NoteKind.WAIT}


def parse_report(text: str, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Read ``inflight:7;util:0.61`` in the settings' order; nothing where a field is missing or odd."""
    told = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
    try:
        values = tuple(float(told[name]) for name in fields)
    except (KeyError, ValueError):
        return ()
    return values if all(math.isfinite(value) for value in values) else ()


def parse_note(how: str, value: str) -> tuple[NoteKind, float] | None:
    """Read a note; an unknown or unreadable one counts as none."""
    try:
        number = float(value)
    except ValueError:
        return None
    return (_NOTES[how], number) if how in _NOTES and math.isfinite(number) else None


def whole_rows(body: bytes) -> bytes:
    """Return a page that holds whole rows of three columns; what a wrong length has cut raises Broken."""
    if (body and any(row.count(b"\t") != 2 for row in body[:-1].split(b"\n"))) or body[-1:] not in (
        b"",
        b"\n",
    ):
        raise Broken("not whole rows")
    return body


class RestTransport(HttpTransport):
    """Carries attempts to the platform's engines."""

    def call(self, attempt_request: AttemptRequest) -> Call:
        """Prepare one attempt."""
        return RestCall(self, attempt_request)


class RestCall(HttpCall):
    """One attempt."""

    pages = fetched = 0

    @property
    def path(self) -> str:
        """The query's own resource; page 0 of it is its news."""
        return f"/o/{self.attempt_request.query.transaction_id}"

    @property
    def news_path(self) -> str:
        """Page 0: the end, a note, or 250 ms of nothing."""
        return f"{self.path}/0"

    def post(self, limit_ms: int) -> tuple[str, list[tuple[str, str]], bytes]:
        """Id, class and statement go out as they came."""
        query = self.attempt_request.query
        return (
            "/o",
            [
                ("X-Txn", query.transaction_id),
                ("X-Lane", query.class_name),
                ("X-Limit-Ms", str(limit_ms)),
                ("X-Urgency", str(self.attempt_request.priority)),
            ],
            query.statement,
        )

    async def next_page(self) -> bytes | None:
        """Fetch the next page; what is not that page is an error of a query that has run."""
        self.fetched += 1
        if self.fetched >= self.pages:
            return None
        return await self.ask(f"{self.path}/{self.fetched}", self._page)

    def _page(self, answer: Answer) -> bytes:
        if answer.status != 200:
            raise self.end(Status.ERROR, f"page {self.fetched}: status {answer.status}")
        if answer.text(b"x-sheet") != str(self.fetched):  # a copy of another call's answer, perhaps
            raise Broken(f"not page {self.fetched}")
        return whole_rows(answer.body)

    async def set_priority(self, priority: int) -> None:
        """PUT a new priority; one that does not arrive is no harm."""
        if self.posted_ms and not self.ended:
            with self.deadlines.limit_for(DROP_MS):
                await self.side_call("PUT", self.path, str(priority).encode())

    def read(self, answer: Answer) -> QueryProgress:
        """Read news: 202 still runs, 200 is page 0, all else has ended."""
        report = parse_report(answer.text(b"x-gauges"), self.fields)
        if answer.status == 202:
            return QueryProgress(
                True, note=parse_note(answer.text(b"x-how"), answer.text(b"x-val")), load_report=report
            )
        if answer.status != 200:
            raise self.end_unserved(answer, report)
        pages, rows = answer.text(b"x-sheets"), whole_rows(answer.body)
        if not pages.isdecimal() or not 1 <= int(pages) <= PAGES_MOST:
            raise Broken(f"{pages[:20]!r} pages")
        self.ended, self.pages = True, int(pages)
        return QueryProgress(False, rows, load_report=report)
