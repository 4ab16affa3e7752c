"""Has the coordinator work on the statements of one OData connection."""

from __future__ import annotations

import math
import secrets
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import Query
from fordstair.core.statements import table_group
from fordstair.decisions.settings import Idempotency, RequestClass
from fordstair.net.clients.odata_errors import ClientDisconnectedError, ODataError
from fordstair.net.clients.odata_model import EntitySet

AT_DEADLINE_MS = 50.0  # an answer that close to the deadline came because of it
_TRANSACTION_ID_BYTES = 8
_IDEMPOTENCY_KEY_BYTES = 16


@dataclass(slots=True)
class PendingReply:
    """Takes the one final answer of a request, until its task reads it."""

    done: trio.Event = field(default_factory=trio.Event)
    pages: Sequence[bytes] | None = None
    retry_after_ms: float | None = None  # of a request that was rejected
    reason: str = ""

    async def drain_input(self) -> None:
        """Its connection reads all the while."""
        await trio.lowlevel.checkpoint()

    def served(self, pages: Sequence[bytes]) -> None:
        """All rows."""
        self.pages = pages
        self.done.set()

    def rejected(self, retry_after_ms: float) -> None:
        """A retry is harmless."""
        self.retry_after_ms = retry_after_ms
        self.done.set()

    def failed(self, reason: str) -> None:
        """Nothing is promised."""
        self.reason = reason
        self.done.set()


@dataclass(slots=True, frozen=True)
class Statement:
    """One statement, for whom it runs and how long its client waits."""

    text: str
    class_name: str
    entity_set: EntitySet
    team: str
    wait_ms: float | None  # None: as long as its class allows


class StatementRunner:
    """Runs the statements of one client, one at a time, until the client disconnects."""

    def __init__(self, coordinator: Coordinator) -> None:
        self.coordinator = coordinator
        self.disconnected = False
        self._request_sent_ms = coordinator.deadlines.clock()  # at the earliest
        self._in_batch = False
        self._batch_deadline_ms = math.inf  # when the client stops waiting for the batch that is worked on
        self._live: LiveRequest | None = None
        self._has_run = False  # a statement, before
        self._reply = PendingReply()

    def disconnect(self) -> None:
        """The client has left: what runs is given up, and nothing more is begun."""
        self.disconnected = True
        if self._live is not None:
            self.coordinator.client_disconnected(self._live)
            self._reply.done.set()

    def begin_request(self, sent_ms: float) -> None:
        """Begin to answer a request that was sent no earlier than that; its client waits since then."""
        self._request_sent_ms = sent_ms

    @contextmanager
    def batch_limit(self, wait_ms: float | None) -> Iterator[None]:
        """Within the block, bound statements together to the wait of their batch; None: no bound."""
        self._in_batch = True
        if wait_ms is not None:
            self._batch_deadline_ms = self._request_sent_ms + wait_ms
        try:
            yield
        finally:
            self._in_batch = False
            self._batch_deadline_ms = math.inf

    async def run(self, statement: Statement) -> Sequence[bytes]:
        """Return the statement's rows, page by page; raise ODataError for what became of it otherwise."""
        coordinator = self.coordinator
        if statement.class_name not in coordinator.classes:
            message = f"the operator's file names an unknown class {statement.class_name!r}"
            raise ODataError(500, "BadClass", message)
        if self.disconnected:
            raise ClientDisconnectedError
        self._reply = PendingReply()
        self._live = live = coordinator.submit(self._query(statement), self._reply)
        self._has_run = True
        try:
            await self._reply.done.wait()
        finally:
            coordinator.client_disconnected(live)  # no harm where it is over
            self._live = None
        if self._reply.pages is not None:
            return self._reply.pages
        if self.disconnected:
            raise ClientDisconnectedError
        at_deadline = coordinator.deadlines.clock() >= live.deadline_ms - AT_DEADLINE_MS
        raise _failure(self._reply, at_deadline=at_deadline)

    def _query(self, statement: Statement) -> Query:
        coordinator = self.coordinator
        class_index = coordinator.classes[statement.class_name]
        spec = coordinator.settings.classes[class_index]
        return Query(
            secrets.token_hex(_TRANSACTION_ID_BYTES),
            statement.class_name,
            class_index,
            coordinator.tenants[statement.team],
            self._timeout_ms(statement, spec.client_timeout_ms),
            statement.text.encode(),
            table_group(statement.text),
            statement.entity_set.cost_ms,
            statement.entity_set.memory_mb,
            self._waited_ms(),
            idempotency_key=_new_idempotency_key(spec),
            from_new_client=not self._has_run,
        )

    def _waited_ms(self) -> float:
        """Return how long the client has waited before this statement; in a batch it waits for others."""
        if self._in_batch:
            return 0.0
        return max(0.0, self.coordinator.deadlines.clock() - self._request_sent_ms)

    def _timeout_ms(self, statement: Statement, class_timeout_ms: float) -> float:
        """Return the least of what the class, the client and its batch allow."""
        timeout_ms = (
            class_timeout_ms if statement.wait_ms is None else min(class_timeout_ms, statement.wait_ms)
        )
        return max(0.0, min(timeout_ms, self._batch_deadline_ms - self.coordinator.deadlines.clock()))


def _new_idempotency_key(spec: RequestClass) -> str:
    """Return a key under which engines discard the coordinator's own retries; empty for other classes.

    A client's repeatability id is unique within its team alone, and is heeded before a statement is run.
    """
    return secrets.token_hex(_IDEMPOTENCY_KEY_BYTES) if spec.idempotency is Idempotency.WITH_KEY else ""


def _failure(reply: PendingReply, *, at_deadline: bool) -> ODataError:
    """Return the error for a request without rows: only a rejection proves that nothing ran."""
    if reply.retry_after_ms is None:
        message = "not done; it may have run, so look before sending it again"
        return ODataError(504, "Timeout", message) if at_deadline else ODataError(502, "Failed", message)
    headers = {"Retry-After": str(max(1, math.ceil(reply.retry_after_ms / 1000.0)))}
    if at_deadline:
        return ODataError(504, "Timeout", "not done in time; trying again is harmless", headers)
    return ODataError(503, "Overloaded", "refused for now; trying again is harmless", headers)
