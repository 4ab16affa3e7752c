"""Trio in virtual time: the program's own tasks on a clock that jumps to the next deadline.

Same seed, same order of tasks and same times: a play is repeated exactly. Nothing may do real I/O in it.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar

import trio
import trio.testing

DAY_MS = 1_764_633_600_000.0  # Unix time at which every play begins

T = TypeVar("T")


def now_ms() -> float:
    """Return the Unix time of the play, in milliseconds; ``Deadlines`` takes it for its clock."""
    return DAY_MS + trio.current_time() * 1_000.0


@contextmanager
def _in_order(seed: int) -> Iterator[None]:
    """Let trio's own shuffling of tasks be drawn from a seed.

    Trio has this switch for Hypothesis, in ``trio._core._run`` and without a public name.
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


def play(scene: Callable[[], Awaitable[T]], seed: int) -> T:
    """Run a scene to its end in virtual time; the clock starts at DAY_MS."""
    random.seed(seed)
    with _in_order(seed):
        return trio.run(scene, clock=trio.testing.MockClock(autojump_threshold=0.0))
