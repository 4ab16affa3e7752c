"""Runs trio in virtual time: the program's own tasks on a clock that jumps to the next deadline.

With the same seed, tasks run in the same order and at the same times, so a run is repeatable. No task may
do real I/O.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar

import trio
import trio.testing

START_UNIX_MS = 1_764_633_600_000.0  # The Unix time at which every run starts.

T = TypeVar("T")


def now_ms() -> float:
    """Return the virtual Unix time, in milliseconds; ``Deadlines`` uses it as its clock."""
    return START_UNIX_MS + trio.current_time() * 1_000.0


@contextmanager
def _deterministic_scheduling(seed: int) -> Iterator[None]:
    """Seed trio's random order of tasks.

    Trio has this switch for Hypothesis, in ``trio._core._run``, without a public name.
    """
    from trio._core import _run

    before = _run._ALLOW_DETERMINISTIC_SCHEDULING
    state = _run._r.getstate()
    _run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    _run._r.seed(seed)
    try:
        yield
    finally:
        _run._ALLOW_DETERMINISTIC_SCHEDULING = before  # type: ignore[misc]
        _run._r.setstate(state)


def run_in_virtual_time(scenario: Callable[[], Awaitable[T]], seed: int) -> T:
    """Run a scenario to its end in virtual time and return its result; the clock starts at START_UNIX_MS."""
    random.seed(seed)
    with _deterministic_scheduling(seed):
        return trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0.0))
