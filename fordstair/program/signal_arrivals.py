"""Estimates when signals were sent, because a paused or busy process handles them late."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import TypeAlias

_Handler: TypeAlias = Callable[[int, FrameType | None], object]


class SignalArrivals:
    """The earliest moment at which each signal may have been sent (ms), until its task takes it."""

    def __init__(self, earliest_arrival_ms: Callable[[], float]) -> None:
        self._earliest_arrival_ms = earliest_arrival_ms
        self._arrivals: dict[int, float] = {}

    def record(self, number: int) -> None:
        """Record the arrival of a signal as its handler runs; of several handled as one, the first counts."""
        self._arrivals.setdefault(number, self._earliest_arrival_ms())

    def take(self, number: int) -> float:
        """Return and forget the earliest moment at which a signal may have been sent."""
        recorded_ms = self._arrivals.pop(number, None)
        return self._earliest_arrival_ms() if recorded_ms is None else recorded_ms


@contextmanager
def recording_arrivals(
    numbers: Iterable[int], earliest_arrival_ms: Callable[[], float]
) -> Iterator[SignalArrivals]:
    """Record the arrival of these signals as their handlers run, before any task receives them.

    The installed handlers, which are trio's, are called afterwards. The receiving tasks run some turns of the
    event loop later, when the loop has polled again and a pause before the signal can no longer be detected.
    """
    arrivals = SignalArrivals(earliest_arrival_ms)
    handlers = {number: signal.getsignal(number) for number in numbers}
    for number, handler in handlers.items():
        if callable(handler):
            signal.signal(number, _recording(arrivals, handler))
    try:
        yield arrivals
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)


def _recording(arrivals: SignalArrivals, handler: _Handler) -> _Handler:
    def record_and_handle(number: int, frame: FrameType | None) -> None:
        arrivals.record(number)
        handler(number, frame)

    return record_and_handle
