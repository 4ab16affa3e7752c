"""Retries: whether a request may get a first or further attempt, and the latest time at which that may begin.

The decision depends on what may have run, never on time alone: a non-idempotent request is not sent again
once an attempt may have run. One with an idempotency key may be, while its engines still discard duplicates.
"""

from __future__ import annotations

import math

from fordstair.decisions.settings import DeduplicationScope, Idempotency, RetryBudget, Settings
from fordstair.decisions.statistics import SlidingWindowCounter
from fordstair.decisions.tracked_request import TrackedRequest

# Share of the deduplication window that is used; the rest is margin for clock error and transit time.
USABLE_DEDUPLICATION_SHARE = 0.9
# Errors from engines after which the request itself counts as at fault.
MAX_ENGINE_ERRORS = 2
# An attempt is sent only if this share of its predicted work fits into the time left.
MIN_WORK_SHARE_IN_TIME = 0.5
DEFAULT_RETRY_BUDGET = RetryBudget(base_retries=1.0, ratio=0.5, window_ms=5_000.0)
# Arrivals are counted over a window shorter by this, and retries over one longer by this, so that rounding
# cannot exceed the budget.
WINDOW_ROUNDING_MS = 1.0


def may_have_run(request: TrackedRequest) -> bool:
    """Return whether an attempt is in flight, or has ended without proof that it never ran."""
    return request.current_attempt is not None or request.may_have_run_since is not None


def must_not_be_retried(request: TrackedRequest) -> bool:
    """Return whether a further attempt could have a second effect, regardless of the time."""
    return request.spec.idempotency is Idempotency.NON_IDEMPOTENT and may_have_run(request)


def latest_retry_start(request: TrackedRequest) -> float:
    """Return the latest time at which a further attempt may begin; inf if there is no limit.

    With an idempotency key, the limit is 0.9 of the deduplication window after the first attempt that may
    have run. The host does not begin the attempt later than this, and its send guard checks the full window.
    """
    if request.spec.idempotency is not Idempotency.WITH_KEY:
        return math.inf
    since = request.may_have_run_since
    if since is None and request.current_attempt is not None:
        since = request.current_attempt.sent_at
    if since is None:
        return math.inf
    return since + USABLE_DEDUPLICATION_SHARE * request.spec.deduplication_window_ms


def client_may_retry(request: TrackedRequest) -> bool:
    """Return whether a client's own retry is safe: such a request is rejected, any other is failed.

    With an idempotency key, a retry is safe only if all engines find each other's duplicates.
    """
    if not may_have_run(request):
        return True
    spec = request.spec
    if spec.idempotency is Idempotency.WITH_KEY:
        return spec.deduplication_scope is DeduplicationScope.ALL
    return spec.idempotency is Idempotency.IDEMPOTENT


class RetryPolicy:
    """Decides whether a request may get its first or a further attempt."""

    def __init__(self, settings: Settings) -> None:
        self._max_attempts = settings.max_attempts
        self._budget = settings.retry_budget or DEFAULT_RETRY_BUDGET
        window_ms = self._budget.window_ms + 2.0 * WINDOW_ROUNDING_MS
        self._arrivals = SlidingWindowCounter(window_ms)
        self._retries = SlidingWindowCounter(window_ms)

    def record_arrival(self, now: float) -> None:
        """Count an arriving request; the retry budget grows in proportion to arrivals."""
        self._arrivals.add(now)

    def record_retry(self, now: float) -> None:
        """Count an attempt beyond a request's first."""
        self._retries.add(now)

    def may_attempt(self, now: float, request: TrackedRequest) -> bool:
        """Return whether the next attempt is safe, still useful, and within the attempt cap and retry budget.

        Asked before each attempt, where False ends the request, and before an attempt is cancelled to be
        retried elsewhere, where False lets it run on.
        """
        if request.attempts_sent >= self._max_attempts:
            return False
        work_ms = MIN_WORK_SHARE_IN_TIME * request.cost / request.spec.threads
        if now + work_ms > request.useful_until:
            return False
        if len(request.engines_with_errors) >= MAX_ENGINE_ERRORS:
            return False
        if must_not_be_retried(request) or now > latest_retry_start(request):
            return False
        return request.attempts_sent == 0 or self._budget_allows(now)

    def _budget_allows(self, now: float) -> bool:
        window_start = now - self._budget.window_ms
        arrivals = self._arrivals.count_since(window_start + WINDOW_ROUNDING_MS)
        retries = self._retries.count_since(window_start - WINDOW_ROUNDING_MS)
        return retries + 1 <= self._budget.base_retries + self._budget.ratio * arrivals
