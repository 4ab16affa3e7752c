"""The requests in progress, and the one final answer to each of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from enum import Enum
from functools import partial

from fordstair.core.invariants import Invariant, Invariants
from fordstair.core.live_request import LiveRequest
from fordstair.core.load_history import LoadHistory
from fordstair.core.ports import Query, Reply
from fordstair.core.send_guard import SendGuard
from fordstair.decisions.settings import RequestClass
from fordstair.runtime.counters import Counters
from fordstair.runtime.event_log import EventLog
from fordstair.runtime.memory_budget import MemoryBudget

log = EventLog(__name__)

# A client's timeout runs from its send, so the transit of the request and of the answer, and a busy turn of
# this program's event loop, are subtracted from it.
TRANSIT_ALLOWANCE_MS = 15.0


class Answer(Enum):
    """The kinds of final answers; the value is part of a counter's name."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class RequestTable:
    """All requests in progress. Final answers are sent only from here, at most one for each request."""

    def __init__(
        self, counters: Counters, invariants: Invariants, memory: MemoryBudget | None = None
    ) -> None:
        self.live: dict[int, LiveRequest] = {}
        self.rejections: Counter[tuple[str, str]] = Counter()  # by class and reason
        self._counters = counters
        self._invariants = invariants
        self._transaction_ids: set[str] = set()
        self._past_loads = LoadHistory(memory)
        self._last_id = 0

    def add(self, query: Query, reply: Reply, spec: RequestClass, now_ms: float) -> LiveRequest:
        """Add a request; its deadline is what remains of the client's timeout after transit."""
        self._last_id += 1
        left_ms = max(0.0, query.timeout_ms - TRANSIT_ALLOWANCE_MS - query.read_delay_ms)
        live = LiveRequest(
            self._last_id,
            query,
            reply,
            now_ms,
            now_ms + left_ms,
            SendGuard(spec.idempotency, spec.deduplication_window_ms),
        )
        self.live[live.id] = live
        self._transaction_ids.add(query.transaction_id.lower())
        self._counters.add(f"taken.{query.class_name}")
        log.debug(
            "request.taken",
            txn=query.transaction_id,
            class_name=query.class_name,
            timeout_ms=query.timeout_ms,
            read_delay_ms=round(query.read_delay_ms, 1),
        )
        return live

    def remove(self, live: LiveRequest) -> None:
        """Remove a request whose task has ended; remember a load that may have run."""
        self.live.pop(live.id, None)
        if live.send_guard.forbids_repeat:
            self._past_loads.add(live.query.transaction_id)
        self._transaction_ids.discard(live.query.transaction_id.lower())

    def get(self, request_id: int) -> LiveRequest | None:
        """Return a request by its id, or None if its task has ended."""
        return self.live.get(request_id)

    def is_in_progress(self, transaction_id: str) -> bool:
        """Return whether a request with this transaction id is in progress."""
        return transaction_id.lower() in self._transaction_ids

    def is_past_load(self, transaction_id: str) -> bool:
        """Return whether a load with this transaction id has ended and may have run."""
        return transaction_id in self._past_loads

    def unanswered(self) -> Iterator[LiveRequest]:
        """Yield the requests that still wait for their answer, oldest first."""
        return (live for live in self.live.values() if not live.finished)

    def serve(self, live: LiveRequest, pages: Sequence[bytes]) -> None:
        """Answer a request with its result."""
        self._answer(live, Answer.SERVED, partial(live.reply.served, pages))

    def reject(self, live: LiveRequest, retry_after_ms: float, reason: str) -> None:
        """Answer that a retry is safe, and count the reason."""
        self.rejections[live.query.class_name, reason] += not live.finished
        log.debug(
            "request.rejected",
            txn=live.query.transaction_id,
            class_name=live.query.class_name,
            why=reason,
            attempts=live.attempt_count,
        )
        self._answer(live, Answer.REJECTED, partial(live.reply.rejected, retry_after_ms))

    def count_refused(self, class_name: str, reason: str) -> None:
        """Count a request that never entered the table as taken and rejected."""
        self._counters.add(f"taken.{class_name}")
        self._counters.add(f"answered.{Answer.REJECTED.value}.{class_name}")
        self.rejections[class_name, reason] += 1

    def fail(self, live: LiveRequest, reason: str) -> None:
        """Answer that the request failed, without a promise whether it has had an effect."""
        self._answer(live, Answer.FAILED, partial(live.reply.failed, reason))

    def fail_unanswered(self, live: LiveRequest) -> None:
        """Record a violation for a request whose task ended without an answer, and answer it as failed.

        A task that is cancelled because the program stops is no violation; the caller must exclude it.
        """
        self._invariants.record_violation(
            Invariant.EVERY_REQUEST_ANSWERED, txn=live.query.transaction_id, attempts=live.attempt_count
        )
        self.fail(live, "internal error")

    def _answer(self, live: LiveRequest, answer: Answer, send: Callable[[], None]) -> None:
        if live.finished:
            return
        self._counters.add(f"answered.{answer.value}.{live.query.class_name}")
        log.debug("request.answered", txn=live.query.transaction_id, answer=answer.value)
        send()
        live.finished = True
        live.wakeup.set()
