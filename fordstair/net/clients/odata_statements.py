"""Runs the statements of one OData connection through the coordinator."""

from __future__ import annotations

import math
import secrets
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from fordstair.core.coordinator import Coordinator
from fordstair.core.live_request import LiveRequest
from fordstair.core.ports import ClientActivity, Query
from fordstair.decisions.settings import Idempotency, RequestClass
from fordstair.net.clients.client_limits import ODATA_RESULT_MEMORY_FACTOR
from fordstair.net.clients.odata_errors import ClientDisconnectedError, ODataError
from fordstair.net.clients.odata_model import EntitySet
from fordstair.runtime.memory_budget import MemoryUse, Reservation

# A request that fails or is rejected this close to its deadline, or later, is reported as timed out.
DEADLINE_TOLERANCE_MS = 50.0
_TRANSACTION_ID_BYTES = 8
_IDEMPOTENCY_KEY_BYTES = 16


@dataclass(slots=True)
class PendingReply:
    """Holds the final answer of a request for the task that waits for it.

    Attributes:
        done: set once there is a final answer, or the client has disconnected.
        pages: the rows, if the request was served.
        retry_after_ms: the advice on a retry, if the request was rejected.
        reason: why the request failed.
    """

    done: trio.Event = field(default_factory=trio.Event)
    pages: Sequence[bytes] | None = None
    retry_after_ms: float | None = None
    reason: str = ""

    async def drain_input(self) -> None:
        """Return after a checkpoint: the connection reads its input while a request is open."""
        await trio.lowlevel.checkpoint()

    def served(self, pages: Sequence[bytes]) -> None:
        """Take the rows as the final answer."""
        self.pages = pages
        self.done.set()

    def rejected(self, retry_after_ms: float) -> None:
        """Take a rejection as the final answer: a retry is harmless."""
        self.retry_after_ms = retry_after_ms
        self.done.set()

    def failed(self, reason: str) -> None:
        """Take a failure as the final answer: nothing is promised about the effect."""
        self.reason = reason
        self.done.set()


@dataclass(slots=True, frozen=True)
class Statement:
    """One statement, the team that it runs for, and how long its client waits.

    Attributes:
        text: the SQL text.
        class_name: the class that it belongs to.
        entity_set: the set that it reads or loads.
        team: the team that it runs for.
        wait_ms: how long the client waits; None if its class alone sets the limit.
    """

    text: str
    class_name: str
    entity_set: EntitySet
    team: str
    wait_ms: float | None


class StatementRunner:
    """Runs the statements of one client, one at a time, until the client disconnects.

    ``result_memory`` is charged for the results, until its owner has sent the response.
    """

    def __init__(self, coordinator: Coordinator, result_memory: Reservation | None = None) -> None:
        self.coordinator = coordinator
        self._result_memory = result_memory or Reservation(coordinator.memory, MemoryUse.ANSWERS)
        self.disconnected = False
        # The earliest time at which the current request may have been sent:
        self._request_sent_ms = coordinator.deadlines.clock()
        self._in_batch = False
        self._batch_deadline_ms = math.inf
        self._live: LiveRequest | None = None
        self._has_run_statement = False
        self._reply = PendingReply()

    def disconnect(self) -> None:
        """Abandon the running statement, and refuse any further one: the client has disconnected."""
        self.disconnected = True
        if self._live is not None:
            self.coordinator.client_disconnected(self._live)
            self._reply.done.set()

    def begin_request(self, sent_ms: float) -> None:
        """Start a request that was sent no earlier than ``sent_ms``; its client's wait counts from then."""
        self._request_sent_ms = sent_ms

    @contextmanager
    def batch_limit(self, wait_ms: float | None) -> Iterator[None]:
        """Limit the statements of the block together to ``wait_ms`` since their batch was sent.

        None sets no limit.
        """
        self._in_batch = True
        if wait_ms is not None:
            self._batch_deadline_ms = self._request_sent_ms + wait_ms
        try:
            yield
        finally:
            self._in_batch = False
            self._batch_deadline_ms = math.inf

    async def run(self, statement: Statement) -> Sequence[bytes]:
        """Run a statement and return its rows, page by page; raise ODataError if it is not served.

        On cancellation the statement is abandoned.
        """
        coordinator = self.coordinator
        if statement.class_name not in coordinator.classes:
            message = f"the operator's file names an unknown class {statement.class_name!r}"
            raise ODataError(500, "BadClass", message)
        if self.disconnected:
            raise ClientDisconnectedError
        self._reply = PendingReply()
        live = coordinator.try_submit(self._query(statement), self._reply)
        if live is None:
            self._reply.rejected(coordinator.refuse(statement.class_name))
            raise _error_from_reply(self._reply, at_deadline=False)
        self._live = live
        self._has_run_statement = True
        try:
            await self._reply.done.wait()
        finally:
            coordinator.client_disconnected(live)  # no effect if it has finished
            self._live = None
        if self._reply.pages is not None:
            size = ODATA_RESULT_MEMORY_FACTOR * sum(map(len, self._reply.pages))
            self._result_memory.charge(self._result_memory.size + size)
            return self._reply.pages
        if self.disconnected:
            raise ClientDisconnectedError
        at_deadline = coordinator.deadlines.clock() >= live.deadline_ms - DEADLINE_TOLERANCE_MS
        raise _error_from_reply(self._reply, at_deadline=at_deadline)

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
            None,
            statement.entity_set.cost_ms,
            statement.entity_set.memory_mb,
            self._elapsed_wait_ms(),
            idempotency_key=_new_idempotency_key(spec),
            client_activity=ClientActivity.KNOWN if self._has_run_statement else ClientActivity.NEW,
        )

    def _elapsed_wait_ms(self) -> float:
        """Return how long the client had been waiting when this statement was submitted.

        It is 0 in a batch, where the client has been waiting for other statements.
        """
        if self._in_batch:
            return 0.0
        return max(0.0, self.coordinator.deadlines.clock() - self._request_sent_ms)

    def _timeout_ms(self, statement: Statement, class_timeout_ms: float) -> float:
        """Return the shortest of the limits of the class, the client and the batch."""
        timeout_ms = (
            class_timeout_ms if statement.wait_ms is None else min(class_timeout_ms, statement.wait_ms)
        )
        return max(0.0, min(timeout_ms, self._batch_deadline_ms - self.coordinator.deadlines.clock()))


def _new_idempotency_key(spec: RequestClass) -> str:
    """Return a key by which engines discard the coordinator's own retries; empty for a class without keys.

    The client's repeatability id cannot serve as this key, since it is unique only within its team. It is
    checked before the statement runs.
    """
    return secrets.token_hex(_IDEMPOTENCY_KEY_BYTES) if spec.idempotency is Idempotency.WITH_KEY else ""


def _error_from_reply(reply: PendingReply, *, at_deadline: bool) -> ODataError:
    """Return the error for a rejected or failed request; only a rejection proves that nothing ran."""
    if reply.retry_after_ms is None:
        message = "not done; it may have run, so look before sending it again"
        return ODataError(504, "Timeout", message) if at_deadline else ODataError(502, "Failed", message)
    headers = {"Retry-After": str(max(1, math.ceil(reply.retry_after_ms / 1000.0)))}
    if at_deadline:
        return ODataError(504, "Timeout", "not done in time; trying again is harmless", headers)
    return ODataError(503, "Overloaded", "refused for now; trying again is harmless", headers)
