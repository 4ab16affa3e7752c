"""When signals may have been sent: a paused or busy program sees them late."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import TypeAlias

_Handler: TypeAlias = Callable[[int, FrameType | None], object]


class SignalArrivals:
    """For each signal that is not handled yet, the earliest moment at which it may have been sent, in ms."""

    def __init__(self, earliest_arrival_ms: Callable[[], float]) -> None:
        self._earliest_arrival_ms = earliest_arrival_ms
        self._arrivals: dict[int, float] = {}

    def note(self, number: int) -> None:
        """A signal's handler runs; of several that are handled as one, the first counts."""
        self._arrivals.setdefault(number, self._earliest_arrival_ms())

    def take(self, number: int) -> float:
        """Return the earliest moment at which a signal that is handled now may have been sent."""
        noted_ms = self._arrivals.pop(number, None)
        return self._earliest_arrival_ms() if noted_ms is None else noted_ms


@contextmanager
def noting_arrivals(
    numbers: Iterable[int], earliest_arrival_ms: Callable[[], float]
) -> Iterator[SignalArrivals]:
    """Note the arrival of these signals right as their handlers run, and not once a task is told of them.

    The handlers that are set now, trio's, are called after that. Their tasks run some turns of the event loop
    later, when the loop has polled again and a pause before the signal can no longer be seen.
    """
    arrivals = SignalArrivals(earliest_arrival_ms)
    handlers = {number: signal.getsignal(number) for number in numbers}
    for number, handler in handlers.items():
        if callable(handler):
            signal.signal(number, _noting(arrivals, handler))
    try:
        yield arrivals
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)


def _noting(arrivals: SignalArrivals, handler: _Handler) -> _Handler:
    def note_and_handle(number: int, frame: FrameType | None) -> None:
        arrivals.note(number)
        handler(number, frame)

    return note_and_handle
