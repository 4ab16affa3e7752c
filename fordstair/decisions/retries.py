"""Whether a request may be sent once more: decided by what may have run, and never by the time alone."""

from __future__ import annotations

import math

from fordstair.decisions.settings import Idempotency
from fordstair.decisions.state import Request

WINDOW_PART = 0.9  # of the span in which engines discard a keyed request's duplicates; the rest is margin


def may_have_run(request: Request) -> bool:
    """Whether an attempt is out, or has ended without proof that it never ran."""
    return request.out is not None or request.maybe_since is not None


def must_not_repeat(request: Request) -> bool:
    """Whether a further attempt could have a second effect, whatever the time."""
    return request.spec.idempotency is Idempotency.NON_IDEMPOTENT and may_have_run(request)


def window_end(request: Request) -> float:
    """When a further attempt may begin at the latest; its host holds it to that, whatever delays it."""
    if request.spec.idempotency is not Idempotency.WITH_KEY:
        return math.inf
    since = request.maybe_since
    if since is None and request.out is not None:
        since = request.out.sent
    return math.inf if since is None else since + WINDOW_PART * request.spec.deduplication_window_ms
