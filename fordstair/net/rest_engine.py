"""The platform's engine protocol: a query is started by POST and asked for under its id."""

from __future__ import annotations

import math

from cairnhoist.interface import NoteKind, Status
from fordstair.core.ports import Call, Errand, News
from fordstair.net.engine_call import DROP_MS, HttpCall, HttpTransport
from fordstair.net.http_client import Answer

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


class RestTransport(HttpTransport):
    """Carries attempts to the platform's engines."""

    def call(self, errand: Errand) -> Call:
        """Prepare one attempt."""
        return RestCall(self, errand)


class RestCall(HttpCall):
    """One attempt."""

    pages = fetched = 0

    @property
    def path(self) -> str:
        """The query's own resource; page 0 of it is its news."""
        return f"/o/{self.errand.query.txn}"

    def post(self, limit_ms: int) -> tuple[str, list[tuple[str, str]], bytes]:
        """Id, class and statement go out as they came."""
        query = self.errand.query
        return "/o", [("X-Txn", query.txn), ("X-Lane", query.lane), ("X-Limit-Ms", str(limit_ms)),
                      ("X-Urgency", str(self.errand.urgency))], query.statement

    async def news(self) -> News:
        """Ask for the end, a note, or 250 ms of nothing."""
        return self.read(await self.ask(f"{self.path}/0"))

    async def further(self) -> bytes | None:
        """Fetch the next page; what is not that page is an error of a query that has run."""
        self.fetched += 1
        if self.fetched >= self.pages:
            return None
        answer = await self.ask(f"{self.path}/{self.fetched}")
        if answer.status != 200 or answer.text(b"x-sheet") != str(self.fetched):
            raise self.end(Status.ERROR, f"page {self.fetched}: status {answer.status}")
        return answer.body

    async def hurry(self, urgency: int) -> None:
        """PUT a new priority; one that does not arrive is no harm."""
        if self.posted_ms and not self.ended:
            with self.deadlines.limit(self.deadlines.clock() + DROP_MS):
                await self.side_call("PUT", self.path, str(urgency).encode())

    def read(self, answer: Answer) -> News:
        """Read news: 202 still runs, 200 is page 0, all else has ended."""
        report = parse_report(answer.text(b"x-gauges"), self.fields)
        if answer.status == 202:
            return News(True, note=parse_note(answer.text(b"x-how"), answer.text(b"x-val")), report=report)
        pages = answer.text(b"x-sheets")
        if answer.status == 200 and pages.isdecimal() and 1 <= int(pages) <= PAGES_MOST:
            self.ended, self.pages = True, int(pages)
            return News(False, answer.body, report=report)
        raise self.end_unserved(answer, report)
