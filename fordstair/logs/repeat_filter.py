"""Decides which log lines are repeats to suppress and count, without a clock or I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from dataclasses import dataclass

MAX_KEYS = 512


@dataclass(slots=True)
class _Window:
    first_ms: float
    suppressed_lines: int = 0


class RepeatFilter:
    """Suppresses repeated lines within a window.

    The first line of a key is written and opens a window; later ones within it are suppressed and counted.
    A window that ends with suppressed lines is reported once, with their number. The table holds
    ``max_keys`` keys: the oldest window ends early to make room.
    """

    def __init__(self, window_ms: float, max_keys: int = MAX_KEYS) -> None:
        self.window_ms = window_ms
        self.max_keys = max_keys
        self._windows: OrderedDict[Hashable, _Window] = OrderedDict()

    def __len__(self) -> int:
        return len(self._windows)

    def admit(self, key: Hashable, now_ms: float) -> bool:
        """Return whether to write a line of that key now; call ``take_ended`` first."""
        if (window := self._windows.get(key)) is not None:
            window.first_ms = min(window.first_ms, now_ms)  # the clock may go back
            window.suppressed_lines += 1
            return False
        if self.window_ms > 0.0:
            self._windows[key] = _Window(now_ms)
            self._windows.move_to_end(key)
        return True

    def take_ended(self, now_ms: float) -> Iterator[tuple[Hashable, int]]:
        """End the windows that are over; yield the key and number of lines of those that suppressed any."""
        while self._windows:
            key, window = next(iter(self._windows.items()))
            if now_ms < window.first_ms:  # the clock went back: without this the window might never end
                window.first_ms = now_ms
            if now_ms - window.first_ms < self.window_ms and len(self._windows) <= self.max_keys:
                return
            del self._windows[key]
            if window.suppressed_lines:
                yield key, window.suppressed_lines

    def take_all(self) -> Iterator[tuple[Hashable, int]]:
        """End all windows at the end of the program, and yield as ``take_ended`` does."""
        while self._windows:
            key, window = self._windows.popitem(last=False)
            if window.suppressed_lines:
                yield key, window.suppressed_lines
