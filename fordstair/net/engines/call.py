"""What all engine protocols over HTTP share: one attempt, started once and asked for until it ends."""

from __future__ import annotations

import contextlib
import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TypeVar

import trio

from fordstair.core.ports import AttemptFailedError, AttemptRequest, Engine, QueryProgress
from fordstair.decisions.events import Status
from fordstair.net.engines.http_client import Answer, Broken, Connection
from fordstair.net.engines.pool import ConnectFailed, Pool, PooledConnection
from fordstair.runtime.deadlines import Deadlines

# An engine answers within 250 ms; one that has not by then is silent. A query must be asked for every
# 2 s, so a silent call is given up early enough to ask again on another connection.
SILENT_MS = 800.0
NEWS_MS = 300.0  # for an answer to a call that nobody waits for any more
BREAKS_MOST = 6  # broken answers in a row before the query counts as lost with its engine
# A DELETE on another connection must not overtake the POST that it takes back.
OVERTAKE_MS = 20.0
DROP_MS = 600.0
PROMPT_MS = 300.0  # from a POST to the answer to its DELETE, at an engine that is there
AGAIN_MS = 50.0

T = TypeVar("T")


class HttpTransport:
    """Carries attempts over a pool of connections."""

    def __init__(self, pool: Pool, deadlines: Deadlines, load_report_fields: tuple[str, ...]) -> None:
        self.pool, self.deadlines, self.load_report_fields = pool, deadlines, load_report_fields

    def forget(self, engine: Engine) -> None:
        """Close idle connections to an engine."""
        self.pool.forget(engine.address)


