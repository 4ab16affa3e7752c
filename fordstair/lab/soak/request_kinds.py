"""The kinds of requests that the clients of a soak draw from."""

from __future__ import annotations

from typing import NamedTuple


class RequestKind(NamedTuple):
    """One kind of request, with its share of all requests."""

    class_name: str
    share: float
    mean_work_ms: float
    limit_s: float


KINDS = (
    RequestKind("lookup", 0.65, 40.0, 4.0),
    RequestKind("settlement", 0.1, 300.0, 6.0),
    RequestKind("meter-load", 0.25, 1_500.0, 6.0),
)


def mean_work_s() -> float:
    """Return the mean work of a request over all kinds, in seconds on one core."""
    return sum(kind.share * kind.mean_work_ms for kind in KINDS) / 1e3
