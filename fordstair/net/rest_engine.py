"""The platform's engine protocol: one query is started by POST and asked for until it ends."""

from __future__ import annotations

import math

import trio

from cairnhoist.interface import NoteKind, Status
from fordstair.core.deadlines import Deadlines
from fordstair.core.ports import AttemptFailed, Call, Engine, Errand, News
from fordstair.net.http_client import Answer, Broken, ConnectFailed, Pool

# An engine answers within 250 ms; one that has not by then is silent. A query must be asked for every
# 2 s, so a silent call is given up early enough to ask again on another connection.
SILENT_MS = 800.0
BREAKS_MOST = 3  # connections that break in a row before the query counts as lost with its engine
# A DELETE on another connection must not overtake the POST that it takes back.
OVERTAKE_MS = 20.0
DROP_MS = 600.0
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


class RestTransport:
    """Carries attempts to the platform's engines."""

    def __init__(self, pool: Pool, deadlines: Deadlines, report_fields: tuple[str, ...]) -> None:
        self.pool, self.deadlines, self.report_fields = pool, deadlines, report_fields

    def call(self, errand: Errand) -> Call:
        """Prepare one attempt."""
        return RestCall(self, errand)

    def forget(self, engine: Engine) -> None:
        """Close idle connections to an engine."""
        self.pool.forget(engine.address)


class RestCall:
    """One attempt."""

    def __init__(self, transport: RestTransport, errand: Errand) -> None:
        self.pool, self.deadlines = transport.pool, transport.deadlines
        self.fields, self.errand = transport.report_fields, errand
        self.address, self.path = errand.engine.address, f"/o/{errand.query.txn}"
        self.posted_ms = 0.0  # when the POST had gone whole; 0 before
        self.ended = False

    async def start(self) -> News:
        """POST the query; a silence after it went whole is followed by asking, never by a second POST."""
        errand = self.errand
        began_ms = self.deadlines.clock()
        try:
            connection = await self.pool.acquire(self.address)
        except ConnectFailed as error:
            raise self._end(Status.CONNECT_FAILED, str(error)) from error
        answer: Answer | None = None
        try:
            if not errand.may_go():  # it began to drain, or was replaced, while the connection came up
                raise self._end(Status.MOOT, "the engine takes nothing new")
            left = errand.limit_ms - (self.deadlines.clock() - began_ms)
            headers = [("X-Txn", errand.query.txn), ("X-Lane", errand.query.lane),
                       ("X-Limit-Ms", str(max(1, math.ceil(left)))), ("X-Urgency", str(errand.urgency))]
            with self.deadlines.limit(self.deadlines.clock() + SILENT_MS):
                answer = await connection.exchange("POST", "/o", headers, errand.query.statement)
        except Broken as error:
            raise self._end(Status.RESET, str(error)) from error  # proves nothing: it may have run
        finally:
            if connection.whole:
                self.posted_ms = self.deadlines.clock()
            begun = connection.begun
            self.pool.release(connection, self.address)
        if answer is not None:
            return self._read(answer)
        if begun and not self.posted_ms:
            raise self._end(Status.RESET, "the engine does not read")
        return await self.news()

    async def news(self) -> News:
        """Ask until there is an answer; a silent machine is asked again until the attempt is given up."""
        return self._read(await self._ask("GET", f"{self.path}/0"))

    async def page(self, number: int) -> bytes:
        """Fetch page ``number``; what is not that page is an error of a query that has run."""
        answer = await self._ask("GET", f"{self.path}/{number}")
        if answer.status != 200 or answer.text(b"x-sheet") != str(number):
            raise self._end(Status.ERROR, f"page {number}: status {answer.status}")
        return answer.body

    async def drop(self) -> None:
        """DELETE the query once its POST went whole; bounded, since the machine may be silent."""
        if self.ended or not self.posted_ms:
            return
        with trio.CancelScope(shield=True), self.deadlines.limit(self.deadlines.clock() + DROP_MS):
            await self.deadlines.sleep(self.posted_ms + OVERTAKE_MS - self.deadlines.clock())
            await self._side_call("DELETE", self.path)

    async def hurry(self, urgency: int) -> None:
        """PUT a new priority; one that does not arrive is no harm."""
        if self.posted_ms and not self.ended:
            with self.deadlines.limit(self.deadlines.clock() + DROP_MS):
                await self._side_call("PUT", self.path, str(urgency).encode())

    async def _side_call(self, method: str, path: str, body: bytes = b"") -> None:
        for _ in range(2):
            try:
                connection = await self.pool.acquire(self.address)
            except ConnectFailed:
                return
            try:
                await connection.exchange(method, path, [], body)
                return
            except Broken:
                continue
            finally:
                self.pool.release(connection, self.address)

    async def _ask(self, method: str, path: str) -> Answer:
        breaks, fresh = 0, False
        while True:
            connection = None
            try:
                with self.deadlines.limit(self.deadlines.clock() + SILENT_MS):
                    connection = await self.pool.acquire(self.address, fresh=fresh)
                    return await connection.exchange(method, path, [], b"")
            except ConnectFailed as error:
                if isinstance(error.__cause__, ConnectionRefusedError):  # its process has gone
                    raise self._end(Status.RESET, str(error)) from error
            except Broken as error:
                breaks += 1
                if breaks >= BREAKS_MOST:
                    raise self._end(Status.RESET, str(error)) from error
            finally:
                if connection is not None:
                    self.pool.release(connection, self.address)
            fresh = True

    def _read(self, answer: Answer) -> News:
        report = parse_report(answer.text(b"x-gauges"), self.fields)
        unrun = answer.text(b"x-unrun") == "1"
        if answer.status == 202:
            return News(True, note=parse_note(answer.text(b"x-how"), answer.text(b"x-val")), report=report)
        if answer.status == 200:
            pages = answer.text(b"x-sheets")
            if pages.isdecimal() and 1 <= int(pages) <= 1_000:
                self.ended = True
                return News(False, int(pages), answer.body, report=report)
        if unrun and answer.status in (503, 504):
            status = Status.FULL if answer.status == 503 else Status.MOOT
            raise self._end(status, f"status {answer.status}", report)
        raise self._end(Status.ERROR, f"status {answer.status}", report)

    def _end(self, status: Status, why: str, report: tuple[float, ...] = ()) -> AttemptFailed:
        self.ended = True
        return AttemptFailed(status, why, report)