class HttpCall(ABC):
    """One attempt; the protocol says what is written and how answers read."""

    headers: list[tuple[str, str]] = []  # of each call that asks

    def __init__(self, transport: HttpTransport, attempt_request: AttemptRequest) -> None:
        self.pool, self.deadlines = transport.pool, transport.deadlines
        self.fields, self.attempt_request, self.address = (
            transport.load_report_fields,
            attempt_request,
            attempt_request.engine.address,
        )
        self.posted_ms = 0.0  # when the POST had gone whole; 0 before
        self.sent_ms = 0.0  # when the POST began to go
        self.ended = False
        self.heard = False  # something shows that the engine has read the POST, or never will
        self.unread: PooledConnection | None = None  # where a stopped call's answer is still to come

    @abstractmethod
    def post(self, limit_ms: int) -> tuple[str, list[tuple[str, str]], bytes]:
        """Path, headers and body of the call that starts the query."""

    @abstractmethod
    def read(self, answer: Answer) -> QueryProgress:
        """Read the news in an answer; raise what ``end`` returns when the query has ended badly.

        What cannot be the answer to this call raises Broken.
        """

    @property
    @abstractmethod
    def path(self) -> str:
        """Where the query is asked for and given up; empty while that is not known."""

    @property
    def news_path(self) -> str:
        """Where its news is."""
        return self.path

    async def start(self) -> QueryProgress:
        """POST the query; what is no answer, once it went whole, is followed by asking, never by a POST."""
        attempt_request = self.attempt_request
        until_ms = self.deadlines.clock() + attempt_request.timeout_ms
        try:
            connection = await self.pool.acquire(self.address)
        except ConnectFailed as error:
            failed = self.end(Status.CONNECT_FAILED, str(error))
            failed.reachable, failed.may_connect_late = error.refused, error.late
            raise failed from error
        why = "silence"
        try:
            if (
                not await attempt_request.may_send()
            ):  # it began to drain, or was replaced, while the connection came up
                raise self.end(Status.MOOT, "the engine takes nothing new")
            path, headers, body = self.post(max(1, math.ceil(until_ms - self.deadlines.clock())))
            self.sent_ms = self.deadlines.clock()
            with self.deadlines.limit(self.sent_ms + SILENT_MS):
                answer = await connection.exchange("POST", path, headers, body)
                self.heard = True
                return self._read(connection, answer, self.read)
        except Broken as error:
            why = str(error)
        finally:
            if connection.whole:
                self.posted_ms = self.deadlines.clock()
                # What has come and is not read yet: then it is this program that is late, not the engine.
                self.heard = self.heard or connection.has_unread_bytes
            # One that was stopped closes at once: a machine that was cut off and comes back would read the
            # POST from it, and run the query beside the next attempt.
            self.pool.release(connection)
        if not self.posted_ms:  # it never came whole, so nothing is out; for a load that is no proof yet
            raise self.end(Status.RESET, f"the engine does not read: {why}")
        if not self.path:
            raise AttemptFailedError(Status.RESET, f"the engine did not say where to ask: {why}")
        # The query may run. Another attempt now would be a second one beside it, and its end, which the
        # engine tells again under its id, would be lost.
        self.pool.counters.add("engine.asked_anew")
        return await self._ask_after_reset()

    async def _ask_after_reset(self) -> QueryProgress:
        """Ask for a query whose POST went whole, and was not answered.

        What was read before a reset may not have been started yet: asking must not overtake it. An engine
        that does not know the query is asked twice, since one that hung has the POST and this call before it
        at once, and may take up this call first.
        """
        await self.deadlines.sleep(OVERTAKE_MS)
        try:
            return await self.ask(self.news_path, self.read)
        except AttemptFailedError as failure:
            if self.heard or failure.status is not Status.ERROR:
                raise
        self.ended = False
        await self.deadlines.sleep(OVERTAKE_MS)
        return await self.ask(self.news_path, self.read)

    async def poll(self) -> QueryProgress:
        """Ask until there is an answer; a silent machine is asked again until the attempt is given up."""
        return await self.ask(self.news_path, self.read)

    async def abandon(self) -> bool:
        """DELETE the query once its POST went whole; bounded, since the machine may be silent."""
        connection, self.unread = self.unread, None
        try:
            if self.ended or not self.posted_ms or not self.path:
                return self.heard or not self.posted_ms or self._prompt
            with trio.CancelScope(shield=True), self.deadlines.limit_for(DROP_MS) as limit:
                await self.deadlines.sleep(self.posted_ms + OVERTAKE_MS - self.deadlines.clock())
                await self.side_call("DELETE", self.path)
                if connection is not None:  # with its query gone the engine has nothing to wait for either
                    with contextlib.suppress(Broken), self.deadlines.limit_for(NEWS_MS):
                        await connection.rest()
            if limit.cancelled_caught:
                # Nobody has taken the DELETE: behind a cut the query runs on until it goes unasked for too
                # long, however surely it was heard of before.
                self.pool.counters.add("engine.drops_in_vain")
                return False
            return self.heard or self._prompt
        finally:
            if connection is not None:
                self.pool.release(connection)

    @property
    def _prompt(self) -> bool:
        """Whether no more time has passed since the POST than an engine that is there may take for an answer.

        A machine that said nothing for longer was cut off, or hung, and reads the POST after a later call
        perhaps.
        """
        return self.deadlines.clock() < self.sent_ms + PROMPT_MS

    async def side_call(self, method: str, path: str, body: bytes = b"") -> None:
        """Make a call whose answer tells nothing, on another connection than the one that asks.

        A connection that breaks, or does not come up, says nothing of the call's having arrived: it is made
        again until it is answered or its process has gone. The caller bounds its time.
        """
        while True:
            connection = None
            try:
                connection = await self.pool.acquire(self.address)
                await connection.exchange(method, path, [], body)
                return
            except ConnectFailed as error:
                if error.refused:
                    return
                await self.deadlines.sleep(AGAIN_MS)
            except Broken:
                await self.deadlines.sleep(OVERTAKE_MS)
            finally:
                if connection is not None:
                    self.pool.release(connection)

    async def ask(self, path: str, read: Callable[[Answer], T]) -> T:
        """GET until there is an answer that can be read.

        Whatever comes spoilt, cut or not at all proves nothing and tells nothing of the query, which the
        engine keeps under its id: it is asked for anew on a fresh connection.
        """
        breaks, fresh = 0, False
        while True:
            connection = None
            try:
                with self.deadlines.limit_for(SILENT_MS) as silence:
                    connection = await self.pool.acquire(self.address, fresh=fresh)
                    answer = await self._get(connection, path, silence)
                    return self._read(connection, answer, read)
            except ConnectFailed as error:
                if error.refused:  # its process has gone
                    self.heard = True
                    raise self.end(Status.RESET, str(error)) from error
                await self.deadlines.sleep(AGAIN_MS)  # an error that comes at once must not spin
            except Broken as error:
                breaks += 1
                self.pool.counters.add("engine.broken_answers")
                if breaks >= BREAKS_MOST:
                    raise AttemptFailedError(Status.RESET, str(error)) from error
            finally:
                if connection is not None and connection is not self.unread:
                    self.pool.release(connection)
            fresh = True

    async def _get(self, connection: PooledConnection, path: str, silence: trio.CancelScope) -> Answer:
        """Make a GET; where it is stopped before its answer, if not for silence, ``drop`` reads it.

        Closing there would cost a handshake for the next query: with many engines and few requests to each,
        there is seldom another connection at hand. A GET that is read late starts nothing.
        """
        try:
            answer = await connection.exchange("GET", path, self.headers, b"")
            # An engine that does not know the query may get it yet: what a machine that was cut off has been
            # sent on another connection reaches it later than this call.
            self.heard = self.heard or answer.status != 500
            return answer
        except trio.Cancelled:
            if connection.awaits and not silence.cancel_called:
                self.unread = connection
            raise

    @staticmethod
    def _read(connection: Connection, answer: Answer, read: Callable[[Answer], T]) -> T:
        """Read an answer; a connection that has brought what is none carries no further call."""
        try:
            return read(answer)
        except Broken:
            connection.spoilt = True
            raise

    def end(self, status: Status, why: str, report: tuple[float, ...] = ()) -> AttemptFailedError:
        """Note that nothing runs any more; return the error to raise."""
        self.ended = True
        return AttemptFailedError(status, why, report)

    def end_unserved(self, answer: Answer, report: tuple[float, ...] = ()) -> AttemptFailedError:
        """Return the error for a status that brings no result; only X-Unrun proves that nothing ran."""
        status = Status.ERROR
        if answer.text(b"x-unrun") == "1":
            status = {503: Status.FULL, 504: Status.MOOT}.get(answer.status, Status.ERROR)
        return self.end(status, f"status {answer.status}", report)
